// An adaptive concurrency limit for one resource of an upstream: slots or
// connections.
//
// The algorithm is additive increase, multiplicative decrease (Chiu and Jain,
// 1989), with three differences. First, the limit is raised only by
// completions: CompletionsPerStep of them since the last change, within the
// latency bound and while the limit was in use, raise it by one. So at any
// time
//
//   limit <= floor + completions since the last restart / CompletionsPerStep
//
// and an upstream that warms up at that rate is never overloaded. Second, a
// shed at or below a level that completions have proven is not caused by
// probing: the upstream's capacity has decreased, so it may have restarted, and
// the limit falls to the floor at once.
//
// Third, evidence expires, since an idle upstream may turn cold undetected: the
// limit is at most twice the recent peak use, like the congestion window
// validation of TCP (RFC 2861, RFC 7661).

#ifndef BILBERRY_ADMISSION_WORKING_LIMIT_H
#define BILBERRY_ADMISSION_WORKING_LIMIT_H

#include "bilberry/base/clock.h"

#include <cstdint>

namespace bilberry::admission {

/// The outcome of a request or flow that held a slot or a connection.
enum class Completion : uint8_t {
  /// Answered; its latency is compared with the bound.
  Done,
  /// The upstream refused it because of overload.
  Shed,
  /// No response in time.
  Timeout,
  /// Cancelled, refused for another reason, or failed: no evidence about load.
  Neutral,
};

/// Within this time after a decrease, the limit is not decreased again, and a
/// further shed counts as a burst.
inline constexpr base::Duration DecreaseWindow = std::chrono::seconds(1);

/// The interval over which peak use is measured; a peak expires after one to
/// two intervals.
inline constexpr base::Duration PeakUseInterval = std::chrono::seconds(10);

/// The parameters of one limit, from the targets.
struct LimitRule {
  /// The capacity of an upstream in cold start.
  uint32_t Floor = 0;
  /// The upper bound of the limit.
  uint32_t Ceiling = 0;
  /// Completions that raise the limit by one; 0 is treated as 1.
  uint32_t CompletionsPerStep = 1;
  /// A slower completion lowers the limit. 0 means no bound.
  base::Duration LatencyBound{0};
};

/// The limit and the number held. Not thread-safe; UpstreamLimits locks it.
class WorkingLimit {
public:
  /// Sets the parameters and clamps the limit to the new floor and ceiling. A
  /// raised ceiling doesn't raise the limit. What is held stays held.
  void setRule(const LimitRule &Rule);

  /// Acquires one. Returns false if the limit is reached.
  bool acquire(base::TimePoint Now);
  /// Acquires Count regardless of the limit, for work that is already on the
  /// upstream.
  void acquireUnchecked(base::TimePoint Now, uint32_t Count);
  /// Releases one. Does nothing if none is held.
  void release();

  /// Adjusts the limit for the outcome of work that is still held. Elapsed is
  /// used for Done only.
  void recordCompletion(base::TimePoint Now, Completion Outcome,
                        base::Duration Elapsed);
  /// Halves the limit, not below the floor and at most once per
  /// DecreaseWindow.
  void decrease(base::TimePoint Now);
  /// Sets the limit to the floor, since the upstream may have restarted.
  void fallToFloor();
  /// Sets the number held to zero, since the upstream has lost its work.
  void resetHeld() { this->Held = 0; }

  uint32_t limit() const { return this->Limit; }
  uint32_t inUse() const { return this->Held; }
  uint64_t sheds() const { return this->ShedCount; }
  uint64_t fallsToFloor() const { return this->FallToFloorCount; }
  bool isAtFloor() const { return this->Limit <= this->Rule.Floor; }
  /// True if the floor is below the ceiling.
  bool canRise() const { return this->Rule.Floor < this->Rule.Ceiling; }

private:
  bool isLimitUsed() const;
  void expirePeak(base::TimePoint Now);
  void addHeld(uint32_t Count);
  bool isInDecreaseWindow(base::TimePoint Now) const;
  void countCompletion();
  void onShed(base::TimePoint Now);
  void lowerTo(uint32_t NewLimit);

  LimitRule Rule;
  uint32_t Limit = 0;
  uint32_t Held = 0;
  /// Completions since the last change of the limit that count towards the
  /// next step.
  uint32_t CompletionCount = 0;
  /// The smallest number held at any of those completions.
  uint32_t MinHeldInStep = 0;
  /// The highest level at which a full step of completions was counted.
  uint32_t ProvenLevel = 0;
  /// The largest number held since PeakSince.
  uint32_t PeakHeld = 0;
  base::TimePoint PeakSince;
  bool HasDecreased = false;
  base::TimePoint LastDecrease;
  uint64_t ShedCount = 0;
  uint64_t FallToFloorCount = 0;
};

} // namespace bilberry::admission

#endif
