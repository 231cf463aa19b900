// Finds upstreams that are much slower than others of their service, by the
// service times that their agents measure, and lowers the number of slots that
// they count for. Meant for upstreams that turn several times slower for some
// seconds while their health endpoints report nothing.
//
// Times are compared with the median of the service, so nothing changes if all
// upstreams are slow. An upstream keeps a small part of its slots, so that it
// still gets flows and is found to be well again.

#ifndef BILBERRY_ROUTING_UPSTREAM_HEALTH_H
#define BILBERRY_ROUTING_UPSTREAM_HEALTH_H

#include "bilberry/members/agent_views.h"

#include <map>
#include <string>
#include <vector>

namespace bilberry::routing {

/// An upstream is slow if its service time exceeds the median by this factor.
/// Lower factors are common for a short time under normal load.
inline constexpr double SlowFactor = 2.0;
/// The smallest share of its slots that a slow upstream counts for.
inline constexpr double MinSlotShare = 0.1;
/// With fewer upstreams of a service, the median says nothing.
inline constexpr size_t MinComparedUpstreams = 3;
/// Interval of the comparison: that of the statuses.
inline constexpr base::Duration HealthInterval = std::chrono::milliseconds(250);

/// Not thread-safe.
class UpstreamHealth {
public:
  /// Sets AgentView::SlotShare of all agents. Returns log lines for upstreams
  /// whose share has changed by more than half. Call several times a second.
  std::vector<std::string> update(base::TimePoint Now,
                                  members::AgentViews &Agents);
  /// The number of upstreams that are slow at present.
  size_t slowUpstreams() const { return this->SlowCount; }

private:
  base::TimePoint NextUpdate;
  size_t SlowCount = 0;
  // The share in the last log line; absent for 1.
  std::map<members::AgentIndex, double> LoggedShares;
};

} // namespace bilberry::routing

#endif
