// A store in memory with the faults of the stand-in, and time by a clock that
// the test advances.

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

/// A delay above this makes a call fail; the call still has its effect.
inline constexpr base::Duration FakeCallTimeout = std::chrono::seconds(1);
/// A silent watch breaks after this time without a progress notice.
inline constexpr base::Duration FakeWatchSilence = std::chrono::seconds(10);

/// Models store::Store; see the concept for what each call does. Thread-safe.
/// No call but watch() blocks: one that hangs fails at once, as though its
/// timeout had passed.
class FakeStore {
public:
  /// Precondition: Clock outlives the store.
  explicit FakeStore(const base::PausedClock &Clock) : Clock(Clock) {}

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
  base::Result<void> watch(std::string_view Prefix, store::StoreRevision After,
                           const store::WatchCallback &OnEvent,
                           const std::stop_token &Stop);

  /// Replaces the faults.
  void setFaults(const standin::StoreFaults &Value);
  /// Ends one lease, as if it had expired. Unknown ones are ignored.
  void expireLease(store::LeaseId Lease);
  /// Ends every lease, as if all had expired.
  void expireAllLeases();
  /// Lets the watches see what the clock's advance has brought.
  void poll();
  /// The calls made so far.
  const store::StoreCallCounts &counts() const { return this->Counts; }

private:
  using Lock = std::unique_lock<base::RankedMutex>;

  // Performs Body under the faults.
  template <typename T>
  base::Result<T> call(store::StoreCall Kind, bool IsWrite,
                       const std::function<base::Result<T>()> &Body);
  // One round of a watch: its changes, or the error that ends it.
  base::Result<std::vector<store::WatchEvent>>
  nextChanges(const standin::KeyRange &Range, store::StoreRevision After,
              uint64_t SilencesSeen, base::TimePoint &LastProgress);
  uint64_t silences();

  const base::PausedClock &Clock;
  base::RankedMutex Mutex{base::LockRank::Adapter};
  std::condition_variable_any Changed;
  standin::KeyValueState State;
  standin::FaultControl Faults;
  store::StoreCallCounts Counts;
};

static_assert(store::Store<FakeStore>);

} // namespace bilberry::testing

#endif
