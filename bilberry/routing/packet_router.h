// The routing logic of a balancer that relays callers' packets to agents. The
// class does no I/O: its inputs are typed events and a time point, its output
// is actions.
//
// An opening packet is sent to the agent of the selected upstream. If that
// agent returns it, the next one is tried, until one accepts it or none is
// left; then the caller is sent a reset immediately. Any other packet is sent
// to the agent that holds its flow. That agent is assumed from the placement,
// and known from the agents' statuses and replies or from a search
// (HolderSearch). If a known holder is gone, the caller is sent a reset; if an
// assumed one is silent or gone, the flow is searched for (known_flow.h).

#ifndef BILBERRY_ROUTING_PACKET_ROUTER_H
#define BILBERRY_ROUTING_PACKET_ROUTER_H

#include "bilberry/admission/new_flow_queue.h"
#include "bilberry/admission/overload_options.h"
#include "bilberry/admission/queue_forecast.h"
#include "bilberry/members/agent_views.h"
#include "bilberry/packet/packet_actions.h"
#include "bilberry/routing/holder_search.h"
#include "bilberry/routing/known_flow.h"
#include "bilberry/routing/peer_balancers.h"
#include "bilberry/routing/placement_options.h"
#include "bilberry/routing/upstream_choice.h"
#include "bilberry/routing/upstream_health.h"
#include "bilberry/targets/operator_state_cache.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace bilberry::routing {

/// How long after its start or a pause a balancer has received the status of
/// every running agent: announced agents reply to its hello, and agents that
/// knew its previous run still send it their status.
inline constexpr base::Duration AgentDiscoveryTime = std::chrono::seconds(1);
/// A longer time between two ticks means that the process was paused. What it
/// reads first after that may be old.
inline constexpr base::Duration RouterPauseThreshold =
    std::chrono::milliseconds(500);
/// Interval between hello messages to an agent of the same data centre, or to
/// one that is silent.
inline constexpr base::Duration HelloInterval = std::chrono::seconds(1);
/// The same for an agent of another data centre whose statuses arrive, and for
/// one that has long been silent.
inline constexpr base::Duration FarHelloInterval = std::chrono::seconds(10);
/// How long a silent agent is asked for a status each HelloInterval: as long as
/// its announcement may outlive it. Some of the messages may be lost.
inline constexpr base::Duration StatusRequestLifetime =
    std::chrono::seconds(30);
/// An agent without a status for this long is asked for one.
inline constexpr base::Duration StatusRequestDelay =
    std::chrono::milliseconds(1700);
/// How long a flow without packets is retained if the routes don't set an idle
/// timeout.
inline constexpr base::Duration DefaultFlowLifetime = std::chrono::seconds(60);
/// How long a closing or opening flow without packets is retained.
inline constexpr base::Duration ClosingFlowLifetime = std::chrono::seconds(4);
/// How long after its start a balancer queues flows instead of refusing them,
/// because it may not have received the status of every agent yet.
inline constexpr base::Duration StartupGracePeriod = std::chrono::seconds(4);
/// A service of which no upstream has accepted new flows for this long is
/// considered down: its new flows are refused immediately.
inline constexpr base::Duration ServiceOutage = std::chrono::milliseconds(2500);
/// Maximum number of agents to which an opening packet is sent.
inline constexpr size_t MaxPlacementAttempts = 6;

/// A balancer that has received no message for this long may be cut off: its
/// agents are not taken to be gone. Agents of its data centre send four
/// statuses a second.
inline constexpr base::Duration IsolationTimeout = members::MaxStatusAge;

/// Identity and limits of this balancer.
struct BalancerIdentity {
  base::MemberName Name;
  base::Incarnation Run = 0;
  base::DataCentreName DataCentre;
  /// HTTP address from which peers can fetch the operators' documents.
  base::Address Pages;
  /// UDP address for messages from agents and other balancers.
  base::Address Control;
  /// Maximum number of flows in the flow table.
  size_t MaxFlows = 300000;
  PlacementOptions Placement = {};
  admission::OverloadOptions Overload = {};
};

