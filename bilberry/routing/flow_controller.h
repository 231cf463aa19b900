// The flows of one agent: which it carries, which it has passed on, and how a
// flow is found that it knows nothing of.
//
// A new flow goes to the first of the placement order, its home. The home
// takes it, or passes it down the ranking. The taker of a displaced flow tells
// home and the first two of the lookup order: an immutable FlowRecord. A later
// packet for a flow that this agent neither carries nor has a record of makes
// it ask the other members of the service; it learns from the first that
// knows. Only when every one has said "unknown" is the flow reset to its
// caller.
//
// One flow, one holder. Copies of an opening packet come by several balancers,
// whose views differ. As long as all of them reach the home, the home decides
// alone. Three cases break that, and in each the agent claims the flow before
// it carries it:
//
// - it isn't the home, and the packet came straight from a balancer;
// - its view of the members has changed within OpenSettleTime, so that copies
//   may have gone to another home, or still do;
// - the packet has been passed on so often that old records may form a circle.
//
// A claim is a FlowRecordPut that names the claimant, then a FlowQuery, to
// every member. This is mutual exclusion by Ricart and Agrawala (1981): a
// member that answers that it doesn't carry the flow has kept the record, and
// sends later copies to the claimant. Each member speaks only for itself: what
// it has recorded of another counts only if that one stays silent. Links keep
// their order, so of two that claim at once each learns of the other before its
// own answers are complete, and the better ranked one carries the flow. Cost:
// one round trip for the opening packets of these cases, none for all others.
// Ruled out: a query without the record (two that ask at once are both told
// "unknown"), and passing the packet to the home (lost while the home is dead
// and its lease still holds).
//
// A member whose lease has expired isn't waited for, and one that doesn't
// answer within QueryTimeout is overruled: a dead member must not stop new
// flows. If it was only paused and carries the flow already, the caller's open
// packet reached two upstreams; only the one that answers goes on.

#ifndef BILBERRY_ROUTING_FLOW_CONTROLLER_H
#define BILBERRY_ROUTING_FLOW_CONTROLLER_H

#include "bilberry/admission/upstream_limits.h"
#include "bilberry/board/agent_action.h"
#include "bilberry/board/local_member.h"
#include "bilberry/members/member_table.h"
#include "bilberry/routing/flow_search.h"
#include "bilberry/routing/flow_table.h"
#include "bilberry/targets/target_table.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::routing {

/// How often agents may pass one packet on.
inline constexpr uint8_t MaxHops = 8;
/// A packet that has been passed on this often may be going in a circle of old
/// records: the agent asks the others instead of following its own.
inline constexpr uint8_t MaxFollowedHops = 3;
/// How long the upstream may take to answer an opening packet.
inline constexpr base::Duration OpenTimeout = std::chrono::seconds(5);
/// How long after a change of the members an agent still claims the new flows
/// of which it is the home. Longer than OpenTimeout, since copies of an
/// opening packet come until it is answered.
inline constexpr base::Duration OpenSettleTime = std::chrono::seconds(6);
/// A flow without a packet either way for this long, or for its class's
/// longest flow if that is shorter, is given up.
inline constexpr base::Duration IdleTimeout = std::chrono::minutes(5);

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

  /// The upstream was lost with all its flows: each is reset. Call it after
  /// UpstreamLimits::onUpstreamRestart, which gives all connections back.
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

  /// All that the next run needs to go on, as bytes, and back. Call restore()
  /// before the first packet or message. It leaves the controller unchanged on
  /// Malformed.
  std::string snapshot() const;
  base::Result<void> restore(base::TimePoint Now, std::string_view State);

