// Decides what the store's news of members means for the member table.
//
// A delete in the store says that a lease ended, not that a process died. It
// is a planned withdrawal where the member last told that it is leaving, and
// else makes the member silent. While the store is down nothing changes: views
// freeze. After it has come back, and for members that a listing lacks, one
// full lease passes before they count as silent, so that those whose lease
// ended in the outage have the time to announce themselves again.

#ifndef BILBERRY_MEMBERS_MEMBER_TRACKER_H
#define BILBERRY_MEMBERS_MEMBER_TRACKER_H

#include "bilberry/base/clock.h"
#include "bilberry/members/member_table.h"
#include "bilberry/store/store.h"

#include <map>

namespace bilberry::members {

/// Not thread-safe. Writes to the table, whose rank is Members.
class MemberTracker {
public:
  /// Precondition: Table outlives the tracker.
  explicit MemberTracker(MemberTable &Table) : Table(Table) {}

  /// Takes all announcements, as read at one store revision.
  void takeListing(base::TimePoint Now, const store::Listing &List);
  /// Takes one change. A change that isn't newer than the last listing, or
  /// than the last change of the same key, is ignored.
  void takeEvent(base::TimePoint Now, const store::WatchEvent &Event);
  /// Notes that the store didn't answer.
  void noteDown() { this->IsDown = true; }
  /// Marks the members whose time to return is over as silent, unless the
  /// store is down. To be called about once a second.
  void tick(base::TimePoint Now);

  /// True from the first failed listing to the next that succeeds.
  bool isStoreDown() const { return this->IsDown; }
  /// How many announcements could not be read.
  uint64_t badEntries() const { return this->BadEntries; }

private:
  bool takeEntry(base::TimePoint Now, const store::KeyValue &Entry);
  void takeDelete(base::TimePoint Now, const base::MemberName &Name);
  void takeAbsence(base::TimePoint Now, const base::MemberName &Name);

  MemberTable &Table;
  bool IsDown = true; // Until the first listing nothing is known.
  base::TimePoint RecoversUntil;
  store::StoreRevision ListedAt = 0;
  std::map<std::string, store::StoreRevision> Changes;
  // Members that the store lacks, and when they will count as silent.
  std::map<base::MemberName, base::TimePoint> Missing;
  uint64_t BadEntries = 0;
};

} // namespace bilberry::members

#endif
