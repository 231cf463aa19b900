// An in-memory store for tests, with the same fault injection as the stand-in
// store and a clock that the test advances.

#ifndef BILBERRY_TESTING_FAKE_STORE_H
#define BILBERRY_TESTING_FAKE_STORE_H

#include "bilberry/base/ranked_mutex.h"
#include "bilberry/standin/key_value_state.h"
#include "bilberry/standin/store_faults.h"
#include "bilberry/store/call_counts.h"
#include "bilberry/store/store.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace bilberry::testing {

/// A call with a longer delay than this fails, but still takes effect.
inline constexpr base::Duration FakeCallTimeout = std::chrono::seconds(1);

/// Models store::Store, which documents the calls. Thread-safe. Only watch()
/// blocks: a call that would hang fails at once, as if its timeout had passed.
class FakeStore {
public:
  /// Precondition: Clock outlives the store.
  explicit FakeStore(const base::ManualClock &Clock) : Clock(Clock) {}

  base::Result<std::optional<store::KeyValue>> get(std::string_view Key);
  base::Result<store::Listing> list(std::string_view Prefix);
  base::Result<store::SwapResult> swap(std::string_view Key,
                                       store::StoreRevision Expected,
                                       std::string_view Value,
                                       store::LeaseId Lease);
  base::Result<store::StoreRevision>
  put(std::string_view Key, std::string_view Value, store::LeaseId Lease);
  base::Result<void> remove(std::string_view Key);
  base::Result<store::LeaseId> grantLease(base::Duration Ttl);
  base::Result<void> keepAlive(store::LeaseId Lease);
  base::Result<void> revokeLease(store::LeaseId Lease);
  base::Result<void>
  watch(std::string_view Prefix, store::WatchStart Start,
        const store::WatchCallback &OnEvent, const std::stop_token &Stop,
        base::Duration SilenceLimit = store::DefaultSilenceLimit);

  store::StoreEra era();

  /// Replaces the injected faults.
  void setFaults(const standin::StoreFaults &Value);
  /// Ends a lease as if it had expired. Unknown leases are ignored.
  void expireLease(store::LeaseId Lease);
  /// Ends all leases as if they had expired.
  void expireAllLeases();
  /// Saves a copy of the contents, and replaces the contents by that copy. The
  /// latter begins a new era and makes the waiting watches fail.
  void saveCopy();
  void restoreCopy();
  /// Makes the watches check the clock. Call after advancing it.
  void notifyWatches();
  /// The number of calls made so far.
  const store::StoreCallCounts &counts() const { return this->Counts; }

private:
  using Lock = std::unique_lock<base::RankedMutex>;

  // Calls Body with the injected faults applied.
  template <typename T>
  base::Result<T> call(store::StoreCall Kind, bool IsWrite,
                       const std::function<base::Result<T>()> &Body);
  // Returns the changes after After, or the error that ends the watch.
  base::Result<std::vector<store::WatchEvent>>
  pollChanges(const standin::KeyRange &Range, store::WatchStart Start,
              uint64_t InitialSilenceCount, base::Duration SilenceLimit,
              base::TimePoint &LastProgress);
  uint64_t watchSilenceCount();

  const base::ManualClock &Clock;
  base::RankedMutex Mutex{base::LockRank::Adapter};
  std::condition_variable_any Changed;
  standin::KeyValueState State;
  standin::KeyValueState Copy;
  store::StoreEra Era = 0;
  standin::StoreFaultState Faults;
  store::StoreCallCounts Counts;
};

static_assert(store::Store<FakeStore>);

} // namespace bilberry::testing

#endif
