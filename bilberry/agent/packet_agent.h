// An agent that relays packets: from balancers to the upstream beside it, and
// from the upstream straight to callers. A plain object: typed events and a
// time point in, actions out.
//
// The agent is where facts are local. It enforces what new flows its upstream
// may get (admission::OpeningGate) and knows which flows the upstream holds,
// since all of the upstream's packets pass it. A packet of a flow that isn't
// there goes back to the balancer that sent it, marked, and never to the
// upstream; only where the agent itself was restarted, and may not know a
// flow, the upstream is asked by giving it the packet: it gives back what it
// doesn't hold.

#ifndef BILBERRY_AGENT_PACKET_AGENT_H
#define BILBERRY_AGENT_PACKET_AGENT_H

#include "bilberry/admission/opening_gate.h"
#include "bilberry/members/upstream_record.h"
#include "bilberry/packet/packet_actions.h"
#include "bilberry/routing/held_flows.h"
#include "bilberry/targets/operator_board.h"

#include <map>
#include <memory>
#include <vector>

namespace bilberry::agent {

/// How often each balancer is told how this agent is.
inline constexpr base::Duration StatusInterval = std::chrono::milliseconds(250);
/// The shortest time between two statuses that tell of room: about the work
/// of one short request.
inline constexpr base::Duration MinStatusInterval =
    std::chrono::milliseconds(20);
/// A balancer that hasn't been heard of for this long is told no more. Longer
/// than an outage in which a restarted balancer can learn of agents only from
/// the agents themselves.
inline constexpr base::Duration BalancerLife = std::chrono::seconds(60);
/// Flows that end before this age are not told of: most flows are short, and
/// the balancer that opened one knows it anyway.
inline constexpr base::Duration PublishAge = std::chrono::milliseconds(300);
/// How long after the upstream took its leave its flows are reset: it ends a
/// moment after it says so.
inline constexpr base::Duration LeaveDelay = std::chrono::seconds(1);
/// A gap between two looks at the clock that is longer than this is a pause of
/// the process or the machine. Ticks come every 50 ms; an upstream can be
/// replaced in about a second.
inline constexpr base::Duration MaxPause = std::chrono::seconds(1);
/// Longest silence of an open flow where the routes don't tell.
inline constexpr base::Duration DefaultIdleLife = std::chrono::seconds(60);

/// Who this agent is.
struct AgentIdentity {
  base::MemberName Name;
  base::Incarnation Run = 0;
  base::DataCentreName DataCentre;
  /// UDP: callers' packets from balancers.
  base::Address Data;
  /// HTTP: where peers can fetch the operators' documents.
  base::Address Pages;
};

/// What the metrics tell.
struct PacketAgentCounts {
  uint64_t Opened = 0;
  uint64_t Returned = 0;
  uint64_t Delivered = 0;
  uint64_t ToCallers = 0;
  uint64_t Bounced = 0;
  uint64_t Resets = 0;
  uint64_t Probes = 0;
  uint64_t Dropped = 0;
  uint64_t StaleReports = 0;
};

/// Not thread-safe: the process holds one lock around it.
class PacketAgent {
public:
  /// The board must outlive the agent.
  PacketAgent(AgentIdentity Self, admission::ColdAllowance Cold,
              base::TimePoint StartedAt, const targets::OperatorBoard &Board);

  /// A caller's packet from a balancer.
  void onCallerPacket(base::TimePoint Now, const base::Address &From,
                      const packet::Packet &Packet, packet::PacketActions &Out);
  /// A packet from the upstream: for a caller, or a caller's given back.
  void onUpstreamPacket(base::TimePoint Now, const packet::Packet &Packet,
                        packet::PacketActions &Out);
  /// A message from a balancer; others are ignored.
  void onMessage(base::TimePoint Now, const base::Address &From,
                 const wire::RelayMessage &Message, packet::PacketActions &Out);
  /// A heartbeat of the upstream. What it says is in force when this returns.
  members::ReportOutcome onReport(base::TimePoint Now,
                                  const members::UpstreamReport &Report,
                                  packet::PacketActions &Out);
  /// The upstream of that id says that it ends.
  void onLeave(base::TimePoint Now, const std::string &Id,
               packet::PacketActions &Out);
  /// This process is about to end: tells the balancers all that it knows.
  void onStop(base::TimePoint Now, packet::PacketActions &Out);
  /// Call several times a second.
  void onTick(base::TimePoint Now, packet::PacketActions &Out);

