// The metrics page in the Prometheus text exposition format 0.0.4.

#ifndef BILBERRY_METRICS_EXPOSITION_H
#define BILBERRY_METRICS_EXPOSITION_H

#include "bilberry/metrics/latency_histogram.h"

#include <string>
#include <string_view>
#include <vector>

namespace bilberry::metrics {

/// One label of a sample.
struct Label {
  std::string Name;
  std::string Value;
};

/// Builds one page. Samples of one metric must be added one after another.
/// Not safe for two threads at once.
class Exposition {
public:
  /// A value that only rises. Help is written once a metric.
  void counter(std::string_view Name, std::string_view Help, uint64_t Value,
               const std::vector<Label> &Labels = {});
  /// A value that may fall.
  void gauge(std::string_view Name, std::string_view Help, double Value,
             const std::vector<Label> &Labels = {});
  /// Durations in seconds.
  void histogram(std::string_view Name, std::string_view Help,
                 const LatencyHistogram &Value);

  /// The page so far.
  const std::string &text() const { return this->Text; }

private:
  void head(std::string_view Name, std::string_view Help,
            std::string_view Type);
  void sample(std::string_view Name, const std::vector<Label> &Labels,
              double Value);

  std::string Text;
  std::string LastHead;
};

} // namespace bilberry::metrics

#endif
