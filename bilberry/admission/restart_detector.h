// Infers from an upstream's packets that it has been restarted, before its
// first heartbeat says so. An upstream takes packets from its start on, and may
// be cold: taken for the run before, it would get the new flows of a warm one.
//
// What shows a restart:
//  - a packet that it returns as unknown although it held the flow, or another
//    answer to a copy of an opening packet that it had answered: the run that
//    held the flow is gone;
//  - an answer that any run could have sent, after a silence;
//  - an answer to an opening packet while an earlier one is unanswered. An
//    upstream answers or returns opening packets at once and in order, on the
//    same machine, so the earlier one was lost. A lost datagram looks the same:
//    this suspicion is withdrawn when the upstream sends a packet on a flow
//    that it already held when the earlier one was sent, since only the same
//    run can.
//
// Designed for outages shorter than MaxResponseDelay at up to a few hundred new
// flows a second. An outage during which no packet is sent to the upstream
// leaves no evidence.

#ifndef BILBERRY_ADMISSION_RESTART_DETECTOR_H
#define BILBERRY_ADMISSION_RESTART_DETECTOR_H

#include "bilberry/base/clock.h"
#include "bilberry/packet/packet.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace bilberry::admission {

/// What a packet from the upstream shows about its current run.
enum class UpstreamEvidence : uint8_t {
  /// Belongs to an open flow: the run that opened the flow is still running.
  HoldsFlow,
  /// May come from any run, such as the answer to an opening packet.
  Inconclusive,
  /// Answers or returns an opening packet, while an earlier one is unanswered.
  SkippedOpening,
  /// Returned as unknown, or answered anew, although the upstream held the
  /// flow: the upstream has been restarted.
  LostFlow,
};

/// How a packet changed whether a restart is suspected.
enum class SuspicionChange : uint8_t { None, Raised, Withdrawn };

/// How much later than another opening packet one must have been sent for its
/// answer to show that the other one was lost: an upstream with several threads
/// may answer in another order.
inline constexpr base::Duration OpeningOrderTolerance =
    std::chrono::milliseconds(10);
/// How long an opening packet counts as unanswered. Callers give up after
/// 1.4 s.
inline constexpr base::Duration UnansweredOpeningLifetime =
    std::chrono::milliseconds(1500);
/// The maximum number of opening packets that are tracked; the oldest are
/// forgotten first.
inline constexpr size_t MaxUnansweredOpenings = 128;

/// Not thread-safe.
class RestartDetector {
public:
  /// Records that the first copy of an opening packet was delivered to the
  /// upstream.
  void recordOpening(base::TimePoint Now, const packet::FlowId &Flow);
  /// Records that the upstream has answered or returned an opening packet.
  /// Returns SkippedOpening if an earlier one is unanswered, which then counts
  /// as lost; otherwise Inconclusive.
  UpstreamEvidence recordOpeningAnswer(base::TimePoint Now,
                                       const packet::FlowId &Flow);
  /// Records a packet from the upstream. IsAfterSilence tells whether it ends a
  /// silence; HeldSince is when the upstream first sent a packet on its flow,
  /// and only used with HoldsFlow.
  SuspicionChange recordPacket(UpstreamEvidence Evidence, bool IsAfterSilence,
                               std::optional<base::TimePoint> HeldSince);
  /// Records a heartbeat, which describes the upstream's current run.
  void recordHeartbeat() { this->IsRestartSuspected = false; }
  /// True from the first evidence of a restart until the next heartbeat, or
  /// until the suspicion is withdrawn.
  bool isRestartSuspected() const { return this->IsRestartSuspected; }

private:
  struct Opening {
    packet::FlowId Flow;
    base::TimePoint SentAt;
  };

  // In the order in which they were sent.
  std::deque<Opening> Unanswered;
  bool IsRestartSuspected = false;
  // When the first of the opening packets was sent whose loss raised the
  // suspicion.
  base::TimePoint SkippedSince;
  // Only skipped opening packets support the suspicion.
  bool IsRefutable = false;
};

} // namespace bilberry::admission

#endif
