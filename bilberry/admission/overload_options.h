// Which rules apply to new flows while upstreams are short of capacity.

#ifndef BILBERRY_ADMISSION_OVERLOAD_OPTIONS_H
#define BILBERRY_ADMISSION_OVERLOAD_OPTIONS_H

namespace bilberry::admission {

/// Set by the operators of a deployment. A plain value.
struct OverloadOptions {
  /// Agents keep capacity free for routes with a higher priority.
  bool ReservesByPriority = false;
  /// Balancers refuse queued flows that can't be placed in time.
  bool RefusesEarly = false;
  /// Callers take turns in a balancer's queue of new flows.
  bool CallersTakeTurns = false;
};

} // namespace bilberry::admission

#endif
