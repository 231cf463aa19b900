// The operators' routes at one version: which services receive the new flows to
// an address, and how long a flow may be idle.

#ifndef BILBERRY_TARGETS_ROUTE_TABLE_H
#define BILBERRY_TARGETS_ROUTE_TABLE_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/name.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace bilberry::targets {

/// A service and its weight among a route's new flows.
struct RouteShare {
  base::ServiceName Service;
  uint32_t Weight = 1;
};

/// The services that receive the new flows to one address.
struct Route {
  /// At least one. New flows are distributed in proportion to the weights.
  std::vector<RouteShare> Shares;
  /// Priority of the requests inside its flows; 0 is the highest.
  uint32_t Priority = 0;
  /// The target latency of a request.
  base::Duration LatencyTarget{0};
  /// How long a caller waits for an answer, with its retries; 0 if unknown.
  base::Duration Timeout{0};

  /// The service for a flow with that hash. Precondition: Shares isn't empty.
  const base::ServiceName &selectService(uint64_t FlowHash) const;
  /// True if the route sends new flows to that service.
  bool allows(const base::ServiceName &Service) const;
};

/// The operators' limits for each upstream of a service.
struct ServiceLimits {
  uint32_t MaxConnections = 0;
  /// Requests per second that a cold upstream can handle.
  double ColdRequestsPerSecond = 0;
};

/// All routes at one version. A plain value; immutable once shared.
struct RouteTable {
  uint64_t Version = 0;
  std::unordered_map<uint64_t, Route> Routes;
  std::map<base::ServiceName, ServiceLimits> Services;
  /// An upstream may drop a flow that has had no packet for this long.
  base::Duration IdleTimeout{0};

  /// The key of an address in Routes.
  static uint64_t key(const base::Address &Address) {
    return (uint64_t{Address.Ip} << 16U) | Address.Port;
  }
  /// The route of an address, or null.
  const Route *find(const base::Address &Address) const {
    auto It = this->Routes.find(key(Address));
    return It == this->Routes.end() ? nullptr : &It->second;
  }
};

} // namespace bilberry::targets

#endif
