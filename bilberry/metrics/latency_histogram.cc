#include "bilberry/metrics/latency_histogram.h"

#include <algorithm>
#include <limits>

namespace bilberry::metrics {

static constexpr unsigned BucketCount = 35; // Five per decade.
static constexpr double ShortestSeconds = 1e-5;
static constexpr double LongestSeconds = 1e2;

LatencyHistogram::LatencyHistogram()
    : Histogram(
          std::make_tuple(Axis(BucketCount, ShortestSeconds, LongestSeconds))) {
}

static double toSeconds(base::Duration Elapsed) {
  return std::chrono::duration<double>(Elapsed).count();
}

void LatencyHistogram::record(base::Duration Elapsed) {
  // The logarithmic axis has no bucket for values that are not positive.
  Elapsed = std::max(Elapsed, base::Duration(1));
  this->Histogram(toSeconds(Elapsed));
  this->SumNanoseconds.fetch_add(Elapsed.count());
}

uint64_t LatencyHistogram::count() const {
  uint64_t Total = 0;
  for (auto &&Item : boost::histogram::indexed(
           this->Histogram, boost::histogram::coverage::all)) {
    Total += static_cast<uint64_t>(*Item);
  }
  return Total;
}

double LatencyHistogram::sumSeconds() const {
  return toSeconds(base::Duration(this->SumNanoseconds.load()));
}

std::vector<CumulativeBucket> LatencyHistogram::buckets() const {
  std::vector<CumulativeBucket> CumulativeBuckets;
  uint64_t CumulativeCount = 0;
  for (auto &&Item : boost::histogram::indexed(
           this->Histogram, boost::histogram::coverage::all)) {
    CumulativeCount += static_cast<uint64_t>(*Item);
    CumulativeBuckets.push_back({Item.bin(0).upper(), CumulativeCount});
  }
  CumulativeBuckets.back().UpperBoundSeconds =
      std::numeric_limits<double>::infinity();
  return CumulativeBuckets;
}

} // namespace bilberry::metrics
