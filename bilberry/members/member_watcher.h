// Watches the members' announcements in the store and updates the member table.

#ifndef BILBERRY_MEMBERS_MEMBER_WATCHER_H
#define BILBERRY_MEMBERS_MEMBER_WATCHER_H

#include "bilberry/base/ranked_mutex.h"
#include "bilberry/members/member_tracker.h"
#include "bilberry/store/keys.h"
#include "bilberry/store/prefix_watcher.h"

#include <mutex>

namespace bilberry::members {

/// Keeps one member table up to date. Thread-safe: its mutex has the rank
/// Controllers and is held while the table is called.
template <store::Store S, base::Clock C> class MemberWatcher {
public:
  /// Precondition: StoreClient, TimeSource and Table outlive the watcher.
  MemberWatcher(S &StoreClient, const C &TimeSource, MemberTable &Table,
                base::Duration RereadInterval = store::DefaultRereadInterval,
                base::Duration LongestDelay = store::MaxBackoff,
                base::Duration SilenceLimit = store::DefaultSilenceLimit)
      : TimeSource(TimeSource),
        Announcements(StoreClient, store::MembersPrefix, RereadInterval,
                      LongestDelay, SilenceLimit),
        Tracker(Table) {}

  /// Blocks until Stop is requested. Must be called from one thread only.
  void run(const std::stop_token &Stop) {
    this->Announcements.run(
        Stop,
        [this](const store::Listing &List) {
          std::lock_guard Lock(this->Mutex);
          this->Tracker.applyListing(this->TimeSource.now(), List);
        },
        [this](const store::WatchEvent &Event) {
          std::lock_guard Lock(this->Mutex);
          this->Tracker.applyEvent(this->TimeSource.now(), Event);
        },
        [this](const base::Error &) {
          std::lock_guard Lock(this->Mutex);
          this->Tracker.recordStoreFailure();
        });
  }

  /// Lists the announcements again: for processes that learn from another
  /// source that their watch may have gone silent. Thread-safe.
  void reread() { this->Announcements.reread(); }

  /// Suspends or resumes following the store. The table doesn't change while
  /// suspended. Thread-safe.
  void setSuspended(bool Value) { this->Announcements.setSuspended(Value); }

  /// Applies the timeouts of members that the store lacks and of silent
  /// members in the table. Must be called about once a second, from any
  /// thread.
  void tick(base::TimePoint Now) {
    std::lock_guard Lock(this->Mutex);
    this->Tracker.tick(Now);
  }

  /// True while the store is unavailable; the table doesn't change meanwhile.
  bool isStoreDown() const {
    std::lock_guard Lock(this->Mutex);
    return this->Tracker.isStoreDown();
  }

  /// True if the table is up to date: the store is available, and its changes
  /// are being watched since they were last listed.
  bool isCurrent() const {
    return this->Announcements.isCurrent() && !this->isStoreDown();
  }

  /// The number of announcements that could not be parsed.
  uint64_t malformedEntries() const {
    std::lock_guard Lock(this->Mutex);
    return this->Tracker.malformedEntries();
  }

private:
  const C &TimeSource;
  store::PrefixWatcher<S> Announcements;
  mutable base::RankedMutex Mutex{base::LockRank::Controllers};
  MemberTracker Tracker;
};

} // namespace bilberry::members

#endif
