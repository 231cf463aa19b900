// An agent's state of its local upstream, from the upstream's heartbeats.
//
// Heartbeats may be delayed: one of an earlier run can arrive after the first
// of its successor. Runs are ordered by their start time, the heartbeats of one
// run by their sequence number. A run with an earlier start time replaces the
// current one only if the current run has stopped sending and several
// heartbeats of the other arrive in a row, since the wall clock may have been
// set back between the two starts.

#ifndef BILBERRY_MEMBERS_UPSTREAM_RECORD_H
#define BILBERRY_MEMBERS_UPSTREAM_RECORD_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/name.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bilberry::members {

/// One heartbeat of an upstream.
struct UpstreamHeartbeat {
  std::string Id;
  base::ServiceName Service;
  base::Address Address;
  base::DataCentreName DataCentre;
  /// The start time of this run by the upstream's wall clock; 0 if unknown.
  std::chrono::milliseconds StartedAt{0};
  uint64_t Sequence = 0;
  uint32_t Slots = 1;
  bool IsDraining = false;
  /// The remaining time until it is warm; 0 once it is warm.
  std::chrono::milliseconds ColdLeft{0};
};

/// The result of applying a heartbeat.
enum class HeartbeatOutcome : uint8_t {
  /// From the current run; applied.
  Known,
  /// From another run, now the current one; the state of the earlier run is
  /// lost.
  NewRun,
  /// The last heartbeat of the current run once more; applied before.
  Repeated,
  /// Of an earlier run, or older than the last one of the current run; ignored.
  Stale,
  /// Not from the agent's own upstream; ignored.
  Foreign,
};

/// Returns true if the record reflects a heartbeat with this outcome. Any other
/// one must not be acknowledged: it may have reported draining.
inline bool isApplied(HeartbeatOutcome Outcome) {
  return Outcome == HeartbeatOutcome::Known ||
         Outcome == HeartbeatOutcome::NewRun ||
         Outcome == HeartbeatOutcome::Repeated;
}

/// An upstream without a heartbeat for this long gets no new work: three
/// heartbeats at the upstreams' usual rate.
inline constexpr base::Duration HeartbeatTimeout = std::chrono::seconds(4);
/// The number of consecutive heartbeats after which a run with an earlier start
/// time becomes the current one.
inline constexpr uint32_t HeartbeatsToReplaceRun = 3;

/// The current run of one upstream. Not thread-safe.
class UpstreamRecord {
public:
  /// Applies a heartbeat.
  HeartbeatOutcome applyHeartbeat(base::TimePoint Now,
                                  const UpstreamHeartbeat &Heartbeat);
  /// Handles the upstream's message that the run with this id ends. Returns
  /// true if that is the current run, which is then removed.
  bool removeRun(const std::string &Id);

  /// The last heartbeat of the current run; empty if there is none.
  const std::optional<UpstreamHeartbeat> &currentRun() const {
    return this->CurrentRun;
  }
  /// The time of the last heartbeat that was applied.
  base::TimePoint lastHeartbeatAt() const { return this->LastHeartbeatAt; }
  /// True if there is a current run and its last heartbeat is recent.
  bool isResponsive(base::TimePoint Now) const {
    return this->CurrentRun && Now - this->LastHeartbeatAt <= HeartbeatTimeout;
  }
  /// True while the upstream is cold according to its last heartbeat.
  bool isCold(base::TimePoint Now) const {
    return this->coldLeft(Now) > base::Duration(0);
  }
  /// How long the upstream stays cold according to its last heartbeat.
  base::Duration coldLeft(base::TimePoint Now) const {
    bool IsCold = this->CurrentRun && Now < this->ColdUntil;
    return IsCold ? this->ColdUntil - Now : base::Duration(0);
  }

private:
  bool isOlderRun(const UpstreamHeartbeat &Heartbeat) const;
  bool replacesCurrentRun(base::TimePoint Now,
                          const UpstreamHeartbeat &Heartbeat);
  void applyToCurrentRun(base::TimePoint Now,
                         const UpstreamHeartbeat &Heartbeat);

  std::optional<UpstreamHeartbeat> CurrentRun;
  base::TimePoint LastHeartbeatAt;
  base::TimePoint ColdUntil;
  // The run that has left, so that a late heartbeat doesn't restore it.
  std::optional<UpstreamHeartbeat> DepartedRun;
  // The last heartbeat of a run that might replace the current one, and the
  // number of its consecutive heartbeats.
  UpstreamHeartbeat ReplacementCandidate;
  uint32_t CandidateHeartbeats = 0;
};

} // namespace bilberry::members

#endif
