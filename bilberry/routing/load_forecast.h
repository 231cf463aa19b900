// Chooses among upstreams by loads that are out of date.
//
// Every balancer sees the same statuses, which are up to a status interval old,
// while requests are answered within a fraction of that. If each chose the
// least loaded upstream, all of them would choose the same one until its next
// status, and upstreams that were full once would be left idle until then. So
// the load that is expected now is used, and the choice is drawn: the flows
// that are expected from all balancers are distributed over the candidates so
// that all reach the same load, and each candidate is drawn in proportion to
// the part that it gets. A candidate that suddenly reports no load, for example
// because it fails all requests at once, gets no more than its part.
//
// Source: M. Dahlin, "Interpreting Stale Load Information" (1999), the basic
// algorithm; here with slots, with the balancer's own placements added, and
// without what has been answered since the status.

#ifndef BILBERRY_ROUTING_LOAD_FORECAST_H
#define BILBERRY_ROUTING_LOAD_FORECAST_H

#include "bilberry/members/agent_views.h"

#include <cstdint>
#include <span>
#include <vector>

namespace bilberry::routing {

/// An upstream that may get the flow.
struct Candidate {
  members::AgentIndex Index = members::NoAgent;
  /// The waiting flows per slot that are expected now.
  double Load = 0;
  /// The number of requests that it processes concurrently; positive.
  double Slots = 1;
};

/// Returns the load per slot that all candidates below it reach if Arrivals
/// flows are distributed over them; the lowest load if Arrivals is 0.
/// Precondition: there is a candidate. Thread-safe.
double levelAfter(std::span<const Candidate> Candidates, double Arrivals);

/// Draws a candidate in proportion to what it gets when Arrivals flows are
/// distributed evenly. FlowHash determines the draw. Returns NoAgent without
/// candidates. Thread-safe.
members::AgentIndex drawCandidate(std::span<const Candidate> Candidates,
                                  double Arrivals, uint64_t FlowHash);

} // namespace bilberry::routing

#endif
