// Bounds the log lines about decisions under load. Each importance has a limit
// of its own, so that routine lines can't take the place of others.

#ifndef BILBERRY_LOG_DECISION_LIMITER_H
#define BILBERRY_LOG_DECISION_LIMITER_H

#include "bilberry/base/rate_limiter.h"
#include "bilberry/log/line_queue.h"

#include <array>
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
    bool IsAllowed = this->Limiters[static_cast<size_t>(Rank)].allow(Now);
    this->Suppressed += IsAllowed ? 0 : 1;
    return IsAllowed;
  }
  /// The number of decisions that were not allowed.
  uint64_t suppressed() const { return this->Suppressed; }

private:
  // By Importance.
  std::array<base::RateLimiter, ImportanceCount> Limiters{
      base::RateLimiter(MaxDecisionLinesPerSecond),
      base::RateLimiter(MaxDecisionLinesPerSecond),
      base::RateLimiter(MaxDecisionLinesPerSecond)};
  std::atomic<uint64_t> Suppressed{0};
};

} // namespace bilberry::log

#endif
