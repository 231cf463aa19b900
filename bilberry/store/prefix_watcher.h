// Tracks all keys under a prefix: lists them, watches for changes after the
// listing's revision, and lists them again when the watch breaks, also because
// it has been silent for too long. It also lists them again after each re-read
// interval, because a watch may lose events. Listings and events are reported
// from one thread, in order: an event is always newer than the listing before
// it.

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

/// How often a prefix is listed again although the watch works. Each time costs
/// a listing and a new watch.
inline constexpr base::Duration DefaultRereadInterval =
    std::chrono::seconds(30);

/// Blocks for Time or until Stop is requested. Thread-safe.
inline void waitFor(base::Duration Time, const std::stop_token &Stop) {
  std::mutex Mutex;
  std::condition_variable_any Wakeup;
  std::unique_lock Lock(Mutex);
  Wakeup.wait_for(Lock, Stop, Time, [] { return false; });
}

/// Watches one prefix. Call run() from one thread; reread() is thread-safe.
template <Store S> class PrefixWatcher {
public:
  /// Precondition: Source outlives the watcher; the durations are positive.
  /// MaxDelay limits the delay between retries while the store is down.
  PrefixWatcher(S &Source, std::string Prefix,
                base::Duration RereadInterval = DefaultRereadInterval,
                base::Duration MaxDelay = MaxBackoff,
                base::Duration SilenceLimit = DefaultSilenceLimit)
      : Source(Source), Prefix(std::move(Prefix)),
        RereadInterval(RereadInterval),
        Delays(std::random_device()(), MaxDelay), SilenceLimit(SilenceLimit) {}

  /// Ends the current watch, so that the prefix is listed again at once. For
  /// processes that learn from another source that the watch missed changes.
  /// Thread-safe.
  void reread() {
    std::lock_guard Lock(this->Mutex);
    if (this->ActiveWatch) {
      this->IsCurrent = false;
      this->ActiveWatch->request_stop();
    }
  }

  /// True while changes are being watched after a listing: what was reported is
  /// up to date, as far as the watch shows. False before the first listing,
  /// while suspended, and until the listing after that or after a watch has
  /// ended. Thread-safe.
  bool isCurrent() const {
    std::lock_guard Lock(this->Mutex);
    return this->IsCurrent && !this->IsSuspended;
  }

  /// Sets how long the watch may be silent before it breaks. Each check that
  /// the store still answers is a call, so a short limit is for few processes.
  /// A changed limit ends the current watch and lists the prefix again.
  /// Precondition: Value is positive. Thread-safe.
  void setSilenceLimit(base::Duration Value) {
    std::lock_guard Lock(this->Mutex);
    if (Value == this->SilenceLimit) {
      return;
    }
    this->SilenceLimit = Value;
    if (this->ActiveWatch) {
      this->ActiveWatch->request_stop();
    }
  }

  /// Suspends or resumes following the prefix. Resuming lists it again; while
  /// suspended, no call is made. Thread-safe.
  void setSuspended(bool Value) {
    std::lock_guard Lock(this->Mutex);
    this->IsSuspended = Value;
    this->IsCurrent = false;
    if (Value && this->ActiveWatch) {
      this->ActiveWatch->request_stop();
    }
    this->Resumed.notify_all();
  }

  /// Blocks until Stop is requested. From this thread and one at a time, calls
  /// HandleListing(const Listing &) for each listing, HandleEvent(const
  /// WatchEvent &) for each change after it, HandleError(const base::Error &)
  /// for each failed listing, and HandleBrokenWatch(const base::Error &) for
  /// each watch that breaks. A broken watch doesn't mean that the store is
  /// down: the next listing shows that. Must not be called from two threads.
  template <typename OnListing, typename OnEvent, typename OnDown,
            typename OnBrokenWatch>
  void run(std::stop_token Stop, OnListing &&HandleListing,
           OnEvent &&HandleEvent, OnDown &&HandleError,
           OnBrokenWatch &&HandleBrokenWatch) {
    while (!Stop.stop_requested()) {
      if (!this->waitUntilResumed(Stop)) {
        return;
      }
      this->ListingStartedAt = std::chrono::steady_clock::now();
      base::Result<Listing> List = this->Source.list(this->Prefix);
      if (Stop.stop_requested()) {
        return;
      }
      if (!List) {
        HandleError(List.error());
        waitFor(this->Delays.next(), Stop);
        continue;
      }
      HandleListing(List.value());
      base::Result<void> Watched = this->watchOnce(
          Stop, {List.value().AtRevision, List.value().Era}, HandleEvent);
      if (!Watched) {
        HandleBrokenWatch(Watched.error());
        waitFor(this->Delays.next(), Stop);
      }
    }
  }

  /// The same without reports of broken watches.
  template <typename OnListing, typename OnEvent, typename OnDown>
  void run(std::stop_token Stop, OnListing &&HandleListing,
           OnEvent &&HandleEvent, OnDown &&HandleError) {
    this->run(std::move(Stop), HandleListing, HandleEvent, HandleError,
              [](const base::Error &) {});
  }

  /// Time since the start of the listing that is passed to HandleListing. The
  /// listing shows the store at that start or later. Call from HandleListing
  /// only.
  base::Duration listingAge() const {
    return std::chrono::steady_clock::now() - this->ListingStartedAt;
  }

private:
  // Watches for one re-read interval. Returns an error if the watch broke.
  base::Result<void> watchOnce(const std::stop_token &Stop, WatchStart Start,
                               const WatchCallback &HandleEvent) {
    auto StartedAt = std::chrono::steady_clock::now();
    std::stop_source WatchStop;
    base::Duration Limit = this->setActiveWatch(&WatchStop);
    std::stop_callback StopWithCaller(
        Stop, [&WatchStop] { WatchStop.request_stop(); });
    // Ends the watch after the interval, and is stopped when the watch returns.
    std::jthread Timer([this, &WatchStop](const std::stop_token &TimerStop) {
      waitFor(this->RereadInterval, TimerStop);
      WatchStop.request_stop();
    });
    base::Result<void> Watched = this->Source.watch(
        this->Prefix, Start, HandleEvent, WatchStop.get_token(), Limit);
    this->setActiveWatch(nullptr);
    if (Watched || std::chrono::steady_clock::now() - StartedAt > MaxBackoff) {
      this->Delays.reset();
    }
    return Watched;
  }

  // Returns the silence limit of the watch.
  base::Duration setActiveWatch(std::stop_source *Source) {
    std::lock_guard Lock(this->Mutex);
    this->ActiveWatch = Source;
    this->IsCurrent = Source != nullptr;
    // setSuspended() may have been called since the listing began.
    if (Source && this->IsSuspended) {
      Source->request_stop();
    }
    return this->SilenceLimit;
  }

  // Returns false if Stop was requested.
  bool waitUntilResumed(const std::stop_token &Stop) {
    std::unique_lock Lock(this->Mutex);
    return this->Resumed.wait(Lock, Stop,
                              [this] { return !this->IsSuspended; });
  }

  S &Source;
  std::string Prefix;
  base::Duration RereadInterval;
  Backoff Delays;
  std::chrono::steady_clock::time_point ListingStartedAt;
  mutable std::mutex Mutex;
  std::stop_source *ActiveWatch = nullptr;
  std::condition_variable_any Resumed;
  bool IsSuspended = false;
  bool IsCurrent = false;
  base::Duration SilenceLimit;
};

} // namespace bilberry::store

#endif
