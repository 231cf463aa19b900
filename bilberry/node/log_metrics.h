// The metrics of the log, which all daemons serve.

#ifndef BILBERRY_NODE_LOG_METRICS_H
#define BILBERRY_NODE_LOG_METRICS_H

#include "bilberry/metrics/exposition.h"

namespace bilberry::node {

/// Adds the metrics of the log to a page. Thread-safe for distinct pages.
void addLogMetrics(metrics::Exposition &Page);

} // namespace bilberry::node

#endif
