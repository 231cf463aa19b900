// The runtime's clock. Decision code never reads a clock: it is given the time
// point. Daemons pass a SteadyClock, tests a PausedClock that they advance.

#ifndef BILBERRY_BASE_CLOCK_H
#define BILBERRY_BASE_CLOCK_H

#include <chrono>
#include <concepts>
#include <ctime>
#include <mutex>

namespace bilberry::base {

using Duration = std::chrono::nanoseconds;
/// A point in wall-clock time. Within one process it never goes back.
using TimePoint = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// The bound on the difference between two machines' clocks.
inline constexpr Duration MaxClockSkew = std::chrono::seconds(2);

template <typename T>
concept Clock = requires(const T &C) {
  { C.now() } -> std::same_as<TimePoint>;
};

/// Wall-clock time read once, then advanced by the monotonic clock, so that a
/// step of the machine's clock moves no timer. Safe to share between threads.
class SteadyClock {
public:
  SteadyClock()
      : Start(std::chrono::time_point_cast<Duration>(
            std::chrono::system_clock::now())),
        Origin(std::chrono::steady_clock::now()) {}

  /// The time now. Safe to call from any thread.
  TimePoint now() const {
    return this->Start + std::chrono::duration_cast<Duration>(
                             std::chrono::steady_clock::now() - this->Origin);
  }

private:
  TimePoint Start;
  std::chrono::steady_clock::time_point Origin;
};

/// A clock that stands still until a test advances it. Safe to share between
/// threads.
class PausedClock {
public:
  explicit PausedClock(TimePoint Start = TimePoint(std::chrono::hours(24)))
      : Current(Start) {}

  /// The time that the test has set.
  TimePoint now() const {
    std::lock_guard Lock(this->Mutex);
    return this->Current;
  }

  /// Moves the time forward. Precondition: Step is not negative.
  void advance(Duration Step) {
    std::lock_guard Lock(this->Mutex);
    this->Current += Step;
  }

private:
  mutable std::mutex Mutex;
  TimePoint Current;
};

/// As SteadyClock, but counts the time for which the machine was suspended, so
/// that what a process knows is as old after it as the world says.
class BootClock {
public:
  BootClock()
      : Start(std::chrono::time_point_cast<Duration>(
            std::chrono::system_clock::now())),
        Origin(sinceBoot()) {}

  /// The time now. Safe to call from any thread.
  TimePoint now() const { return this->Start + (sinceBoot() - this->Origin); }

private:
  static Duration sinceBoot() {
    timespec Value = {};
    clock_gettime(CLOCK_BOOTTIME, &Value);
    return std::chrono::seconds(Value.tv_sec) + Duration(Value.tv_nsec);
  }

  TimePoint Start;
  Duration Origin;
};

static_assert(Clock<SteadyClock> && Clock<PausedClock> && Clock<BootClock>);

} // namespace bilberry::base

#endif
