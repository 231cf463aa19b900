// The flows of one agent: which it carries, which it has passed on, and how a
// flow is found that it knows nothing of.
//
// A new flow goes to the first of the placement order, its home. The home
// takes it, or passes it down the ranking. The taker of a displaced flow tells
// home and the second-ranked member: an immutable FlowRecord. A later packet
// for a flow that this agent neither carries nor has a record of makes it ask
// the other members of the service; it learns from the first that knows. Only
// when every one has said "unknown" is the flow reset to its caller.

#ifndef BILBERRY_ROUTING_FLOW_CONTROLLER_H
#define BILBERRY_ROUTING_FLOW_CONTROLLER_H

#include "bilberry/admission/upstream_limits.h"
#include "bilberry/board/agent_action.h"
#include "bilberry/board/local_member.h"
#include "bilberry/members/member_table.h"
#include "bilberry/targets/target_table.h"

#include <string>
#include <string_view>
#include <vector>

namespace bilberry::routing {

/// What `bilberryctl status` and the metrics tell of an agent's flows.
struct FlowCounts {
  uint64_t Carried = 0;
  uint64_t Opened = 0;
  uint64_t Refused = 0;
  uint64_t PassedOn = 0;
  uint64_t Reset = 0;
  uint64_t Closed = 0;
  uint64_t WrongService = 0;
  uint64_t WrongReceiver = 0;
  uint64_t Fenced = 0;
  uint64_t Records = 0;
};

/// Thread-safe: one mutex of rank Flows, under which it calls the limits. The
/// tables of targets and members are read before it is taken.
class FlowController {
public:
  /// All references must outlive the controller.
  FlowController(const board::LocalMember &Self,
                 const targets::TargetTable &Targets,
                 const members::MemberTable &Members,
                 admission::UpstreamLimits &Limits);

  /// A packet of a flow has come. Payload is the caller's whole datagram,
  /// Packet the same parsed.
  void onPacket(base::TimePoint Now, const wire::ForwardHeader &Header,
                std::string_view Payload, const wire::FlowPacket &Packet,
                board::AgentActions &Out);

  /// The upstream has said something of a flow.
  void onUpstreamEvent(base::TimePoint Now,
                       const wire::UpstreamFlowEvent &Event,
                       board::AgentActions &Out);

  /// The upstream was lost with all its flows: each is reset.
  void onUpstreamLost(base::TimePoint Now, board::AgentActions &Out);

  /// A message from another agent; others than flow messages are ignored.
  void onPeer(base::TimePoint Now, const wire::PeerMessage &Message,
              board::AgentActions &Out);

  /// Call several times a second: times out queries, ends flows that are
  /// longer than their class allows while draining, and fences the flows of
  /// a data centre that is out of service.
  void onTick(base::TimePoint Now, board::AgentActions &Out);

  FlowCounts counts() const;
  /// Flows carried now. 0 means that draining is done.
  size_t carried() const;

  /// All that the next run needs to go on, as bytes, and back. restore()
  /// leaves the controller unchanged on Malformed.
  std::string snapshot() const;
  base::Result<void> restore(base::TimePoint Now, std::string_view State);
};

} // namespace bilberry::routing

#endif
