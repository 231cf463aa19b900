// What an agent believes of the upstream beside it, from the upstream's own
// heartbeats.
//
// Heartbeats may be late: one of an earlier run can come after its successor's
// first. A run is told by the moment of its start, heartbeats of one run by
// their sequence. A run that started earlier than the known one is believed
// only where the known one has gone silent and the other keeps coming, since
// the clock that dated their starts may have been set back in between.

#ifndef BILBERRY_MEMBERS_UPSTREAM_RECORD_H
#define BILBERRY_MEMBERS_UPSTREAM_RECORD_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/name.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bilberry::members {

/// One heartbeat.
struct UpstreamReport {
  std::string Id;
  base::ServiceName Service;
  base::Address Address;
  /// When this run of the upstream started, by its own wall clock; 0 where it
  /// doesn't say.
  std::chrono::milliseconds StartedAt{0};
  uint64_t Sequence = 0;
  uint32_t Slots = 1;
  bool IsDraining = false;
  /// How much longer it is cold; 0 once it is warm.
  std::chrono::milliseconds ColdLeft{0};
};

/// What a heartbeat meant.
enum class ReportOutcome : uint8_t {
  /// Of the known run.
  Known,
  /// Of another run: all that the earlier one held is gone.
  NewRun,
  /// Older than what is known; nothing changed.
  Stale,
};

/// An upstream that hasn't been heard of for this long takes nothing new:
/// three heartbeats at the rate that upstreams keep.
inline constexpr base::Duration MaxReportSilence = std::chrono::seconds(4);
/// Heartbeats in a row that make an earlier-started run the present one.
inline constexpr uint32_t ReportsToReplace = 3;

/// Not thread-safe.
class UpstreamRecord {
public:
  /// Takes a heartbeat.
  ReportOutcome take(base::TimePoint Now, const UpstreamReport &Report);
  /// The upstream of that id says that it ends. True where it is the present
  /// one, which is forgotten.
  bool leave(const std::string &Id);

  /// The last heartbeat of the present run; empty where there is none.
  const std::optional<UpstreamReport> &present() const { return this->Last; }
  /// When it came.
  base::TimePoint heardAt() const { return this->HeardAt; }
  /// True while there is an upstream that keeps its heartbeats.
  bool isHeard(base::TimePoint Now) const {
    return this->Last && Now - this->HeardAt <= MaxReportSilence;
  }
  /// True while the upstream is cold, by its last word.
  bool isCold(base::TimePoint Now) const {
    return this->Last && Now < this->ColdUntil;
  }

private:
  bool isOlderRun(const UpstreamReport &Report) const;
  bool replaces(base::TimePoint Now, const UpstreamReport &Report);
  void accept(base::TimePoint Now, const UpstreamReport &Report);

  std::optional<UpstreamReport> Last;
  base::TimePoint HeardAt;
  base::TimePoint ColdUntil;
  // The run that has left, so that a late heartbeat doesn't bring it back.
  std::optional<UpstreamReport> Left;
  // An earlier-started run that has been heard of, and how often.
  UpstreamReport Rival;
  uint32_t RivalReports = 0;
};

} // namespace bilberry::members

#endif