private:
  // What one call works on: the tables, read before the mutex is taken.
  struct Context {
    base::TimePoint Now;
    members::Member Self;
    std::shared_ptr<const targets::Targets> Document;
    std::shared_ptr<const members::ServiceView> View;
    board::AgentActions &Out;

    bool isFenced() const;
    bool takesNewFlows() const;
    const members::Member *home(const base::FlowKey &Key) const;
    std::vector<base::MemberName> others() const;
    // Whether a member other than ourselves ranks before us.
    bool outranksUs(const base::MemberName &Name,
                    const base::FlowKey &Key) const;
  };
  // A caller's packet with its flow.
  struct Arrival {
    base::FlowKey Key;
    const wire::ForwardHeader &Header;
    std::string_view Payload;
    const wire::FlowPacket &Packet;
  };

  Context contextOf(base::TimePoint Now, board::AgentActions &Out) const;

  // Everything below has the precondition that Mutex is held.

  // flow_controller.cc: packets of known flows, and how flows end.
  bool isForUs(const Context &Call, const Arrival &Packet);
  void onArrival(const Context &Call, const Arrival &Packet);
  void deliver(const Context &Call, const Arrival &Packet, CarriedFlow &Flow);
  bool answerEnded(const Context &Call, const Arrival &Packet);
  bool followHolder(const Context &Call, const Arrival &Packet);
  void sendToHolder(const Context &Call, const Arrival &Packet,
                    const members::Member &Holder);
  void forward(const Context &Call, const Arrival &Packet,
               const members::Member &To);
  void hintHolder(const Context &Call, const Arrival &Packet,
                  const base::MemberName &Holder);
  void onOpened(const Context &Call, CarriedFlow &Flow);
  void endFlow(const Context &Call, const base::FlowKey &Key,
               wire::FlowEvent Event, const std::string &Reason);
  void giveUp(const Context &Call, const base::FlowKey &Key,
              const std::string &Reason);
  void giveBackConnection(const Context &Call, const CarriedFlow &Flow,
                          admission::Completion How);
  void flushDrops(const Context &Call);
  void endOverdue(const Context &Call);

  // flow_opening.cc: where a new flow goes.
  void noteView(const Context &Call);
  bool needsClaim(const Context &Call, const Arrival &Packet) const;
  void open(const Context &Call, const Arrival &Packet);
  void carry(const Context &Call, const Arrival &Packet, bool IsClaimed);
  void tellRecordKeepers(const Context &Call, const base::FlowKey &Key);
  const members::Member *nextInRanking(const Context &Call,
                                       const Arrival &Packet) const;
  void passOn(const Context &Call, const Arrival &Packet,
              const std::string &Reason);
  void refuse(const Context &Call, const Arrival &Packet,
              const std::string &Reason);
  void onShed(const Context &Call, const base::FlowKey &Key);

  // flow_asking.cc: asking the other members.
  void ask(const Context &Call, const Arrival &Packet, bool IsClaim);
  void sendQueries(const Context &Call, const base::FlowKey &Key,
                   FlowSearch &Search);
  void onRecord(const Context &Call, const base::MemberName &Sender,
                const wire::FlowRecord &Record);
  void onQuery(const Context &Call, const base::MemberName &Sender,
               const base::FlowKey &Key);
  void onAnswer(const Context &Call, const base::MemberName &Sender,
                const wire::FlowQueryReply &Reply);
  void conclude(const Context &Call, const base::FlowKey &Key);
  void concludeClaim(const Context &Call, const base::FlowKey &Key);
  void concludeQuery(const Context &Call, const base::FlowKey &Key);
  bool mayEndElsewhere(const Context &Call) const;
  void resetUnknown(const Context &Call, const Arrival &Packet);
  void found(const Context &Call, const base::FlowKey &Key,
             const base::MemberName &Holder);
  template <typename Handler>
  void forEachParked(const base::FlowKey &Key,
                     const std::vector<KeptPacket> &Parked, Handler Handle);
  void endSilentSearches(const Context &Call);

  const board::LocalMember &Self;
  const targets::TargetTable &Targets;
  const members::MemberTable &Members;
  admission::UpstreamLimits &Limits;

  mutable base::RankedMutex Mutex{base::LockRank::Flows};
  FlowTable Flows;
  FlowSearches Searches;
  FlowCounts Counts;
  // Flows that have ended, whose records the others may drop.
  std::vector<base::FlowKey> Drops;
  std::shared_ptr<const members::ServiceView> LastView;
  base::TimePoint ViewChangedAt;
};

} // namespace bilberry::routing

#endif
