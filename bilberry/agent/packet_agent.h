// An agent that relays packets from balancers to the upstream on the same VM,
// and from the upstream directly to callers. It performs no I/O: it takes
// events with a time point and appends the resulting actions.
//
// The agent limits the new flows of its upstream (admission::NewFlowAdmission)
// and tracks which flows the upstream holds, since all of the upstream's
// packets pass through it. A packet of a flow that the upstream doesn't hold is
// marked and returned to the balancer that sent it, and is not delivered. After
// a restart the agent may not know every flow; it then probes by delivering the
// packet, and the upstream returns it if it doesn't hold the flow. Only a
// packet that the upstream sends on the flow shows that it holds the flow:
// silence may as well mean that it is down or paused, or that a datagram was
// lost.

#ifndef BILBERRY_AGENT_PACKET_AGENT_H
#define BILBERRY_AGENT_PACKET_AGENT_H

#include "bilberry/admission/flap_damping.h"
#include "bilberry/admission/new_flow_admission.h"
#include "bilberry/admission/overload_options.h"
#include "bilberry/admission/service_time_meter.h"
#include "bilberry/agent/status_receivers.h"
#include "bilberry/members/upstream_record.h"
#include "bilberry/packet/packet_actions.h"
#include "bilberry/routing/held_flows.h"
#include "bilberry/targets/operator_state_cache.h"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace bilberry::agent {

/// Interval of the status messages to the balancers of the same data centre.
inline constexpr base::Duration StatusInterval = std::chrono::milliseconds(250);
/// Interval of the status messages to other data centres, and of the lists of
/// balancers in those to the same data centre.
inline constexpr base::Duration RelayInterval = std::chrono::seconds(1);
/// Minimum time between a status and one that announces free capacity: about
/// the duration of a short request.
inline constexpr base::Duration MinStatusInterval =
    std::chrono::milliseconds(20);
/// Flows that end before this age are not published: most flows are short, and
/// the balancer that placed one knows it anyway.
inline constexpr base::Duration MinPublishAge = std::chrono::milliseconds(300);
/// Delay from the upstream's leave message to the reset of its flows: it exits
/// shortly after it sends the message.
inline constexpr base::Duration ResetDelayAfterLeave = std::chrono::seconds(1);
/// A gap between two clock readings that is longer than this is a pause of the
/// process or the machine. Ticks come every 50 ms; an upstream can be replaced
/// in about a second.
inline constexpr base::Duration PauseThreshold = std::chrono::seconds(1);
/// The idle timeout of an open flow if the routes don't set one.
inline constexpr base::Duration DefaultIdleTimeout = std::chrono::seconds(60);
/// How often an agent that is stopping and has open flows says so, at
/// successive ticks: a balancer that misses it resets the flows if no next run
/// reports.
inline constexpr int StopStatusCount = 3;

/// How long after its start an agent relies on balancers without having heard
/// them: it has just read the store.
inline constexpr base::Duration FollowerDiscoveryTime = std::chrono::seconds(3);

/// The name, run and addresses by which other processes know this agent.
struct AgentIdentity {
  base::MemberName Name;
  base::Incarnation Run = 0;
  base::DataCentreName DataCentre;
  /// UDP address for callers' packets from balancers.
  base::Address Data;
  /// HTTP address where peers can fetch the operators' documents.
  base::Address Pages;
  /// The service and the address of the upstream on the same VM, which is in
  /// the same data centre.
  base::ServiceName Service;
  base::Address Upstream;
  bool DampsFlapping = false;
  admission::OverloadOptions Overload = {};
};

/// Event counters since the start, for the metrics page.
struct PacketAgentCounts {
  uint64_t Opened = 0;
  uint64_t Returned = 0;
  uint64_t Delivered = 0;
  uint64_t SentToCallers = 0;
  uint64_t Bounced = 0;
  uint64_t Resets = 0;
  uint64_t Probes = 0;
  uint64_t UnansweredProbes = 0;
  uint64_t Dropped = 0;
  uint64_t StaleReports = 0;
  uint64_t ForeignReports = 0;
  uint64_t SuspectedRestarts = 0;
  uint64_t WithdrawnSuspicions = 0;
  uint64_t Reserved = 0;
  uint64_t BecameUnstable = 0;
  uint64_t Misaddressed = 0;
};

