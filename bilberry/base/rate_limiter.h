// Limits the number of events per second, such as log lines that malformed
// input could otherwise cause without bound.

#ifndef BILBERRY_BASE_RATE_LIMITER_H
#define BILBERRY_BASE_RATE_LIMITER_H

#include "bilberry/base/clock.h"

#include <cstdint>
#include <mutex>

namespace bilberry::base {

/// A fixed-window limiter with windows of one second. Thread-safe.
class RateLimiter {
public:
  /// Precondition: MaxPerSecond is at least 1.
  explicit RateLimiter(uint32_t MaxPerSecond) : MaxPerSecond(MaxPerSecond) {}

  /// Returns true and counts the event if the current window is below its
  /// limit.
  bool allow(TimePoint Now) {
    std::lock_guard Lock(this->Mutex);
    if (Now - this->WindowStart >= std::chrono::seconds(1)) {
      this->WindowStart = Now;
      this->AllowedInWindow = 0;
    }
    if (this->AllowedInWindow >= this->MaxPerSecond) {
      return false;
    }
    ++this->AllowedInWindow;
    return true;
  }

private:
  std::mutex Mutex;
  uint32_t MaxPerSecond;
  uint32_t AllowedInWindow = 0;
  TimePoint WindowStart;
};

} // namespace bilberry::base

#endif