/// Counters exported as metrics.
struct PacketRouterCounts {
  uint64_t PlacedNear = 0;
  uint64_t PlacedElsewhere = 0;
  uint64_t Forwarded = 0;
  uint64_t Returned = 0;
  uint64_t Refused = 0;
  uint64_t RefusedEarly = 0;
  uint64_t Held = 0;
  uint64_t GivenUp = 0;
  uint64_t NoRoute = 0;
  uint64_t Resets = 0;
  uint64_t Dropped = 0;
  /// Queries to agents that were overdue to report a flow.
  uint64_t HoldersAsked = 0;
  /// Searches for flows whose assumed holder was silent or gone.
  uint64_t HoldersInDoubt = 0;
};

/// Not thread-safe: the process calls it under one lock.
class PacketRouter {
public:
  /// StateCache must outlive the router.
  PacketRouter(BalancerIdentity Self, base::TimePoint StartedAt,
               const targets::OperatorStateCache &StateCache);

  /// Handles a packet from a caller.
  void onCallerPacket(base::TimePoint Now, const packet::Packet &Packet,
                      packet::PacketActions &Out);
  /// Handles a packet that an agent has returned.
  void onReturned(base::TimePoint Now, const base::Address &From,
                  const packet::Packet &Packet, packet::PacketActions &Out);
  /// Handles a message from an agent or another balancer. Ignores all other
  /// messages.
  void onMessage(base::TimePoint Now, const base::Address &From,
                 const wire::RelayMessage &Message, packet::PacketActions &Out);
  /// Applies the agent announcements last read from the store. They must be up
  /// to date if the next onTick() says that the store's view is current.
  void applyAnnouncements(base::TimePoint Now,
                          const std::vector<members::Member> &Members);
  /// Sends batched holder queries, at most once per HolderQueryInterval unless
  /// a batch is full. Call at the end of each batch and after each tick.
  void flush(base::TimePoint Now, packet::PacketActions &Out) {
    this->Search.flush(Now, Out);
  }
  /// Handles timeouts. Call several times a second. IsStoreCurrent is true if
  /// this balancer follows the store, and the announcements and the documents
  /// last read are up to date.
  void onTick(base::TimePoint Now, bool IsStoreCurrent,
              packet::PacketActions &Out);

  /// True if this balancer must follow the store itself.
  bool mustFollowStore(base::TimePoint Now) const {
    return this->Peers.mustFollowStore(Now);
  }
  /// Returns true once it has routes and the status of at least one agent.
  bool isReady() const;
  const PacketRouterCounts &counts() const { return this->Counts; }
  const SearchCounts &searchCounts() const { return this->Search.counts(); }
  /// Number of upstreams that are much slower than others of their service.
  size_t slowUpstreams() const { return this->Health.slowUpstreams(); }
  const ListExchangeCounts &listCounts() const {
    return this->Peers.lists().counts();
  }
  /// The digest of the list of agents (members::AgentList).
  uint64_t agentListDigest() const { return this->Peers.lists().digest(); }
  /// True if the list of agents is known to be whole.
  bool isListConfirmed(base::TimePoint Now) const {
    return this->Peers.lists().confirmedAt(Now).has_value();
  }
  /// Number of opening packets in the queue.
  size_t queuedOpenings() const { return this->Queue.size(); }
  /// Number of flows in the flow table.
  size_t flows() const { return this->Flows.size(); }
  /// The number of new flows per second that the agents admit, from all
  /// balancers, as far as they report it.
  double arrivalsPerSecond() const;
  /// The newest version of the documents that another process has reported.
  const wire::DocumentsVersion &newsHeard() const { return this->NewsHeard; }

private:
  /// The placement state of a flow that an agent returned or that was queued.
  struct Placement {
    TriedAgents Tried;
    base::TimePoint StartedAt;
  };

  struct HelloPlan {
    base::Duration Interval;
    bool AsksForStatus = false;
  };

