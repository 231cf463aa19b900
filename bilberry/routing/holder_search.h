// Finds the agent that holds a flow unknown to this balancer. The class does no
// I/O: its inputs are typed events and a time point, its output is actions.
//
// All agents are queried while the flow's packets are queued. If an agent was
// restarted while its upstream kept running, no agent may know the flow. Then a
// packet of the flow is sent as a probe to one upstream after another, without
// delay, because a flow whose packets are misrouted for seconds counts as a
// failure. Each agent remembers which flows its upstream has returned, so no
// upstream is probed twice for a flow. While an agent that may be the holder
// hasn't replied, at most two upstreams are probed. An upstream that is silent
// shows nothing: the others are probed, and it is probed again when the caller
// retransmits its packet.
//
// A flow is reset only after every agent that isn't gone has reported twice,
// UnknownConfirmationDelay apart, that it doesn't hold the flow, and only if
// the list of agents was whole after the search began (AgentListExchange).
// Otherwise its packets are dropped, and the next one is searched for again. A
// missing reply costs the caller a retransmission; a wrong reset costs the
// flow. If an agent is heard for the first time, or again, during a round,
// another round follows. An agent that is gone but may still have a serving
// upstream (AgentViews::mayStillServe) counts as one that hasn't replied.
//
// Designed for the load after a complete power failure: each packet of an
// existing flow starts a search at every balancer while some agents are not yet
// back. Queries are therefore batched, only agents that haven't replied are
// queried again, and agents that hold no flows aren't queried.

#ifndef BILBERRY_ROUTING_HOLDER_SEARCH_H
#define BILBERRY_ROUTING_HOLDER_SEARCH_H

#include "bilberry/members/agent_views.h"
#include "bilberry/packet/packet_actions.h"
#include "bilberry/targets/operator_state_cache.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberry::routing {

/// How long to wait for replies: the round trip between data centres plus the
/// delay of a busy agent.
inline constexpr base::Duration HolderAnswerTimeout =
    std::chrono::milliseconds(150);
/// Interval for batching queries. After a complete outage every flow is
/// unknown, and each query goes to every agent.
inline constexpr base::Duration HolderQueryInterval =
    std::chrono::milliseconds(20);
/// Maximum number of packets queued for one flow.
inline constexpr size_t MaxQueuedPacketsPerFlow = 6;
/// Maximum size in bytes of all queued packets.
inline constexpr size_t MaxTotalQueuedBytes = size_t{2} << 20U;
/// Maximum number of failed probes for one flow while an agent hasn't replied.
/// A third misdelivered packet is not acceptable.
inline constexpr uint32_t MaxProbesWithSilentAgent = 2;
/// Minimum time between the two rounds that must both find no holder before the
/// flow is reset. Callers retransmit a packet after 200 ms.
inline constexpr base::Duration UnknownConfirmationDelay =
    std::chrono::milliseconds(150);
/// How long after a round the confirmation that the list of agents was whole
/// may still come. After that, another round is needed.
inline constexpr base::Duration ListConfirmationTimeout =
    std::chrono::seconds(1);
/// How long a search is retained after its last packet.
inline constexpr base::Duration SearchLifetime = std::chrono::seconds(4);

/// The inputs of one call. The reference is valid for one call.
struct SearchContext {
  base::TimePoint Now;
  const targets::OperatorState &Operators;
  /// The latest time at which the list of agents was whole, if that is known.
  std::optional<base::TimePoint> ListConfirmedAt;
  /// How long a flow without packets may still be open.
  base::Duration FlowLifetime = std::chrono::seconds(60);
};

/// The agent to which a flow's packets are sent from now on.
struct LocatedFlow {
  packet::FlowId Id;
  members::AgentIndex Holder = members::NoAgent;
  /// The agent has confirmed that it holds the flow; otherwise the next
  /// packets are probes.
  bool IsConfirmed = false;
};

/// Counters exported as metrics. Unknown counts rounds that found no holder
/// and no upstream to probe, whether the flow was then reset or left
/// undecided.
struct SearchCounts {
  uint64_t Searches = 0;
  uint64_t Found = 0;
  uint64_t Unknown = 0;
  uint64_t Probes = 0;
  uint64_t Resets = 0;
  uint64_t Dropped = 0;
  /// Rounds after which the flow wasn't reset only because the list of agents
  /// wasn't known to be whole.
  uint64_t Unconfirmed = 0;
};

/// All searches of one balancer. Not thread-safe.
class HolderSearch {
public:
  /// Agents must outlive the search.
  HolderSearch(const members::AgentViews &Agents,
               base::DataCentreName DataCentre)
      : Agents(Agents), DataCentre(std::move(DataCentre)) {}

