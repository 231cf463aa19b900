// The rate at which an agent admits new flows, from the running totals in its
// statuses. The totals include the flows that other balancers have placed, so a
// balancer learns of their placements without messages between balancers.

#ifndef BILBERRY_MEMBERS_ARRIVAL_RATE_H
#define BILBERRY_MEMBERS_ARRIVAL_RATE_H

#include "bilberry/base/clock.h"

#include <cmath>
#include <cstdint>

namespace bilberry::members {

/// The time over which arrivals are averaged: four statuses, so that a burst is
/// followed within a second and single flows don't count as one.
inline constexpr base::Duration ArrivalAveragingTime = std::chrono::seconds(1);

/// An exponential moving average of the arrivals at one agent. Not thread-safe.
class ArrivalRate {
public:
  /// Records the total of a status received at At. A total that is lower than
  /// the last one is of another run of the agent and begins anew.
  void record(base::TimePoint At, uint64_t Total) {
    base::Duration Elapsed = At - this->LastAt;
    bool IsFirst = this->LastAt == base::TimePoint() || Total < this->LastTotal;
    if (!IsFirst && Elapsed <= base::Duration(0)) {
      return;
    }
    if (!IsFirst) {
      double Seconds = std::chrono::duration<double>(Elapsed).count();
      double Rate = static_cast<double>(Total - this->LastTotal) / Seconds;
      double Weight =
          1 -
          std::exp(-Seconds /
                   std::chrono::duration<double>(ArrivalAveragingTime).count());
      this->Rate += Weight * (Rate - this->Rate);
    }
    this->LastAt = At;
    this->LastTotal = Total;
  }

  /// Flows per second; 0 before the second status of a run.
  double perSecond() const { return this->Rate; }

private:
  base::TimePoint LastAt;
  uint64_t LastTotal = 0;
  double Rate = 0;
};

} // namespace bilberry::members

#endif