  const PacketAgentCounts &counts() const { return this->Counts; }
  const members::UpstreamRecord &upstream() const { return this->Upstream; }
  size_t flows() const { return this->Flows.size(); }
  /// The highest revision of the operators' documents that a balancer has
  /// told of, and where to fetch it.
  const wire::NewsMark &newsHeard() const { return this->NewsHeard; }

private:
  struct Balancer {
    base::Incarnation Run = 0;
    base::TimePoint HeardAt;
  };

  admission::OpeningContext contextOf(base::TimePoint Now);
  void checkPause(base::TimePoint Now);
  void onOpening(base::TimePoint Now, const base::Address &From,
                 const packet::Packet &Packet, packet::PacketActions &Out);
  uint32_t waiting(base::TimePoint Now) const;
  bool belongsHere(routing::HeldFlow &Flow, const packet::Packet &Packet);
  void deliver(base::TimePoint Now, const base::Address &From,
               const packet::Packet &Packet, routing::HeldFlow &Flow,
               packet::PacketActions &Out);
  void probe(base::TimePoint Now, const base::Address &From,
             const packet::Packet &Packet, packet::PacketActions &Out);
  void onProbed(base::TimePoint Now, const base::Address &From,
                const packet::Packet &Packet, routing::HeldFlow &Flow,
                packet::PacketActions &Out);
  void giveBack(const base::Address &To, const packet::Packet &Packet,
                packet::HopTag Reason, packet::PacketActions &Out);
  void onBounced(base::TimePoint Now, const packet::Packet &Packet,
                 packet::PacketActions &Out);
  void reset(base::TimePoint Now, const packet::FlowId &Id,
             routing::HeldFlow &Flow, std::string_view Reason,
             packet::PacketActions &Out);
  void resetFlowsBefore(base::TimePoint Now, base::TimePoint OpenedBefore,
                        std::string_view Reason, packet::PacketActions &Out);
  bool knowsAllFlows(base::TimePoint Now) const;
  base::Duration idleLife() const;
  void onHello(base::TimePoint Now, const base::Address &From,
               const wire::BalancerHello &Hello, packet::PacketActions &Out);
  void onRecalled(base::TimePoint Now, const wire::FlowsRecalled &Recalled);
  void onQuery(base::TimePoint Now, const base::Address &From,
               const wire::HolderQuery &Query, packet::PacketActions &Out);
  wire::AgentStatus status(base::TimePoint Now);
  wire::AgentCondition condition(const admission::OpeningContext &Call);
  void publishOpened(base::TimePoint Now, base::Duration MinAge);
  void tellRoom(base::TimePoint Now, packet::PacketActions &Out);
  void tellAll(base::TimePoint Now, packet::PacketActions &Out);

  AgentIdentity Self;
  base::TimePoint StartedAt;
  // Since when heartbeats can't have been missed by a pause of this process.
  base::TimePoint ListeningSince;
  const targets::OperatorBoard &Board;
  std::shared_ptr<const targets::OperatorState> Operators;
  admission::OpeningGate Gate;
  members::UpstreamRecord Upstream;
  routing::HeldFlows Flows;
  std::map<base::Address, Balancer> Balancers;
  std::vector<packet::FlowId> Opened;
  std::vector<packet::FlowId> Ended;
  base::TimePoint NextStatus;
  base::TimePoint SeenAt;
  base::TimePoint ToldAt;
  // False where a packet was refused for want of room since the last status.
  bool ToldRoom = true;
  wire::AgentCondition ToldCondition = wire::AgentCondition::NoUpstream;
  std::optional<base::TimePoint> LeftAt;
  // The upstream's present run began while this process was there.
  bool SawUpstreamStart = false;
  bool IsStopping = false;
  wire::NewsMark NewsHeard;
  PacketAgentCounts Counts;
};

} // namespace bilberry::agent

#endif
