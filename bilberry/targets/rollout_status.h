// Determines whether the targets are in force: whether every live process has
// announced that it applied their revision, and which processes have not.

#ifndef BILBERRY_TARGETS_ROLLOUT_STATUS_H
#define BILBERRY_TARGETS_ROLLOUT_STATUS_H

#include "bilberry/base/clock.h"
#include "bilberry/members/member.h"
#include "bilberry/targets/fleet_list.h"
#include "bilberry/targets/target_store.h"

#include <map>
#include <string>
#include <vector>

namespace bilberry::targets {

/// A process that hasn't acknowledged the current revision.
struct OutdatedProcess {
  members::Member Member;
  /// When the oldest recorded revision that it lacks was accepted.
  base::TimePoint Since;
  /// True if it may also lack older revisions, which are no longer recorded.
  bool MayLackOlderRevisions = false;
};

/// Which processes have applied the current revision. A plain value.
struct RolloutStatus {
  base::Revision CurrentRevision = 0;
  /// The number of processes whose lease is valid.
  size_t LiveCount = 0;
  /// Live processes that haven't acknowledged the current revision.
  std::vector<OutdatedProcess> OutdatedProcesses;
  /// Processes that were outdated when last listed and whose lease has expired
  /// since: each may have stopped, or may still use an older revision.
  std::vector<OutdatedProcess> ExpiredProcesses;
  /// Keys of announcements that can't be parsed.
  std::vector<std::string> UnreadableKeys;

  /// True if there are live processes, all of them have acknowledged the
  /// current revision, and no announcement is unreadable.
  bool isInForce() const {
    return this->LiveCount > 0 && this->OutdatedProcesses.empty() &&
           this->UnreadableKeys.empty();
  }
};

/// Records the processes listed during one command, so that a process whose
/// lease expires meanwhile is still reported. Not thread-safe.
class RolloutTracker {
public:
  /// The status of the stored targets by the current list of live processes.
  RolloutStatus evaluate(const StoredTargets &Current, const FleetList &Fleet);

private:
  // The last announcement of each process listed so far.
  std::map<base::MemberName, members::Member> LastSeen;
};

} // namespace bilberry::targets

#endif
