// A latency histogram over Boost.Histogram. The buckets are logarithmic from 10
// microseconds to 100 seconds, which covers both the hop of a packet and a slow
// upload. Memory is fixed: 8 bytes per bucket.

#ifndef BILBERRY_METRICS_LATENCY_HISTOGRAM_H
#define BILBERRY_METRICS_LATENCY_HISTOGRAM_H

#include "bilberry/base/clock.h"

#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <vector>

namespace bilberry::metrics {

/// A bucket: the number of durations of at most UpperBoundSeconds.
struct CumulativeBucket {
  double UpperBoundSeconds = 0;
  uint64_t Count = 0;
};

/// Thread-safe; record() is lock-free.
class LatencyHistogram {
public:
  LatencyHistogram();

  /// Records a duration. A negative duration counts as the shortest.
  void record(base::Duration Elapsed);

  /// The number of recorded durations.
  uint64_t count() const;
  /// The sum of the recorded durations in seconds.
  double sumSeconds() const;
  /// Returns all buckets with cumulative counts. The upper bound of the last
  /// one is infinity.
  std::vector<CumulativeBucket> buckets() const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using AtomicCount = boost::histogram::accumulators::thread_safe<uint64_t>;
  using Storage = boost::histogram::dense_storage<AtomicCount>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> Histogram;
  std::atomic<int64_t> SumNanoseconds{0};
};

} // namespace bilberry::metrics

#endif
