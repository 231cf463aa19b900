// The flow table and flow placement of one agent: the flows that it carries,
// the flows that it has passed on, and the search for the holder of an unknown
// flow.
//
// The home of a new flow is the first member in placement order. The home
// accepts the flow or passes it down the ranking. If another member accepts it
// (a displaced flow), that member sends an immutable FlowRecord to the home and
// to the first two members in lookup order. On a later packet of a flow that
// this agent neither carries nor has a record of, it queries the other members
// of the service and uses the first positive reply. The flow is reset at its
// caller only after every member has replied "unknown".
//
// Invariant: a flow has at most one holder. Duplicates of an opening packet may
// arrive through several balancers with different views. While all of them
// reach the home, the home decides alone. In three cases they may not, and the
// agent claims the flow before carrying it:
//
// - it isn't the home, and the packet came directly from a balancer;
// - its view of the members has changed within OpenSettleTime, so that
//   duplicates may have been sent, or may still be sent, to another home;
// - the packet has been passed on so often that stale records may form a loop.
//
// A claim consists of a FlowRecordPut that names the claimant, followed by a
// FlowQuery, to every member. This is the mutual exclusion algorithm of Ricart
// and Agrawala (1981): a member that replies that it doesn't carry the flow has
// stored the record, and forwards later duplicates to the claimant. Each member
// is authoritative only for itself: its record of another member counts only if
// that member doesn't reply. Links preserve order, so of two concurrent
// claimants each learns of the other before it has all replies, and the
// higher-ranked one carries the flow. A claim costs one round trip for the
// opening packets of these cases, and nothing for all others. Two alternatives
// were rejected: a query without the record (two concurrent queries are both
// answered "unknown"), and passing the packet to the home (it is lost if the
// home is dead but its lease hasn't expired).
//
// Members with an expired lease aren't waited for, and members that don't reply
// within QueryTimeout are ignored, because a dead member must not block new
// flows. If such a member was only paused and already carries the flow, the
// caller's opening packet has reached two upstreams; only the flow at the one
// that answers continues.

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

/// Maximum number of times that agents may pass on one packet.
inline constexpr uint8_t MaxHops = 8;
/// After this many hops a packet may be in a loop of stale records: the agent
/// queries the other members instead of using its own record.
inline constexpr uint8_t MaxFollowedHops = 3;
/// How long the upstream may take to respond to an opening packet.
inline constexpr base::Duration OpenTimeout = std::chrono::seconds(5);
/// How long after a membership change an agent claims even the new flows of
/// which it is the home. Longer than OpenTimeout, because duplicates of an
/// opening packet arrive until it is answered.
inline constexpr base::Duration OpenSettleTime = std::chrono::seconds(6);
/// A flow without a packet in either direction for this long, or for its
/// class's longest flow duration if that is shorter, is reset.
inline constexpr base::Duration IdleTimeout = std::chrono::minutes(5);

/// Flow counters of an agent, shown by `bilberryctl status` and exported as
/// metrics.
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

/// Thread-safe: one mutex of rank Flows, held during calls to the limits. The
/// tables of targets and members are read before it is locked.
class FlowController {
public:
  /// All references must outlive the controller.
  FlowController(const board::LocalMember &Self,
                 const targets::TargetTable &Targets,
                 const members::MemberTable &Members,
                 admission::UpstreamLimits &Limits);

  /// Handles a packet of a flow. Payload is the caller's complete datagram, and
  /// Packet its parsed form.
  void onPacket(base::TimePoint Now, const wire::ForwardHeader &Header,
                std::string_view Payload, const wire::FlowPacket &Packet,
                board::AgentActions &Out);

  /// Handles a flow event from the upstream.
  void onUpstreamEvent(base::TimePoint Now,
                       const wire::UpstreamFlowEvent &Event,
                       board::AgentActions &Out);

  /// Resets all flows after the loss of the upstream. Call it after
  /// UpstreamLimits::onUpstreamRestart, which releases all connections.
  void onUpstreamLost(base::TimePoint Now, board::AgentActions &Out);

  /// Handles a message from another agent. Ignores all but flow messages.
  void onPeer(base::TimePoint Now, const wire::PeerMessage &Message,
              board::AgentActions &Out);

  /// Call several times a second. Times out queries, resets unanswered and idle
  /// flows and, while draining, flows longer than their class allows, and
  /// fences the flows of a data centre that is out of service.
  void onTick(base::TimePoint Now, board::AgentActions &Out);

  /// Returns a consistent copy of the counters.
  FlowCounts counts() const;
  /// Number of flows carried now. Draining is complete when it is 0.
  size_t carriedFlowCount() const;

  /// Serialize and restore the state that must survive a restart. Call
  /// restore() before the first packet or message. On Malformed it leaves the
  /// controller unchanged.
  std::string snapshot() const;
  base::Result<void> restore(base::TimePoint Now, std::string_view State);

private:
  // The inputs of one call of a public function: the tables, read before the
  // mutex is locked.
  struct CallContext {
    base::TimePoint Now;
    members::Member Self;
    std::shared_ptr<const targets::Targets> Document;
    std::shared_ptr<const members::ServiceView> View;
    board::AgentActions &Out;

