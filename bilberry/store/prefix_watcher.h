// Follows all keys under a prefix: lists them, watches for changes from the
// listing's revision on, and lists anew when the watch breaks and, because a
// watch may lose an event or go silent unseen, after each re-read interval.
// Listings and events come from one thread, in order: an event is always newer
// than the listing before it.

#ifndef BILBERRY_STORE_PREFIX_WATCHER_H
#define BILBERRY_STORE_PREFIX_WATCHER_H

#include "bilberry/store/backoff.h"
#include "bilberry/store/store.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace bilberry::store {

/// How often the followers of a prefix list it anew though nothing broke. Each
/// time costs the store a listing and a new watch.
inline constexpr base::Duration DefaultRereadInterval =
    std::chrono::seconds(30);

/// Blocks for Time or until Stop is requested.
inline void waitFor(base::Duration Time, const std::stop_token &Stop) {
  std::mutex Mutex;
  std::condition_variable_any Wakeup;
  std::unique_lock Lock(Mutex);
  Wakeup.wait_for(Lock, Stop, Time, [] { return false; });
}

/// One follower of one prefix.
template <Store S> class PrefixWatcher {
public:
  /// Precondition: Source outlives the watcher; RereadInterval is positive.
  /// LongestDelay bounds the time between two tries while the store is down.
  PrefixWatcher(S &Source, std::string Prefix,
                base::Duration RereadInterval = DefaultRereadInterval,
                base::Duration LongestDelay = MaxBackoff)
      : Source(Source), Prefix(std::move(Prefix)),
        RereadInterval(RereadInterval),
        Delays(std::random_device()(), LongestDelay) {}

  /// Ends the present watch, so that the prefix is listed anew at once: for a
  /// process that learns elsewhere that its watch misses changes. Thread-safe.
  void reread() {
    std::lock_guard Lock(this->Mutex);
    if (this->Watching) {
      this->Watching->request_stop();
    }
  }

  /// Blocks until Stop is requested. In this thread and never at once, calls
  /// OnListing(const Listing &) for each listing, OnEvent(const WatchEvent &)
  /// for each change after it, and OnDown(const base::Error &) for each
  /// listing that failed. A broken watch is not reported: the listing that
  /// follows says whether the store is down. Not to be called by two threads.
  template <typename OnListing, typename OnEvent, typename OnDown>
  void run(std::stop_token Stop, OnListing &&TakeListing, OnEvent &&TakeEvent,
           OnDown &&TakeError) {
    while (!Stop.stop_requested()) {
      this->ListingBegan = std::chrono::steady_clock::now();
      base::Result<Listing> List = this->Source.list(this->Prefix);
      if (Stop.stop_requested()) {
        return;
      }
      if (!List) {
        TakeError(List.error());
        waitFor(this->Delays.next(), Stop);
        continue;
      }
      TakeListing(List.value());
      if (!this->watchOnce(Stop, List.value().At, TakeEvent)) {
        waitFor(this->Delays.next(), Stop);
      }
    }
  }

  /// How long ago the listing was begun that OnListing is given. What it shows
  /// was in the store at that time or later. Call from OnListing only.
  base::Duration listingAge() const {
    return std::chrono::steady_clock::now() - this->ListingBegan;
  }

private:
  // Watches for one re-read interval. False where the watch broke before.
  bool watchOnce(const std::stop_token &Stop, StoreRevision After,
                 const WatchCallback &TakeEvent) {
    auto Begin = std::chrono::steady_clock::now();
    std::stop_source Ended;
    this->setWatching(&Ended);
    std::stop_callback Forward(Stop, [&Ended] { Ended.request_stop(); });
    // Ends the watch when the interval is over; ends itself with the watch.
    std::jthread Timer([this, &Ended](const std::stop_token &WatchIsOver) {
      waitFor(this->RereadInterval, WatchIsOver);
      Ended.request_stop();
    });
    base::Result<void> Watched =
        this->Source.watch(this->Prefix, After, TakeEvent, Ended.get_token());
    this->setWatching(nullptr);
    if (Watched || std::chrono::steady_clock::now() - Begin > MaxBackoff) {
      this->Delays.reset();
    }
    return Watched.has_value();
  }

  void setWatching(std::stop_source *Source) {
    std::lock_guard Lock(this->Mutex);
    this->Watching = Source;
  }

  S &Source;
  std::string Prefix;
  base::Duration RereadInterval;
  Backoff Delays;
  std::chrono::steady_clock::time_point ListingBegan;
  std::mutex Mutex;
  std::stop_source *Watching = nullptr;
};

} // namespace bilberry::store

#endif
