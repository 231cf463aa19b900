// Selects the upstream for a new flow, and the next one if it refuses.
//
// Designed for these loads: a steady rate of new flows, some of them long-lived
// with many requests; a burst of new flows; the loss of an upstream, whose
// share the others take over; and an upstream that restarts cold. Traffic
// between data centres is expensive, so an upstream in another data centre is
// selected only if the local ones have a queue and the remote one has less.
//
// The statuses are old, and other balancers choose at the same moment. With
// PlacementPolicy::Even the choice is drawn so that the load stays even anyway;
// see load_forecast.h.

#ifndef BILBERRY_ROUTING_UPSTREAM_CHOICE_H
#define BILBERRY_ROUTING_UPSTREAM_CHOICE_H

#include "bilberry/members/agent_views.h"
#include "bilberry/routing/placement_options.h"

#include <vector>

namespace bilberry::routing {

/// The load of an open idle flow relative to one that waits for a response.
/// It is above zero because long-lived flows send requests now and then.
inline constexpr double IdleFlowWeight = 0.05;
/// Load, in waiting flows per slot, above which upstreams in other data centres
/// are considered.
inline constexpr double BusyLoadThreshold = 1.0;

/// The weight of a flow sent since the agent's last status when checking
/// capacity. Below 1, because most are answered before the next status.
inline constexpr double UnreportedFlowWeight = 0.25;
/// How much lower the load of a remote upstream must be, in waiting flows per
/// slot, to justify the traffic between data centres.
inline constexpr double RemoteLoadMargin = 0.75;
/// Added to the load of a cold upstream, which serves requests more slowly.
inline constexpr double ColdLoadPenalty = 0.5;

/// The time between two statuses of an agent in this data centre, and of one in
/// another (agent::StatusInterval, agent::RelayInterval).
inline constexpr base::Duration LocalStatusAge = std::chrono::milliseconds(250);
inline constexpr base::Duration FarStatusAge = std::chrono::seconds(1);

/// Agents that have refused a flow or to which it was sent.
using TriedAgents = std::vector<members::AgentIndex>;

/// The inputs for selecting an upstream. References are valid for one call.
struct ChoiceRequest {
  base::TimePoint Now;
  const base::ServiceName &Service;
  const base::DataCentreName &DataCentre;
  uint64_t FlowHash = 0;
  const TriedAgents &Tried;
  PlacementPolicy Policy = PlacementPolicy::LeastLoaded;
  /// The balancers of this data centre, this one included.
  size_t Balancers = 1;
};

/// Returns the agent to try next, or NoAgent if no eligible agent is left.
members::AgentIndex chooseUpstream(const members::AgentViews &Agents,
                                   const ChoiceRequest &Request);

/// Returns the load of an agent's upstream by its last status, in waiting flows
/// per slot.
double upstreamLoad(const members::AgentView &View);

/// Returns the flows that are expected to wait at the agent's upstream now:
/// those of its last status and those that this balancer has placed since,
/// without those that have been answered meanwhile by its service time.
double expectedWaitingFlows(base::TimePoint Now,
                            const members::AgentView &View);

/// Records that this balancer has placed Count flows on the agent, or that the
/// agent has refused one because it has Count more flows than expected.
void recordPlacement(base::TimePoint Now, members::AgentView &View,
                     uint32_t Count);

/// Returns how many flows are expected at the agent, from all balancers, within
/// a service time, or until its next status if that is sooner. An agent that
/// doesn't report its arrivals is assumed to get as many from each of the
/// Balancers as from this one.
double expectedArrivals(const members::AgentView &View, size_t Balancers);

} // namespace bilberry::routing

#endif
