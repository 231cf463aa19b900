// Clocks of the runtime. Decision code never reads a clock; the caller passes
// the current time point. Daemons use a SteadyClock or a BootClock, tests a
// ManualClock that they advance.

#ifndef BILBERRY_BASE_CLOCK_H
#define BILBERRY_BASE_CLOCK_H

#include <chrono>
#include <concepts>
#include <ctime>
#include <mutex>

namespace bilberry::base {

using Duration = std::chrono::nanoseconds;
/// A point in wall-clock time. Monotonic within one process.
using TimePoint = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// The largest difference assumed between the clocks of two machines.
inline constexpr Duration MaxClockSkew = std::chrono::seconds(2);

template <typename T>
concept Clock = requires(const T &C) {
  { C.now() } -> std::same_as<TimePoint>;
};

/// Reads the wall-clock time once and adds the elapsed monotonic time, so that
/// a step of the system clock does not affect timers. Thread-safe.
class SteadyClock {
public:
  SteadyClock()
      : StartTime(std::chrono::time_point_cast<Duration>(
            std::chrono::system_clock::now())),
        MonotonicStart(std::chrono::steady_clock::now()) {}

  /// The current time. Thread-safe.
  TimePoint now() const {
    return this->StartTime +
           std::chrono::duration_cast<Duration>(
               std::chrono::steady_clock::now() - this->MonotonicStart);
  }

private:
  TimePoint StartTime;
  std::chrono::steady_clock::time_point MonotonicStart;
};

/// A clock for tests. Its time changes only through advance(). Thread-safe.
class ManualClock {
public:
  explicit ManualClock(TimePoint StartTime = TimePoint(std::chrono::hours(24)))
      : CurrentTime(StartTime) {}

  /// The start time plus all advances so far.
  TimePoint now() const {
    std::lock_guard Lock(this->Mutex);
    return this->CurrentTime;
  }

  /// Advances the time. Precondition: Amount is not negative.
  void advance(Duration Amount) {
    std::lock_guard Lock(this->Mutex);
    this->CurrentTime += Amount;
  }

private:
  mutable std::mutex Mutex;
  TimePoint CurrentTime;
};

/// Like SteadyClock, but includes the time for which the machine was suspended
/// (CLOCK_BOOTTIME), so that the age computed for cached state is correct after
/// a resume.
class BootClock {
public:
  BootClock()
      : StartTime(std::chrono::time_point_cast<Duration>(
            std::chrono::system_clock::now())),
        MonotonicStart(sinceBoot()) {}

  /// The current time. Thread-safe.
  TimePoint now() const {
    return this->StartTime + (sinceBoot() - this->MonotonicStart);
  }

private:
  static Duration sinceBoot() {
    timespec Value = {};
    clock_gettime(CLOCK_BOOTTIME, &Value);
    return std::chrono::seconds(Value.tv_sec) + Duration(Value.tv_nsec);
  }

  TimePoint StartTime;
  Duration MonotonicStart;
};

static_assert(Clock<SteadyClock> && Clock<ManualClock> && Clock<BootClock>);

} // namespace bilberry::base

#endif