    bool isFenced() const;
    bool takesNewFlows() const;
    const members::Member *homeMember(const base::FlowKey &Key) const;
    std::vector<base::MemberName> otherMembers() const;
    // Whether the named member ranks before this agent for the key.
    bool outranksSelf(const base::MemberName &Name,
                      const base::FlowKey &Key) const;
  };
  // A caller's packet with its flow key. References are valid for one call.
  struct ReceivedPacket {
    base::FlowKey Key;
    const wire::ForwardHeader &Header;
    std::string_view Payload;
    const wire::FlowPacket &Packet;
  };

  CallContext makeContext(base::TimePoint Now, board::AgentActions &Out) const;

  // Precondition for all functions below: Mutex is held.

  // flow_controller.cc: packets of known flows, and the end of flows.
  bool isForThisAgent(const CallContext &Ctx, const ReceivedPacket &Packet);
  void handlePacket(const CallContext &Ctx, const ReceivedPacket &Packet);
  void deliver(const CallContext &Ctx, const ReceivedPacket &Packet,
               CarriedFlow &Flow);
  bool answerEndedFlow(const CallContext &Ctx, const ReceivedPacket &Packet);
  bool forwardToKnownHolder(const CallContext &Ctx,
                            const ReceivedPacket &Packet);
  void sendToHolder(const CallContext &Ctx, const ReceivedPacket &Packet,
                    const members::Member &Holder);
  void forward(const CallContext &Ctx, const ReceivedPacket &Packet,
               const members::Member &To);
  void sendHolderHint(const CallContext &Ctx, const ReceivedPacket &Packet,
                      const base::MemberName &Holder);
  void markOpened(const CallContext &Ctx, CarriedFlow &Flow);
  void endFlow(const CallContext &Ctx, const base::FlowKey &Key,
               wire::FlowEvent Event, const std::string &Reason);
  void abortFlow(const CallContext &Ctx, const base::FlowKey &Key,
                 const std::string &Reason);
  void settleConnection(const CallContext &Ctx, const CarriedFlow &Flow,
                        admission::Completion Outcome);
  void flushRecordDrops(const CallContext &Ctx);
  void endOverdueFlows(const CallContext &Ctx);

  // flow_opening.cc: placement of new flows.
  void trackViewChange(const CallContext &Ctx);
  bool needsClaim(const CallContext &Ctx, const ReceivedPacket &Packet) const;
  void placeNewFlow(const CallContext &Ctx, const ReceivedPacket &Packet);
  void acceptFlow(const CallContext &Ctx, const ReceivedPacket &Packet,
                  bool IsClaimed);
  void sendFlowRecords(const CallContext &Ctx, const base::FlowKey &Key);
  const members::Member *nextInRanking(const CallContext &Ctx,
                                       const ReceivedPacket &Packet) const;
  void passOn(const CallContext &Ctx, const ReceivedPacket &Packet,
              const std::string &Reason);
  void refuse(const CallContext &Ctx, const ReceivedPacket &Packet,
              const std::string &Reason);
  void onShed(const CallContext &Ctx, const base::FlowKey &Key);

  // flow_query.cc: queries to and from the other members.
  void startSearch(const CallContext &Ctx, const ReceivedPacket &Packet,
                   bool IsClaim);
  void sendQueries(const CallContext &Ctx, const base::FlowKey &Key,
                   FlowSearch &Search);
  void onRecord(const CallContext &Ctx, const base::MemberName &Sender,
                const wire::FlowRecord &Record);
  void onQuery(const CallContext &Ctx, const base::MemberName &Sender,
               const base::FlowKey &Key);
  void onQueryReply(const CallContext &Ctx, const base::MemberName &Sender,
                    const wire::FlowQueryReply &Reply);
  void finishSearch(const CallContext &Ctx, const base::FlowKey &Key);
  void finishClaim(const CallContext &Ctx, const base::FlowKey &Key);
  void finishHolderSearch(const CallContext &Ctx, const base::FlowKey &Key);
  bool mayBeHeldByUnqueriedMember(const CallContext &Ctx) const;
  void resetUnknownFlow(const CallContext &Ctx, const ReceivedPacket &Packet);
  void onHolderFound(const CallContext &Ctx, const base::FlowKey &Key,
                     const base::MemberName &Holder);
  template <typename Handler>
  void forEachQueuedPacket(const base::FlowKey &Key,
                           const std::vector<StoredPacket> &QueuedPackets,
                           Handler Handle);
  void expireSearches(const CallContext &Ctx);

  const board::LocalMember &Self;
  const targets::TargetTable &Targets;
  const members::MemberTable &Members;
  admission::UpstreamLimits &Limits;

  mutable base::RankedMutex Mutex{base::LockRank::Flows};
  FlowTable Flows;
  FlowSearches Searches;
  FlowCounts Counts;
  // Flows that have ended or were not accepted; the other members are to be
  // told to drop their records of them.
  std::vector<base::FlowKey> PendingRecordDrops;
  std::shared_ptr<const members::ServiceView> LastView;
  base::TimePoint ViewChangedAt;
};

} // namespace bilberry::routing

#endif
