// Whether a queued new flow can still be placed before its caller gives up.
//
// After a power failure all upstreams of a service are cold, and each accepts a
// few new flows per second. It is known how long they stay cold. A flow whose
// caller gives up before that, and that comes after more flows than the cold
// upstreams accept until then, can't be served by this attempt nor by a retry:
// its caller gets a reset now. All other flows wait, since a caller that is
// refused uses up its retries within milliseconds.

#ifndef BILBERRY_ADMISSION_QUEUE_FORECAST_H
#define BILBERRY_ADMISSION_QUEUE_FORECAST_H

#include "bilberry/base/clock.h"

#include <cstddef>
#include <optional>

namespace bilberry::admission {

/// What a balancer knows of the upstreams of one service.
struct ServiceCapacity {
  /// An upstream is in service and warm, or its state is unknown. It frees
  /// capacity within a service time, so no flow is refused early.
  bool HasWarmUpstream = false;
  /// When the first of the cold upstreams becomes warm; empty without any.
  std::optional<base::TimePoint> WarmAt;
  /// The new flows per second that the cold upstreams accept from this
  /// balancer.
  double ColdFlowsPerSecond = 0;
};

/// Returns true if a flow with Position other flows of its service before it
/// may be placed before GivesUpAt, the time when its caller has given up all
/// its attempts. Thread-safe.
bool mayBePlacedInTime(base::TimePoint Now, const ServiceCapacity &Capacity,
                       size_t Position, base::TimePoint GivesUpAt);

} // namespace bilberry::admission

#endif
