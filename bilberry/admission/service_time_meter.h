// The recent service time of one upstream, as its agent sees it: from the last
// data of a caller's request to the first data of the response. It includes the
// wait for a slot. Unlike health endpoints, it can't be wrong about a slow
// upstream.
//
// Requests that are never answered don't show in it. So while all slots are in
// use, it is at least the number of waiting requests divided by the responses
// per second (Little's law).

#ifndef BILBERRY_ADMISSION_SERVICE_TIME_METER_H
#define BILBERRY_ADMISSION_SERVICE_TIME_METER_H

#include "bilberry/base/clock.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace bilberry::admission {

/// The time over which service times are averaged, so that a change of the
/// upstream shows within a second.
inline constexpr base::Duration ServiceTimeAveraging = std::chrono::seconds(1);

/// An exponential moving average. Not thread-safe.
class ServiceTimeMeter {
public:
  /// Records a response that came Time after its request.
  void record(base::TimePoint Now, base::Duration Time) {
    double Seconds = std::chrono::duration<double>(Time).count();
    base::Duration Elapsed = Now - this->LastAt;
    double Weight =
        this->LastAt == base::TimePoint()
            ? 1
            : 1 - std::exp(-std::chrono::duration<double>(Elapsed).count() /
                           std::chrono::duration<double>(ServiceTimeAveraging)
                               .count());
    this->Average += Weight * (Seconds - this->Average);
    this->Responses = this->responsesPerSecond(Now) + 1;
    this->LastAt = Now;
  }
  /// Forgets all responses: those of an earlier run of the upstream say nothing
  /// about the present one.
  void reset() { *this = ServiceTimeMeter(); }

  /// How long a request that waits now is expected to stay; 0 before the first
  /// response.
  base::Duration expected(base::TimePoint Now, uint32_t Waiting,
                          uint32_t Slots) const {
    double Seconds = this->Average;
    if (Waiting >= Slots && Seconds > 0) {
      double Rate = this->responsesPerSecond(Now);
      double ByRate = Rate > 0 ? Waiting / Rate : MaxSeconds;
      Seconds = std::max(Seconds, std::min(ByRate, MaxSeconds));
    }
    return std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(Seconds));
  }

private:
  // Longer than any request is waited for.
  static constexpr double MaxSeconds = 60;

  // Each response counts for one, and decays with ServiceTimeAveraging, which
  // is one second.
  double responsesPerSecond(base::TimePoint Now) const {
    base::Duration Elapsed = Now - this->LastAt;
    return this->Responses *
           std::exp(
               -std::chrono::duration<double>(Elapsed).count() /
               std::chrono::duration<double>(ServiceTimeAveraging).count());
  }

  double Average = 0;
  double Responses = 0;
  base::TimePoint LastAt;
};

} // namespace bilberry::admission

#endif
