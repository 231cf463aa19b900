// Operators' documents with a single route, for tests and benches of parts that
// relay packets.

#ifndef BILBERRY_STANDIN_ONE_ROUTE_H
#define BILBERRY_STANDIN_ONE_ROUTE_H

#include "bilberry/targets/operator_board.h"

namespace bilberry::standin {

/// Whatever the documents say, version 1 has one route, to the service
/// "rounds", which knows no limits. Thread-safe.
targets::DocumentFormat oneRouteFormat(const base::Address &Route);

} // namespace bilberry::standin

#endif
