#include "bilberry/targets/route_table.h"

#include <algorithm>

namespace bilberry::targets {

const base::ServiceName &Route::selectService(uint64_t FlowHash) const {
  uint64_t Total = 0;
  for (const RouteShare &Share : this->Shares) {
    Total += Share.Weight;
  }
  uint64_t Offset = Total == 0 ? 0 : FlowHash % Total;
  for (const RouteShare &Share : this->Shares) {
    if (Offset < Share.Weight) {
      return Share.Service;
    }
    Offset -= Share.Weight;
  }
  return this->Shares.front().Service;
}

bool Route::allows(const base::ServiceName &Service) const {
  return std::any_of(this->Shares.begin(), this->Shares.end(),
                     [&](const RouteShare &Share) {
                       return Share.Service == Service && Share.Weight > 0;
                     });
}

} // namespace bilberry::targets
