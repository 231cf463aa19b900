// Applies listings and watch events of the store to the member table.
//
// A delete in the store means that a lease has ended, not that the process has
// failed. It is a planned withdrawal if the member last announced Leaving;
// otherwise it marks the member as silent. While the store is down, the table
// doesn't change. After the store has recovered, and for members that a listing
// lacks, one full lease duration passes before they count as silent, so that
// members whose lease ended during the outage can announce themselves again. A
// restore of the store from an older copy, which has no leases, counts as an
// outage.

#ifndef BILBERRY_MEMBERS_MEMBER_TRACKER_H
#define BILBERRY_MEMBERS_MEMBER_TRACKER_H

#include "bilberry/base/clock.h"
#include "bilberry/members/member_table.h"
#include "bilberry/store/store.h"

#include <map>

namespace bilberry::members {

/// Updates one member table from store events. Not thread-safe. Writes to the
/// table, whose mutex has the rank Members.
class MemberTracker {
public:
  /// Precondition: Table outlives the tracker.
  explicit MemberTracker(MemberTable &Table) : Table(Table) {}

  /// Applies all announcements, read at one store revision. Ends an outage.
  /// Ignores a listing of an older era.
  void applyListing(base::TimePoint Now, const store::Listing &List);
  /// Applies one change. A change that isn't newer than the last listing or
  /// the last change of the same key is ignored.
  void applyEvent(base::TimePoint Now, const store::WatchEvent &Event);
  /// Records that a call to the store failed.
  void recordStoreFailure() { this->IsDown = true; }
  /// Marks absent members as silent once their deadline has passed, unless the
  /// store is down. Must be called about once a second.
  void tick(base::TimePoint Now);

  /// True from a failed call to the next listing, and before the first listing.
  bool isStoreDown() const { return this->IsDown; }
  /// The number of announcements that could not be parsed.
  uint64_t malformedEntries() const { return this->MalformedEntries; }

private:
  bool applyEntry(base::TimePoint Now, const store::KeyValue &Entry);
  void applyDelete(base::TimePoint Now, const base::MemberName &Name);
  void applyAbsence(base::TimePoint Now, const base::MemberName &Name);

  MemberTable &Table;
  bool IsDown = true; // Nothing is known before the first listing.
  base::TimePoint RecoveryEndsAt;
  store::StoreEra ListedEra = 0;
  store::StoreRevision ListedRevision = 0;
  std::map<std::string, store::StoreRevision> LastRevisions;
  // Members that the store lacks, and the time when they become silent.
  std::map<base::MemberName, base::TimePoint> AbsentMembers;
  uint64_t MalformedEntries = 0;
};

} // namespace bilberry::members

#endif