/// Not thread-safe: the process guards it with one mutex.
class PacketAgent {
public:
  /// StateCache must outlive the agent.
  PacketAgent(AgentIdentity Self, admission::ColdRateLimit Cold,
              base::TimePoint StartedAt,
              const targets::OperatorStateCache &StateCache);

  /// Handles a caller's packet that a balancer forwarded.
  void onCallerPacket(base::TimePoint Now, const base::Address &From,
                      const packet::Packet &Packet, packet::PacketActions &Out);
  /// Handles a packet from the upstream: one for a caller, or a caller's packet
  /// that the upstream returned.
  void onUpstreamPacket(base::TimePoint Now, const packet::Packet &Packet,
                        packet::PacketActions &Out);
  /// Handles a message from a balancer; messages of other kinds are ignored.
  void onMessage(base::TimePoint Now, const base::Address &From,
                 const wire::RelayMessage &Message, packet::PacketActions &Out);
  /// Applies a heartbeat of the upstream before it returns. Heartbeats that
  /// name another service, address or data centre than the upstream's are
  /// ignored.
  members::HeartbeatOutcome onReport(base::TimePoint Now,
                                     const members::UpstreamHeartbeat &Report,
                                     packet::PacketActions &Out);
  /// Call when the upstream with this id announces that it is exiting. Returns
  /// false if that is ignored because another run is the current one.
  bool onLeave(base::TimePoint Now, const std::string &Id,
               packet::PacketActions &Out);
  /// Call when this process is asked to stop: publishes all open flows to the
  /// balancers. The agent then accepts no new flows, and relays packets until
  /// the process exits.
  void onStop(base::TimePoint Now, packet::PacketActions &Out);
  /// After onStop(): false until the balancers have been told often enough,
  /// while it isn't known yet whether there is an upstream, and while relaying
  /// still serves callers. That is while a draining upstream hasn't left,
  /// because its machine is being removed and it has no other way to its
  /// callers; and until the flows of an upstream that has left are reset. An
  /// upstream that keeps running is served by the next run of this process,
  /// which should start soon.
  bool isReadyToExit(base::TimePoint Now) const;
  /// Call several times a second.
  void onTick(base::TimePoint Now, packet::PacketActions &Out);

  const PacketAgentCounts &counts() const { return this->Counts; }
  const members::UpstreamRecord &upstream() const { return this->Upstream; }
  size_t flows() const { return this->Flows.size(); }
  /// The recent service time of the upstream; 0 if unknown.
  base::Duration serviceTime(base::TimePoint Now) const {
    return this->ServiceTime.expected(Now, this->waitingFlows(Now),
                                      this->slots());
  }
  /// The upstream's penalty for failures (admission::FlapDamping).
  double penalty(base::TimePoint Now) const {
    return this->Damping.penalty(Now);
  }
  /// The highest revision of the operators' documents that a balancer has
  /// reported, and the address to fetch it from.
  const wire::DocumentsVersion &newestDocuments() const {
    return this->NewestDocumentsVersion;
  }
  /// True if this agent must follow the store itself, because no balancer that
  /// does has sent a message lately.
  bool mustFollowStore(base::TimePoint Now) const;

private:
  uint32_t slots() const {
    const auto &Run = this->Upstream.currentRun();
    return Run ? std::max<uint32_t>(1, Run->Slots) : 1;
  }

  /// Flows to report to the balancers of one data centre.
  struct FlowChanges {
    std::vector<packet::FlowId> Opened;
    std::vector<packet::FlowId> Ended;
  };

