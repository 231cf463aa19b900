// The interface to the platform's key-value store: compare-and-swap, leases and
// watches. Code that uses the store is a template over this concept;
// etcd_store.h implements it for etcd, testing/fake_store.h in memory for
// tests.

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

/// The id of a lease; 0 means none.
using LeaseId = int64_t;
/// The store's change counter; 0 means "key absent" in a comparison.
using StoreRevision = int64_t;
/// Counts how often the store was restored from an older copy. Revisions and
/// lease ids are assigned again in each era.
using StoreEra = uint64_t;

struct KeyValue {
  std::string Key;
  std::string Value;
  /// The store revision of the key's last change.
  StoreRevision Changed = 0;
  LeaseId Lease = 0;
};

/// The entries under a prefix at one store revision.
struct Listing {
  std::vector<KeyValue> Entries;
  StoreRevision AtRevision = 0;
  StoreEra Era = 0;
};

/// The result of a compare-and-swap.
struct SwapResult {
  bool Swapped = false;
  /// The store revision of the key after this swap, if it took effect.
  StoreRevision Changed = 0;
  /// The entry that prevented the swap, if it didn't take effect and the key
  /// exists.
  std::optional<KeyValue> Present;
};

/// One change that a watch reports.
struct WatchEvent {
  bool IsDelete = false;
  KeyValue Entry;
  StoreEra Era = 0;
};
/// The listing that a watch continues: the watch reports the changes after this
/// revision.
struct WatchStart {
  StoreRevision After = 0;
  StoreEra Era = 0;
};
/// Called from the watching thread, in the order of the changes.
using WatchCallback = std::function<void(const WatchEvent &)>;

/// How long a watch may be silent if its caller sets no limit.
inline constexpr base::Duration DefaultSilenceLimit = std::chrono::seconds(10);

/// Calls are thread-safe and block until the store answers or the
/// implementation's timeout passes. Errors: Unavailable (the call had no
/// effect), OutcomeUnknown (the write may have taken effect), LeaseExpired (the
/// given lease is unknown).
template <typename T>
concept Store = requires(T &S, std::string_view Key, std::string_view Value,
                         StoreRevision Expected, LeaseId Lease,
                         base::Duration Ttl, base::Duration SilenceLimit,
                         const WatchCallback &OnEvent, std::stop_token Stop,
                         WatchStart Start) {
  // Returns the entry of a key, if any.
  { S.get(Key) } -> std::same_as<base::Result<std::optional<KeyValue>>>;
  // Returns all entries whose key starts with Key.
  { S.list(Key) } -> std::same_as<base::Result<Listing>>;
  // Writes Value if the revision of the key's last change is Expected (0: key
  // absent).
  {
    S.swap(Key, Expected, Value, Lease)
    } -> std::same_as<base::Result<SwapResult>>;
  // Writes Value unconditionally.
  { S.put(Key, Value, Lease) } -> std::same_as<base::Result<StoreRevision>>;
  // Deletes the key; no error if it is absent.
  { S.remove(Key) } -> std::same_as<base::Result<void>>;
  { S.grantLease(Ttl) } -> std::same_as<base::Result<LeaseId>>;
  { S.keepAlive(Lease) } -> std::same_as<base::Result<void>>;
  { S.revokeLease(Lease) } -> std::same_as<base::Result<void>>;
  // Reports changes under the prefix Key after the listing Start, until Stop is
  // requested or the watch breaks. An open connection may go silent without an
  // error, so a watch that has received nothing for SilenceLimit fails. It also
  // fails if the store is in another era than the listing.
  {
    S.watch(Key, Start, OnEvent, Stop, SilenceLimit)
    } -> std::same_as<base::Result<void>>;
  // The newest era that an answer has named; 0 if none has.
  { S.era() } -> std::same_as<StoreEra>;
};

} // namespace bilberry::store

#endif
