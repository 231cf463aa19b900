// Admission control for new flows at an agent: decides which opening packets
// (the first packets of flows) are delivered to its upstream. Draining,
// evacuation, the rate limit of cold upstreams and the rule that a route's
// flows go only to upstreams of its services are enforced only here.
// Balancers choose an upstream from state that may be out of date, so their
// choice is a hint; a refused packet is returned to the balancer, which places
// it on another upstream. That holds for routes too: a route that only the
// balancer knows is used once this process has read it.
//
// This protects against all balancers sending new flows to the same upstream
// at once, right after it has restarted cold or just before it stops.
//
// An upstream that was restarted answers packets before it sends its first
// heartbeat. Until then the last heartbeat describes the run before, which may
// have been warm. So an upstream whose packets show a restart (RestartDetector)
// counts as cold until its next heartbeat.

#ifndef BILBERRY_ADMISSION_NEW_FLOW_ADMISSION_H
#define BILBERRY_ADMISSION_NEW_FLOW_ADMISSION_H

#include "bilberry/admission/capacity_reserve.h"
#include "bilberry/admission/restart_detector.h"
#include "bilberry/base/clock.h"
#include "bilberry/members/upstream_record.h"
#include "bilberry/packet/packet.h"
#include "bilberry/targets/operator_state_cache.h"

#include <array>
#include <cstdint>

namespace bilberry::admission {

/// Limits the new flows of a cold upstream in any one second to the rate
/// that the operators have set for its service, times Factor, plus Tolerance.
struct ColdRateLimit {
  double Factor = 1.0;
  uint32_t Tolerance = 0;
};

/// The number of new flows whose times are recorded; also the upper bound of
/// new flows per ColdRateWindow on a cold upstream.
inline constexpr size_t MaxRecordedNewFlows = 128;
/// The sliding window of the cold rate limit: one second, plus 50 ms for the
/// delay of the path from the agent to the upstream.
inline constexpr base::Duration ColdRateWindow =
    std::chrono::milliseconds(1050);
/// An upstream that sends nothing for this long while packets await a response
/// may have crashed: it gets no new flows until it sends something again.
/// Twice the time after which callers retransmit a packet.
inline constexpr base::Duration MaxResponseDelay =
    std::chrono::milliseconds(400);

/// The input of an admission decision. References are valid for one call.
struct NewFlowContext {
  base::TimePoint Now;
  const members::UpstreamRecord &Upstream;
  /// The state that operators have set, such as routes and evacuations.
  const targets::OperatorState &Operators;
  /// The number of flows on the upstream.
  size_t Flows = 0;
  /// Of these, the flows that await a response, and recently opened flows whose
  /// first request is expected soon.
  uint32_t WaitingFlows = 0;
};

/// Returns true if the upstream has fewer waiting flows than PerSlot allows for
/// its slots.
bool hasWaitingCapacity(const NewFlowContext &Context,
                        uint32_t PerSlot = MaxWaitingFlowsPerSlot);

/// Admits or refuses new flows for one upstream. Not thread-safe.
class NewFlowAdmission {
public:
  /// StartedAt is the start of this process. An earlier run of the process may
  /// have admitted new flows just before it, so a cold upstream gets none in
  /// the first ColdRateWindow. ReservesByPriority keeps the last capacity for
  /// the routes with the highest priority.
  NewFlowAdmission(base::DataCentreName DataCentre, ColdRateLimit Cold,
                   base::TimePoint StartedAt, bool ReservesByPriority = false)
      : DataCentre(std::move(DataCentre)), Cold(Cold), StartedAt(StartedAt),
        ReservesByPriority(ReservesByPriority) {}

  /// Returns None if an opening packet for this route address may be delivered
  /// to the upstream, otherwise the reason for the refusal.
  packet::HopTag check(const NewFlowContext &Context,
                       const base::Address &Route);
  /// Returns None if the upstream can accept new flows at all, otherwise the
  /// reason why check() refuses all new flows.
  packet::HopTag refusalReason(const NewFlowContext &Context);
  /// Records that this process was paused until Now. What it knows about the
  /// upstream is outdated until the next heartbeat.
  void recordPause(base::TimePoint Now) { this->PausedUntil = Now; }
  /// Records the first heartbeat ever of the upstream: no earlier run of this
  /// process can have admitted flows to it, so ColdRateWindow is not waited
  /// for.
  void recordFirstHeartbeat() { this->StartedAt -= ColdRateWindow; }
  /// Records that an opening packet was delivered to the upstream. IsCopy tells
  /// whether an earlier copy of it was delivered before.
  void recordNewFlow(base::TimePoint Now, const packet::FlowId &Flow,
                     bool IsCopy);
  /// Records that a packet that requires a response was delivered to the
  /// upstream.
  void recordPacketSent(base::TimePoint Now);
  /// Records a heartbeat, which describes the upstream's current run.
  void recordHeartbeat() {
    this->UnansweredSince.reset();
    this->Restarts.recordHeartbeat();
  }
  /// Records that the upstream has answered or returned an opening packet.
  /// Returns what that shows, for recordPacketReceived().
  UpstreamEvidence recordOpeningAnswer(base::TimePoint Now,
                                       const packet::FlowId &Flow) {
    return this->Restarts.recordOpeningAnswer(Now, Flow);
  }
  /// Records a packet from the upstream. HeldSince is when the upstream first
  /// sent a packet on its flow. While a restart is suspected, the upstream
  /// counts as cold.
  SuspicionChange
  recordPacketReceived(base::TimePoint Now, UpstreamEvidence Evidence,
                       std::optional<base::TimePoint> HeldSince = {});
  /// The number of new flows that may still be admitted in this window;
  /// unlimited for a warm upstream.
  uint32_t remainingNewFlows(const NewFlowContext &Context) const;
  /// The number of new flows that may be admitted in any ColdRateWindow while
  /// the upstream is cold.
  uint32_t maxColdNewFlows(const NewFlowContext &Context) const;
  /// True if the upstream has sent nothing for MaxResponseDelay while packets
  /// await a response.
  bool hasTimedOut(base::TimePoint Now) const;

  /// The number of opening packets delivered after Begin, among the last
  /// MaxRecordedNewFlows.
  uint32_t newFlowsSince(base::TimePoint Begin) const;

private:
  bool isCold(const NewFlowContext &Context) const;

  base::DataCentreName DataCentre;
  ColdRateLimit Cold;
  base::TimePoint StartedAt;
  bool ReservesByPriority;
  CapacityReserve Reserve;
  // The times of the last new flows, as a ring buffer.
  std::array<base::TimePoint, MaxRecordedNewFlows> NewFlowTimes{};
  size_t NextNewFlowIndex = 0;
  bool WasDataCentreEvacuated = false;
  base::TimePoint EvacuationEndedAt;
  std::optional<base::TimePoint> UnansweredSince;
  RestartDetector Restarts;
  base::TimePoint PausedUntil;
};

} // namespace bilberry::admission

#endif
