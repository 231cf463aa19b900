// At most so many events in each second, for log lines that bad input could
// otherwise repeat without bound.

#ifndef BILBERRY_BASE_RATE_LIMITER_H
#define BILBERRY_BASE_RATE_LIMITER_H

#include "bilberry/base/clock.h"

#include <cstdint>
#include <mutex>

namespace bilberry::base {

/// Thread-safe.
class RateLimiter {
public:
  /// Precondition: PerSecond is at least 1.
  explicit RateLimiter(uint32_t PerSecond) : PerSecond(PerSecond) {}

  /// True while the second that Now lies in has room for one more.
  bool allow(TimePoint Now) {
    std::lock_guard Lock(this->Mutex);
    if (Now - this->WindowStart >= std::chrono::seconds(1)) {
      this->WindowStart = Now;
      this->Used = 0;
    }
    if (this->Used >= this->PerSecond) {
      return false;
    }
    ++this->Used;
    return true;
  }

private:
  std::mutex Mutex;
  uint32_t PerSecond;
  uint32_t Used = 0;
  TimePoint WindowStart;
};

} // namespace bilberry::base

#endif
