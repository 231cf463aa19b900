// Writes metrics in the Prometheus text exposition format 0.0.4.

#ifndef BILBERRY_METRICS_EXPOSITION_H
#define BILBERRY_METRICS_EXPOSITION_H

#include "bilberry/metrics/latency_histogram.h"

#include <string>
#include <string_view>
#include <vector>

namespace bilberry::metrics {

/// A label of a sample.
struct Label {
  std::string Name;
  std::string Value;
};

/// Builds the response to one scrape. All samples of a metric must be added
/// consecutively. Not thread-safe.
class Exposition {
public:
  /// Adds a sample of a counter. HELP and TYPE are written once per metric.
  void counter(std::string_view Name, std::string_view Help, uint64_t Value,
               const std::vector<Label> &Labels = {});
  /// Adds a sample of a gauge.
  void gauge(std::string_view Name, std::string_view Help, double Value,
             const std::vector<Label> &Labels = {});
  /// Adds a histogram of durations, in seconds.
  void histogram(std::string_view Name, std::string_view Help,
                 const LatencyHistogram &Value);

  /// The text written so far.
  const std::string &text() const { return this->Text; }

private:
  void writeHeader(std::string_view Name, std::string_view Help,
                   std::string_view Type);
  void writeSample(std::string_view Name, const std::vector<Label> &Labels,
                   double Value);

  std::string Text;
  std::string LastHeaderName;
};

} // namespace bilberry::metrics

#endif
