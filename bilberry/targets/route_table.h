// The operators' routes at one version: which service's upstreams may be given
// the new flows to an address, and how long flows may last.

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

/// A service's part of a route's new flows.
struct RouteShare {
  base::ServiceName Service;
  uint32_t Weight = 1;
};

/// Where the new flows to one address go.
struct Route {
  /// At least one. Weights say how new flows are spread.
  std::vector<RouteShare> Shares;
  /// Of the requests inside its flows; 0 is the most important.
  uint32_t Priority = 0;
  /// The time in which a request ought to be answered.
  base::Duration Aim{0};

  /// The service for a flow with that hash.
  const base::ServiceName &serviceOf(uint64_t FlowHash) const;
  /// True where the route gives new flows to that service.
  bool allows(const base::ServiceName &Service) const;
};

/// What the operators say of a service's upstreams.
struct ServiceRule {
  uint32_t MaxConnections = 0;
  /// Requests a second that a cold upstream bears.
  double ColdPerSecond = 0;
};

/// A plain value; shared and never changed once built.
struct RouteTable {
  uint64_t Version = 0;
  std::unordered_map<uint64_t, Route> Routes;
  std::map<base::ServiceName, ServiceRule> Services;
  /// A flow without a packet for this long may be dropped by its upstream.
  base::Duration IdleTimeout{0};

  /// The key under which a route's address is found.
  static uint64_t key(const base::Address &Address) {
    return (uint64_t{Address.Ip} << 16U) | Address.Port;
  }
  /// The route, or null.
  const Route *find(const base::Address &Address) const {
    auto It = this->Routes.find(key(Address));
    return It == this->Routes.end() ? nullptr : &It->second;
  }
};

} // namespace bilberry::targets

#endif
