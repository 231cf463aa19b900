#include "bilberry/admission/queue_forecast.h"

namespace bilberry::admission {

bool mayBePlacedInTime(base::TimePoint Now, const ServiceCapacity &Capacity,
                       size_t Position, base::TimePoint GivesUpAt) {
  bool IsKnownToBeCold = !Capacity.HasWarmUpstream && Capacity.WarmAt;
  if (!IsKnownToBeCold || GivesUpAt >= *Capacity.WarmAt) {
    return true;
  }
  double SecondsLeft = std::chrono::duration<double>(GivesUpAt - Now).count();
  return static_cast<double>(Position) <
         Capacity.ColdFlowsPerSecond * SecondsLeft;
}

} // namespace bilberry::admission
