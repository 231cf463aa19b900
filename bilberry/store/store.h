// What we ask of the platform's key-value store: compare-and-swap, leases and
// watches. Everything that uses the store is a template over this concept;
// etcd_store.h is the adapter for the real one, testing/fake_store.h the fake.

#ifndef BILBERRY_STORE_STORE_H
#define BILBERRY_STORE_STORE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/error.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <stop_token>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::store {

/// A lease's id; 0 means none.
using LeaseId = int64_t;
/// The store's counter of changes; 0 means "absent" in a comparison.
using StoreRevision = int64_t;

struct KeyValue {
  std::string Key;
  std::string Value;
  /// The store revision of the key's last change.
  StoreRevision Changed = 0;
  LeaseId Lease = 0;
};

/// The keys under a prefix at one store revision.
struct Listing {
  std::vector<KeyValue> Entries;
  StoreRevision At = 0;
};

/// What a compare-and-swap found.
struct SwapResult {
  bool Swapped = false;
  /// The key's store revision after a swap that took effect.
  StoreRevision Changed = 0;
  /// The present value, where the swap didn't take effect and there is one.
  std::optional<KeyValue> Present;
};

/// One change that a watch reports.
struct WatchEvent {
  bool IsDelete = false;
  KeyValue Entry;
};
/// Called in the watching thread, in the order of the changes.
using WatchCallback = std::function<void(const WatchEvent &)>;

/// Every call blocks its thread until the store answers or the adapter's
/// timeout passes, and may be made from any thread. Errors of all calls:
/// Unavailable (no effect), OutcomeUnknown (a write that may have had its
/// effect), LeaseExpired (the lease named isn't known).
template <typename T>
concept Store = requires(T &S, std::string_view Key, std::string_view Value,
                         StoreRevision Expected, LeaseId Lease,
                         base::Duration Ttl, const WatchCallback &OnEvent,
                         std::stop_token Stop) {
  // The value under a key, if any.
  { S.get(Key) } -> std::same_as<base::Result<std::optional<KeyValue>>>;
  // Every key that begins with Key.
  { S.list(Key) } -> std::same_as<base::Result<Listing>>;
  // Writes Value where the key's last change is Expected (0: key absent).
  {
    S.swap(Key, Expected, Value, Lease)
    } -> std::same_as<base::Result<SwapResult>>;
  // Writes Value whatever is there.
  { S.put(Key, Value, Lease) } -> std::same_as<base::Result<StoreRevision>>;
  // Deletes the key; no error where it is absent.
  { S.remove(Key) } -> std::same_as<base::Result<void>>;
  { S.grantLease(Ttl) } -> std::same_as<base::Result<LeaseId>>;
  { S.keepAlive(Lease) } -> std::same_as<base::Result<void>>;
  { S.revokeLease(Lease) } -> std::same_as<base::Result<void>>;
  // Reports changes under the prefix Key after store revision Expected, until
  // Stop is requested or the watch breaks.
  { S.watch(Key, Expected, OnEvent, Stop) } -> std::same_as<base::Result<void>>;
};

} // namespace bilberry::store

#endif
