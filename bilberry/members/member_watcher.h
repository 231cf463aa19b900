// Follows the members' announcements in the store into the member table.

#ifndef BILBERRY_MEMBERS_MEMBER_WATCHER_H
#define BILBERRY_MEMBERS_MEMBER_WATCHER_H

#include "bilberry/base/ranked_mutex.h"
#include "bilberry/members/member_tracker.h"
#include "bilberry/store/keys.h"
#include "bilberry/store/prefix_watcher.h"

#include <mutex>

namespace bilberry::members {

/// One follower. Thread-safe: its mutex has the rank Controllers and is held
/// while the table is called.
template <store::Store S, base::Clock C> class MemberWatcher {
public:
  /// Precondition: all three outlive the watcher.
  MemberWatcher(S &Source, const C &Time, MemberTable &Table,
                base::Duration RereadInterval = store::DefaultRereadInterval,
                base::Duration LongestDelay = store::MaxBackoff)
      : Time(Time), Announcements(Source, store::MembersPrefix, RereadInterval,
                                  LongestDelay),
        Tracker(Table) {}

  /// Blocks until Stop is requested. Not to be called by two threads.
  void run(const std::stop_token &Stop) {
    this->Announcements.run(
        Stop,
        [this](const store::Listing &List) {
          std::lock_guard Lock(this->Mutex);
          this->Tracker.takeListing(this->Time.now(), List);
        },
        [this](const store::WatchEvent &Event) {
          std::lock_guard Lock(this->Mutex);
          this->Tracker.takeEvent(this->Time.now(), Event);
        },
        [this](const base::Error &) {
          std::lock_guard Lock(this->Mutex);
          this->Tracker.noteDown();
        });
  }

  /// Lets time pass for members that the store lacks, and for silent ones in
  /// the table. To be called about once a second, from any thread.
  void tick(base::TimePoint Now) {
    std::lock_guard Lock(this->Mutex);
    this->Tracker.tick(Now);
  }

  /// True while the store doesn't answer: the table is frozen.
  bool isStoreDown() const {
    std::lock_guard Lock(this->Mutex);
    return this->Tracker.isStoreDown();
  }

  /// How many announcements could not be read.
  uint64_t badEntries() const {
    std::lock_guard Lock(this->Mutex);
    return this->Tracker.badEntries();
  }

private:
  const C &Time;
  store::PrefixWatcher<S> Announcements;
  mutable base::RankedMutex Mutex{base::LockRank::Controllers};
  MemberTracker Tracker;
};

} // namespace bilberry::members

#endif
