// A document format with a single fixed route, for tests and benchmarks of
// packet forwarding.

#ifndef BILBERRY_STANDIN_SINGLE_ROUTE_H
#define BILBERRY_STANDIN_SINGLE_ROUTE_H

#include "bilberry/targets/operator_state_cache.h"

namespace bilberry::standin {

/// Returns a format that ignores the contents of the documents: every document
/// parses as version 1 of a route table with one route, to the service
/// "rounds". The service "photos" has no route; neither has limits.
/// Thread-safe.
targets::DocumentFormat singleRouteFormat(const base::Address &Route);

} // namespace bilberry::standin

#endif