  void onOpening(base::TimePoint Now, const packet::Packet &Packet,
                 packet::PacketActions &Out);
  void placeFlow(base::TimePoint Now, const packet::Packet &Packet,
                 packet::PacketActions &Out);
  bool placeCopy(base::TimePoint Now, const packet::Packet &Packet,
                 packet::PacketActions &Out);
  bool tryPlace(base::TimePoint Now, const packet::FlowId &Id,
                std::span<char> Bytes, const targets::Route &Route,
                packet::PacketActions &Out);
  bool mayQueue(base::TimePoint Now, const targets::Route &Route) const;
  void queueOpening(base::TimePoint Now, const packet::Packet &Packet,
                    const targets::Route *Route, packet::PacketActions &Out);
  void placeQueuedOpenings(base::TimePoint Now, packet::PacketActions &Out);
  void refuse(const packet::Packet &Packet, std::string_view Reason,
              packet::PacketActions &Out);
  admission::ServiceCapacity capacityOf(base::TimePoint Now,
                                        const base::ServiceName &Service) const;
  void refuseQueuedOpenings(base::TimePoint Now, packet::PacketActions &Out);
  void forward(base::TimePoint Now, const packet::Packet &Packet,
               KnownFlow &Flow, packet::PacketActions &Out);
  void askHolder(base::TimePoint Now, const packet::FlowId &Id, KnownFlow &Flow,
                 packet::PacketActions &Out);
  void searchDoubtfulFlow(base::TimePoint Now, const packet::Packet &Packet,
                          members::AgentIndex AssumedHolder,
                          packet::PacketActions &Out);
  void onHolderAnswer(base::TimePoint Now, const wire::HolderAnswer &Answer);
  void search(base::TimePoint Now, const packet::Packet &Packet,
              packet::PacketActions &Out);
  bool mayGoneHolderServe(base::TimePoint Now, const KnownFlow &Flow) const;
  SearchContext searchContext(base::TimePoint Now) const;
  void recordLocatedFlows(base::TimePoint Now);
  void onStatus(base::TimePoint Now, const base::Address &From,
                const wire::AgentStatus &Status, packet::PacketActions &Out);
  void onPassedStatuses(base::TimePoint Now, const base::Address &From,
                        const wire::PassedStatuses &Message,
                        packet::PacketActions &Out);
  void onStatusApplied(base::TimePoint Now, members::AgentIndex Index,
                       bool IsNewRun, bool IsNewlyHeard,
                       packet::PacketActions &Out);
  static HelloPlan helloPlan(base::TimePoint Now,
                             const members::AgentView &View);
  void sendHellos(base::TimePoint Now, bool IsStoreCurrent,
                  packet::PacketActions &Out);
  wire::DocumentsVersion documentsVersion() const {
    return {this->Operators->Changed, this->Self.Pages, this->Operators->Era};
  }
  void recordNews(const wire::DocumentsVersion &Version);
  void sendRecalledFlows(const base::Address &To, members::AgentIndex Index,
                         packet::PacketActions &Out);
  base::Duration flowLifetime() const;
  void expireFlows(base::TimePoint Now);
  void sendToAgent(members::AgentIndex Index, std::span<char> Bytes,
                   packet::HopTag Tag, packet::PacketActions &Out) const;
  uint64_t routeVersion() const;
  void recordFlow(base::TimePoint Now, const packet::FlowId &Id,
                  members::AgentIndex Holder, bool IsConfirmed);

  BalancerIdentity Self;
  base::TimePoint StartedAt;
  const targets::OperatorStateCache &StateCache;
  std::shared_ptr<const targets::OperatorState> Operators;
  members::AgentViews Agents;
  std::unordered_map<packet::FlowId, KnownFlow> Flows;
  std::unordered_map<packet::FlowId, Placement> Placements;
  HolderSearch Search;
  PeerBalancers Peers;
  UpstreamHealth Health;
  admission::NewFlowQueue Queue;
  // When an upstream of each service last accepted new flows.
  std::map<base::ServiceName, base::TimePoint> LastServedAt;
  // The announcements have been read at least once.
  bool HasMembers = false;
  base::TimePoint AnnouncementsAppliedAt;
  base::TimePoint LastTickAt;
  // Until then the list of agents may not be whole.
  base::TimePoint DiscoveryEndsAt;
  // When a message of any other process was last received.
  base::TimePoint LastMessageAt;
  base::TimePoint NextExpiry;
  wire::DocumentsVersion NewsHeard;
  // The version of the documents in the last hellos.
  wire::DocumentsVersion AnnouncedDocuments;
  PacketRouterCounts Counts;
};

} // namespace bilberry::routing

#endif
