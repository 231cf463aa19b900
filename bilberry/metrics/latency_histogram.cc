#include "bilberry/metrics/latency_histogram.h"

#include <algorithm>
#include <limits>

namespace bilberry::metrics {

static constexpr unsigned Buckets = 35; // Five a decade.
static constexpr double ShortestSeconds = 1e-5;
static constexpr double LongestSeconds = 1e2;

LatencyHistogram::LatencyHistogram()
    : Histogram(
          std::make_tuple(Axis(Buckets, ShortestSeconds, LongestSeconds))) {}

static double secondsOf(base::Duration Took) {
  return std::chrono::duration<double>(Took).count();
}

void LatencyHistogram::record(base::Duration Took) {
  // The logarithm of what isn't positive has no bucket.
  Took = std::max(Took, base::Duration(1));
  this->Histogram(secondsOf(Took));
  this->SumNanoseconds.fetch_add(Took.count());
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
  return secondsOf(base::Duration(this->SumNanoseconds.load()));
}

std::vector<CumulativeBucket> LatencyHistogram::buckets() const {
  std::vector<CumulativeBucket> All;
  uint64_t Running = 0;
  for (auto &&Item : boost::histogram::indexed(
           this->Histogram, boost::histogram::coverage::all)) {
    Running += static_cast<uint64_t>(*Item);
    All.push_back({Item.bin(0).upper(), Running});
  }
  All.back().UpTo = std::numeric_limits<double>::infinity();
  return All;
}

} // namespace bilberry::metrics
