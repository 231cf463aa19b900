// A balancer that relays callers' packets to agents. A plain object: typed
// events and a time point in, actions out.
//
// An opening packet goes to the chosen upstream's agent, and on to the next
// where that one returns it, until one takes it or none is left; then its
// caller is told at once by a reset. Any other packet goes to the agent that
// holds its flow: known from having placed it, from the agents' statuses, or
// by a search (HolderSearch). Where that agent is gone, the caller is told.

#ifndef BILBERRY_ROUTING_PACKET_ROUTER_H
#define BILBERRY_ROUTING_PACKET_ROUTER_H

#include "bilberry/admission/opening_queue.h"
#include "bilberry/members/agent_views.h"
#include "bilberry/packet/packet_actions.h"
#include "bilberry/routing/holder_search.h"
#include "bilberry/routing/upstream_choice.h"
#include "bilberry/targets/operator_board.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace bilberry::routing {

/// A balancer that has just started has heard of all living agents after this
/// time: those announced answer its greeting, and those that knew its earlier
/// run still tell it how they are.
inline constexpr base::Duration HearingTime = std::chrono::seconds(1);
/// Callers repeat an opening packet within this time.
inline constexpr base::Duration PlacementLife = std::chrono::milliseconds(1500);
/// How often an agent is greeted.
inline constexpr base::Duration HelloInterval = std::chrono::seconds(1);
/// How long a flow is remembered without a packet, where the routes don't say.
inline constexpr base::Duration DefaultFlowLife = std::chrono::seconds(60);
/// How long before a closing flow is forgotten.
inline constexpr base::Duration ClosingLife = std::chrono::seconds(4);
/// A balancer that has just started may not have heard of every agent; until
/// then it turns nobody away.
inline constexpr base::Duration WarmStart = std::chrono::seconds(4);
/// A service of which no upstream took new flows for this long is down: its
/// callers are turned away at once.
inline constexpr base::Duration ServiceOutage = std::chrono::milliseconds(2500);
/// Agents that an opening packet is offered to at most.
inline constexpr size_t MaxOffers = 6;

/// Who this balancer is.
struct BalancerIdentity {
  base::MemberName Name;
  base::Incarnation Run = 0;
  base::DataCentreName DataCentre;
  /// HTTP: where peers can fetch the operators' documents.
  base::Address Pages;
  /// Flows that the directory holds at most.
  size_t MaxFlows = 300000;
};

/// What the metrics tell.
struct PacketRouterCounts {
  uint64_t Placed = 0;
  uint64_t Forwarded = 0;
  uint64_t Returned = 0;
  uint64_t Refused = 0;
  uint64_t Held = 0;
  uint64_t GivenUp = 0;
  uint64_t NoRoute = 0;
  uint64_t Resets = 0;
  uint64_t Dropped = 0;
};

/// Not thread-safe: the process holds one lock around it.
class PacketRouter {
public:
  /// The board must outlive the router.
  PacketRouter(BalancerIdentity Self, base::TimePoint StartedAt,
               const targets::OperatorBoard &Board);

  /// A packet from a caller.
  void onCallerPacket(base::TimePoint Now, const packet::Packet &Packet,
                      packet::PacketActions &Out);
  /// A packet that an agent gave back.
  void onReturned(base::TimePoint Now, const base::Address &From,
                  const packet::Packet &Packet, packet::PacketActions &Out);
  /// A message from an agent; others are ignored.
  void onMessage(base::TimePoint Now, const base::Address &From,
                 const wire::RelayMessage &Message, packet::PacketActions &Out);
  /// The announcements in the store, as last read.
  void takeAnnounced(base::TimePoint Now,
                     const std::vector<members::Member> &Members);
  /// Call at the end of each batch and after each tick: asks for the flows
  /// that it missed, once in each QueryInterval.
  void flush(base::TimePoint Now, packet::PacketActions &Out) {
    this->Search.flush(Now, Out);
  }
  /// Call several times a second. StoreAnswers: whether the announcements are
  /// up to date.
  void onTick(base::TimePoint Now, bool StoreAnswers,
              packet::PacketActions &Out);

  /// True once it knows routes and has heard of an agent.
  bool isReady() const;
  const PacketRouterCounts &counts() const { return this->Counts; }
  const SearchCounts &searchCounts() const { return this->Search.counts(); }
  size_t flows() const { return this->Flows.size(); }
  const wire::NewsMark &newsHeard() const { return this->NewsHeard; }

private:
  struct KnownFlow {
    members::AgentIndex Holder = members::NoAgent;
    /// The agent itself has said that it holds the flow.
    bool IsConfirmed = false;
    /// No packet but the opening one has been seen.
    bool IsOpening = false;
    bool IsClosing = false;
    base::TimePoint LastPacket;
    base::TimePoint PlacedAt;
  };
  struct Placement {
    TriedAgents Tried;
    base::TimePoint StartedAt;
  };

  void onOpening(base::TimePoint Now, const packet::Packet &Packet,
                 packet::PacketActions &Out);
  void place(base::TimePoint Now, const packet::Packet &Packet,
             packet::PacketActions &Out);
  bool tryPlace(base::TimePoint Now, const packet::FlowId &Id,
                std::span<char> Bytes, const targets::Route &Route,
                packet::PacketActions &Out);
  bool mayWait(base::TimePoint Now, const targets::Route &Route) const;
  void hold(base::TimePoint Now, const packet::Packet &Packet,
            const targets::Route *Route, packet::PacketActions &Out);
  void offerHeld(base::TimePoint Now, packet::PacketActions &Out);
  void refuse(const packet::Packet &Packet, std::string_view Reason,
              packet::PacketActions &Out);
  void forward(base::TimePoint Now, const packet::Packet &Packet,
               KnownFlow &Flow, packet::PacketActions &Out);
  void search(base::TimePoint Now, const packet::Packet &Packet,
              packet::PacketActions &Out);
  SearchContext searchContext(base::TimePoint Now) const;
  void rememberLocated(base::TimePoint Now);
  void onStatus(base::TimePoint Now, const base::Address &From,
                const wire::AgentStatus &Status, packet::PacketActions &Out);
  void recall(const base::Address &To, members::AgentIndex Index,
              packet::PacketActions &Out);
  void expireFlows(base::TimePoint Now);
  packet::HopMark mark(packet::HopTag Tag) const;
  uint64_t routeVersion() const;
  void remember(base::TimePoint Now, const packet::FlowId &Id,
                members::AgentIndex Holder, bool IsConfirmed);

  BalancerIdentity Self;
  base::TimePoint StartedAt;
  const targets::OperatorBoard &Board;
  std::shared_ptr<const targets::OperatorState> Operators;
  members::AgentViews Agents;
  std::unordered_map<packet::FlowId, KnownFlow> Flows;
  std::unordered_map<packet::FlowId, Placement> Placements;
  HolderSearch Search;
  admission::OpeningQueue Queue;
  // When an upstream of each service was last open to new flows.
  std::map<base::ServiceName, base::TimePoint> ServedAt;
  // The announcements were read at least once.
  bool HasMembers = false;
  base::TimePoint NextExpiry;
  wire::NewsMark NewsHeard;
  PacketRouterCounts Counts;
};

} // namespace bilberry::routing

#endif
