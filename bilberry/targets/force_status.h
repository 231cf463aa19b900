// Whether the targets are in force: every live process has announced that it
// has applied their revision, or it is named here.

#ifndef BILBERRY_TARGETS_FORCE_STATUS_H
#define BILBERRY_TARGETS_FORCE_STATUS_H

#include "bilberry/base/clock.h"
#include "bilberry/members/member.h"
#include "bilberry/targets/fleet_list.h"
#include "bilberry/targets/target_store.h"

#include <map>
#include <string>
#include <vector>

namespace bilberry::targets {

/// A process that hasn't acknowledged the present revision.
struct Laggard {
  members::Member Member;
  /// When the first revision that it lacks was accepted.
  base::TimePoint Since;
  /// True where it may lack older ones too, which are no longer kept.
  bool IsLonger = false;
};

struct ForceStatus {
  base::Revision Current = 0;
  /// How many processes hold their lease.
  size_t Live = 0;
  std::vector<Laggard> Behind;
  /// Seen behind before, and their lease has lapsed since: each may have
  /// stopped, or still run by an older revision.
  std::vector<Laggard> Lapsed;
  /// Keys of announcements that can't be read.
  std::vector<std::string> Unreadable;

  /// True where there are live processes and all have acknowledged.
  bool inForce() const {
    return this->Live > 0 && this->Behind.empty() && this->Unreadable.empty();
  }
};

/// Remembers the processes that one command sees, so that one whose lease
/// lapses meanwhile is told apart from one that never was. Not thread-safe.
class ForceTracker {
public:
  /// Judges the present value by the present list of live processes.
  ForceStatus judge(const StoredTargets &Present, const FleetList &Fleet);

private:
  std::map<base::MemberName, members::Member> Seen;
};

} // namespace bilberry::targets

#endif
