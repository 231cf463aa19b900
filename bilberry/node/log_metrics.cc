#include "bilberry/node/log_metrics.h"

#include "bilberry/log/log.h"

#include <string>

namespace bilberry::node {

void addLogMetrics(metrics::Exposition &Page) {
  static constexpr char Name[] = "bilberry_log_lines_dropped_total";
  static constexpr char Help[] =
      "Log lines left out: because of the rate limit of decisions, because "
      "standard output was not read in time, or because it couldn't be written";
  log::MissingLines Missing = log::missingLines();
  Page.counter(Name, Help, log::suppressedDecisions(),
               {{"cause", "rate-limit"}, {"importance", "any"}});
  for (size_t I = 0; I < log::ImportanceCount; ++I) {
    auto Rank = static_cast<log::Importance>(I);
    Page.counter(Name, Help, Missing.LeftOut[I],
                 {{"cause", "slow-reader"},
                  {"importance", std::string(log::importanceText(Rank))}});
  }
  Page.counter(Name, Help, Missing.WriteFailed,
               {{"cause", "write-failed"}, {"importance", "any"}});
  Page.gauge("bilberry_log_waiting_bytes",
             "Memory of the log lines that wait to be written",
             static_cast<double>(log::waitingBytes()));
}

} // namespace bilberry::node
