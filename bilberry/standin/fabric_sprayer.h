// Which balancer the fabric hands a packet to: any live one, at random. A pure
// object with a fixed seed, so that a run can be repeated.

#ifndef BILBERRY_STANDIN_FABRIC_SPRAYER_H
#define BILBERRY_STANDIN_FABRIC_SPRAYER_H

#include "bilberry/base/address.h"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace bilberry::standin {

/// Not safe for two threads at once.
class FabricSprayer {
public:
  FabricSprayer(std::vector<base::Address> Balancers, uint64_t Seed);

  /// The balancer for the next packet; none where none is live.
  std::optional<base::Address> next();

  /// Replaces the list. Those that were cut stay cut.
  void setBalancers(std::vector<base::Address> Balancers);
  /// Sends nothing more to one, or sends to it again.
  void cut(base::Address Balancer);
  void restore(base::Address Balancer);

  const std::vector<base::Address> &live() const { return this->Live; }

private:
  void update();

  std::vector<base::Address> All;
  std::set<base::Address> Cut;
  std::vector<base::Address> Live;
  std::mt19937_64 Random;
};

} // namespace bilberry::standin

#endif
