// Renders the balancer's /status and /metrics pages.

#ifndef BILBERRY_BALANCER_BALANCER_PAGES_H
#define BILBERRY_BALANCER_BALANCER_PAGES_H

#include "bilberry/balancer/balancer_core.h"
#include "bilberry/links/peer_links.h"
#include "bilberry/members/member.h"

#include <string>

namespace bilberry::balancer {

/// The state of a balancer at one moment, as the pages show it.
struct BalancerStatus {
  members::Member Self;
  size_t Members = 0;
  bool IsFenced = false;
  uint64_t Pauses = 0;
  uint64_t FencedDatagrams = 0;
  uint64_t StoreCalls = 0;
  size_t CachedFlows = 0;
  links::LinkCounts Links;
  /// Must be set before a page is rendered, and outlive the status.
  const BalancerCounts *Counts = nullptr;
};

/// Render the pages: JSON and the Prometheus text format. Thread-safe.
/// Precondition: Counts is set.
std::string statusPage(const BalancerStatus &Status);
std::string metricsPage(const BalancerStatus &Status);

} // namespace bilberry::balancer

#endif
