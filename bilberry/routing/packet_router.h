// A balancer that relays callers' packets to agents. A plain object: typed
// events and a time point in, actions out.
//
// An opening packet goes to the chosen upstream's agent, and on to the next
// where that one returns it, until one takes it or none is left; then its
// caller is told at once by a reset. Any other packet goes to the agent that
// holds its flow: known from having placed it, from the agents' statuses, or
// by asking all agents, while the packet waits. Where an agent was restarted
// beside a living upstream nobody may know; then the packet itself is the
// question, to one upstream after the other, quickly: what counts against us
// is a flow whose packets go astray for seconds. Each agent remembers what its
// upstream gave back, so none is asked twice. While an agent is silent, which
// may be the one, no more than two upstreams are asked.
//
// A flow is reset only where its upstream's agent is gone, or where every
// agent that isn't has said twice, a while apart, that it isn't there. Silence
// costs its caller a retransmission; a wrong reset costs the flow.

#ifndef BILBERRY_ROUTING_PACKET_ROUTER_H
#define BILBERRY_ROUTING_PACKET_ROUTER_H

#include "bilberry/admission/opening_queue.h"
#include "bilberry/members/agent_views.h"
#include "bilberry/packet/packet_actions.h"
#include "bilberry/routing/upstream_choice.h"
#include "bilberry/targets/operator_board.h"

#include <map>
#include <memory>
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
/// A balancer that has just started has heard of all living agents after this
/// time: those announced answer its greeting, and those that knew its earlier
/// run still tell it how they are.
inline constexpr base::Duration HearingTime = std::chrono::seconds(1);
/// How long a search is remembered after its last packet.
inline constexpr base::Duration SearchLife = std::chrono::seconds(4);
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
  uint64_t Searches = 0;
  uint64_t Found = 0;
  uint64_t Unknown = 0;
  uint64_t Resets = 0;
  uint64_t Dropped = 0;
  uint64_t Probes = 0;
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
  void flush(base::TimePoint Now, packet::PacketActions &Out);
  /// Call several times a second. StoreAnswers: whether the announcements are
  /// up to date.
  void onTick(base::TimePoint Now, bool StoreAnswers,
              packet::PacketActions &Out);

  /// True once it knows routes and has heard of an agent.
  bool isReady() const;
  const PacketRouterCounts &counts() const { return this->Counts; }
  size_t flows() const { return this->Flows.size(); }
  const members::AgentViews &agents() const { return this->Agents; }
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
  void beginRound(base::TimePoint Now, const packet::FlowId &Id, Search &Entry);
  void addNewAgents(Search &Entry) const;
  void askAgain(base::TimePoint Now, const packet::FlowId &Id, Search &Entry,
                packet::PacketActions &Out);
  void noteRefusal(members::AgentIndex Agent, packet::HopTag Reason);
  void keepPacket(Search &Entry, const packet::Packet &Packet);
  void dropPackets(Search &Entry);
  void conclude(base::TimePoint Now, const packet::FlowId &Id, Search &Entry,
                packet::PacketActions &Out);
  void sortUnsure(const packet::FlowId &Id, Search &Entry) const;
  static bool isBlind(const Search &Entry);
  bool probeNext(base::TimePoint Now, const packet::FlowId &Id, Search &Entry,
                 packet::PacketActions &Out);
  void found(base::TimePoint Now, const packet::FlowId &Id, Search &Entry,
             members::AgentIndex Holder, packet::PacketActions &Out);
  void release(Search &Entry, members::AgentIndex Holder,
               packet::PacketActions &Out);
  void onStatus(base::TimePoint Now, const base::Address &From,
                const wire::AgentStatus &Status, packet::PacketActions &Out);
  void onAnswer(base::TimePoint Now, const wire::HolderAnswer &Answer,
                packet::PacketActions &Out);
  void recall(const base::Address &To, members::AgentIndex Index,
              packet::PacketActions &Out);
  void expireFlows(base::TimePoint Now);
  void expireSearches(base::TimePoint Now, packet::PacketActions &Out);
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
  std::unordered_map<packet::FlowId, Search> Searches;
  admission::OpeningQueue Queue;
  // When an upstream of each service was last open to new flows.
  std::map<base::ServiceName, base::TimePoint> ServedAt;
  // Flows to ask for at the end of the batch.
  std::vector<packet::FlowId> ToAsk;
  base::TimePoint AskedAt;
  size_t WaitingBytes = 0;
  // The announcements were read at least once.
  bool HasMembers = false;
  base::TimePoint NextExpiry;
  wire::NewsMark NewsHeard;
  PacketRouterCounts Counts;
};

} // namespace bilberry::routing

#endif
