// How a balancer chooses the upstreams of new flows.

#ifndef BILBERRY_ROUTING_PLACEMENT_OPTIONS_H
#define BILBERRY_ROUTING_PLACEMENT_OPTIONS_H

#include <cstdint>

namespace bilberry::routing {

/// How an upstream is chosen from those with capacity.
enum class PlacementPolicy : uint8_t {
  /// The least loaded one by its last status.
  LeastLoaded,
  /// Drawn so that the load stays even although statuses are old and other
  /// balancers choose at the same time.
  Even,
};

/// Set by the operators of a deployment. A plain value.
struct PlacementOptions {
  PlacementPolicy Policy = PlacementPolicy::LeastLoaded;
  /// Upstreams that are slower than others of their service count as having
  /// fewer slots.
  bool WeighsByServiceTime = false;
};

} // namespace bilberry::routing

#endif