  admission::NewFlowContext openingContext(base::TimePoint Now);
  void detectPause(base::TimePoint Now);
  void onOpening(base::TimePoint Now, const base::Address &From,
                 const packet::Packet &Packet, packet::PacketActions &Out);
  uint32_t waitingFlows(base::TimePoint Now) const;
  bool isHeldByUpstream(routing::HeldFlow &Flow, const packet::Packet &Packet);
  void deliver(base::TimePoint Now, const base::Address &From,
               const packet::Packet &Packet, routing::HeldFlow &Flow,
               packet::PacketActions &Out);
  void probe(base::TimePoint Now, const base::Address &From,
             const packet::Packet &Packet, packet::PacketActions &Out);
  void onPacketDuringProbe(base::TimePoint Now, const base::Address &From,
                           const packet::Packet &Packet,
                           routing::HeldFlow &Flow, packet::PacketActions &Out);
  void returnPacket(const base::Address &To, const packet::Packet &Packet,
                    packet::HopTag Reason, packet::PacketActions &Out);
  void onBounced(base::TimePoint Now, const packet::Packet &Packet,
                 packet::PacketActions &Out);
  admission::UpstreamEvidence evidenceOf(base::TimePoint Now,
                                         const packet::Packet &Packet,
                                         const routing::HeldFlow &Flow);
  void recordEvidence(base::TimePoint Now, admission::UpstreamEvidence Evidence,
                      std::optional<base::TimePoint> HeldSince,
                      packet::PacketActions &Out);
  void reset(base::TimePoint Now, const packet::FlowId &Id,
             routing::HeldFlow &Flow, std::string_view Reason,
             packet::PacketActions &Out);
  void resetFlowsBefore(base::TimePoint Now, base::TimePoint OpenedBefore,
                        std::string_view Reason, packet::PacketActions &Out);
  bool isOwnUpstream(const members::UpstreamHeartbeat &Report) const;
  bool mayHaveReplacedUpstream(const members::UpstreamHeartbeat &Report) const;
  bool startedBefore(const members::UpstreamHeartbeat &Report) const;
  bool knowsAllFlows(base::TimePoint Now) const;
  bool isUpstreamSilent(base::TimePoint Now) const;
  bool mayHaveUpstream(base::TimePoint Now) const;
  void returnProbe(const base::Address &From, const packet::Packet &Packet,
                   packet::HopTag Reason, packet::PacketActions &Out);
  base::Duration idleTimeout() const;
  void onBalancerHello(base::TimePoint Now, const base::Address &From,
                       const wire::BalancerHello &Hello,
                       packet::PacketActions &Out);
  void onFlowsRecalled(base::TimePoint Now, const base::Address &From,
                       const wire::KnownFlows &Recalled);
  void onHolderQuery(base::TimePoint Now, const base::Address &From,
                     const wire::HolderQuery &Query,
                     packet::PacketActions &Out);
  wire::AgentStatus status(base::TimePoint Now);
  void updateDamping(base::TimePoint Now, packet::PacketActions &Out);
  wire::AgentCondition condition(const admission::NewFlowContext &Context);
  void announceOpened(base::TimePoint Now, base::Duration MinAge);
  void announceFreeCapacity(base::TimePoint Now, packet::PacketActions &Out);
  FlowChanges &changesFor(const routing::HeldFlow &Flow);
  void sendStatus(base::TimePoint Now, bool IncludesRelays,
                  packet::PacketActions &Out);
  void sendFlowChanges(wire::AgentStatus Status, packet::PacketActions &Out);

  AgentIdentity Self;
  // packet::receiverId() of this agent.
  uint32_t ReceiverId;
  base::TimePoint StartedAt;
  // The start of this process or the end of its last pause: no heartbeat has
  // been missed through a pause since then.
  base::TimePoint UnpausedSince;
  const targets::OperatorStateCache &StateCache;
  std::shared_ptr<const targets::OperatorState> Operators;
  admission::NewFlowAdmission Admission;
  members::UpstreamRecord Upstream;
  admission::ServiceTimeMeter ServiceTime;
  admission::FlapDamping Damping;
  // When the upstream last sent a packet or a heartbeat.
  base::TimePoint HeardFromUpstreamAt;
  // The upstream was silent at the last tick.
  bool WasSilent = false;
  routing::HeldFlows Flows;
  StatusReceivers Balancers;
  // By the data centre of the balancer that sends the flow's packets.
  std::map<base::DataCentreName, FlowChanges> Unannounced;
  uint64_t LastSequence = 0;
  base::TimePoint NextStatus;
  base::TimePoint NextRelayedStatus;
  base::TimePoint LastClockReading;
  base::TimePoint LastStatusAt;
  // False if an opening packet was refused since the last status.
  bool IsCapacityAnnounced = true;
  wire::AgentCondition LastSentCondition = wire::AgentCondition::NoUpstream;
  bool LastSentKnowsAllFlows = false;
  std::optional<base::TimePoint> UpstreamLeftAt;
  // The upstream's present run was started while this process was running.
  bool SawUpstreamStart = false;
  bool IsStopping = false;
  int StopStatusesLeft = 0;
  // The upstream was draining when this process was asked to stop.
  bool OutlastsUpstream = false;
  wire::DocumentsVersion NewestDocumentsVersion;
  PacketAgentCounts Counts;
};

} // namespace bilberry::agent

#endif
