#include "bilberry/admission/capacity_reserve.h"

#include <algorithm>

namespace bilberry::admission {

void CapacityReserve::recordArrival(base::TimePoint Now, uint32_t Priority) {
  this->LastArrivals[Priority] = Now;
  std::erase_if(this->LastArrivals, [&](const auto &Arrival) {
    return Now - Arrival.second > PriorityMemory;
  });
}

uint32_t CapacityReserve::waitingFlowsPerSlot(base::TimePoint Now,
                                              uint32_t Priority) const {
  auto Higher = std::count_if(this->LastArrivals.begin(),
                              this->LastArrivals.lower_bound(Priority),
                              [&](const auto &Arrival) {
                                return Now - Arrival.second <= PriorityMemory;
                              });
  auto Rank = static_cast<uint32_t>(
      std::min<int64_t>(Higher, MaxWaitingFlowsPerSlot - 1));
  return MaxWaitingFlowsPerSlot - Rank;
}

} // namespace bilberry::admission
