// Keeps the last capacity of an upstream free for routes with a higher
// priority.
//
// Requests on open flows can't be refused, so under a burst the upstream fills
// up with whatever arrives first. With the reserve, a new flow of a route with
// a lower priority is admitted only up to a lower number of waiting flows.
// Meant for a burst of one kind of request while upstreams are missing: the
// others find capacity within their latency target, and the flows that are
// returned wait at their balancers or go to another upstream.
//
// Priorities are ranked among the routes whose new flows have arrived lately:
// the operators' list may hold routes that aren't in use.

#ifndef BILBERRY_ADMISSION_CAPACITY_RESERVE_H
#define BILBERRY_ADMISSION_CAPACITY_RESERVE_H

#include "bilberry/base/clock.h"

#include <cstdint>
#include <map>

namespace bilberry::admission {

/// The maximum number of waiting flows per slot. A wait of three service times
/// is about what the latency goals allow.
inline constexpr uint32_t MaxWaitingFlowsPerSlot = 3;
/// How long a priority counts as in use after its last new flow: longer than
/// the gaps between the flows of a route that an upstream serves.
inline constexpr base::Duration PriorityMemory = std::chrono::seconds(5);

/// Ranks the priorities at one upstream. Not thread-safe.
class CapacityReserve {
public:
  /// Records a new flow of a route with this priority; 0 is the highest.
  void recordArrival(base::TimePoint Now, uint32_t Priority);
  /// The waiting flows per slot below which a new flow is admitted:
  /// MaxWaitingFlowsPerSlot for the highest priority in use, one less for each
  /// rank below it, and at least 1.
  uint32_t waitingFlowsPerSlot(base::TimePoint Now, uint32_t Priority) const;

private:
  // When a new flow of each priority last arrived.
  std::map<uint32_t, base::TimePoint> LastArrivals;
};

} // namespace bilberry::admission

#endif