  /// Handles a packet of a flow whose holder is unknown.
  void onUnknownFlowPacket(const SearchContext &Ctx,
                           const packet::Packet &Packet,
                           packet::PacketActions &Out);
  /// Handles a packet that an agent has returned after a probe, with Reason:
  /// probes another upstream, or searches again.
  void onProbeReturned(const SearchContext &Ctx, const packet::Packet &Packet,
                       const base::Address &From, packet::PacketActions &Out);
  /// Handles a HolderAnswer, an agent's reply to a query.
  void onAnswer(const SearchContext &Ctx, const wire::HolderAnswer &Answer,
                packet::PacketActions &Out);
  /// Ends the search for a flow whose holder is confirmed, and sends the queued
  /// packets to it.
  void onHolderConfirmed(const SearchContext &Ctx, const packet::FlowId &Id,
                         members::AgentIndex Holder,
                         packet::PacketActions &Out);
  /// True if the flow is being searched for.
  bool contains(const packet::FlowId &Id) const {
    return this->Searches.contains(Id);
  }
  /// Drops the search for the flow and its queued packets, if there is one.
  void cancel(const packet::FlowId &Id);
  /// Sends the batched queries, at most once per HolderQueryInterval unless a
  /// batch is full.
  void flush(base::TimePoint Now, packet::PacketActions &Out);
  /// Handles timeouts. Call several times a second.
  void onTick(const SearchContext &Ctx, packet::PacketActions &Out);
  /// Returns and clears the flows whose packets go to another agent since the
  /// last call: flows with a confirmed holder and flows that are being probed.
  std::vector<LocatedFlow> takeLocated();
  /// Returns and clears the start of the latest search that has found no
  /// holder, but not whether the list of agents is whole.
  std::optional<base::TimePoint> takeUnconfirmed();

  const SearchCounts &counts() const { return this->Counts; }

private:
  /// A search consists of rounds. In each round, every agent that isn't gone is
  /// queried until it has replied.
  struct Search {
    base::TimePoint SearchStartedAt;
    /// When this round started.
    base::TimePoint RoundStartedAt;
    /// When the agents in PendingAgents were last queried.
    base::TimePoint LastQueriedAt;
    base::TimePoint LastPacketAt;
    /// Replies are expected within HolderAnswerTimeout of LastQueriedAt.
    bool IsAwaitingReplies = false;
    /// AgentViews::arrivals() when this round started.
    uint64_t ArrivalsAtStart = 0;
    /// Number of agents considered in this round, by index.
    size_t AgentsConsidered = 0;
    /// Agents that haven't replied in this round.
    std::vector<members::AgentIndex> PendingAgents;
    /// Agents whose upstream may hold the flow, the next to probe last.
    std::vector<members::AgentIndex> ProbeCandidates;
    std::vector<std::string> Packets;
    uint32_t FailedProbes = 0;
    /// At least one agent has replied in this round, or wasn't queried because
    /// its status reports no flows. A balancer without known agents knows
    /// nothing about the flow.
    bool HasReport = false;
    /// Every agent has replied in this round.
    bool AllReplied = false;
    /// When a round ended after which the flow would be reset if the list of
    /// agents were known to be whole.
    std::optional<base::TimePoint> UnconfirmedSince;
    uint32_t LastAcknowledged = 0;
  };

  void startRound(const SearchContext &Ctx, const packet::FlowId &Id,
                  Search &Entry);
  void addNewAgents(const SearchContext &Ctx, const packet::FlowId &Id,
                    Search &Entry) const;
  bool mayHoldFlow(const SearchContext &Ctx, const packet::FlowId &Id,
                   members::AgentIndex Index) const;
  void repeatQueries(const SearchContext &Ctx, const packet::FlowId &Id,
                     Search &Entry, packet::PacketActions &Out);
  void finishRound(const SearchContext &Ctx, const packet::FlowId &Id,
                   Search &Entry, packet::PacketActions &Out);
  void resetUnheldFlow(const SearchContext &Ctx, const packet::FlowId &Id,
                       Search &Entry, packet::PacketActions &Out);
  bool haveAllListedReplied(const Search &Entry) const;
  static bool isListConfirmed(const SearchContext &Ctx, const Search &Entry);
  void queuePacket(Search &Entry, const packet::Packet &Packet);
  void dropQueuedPackets(Search &Entry);
  void sortProbeCandidates(const SearchContext &Ctx, const packet::FlowId &Id,
                           Search &Entry) const;
  static bool isProbeLimitReached(const Search &Entry);
  void probeNextAgent(const SearchContext &Ctx, const packet::FlowId &Id,
                      Search &Entry, packet::PacketActions &Out);
  void sendQueuedPackets(Search &Entry, members::AgentIndex Holder,
                         packet::PacketActions &Out);

  const members::AgentViews &Agents;
  base::DataCentreName DataCentre;
  std::unordered_map<packet::FlowId, Search> Searches;
  // Flows to query at the next flush().
  std::vector<packet::FlowId> FlowsToQuery;
  base::TimePoint LastQueriedAt;
  size_t QueuedBytes = 0;
  std::vector<LocatedFlow> Located;
  std::optional<base::TimePoint> LatestUnconfirmed;
  SearchCounts Counts;
};

} // namespace bilberry::routing

#endif
