// Selects the upstream for a new flow, and the next one if it refuses.
//
// Designed for these loads: a steady rate of new flows, some of them long-lived
// with many requests; a burst of new flows; the loss of an upstream, whose
// share the others take over; and an upstream that restarts cold. Traffic
// between data centres is expensive, so an upstream in another data centre is
// selected only if the local ones have a queue and the remote one has less.

#ifndef BILBERRY_ROUTING_UPSTREAM_CHOICE_H
#define BILBERRY_ROUTING_UPSTREAM_CHOICE_H

#include "bilberry/members/agent_views.h"

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

/// Agents that have refused a flow or to which it was sent.
using TriedAgents = std::vector<members::AgentIndex>;

/// The inputs for selecting an upstream. References are valid for one call.
struct ChoiceRequest {
  base::TimePoint Now;
  const base::ServiceName &Service;
  const base::DataCentreName &DataCentre;
  uint64_t FlowHash = 0;
  const TriedAgents &Tried;
};

/// Returns the agent to try next, or NoAgent if no eligible agent is left.
members::AgentIndex chooseUpstream(const members::AgentViews &Agents,
                                   const ChoiceRequest &Request);

/// Returns the load of an agent's upstream, in waiting flows per slot.
double upstreamLoad(const members::AgentView &View);

} // namespace bilberry::routing

#endif
