#include "bilberry/metrics/exposition.h"
#include "bilberry/metrics/latency_histogram.h"

#include <gtest/gtest.h>

namespace bilberry::metrics {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(LatencyHistogram, CountsEachDurationInOneBucket) {
  const base::Duration Durations[] = {
      seconds(-1), microseconds(0), milliseconds(1), seconds(2), seconds(1000)};
  LatencyHistogram Histogram;
  for (base::Duration Elapsed : Durations) {
    Histogram.record(Elapsed);
  }
  EXPECT_EQ(Histogram.count(), std::size(Durations));
  std::vector<CumulativeBucket> Buckets = Histogram.buckets();
  EXPECT_EQ(Buckets.front().Count, 2U);
  EXPECT_EQ(Buckets.back().Count, std::size(Durations));
}

TEST(Exposition, WritesHeaderOnceAndEscapesLabels) {
  Exposition Page;
  Page.counter("bilberry_flows_total", "Flows by outcome.", 3,
               {{"outcome", "closed"}});
  Page.counter("bilberry_flows_total", "Flows by outcome.", 1,
               {{"outcome", "a\"b\\c"}});
  EXPECT_EQ(Page.text(), "# HELP bilberry_flows_total Flows by outcome.\n"
                         "# TYPE bilberry_flows_total counter\n"
                         "bilberry_flows_total{outcome=\"closed\"} 3\n"
                         "bilberry_flows_total{outcome=\"a\\\"b\\\\c\"} 1\n");
}

TEST(Exposition, HistogramEndsWithInfinity) {
  LatencyHistogram Histogram;
  Histogram.record(milliseconds(5));
  Exposition Page;
  Page.histogram("bilberry_answer_seconds", "Time to answer.", Histogram);
  EXPECT_NE(Page.text().find("_bucket{le=\"+Inf\"} 1\n"), std::string::npos);
  EXPECT_NE(Page.text().find("bilberry_answer_seconds_sum 0.005\n"),
            std::string::npos);
}

} // namespace
} // namespace bilberry::metrics
