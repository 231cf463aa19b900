// How long something took, counted in buckets by Boost.Histogram: logarithmic
// from 10 microseconds to 100 seconds, so that one size serves a packet's hop
// and a slow upload. Memory: 8 bytes a bucket, fixed.

#ifndef BILBERRY_METRICS_LATENCY_HISTOGRAM_H
#define BILBERRY_METRICS_LATENCY_HISTOGRAM_H

#include "bilberry/base/clock.h"

#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <vector>

namespace bilberry::metrics {

/// One bucket: how many took no longer than UpTo seconds.
struct CumulativeBucket {
  double UpTo = 0;
  uint64_t Count = 0;
};

/// Thread-safe; record() takes no lock.
class LatencyHistogram {
public:
  LatencyHistogram();

  /// Counts one duration. Negative ones count as the shortest.
  void record(base::Duration Took);

  /// Durations counted.
  uint64_t count() const;
  /// Their sum in seconds.
  double sumSeconds() const;
  /// Every bucket, cumulative, the last one without an upper bound.
  std::vector<CumulativeBucket> buckets() const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Cell = boost::histogram::accumulators::thread_safe<uint64_t>;
  using Storage = boost::histogram::dense_storage<Cell>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> Histogram;
  std::atomic<int64_t> SumNanoseconds{0};
};

} // namespace bilberry::metrics

#endif
