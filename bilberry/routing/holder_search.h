// Looks for the agent that holds a flow of which this balancer doesn't know.
// A plain object: typed events and a time point in, actions out.
//
// All agents are asked, while the flow's packets wait. Where an agent was
// restarted beside a living upstream nobody may know; then the packet itself is
// the question, to one upstream after the other, quickly: what counts against
// us is a flow whose packets go astray for seconds. Each agent remembers what
// its upstream gave back, so none is asked twice. While an agent is silent,
// which may be the one, no more than two upstreams are asked.
//
// A flow is reset only where every agent that isn't gone has said twice, a
// while apart, that it isn't there. Silence costs its caller a retransmission;
// a wrong reset costs the flow.
//
// The load it answers: after a loss of all power each packet of an old flow
// starts a search, at every balancer, while some agents are still away. So
// flows are asked for together, an agent is asked again only where it hasn't
// answered, and one that holds nothing isn't asked.

#ifndef BILBERRY_ROUTING_HOLDER_SEARCH_H
#define BILBERRY_ROUTING_HOLDER_SEARCH_H

#include "bilberry/members/agent_views.h"
#include "bilberry/packet/packet_actions.h"
#include "bilberry/targets/operator_board.h"

#include <unordered_map>
#include <vector>

namespace bilberry::routing {

/// How long answers are waited for: the way between data centres and back, and
/// a busy agent's delay.
inline constexpr base::Duration AnswerTimeout = std::chrono::milliseconds(150);
/// Flows that are missed within this time are asked for together: at a loss of
/// everything each flow is, and a question goes to every agent.
inline constexpr base::Duration QueryInterval = std::chrono::milliseconds(20);
/// Packets of one flow that wait for an answer.
inline constexpr size_t MaxWaitingPackets = 6;
/// Bytes of all packets that wait.
inline constexpr size_t MaxWaitingBytes = size_t{2} << 20U;
/// Wrong upstreams that may be given packets of one flow while an agent is
/// silent: a third would be one too many.
inline constexpr uint32_t MaxBlindProbes = 2;
/// A flow that nobody holds is reset where this was said again after that
/// time: callers repeat a packet after 200 ms.
inline constexpr base::Duration UnknownDelay = std::chrono::milliseconds(150);
/// How long a search is remembered after its last packet.
inline constexpr base::Duration SearchLife = std::chrono::seconds(4);

/// What a call goes by. The reference is valid for one call.
struct SearchContext {
  base::TimePoint Now;
  const targets::OperatorState &Operators;
  /// Every living agent has had the time to make itself known.
  bool KnowsAgents = false;
};

/// Where a flow's packets are to go from now on.
struct LocatedFlow {
  packet::FlowId Id;
  members::AgentIndex Holder = members::NoAgent;
  /// Its agent has said so; otherwise the next packets are a question.
  bool IsConfirmed = false;
};

/// What the metrics tell.
struct SearchCounts {
  uint64_t Searches = 0;
  uint64_t Found = 0;
  uint64_t Unknown = 0;
  uint64_t Probes = 0;
  uint64_t Resets = 0;
  uint64_t Dropped = 0;
};

/// Not thread-safe.
class HolderSearch {
public:
  /// Agents must outlive the search.
  HolderSearch(const members::AgentViews &Agents,
               base::DataCentreName DataCentre)
      : Agents(Agents), DataCentre(std::move(DataCentre)) {}

  /// A packet of a flow whose holder isn't known.
  void onMissed(const SearchContext &Call, const packet::Packet &Packet,
                packet::PacketActions &Out);
  /// An upstream that was asked with a packet has given it back.
  void onProbeReturned(const packet::FlowId &Id);
  /// An agent's answer to a question.
  void onAnswer(const SearchContext &Call, const wire::HolderAnswer &Answer,
                packet::PacketActions &Out);
  /// The flow is known to be there: sends what waited.
  void onHeld(const SearchContext &Call, const packet::FlowId &Id,
              members::AgentIndex Holder, packet::PacketActions &Out);
  /// Forgets what is known of the flow.
  void cancel(const packet::FlowId &Id);
  /// Asks for the flows missed, once in each QueryInterval.
  void flush(base::TimePoint Now, packet::PacketActions &Out);
  /// Call several times a second.
  void onTick(const SearchContext &Call, packet::PacketActions &Out);
  /// The flows located since the last call.
  std::vector<LocatedFlow> takeLocated();

  const SearchCounts &counts() const { return this->Counts; }

private:
  /// A search goes in rounds; in each, every agent that isn't gone is asked
  /// until it has answered.
  struct Search {
    base::TimePoint FirstAskedAt;
    /// When this round began.
    base::TimePoint RoundAt;
    /// When those in Waiting were last asked.
    base::TimePoint AskedAt;
    base::TimePoint LastPacket;
    /// Answers are expected within AnswerTimeout of AskedAt.
    bool IsAsking = false;
    /// Agents known when the round began.
    size_t AgentsAsked = 0;
    /// Those that haven't answered in this round.
    std::vector<members::AgentIndex> Waiting;
    std::vector<members::AgentIndex> Unsure;
    std::vector<std::string> Packets;
    uint32_t WrongProbes = 0;
    /// Somebody has spoken in this round; a balancer that knows nobody knows
    /// nothing of the flow.
    bool HasAnswer = false;
    /// Every agent has answered in this round.
    bool AllAnswered = false;
    uint32_t LastAcknowledged = 0;
  };

  void beginRound(const SearchContext &Call, const packet::FlowId &Id,
                  Search &Entry);
  void addNewAgents(Search &Entry) const;
  void askAgain(const SearchContext &Call, const packet::FlowId &Id,
                Search &Entry, packet::PacketActions &Out);
  void conclude(const SearchContext &Call, const packet::FlowId &Id,
                Search &Entry, packet::PacketActions &Out);
  void keepPacket(Search &Entry, const packet::Packet &Packet);
  void dropPackets(Search &Entry);
  void sortUnsure(const SearchContext &Call, const packet::FlowId &Id,
                  Search &Entry) const;
  static bool isBlind(const Search &Entry);
  void probeNext(const SearchContext &Call, const packet::FlowId &Id,
                 Search &Entry, packet::PacketActions &Out);
  void release(const SearchContext &Call, Search &Entry,
               members::AgentIndex Holder, packet::PacketActions &Out);

  const members::AgentViews &Agents;
  base::DataCentreName DataCentre;
  std::unordered_map<packet::FlowId, Search> Searches;
  // Flows to ask for at the next flush().
  std::vector<packet::FlowId> ToAsk;
  base::TimePoint AskedAt;
  size_t WaitingBytes = 0;
  std::vector<LocatedFlow> Located;
  SearchCounts Counts;
};

} // namespace bilberry::routing

#endif
