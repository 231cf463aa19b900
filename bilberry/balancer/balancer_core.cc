#include "bilberry/balancer/balancer_core.h"

#include "bilberry/log/log.h"

#include <string>

namespace bilberry::balancer {

void BalancerCore::logRoute(base::TimePoint Now,
                            const wire::FabricEnvelope &Envelope,
                            const routing::Route &Route) {
  // The decision on a cached flow was logged when the flow was new.
  if (Route.Reason == routing::RouteReason::Cached) {
    return;
  }
  std::string Subject =
      Envelope.Service.text() + "/" + base::addressText(Envelope.Caller);
  log::logRoutingDecision(Now, Subject, Route);
}

} // namespace bilberry::balancer
