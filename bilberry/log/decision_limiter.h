// Bounds the log lines about decisions under load. Decisions that break or
// refuse something have a limit of their own, so that routine ones can't take
// their place.

#ifndef BILBERRY_LOG_DECISION_LIMITER_H
#define BILBERRY_LOG_DECISION_LIMITER_H

#include "bilberry/base/rate_limiter.h"
#include "bilberry/log/line_queue.h"

#include <atomic>
#include <cstdint>

namespace bilberry::log {

/// Maximum number of lines about decisions per second, of each importance.
inline constexpr uint32_t MaxDecisionLinesPerSecond = 100;

/// Thread-safe.
class DecisionLimiter {
public:
  /// Returns true if a decision of this importance may be logged now; otherwise
  /// counts it as suppressed.
  bool allow(base::TimePoint Now, Importance Rank) {
    base::RateLimiter &Limiter =
        Rank == Importance::Failure ? this->Failures : this->Others;
    bool IsAllowed = Limiter.allow(Now);
    this->Suppressed += IsAllowed ? 0 : 1;
    return IsAllowed;
  }
  /// The number of decisions that were not allowed.
  uint64_t suppressed() const { return this->Suppressed; }

private:
  base::RateLimiter Failures{MaxDecisionLinesPerSecond};
  base::RateLimiter Others{MaxDecisionLinesPerSecond};
  std::atomic<uint64_t> Suppressed{0};
};

} // namespace bilberry::log

#endif
