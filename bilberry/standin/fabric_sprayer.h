// Simulates packet spraying by the network fabric: each packet goes to a
// random enabled balancer. The seed is fixed, so that a run can be repeated.

#ifndef BILBERRY_STANDIN_FABRIC_SPRAYER_H
#define BILBERRY_STANDIN_FABRIC_SPRAYER_H

#include "bilberry/base/address.h"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace bilberry::standin {

/// Selects a balancer for each packet. Not thread-safe.
class FabricSprayer {
public:
  FabricSprayer(std::vector<base::Address> Balancers, uint64_t Seed);

  /// The balancer for the next packet; none where no balancer is enabled.
  std::optional<base::Address> next();

  /// Replaces the list. Disabled balancers stay disabled.
  void setBalancers(std::vector<base::Address> Balancers);
  /// Stops selecting a balancer, or selects it again.
  void disableBalancer(base::Address Balancer);
  void enableBalancer(base::Address Balancer);

  const std::vector<base::Address> &live() const { return this->Live; }

private:
  void updateLive();

  std::vector<base::Address> AllBalancers;
  std::set<base::Address> Disabled;
  std::vector<base::Address> Live;
  std::mt19937_64 Random;
};

} // namespace bilberry::standin

#endif
