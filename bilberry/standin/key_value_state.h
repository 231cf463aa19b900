// The state of a small key-value store with revisions, leases and a log of
// changes: what the stand-in serves over HTTP, and the tests' fake in memory.
// Semantics after etcd v3: each change has the next revision, and the keys of
// an ended lease are deleted together.

#ifndef BILBERRY_STANDIN_KEY_VALUE_STATE_H
#define BILBERRY_STANDIN_KEY_VALUE_STATE_H

#include "bilberry/store/store.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::standin {

/// How many changes the log keeps for watches that start in the past.
inline constexpr size_t MaxLoggedChanges = 10'000;

/// Keys from Begin on and before End. An empty End means Begin alone, and one
/// of a single zero byte means no end.
struct KeyRange {
  std::string Begin;
  std::string End;

  /// True for a key in the range.
  bool contains(std::string_view Key) const;
};

/// The keys that begin with Prefix.
KeyRange prefixRange(std::string_view Prefix);

/// Not thread-safe: its owner locks. Time is given with each call.
class KeyValueState {
public:
  /// The keys in the range, in order.
  store::Listing list(const KeyRange &Range) const;
  /// The value under a key, if any.
  std::optional<store::KeyValue> get(std::string_view Key) const;
  /// Writes Value where the key's last change is Expected (0: absent).
  /// Errors: LeaseExpired.
  base::Result<store::SwapResult> swap(std::string_view Key,
                                       store::StoreRevision Expected,
                                       std::string_view Value,
                                       store::LeaseId Lease);
  /// Writes Value; returns the new revision. Errors: LeaseExpired.
  base::Result<store::StoreRevision>
  put(std::string_view Key, std::string_view Value, store::LeaseId Lease);
  /// Deletes the keys in the range, and returns how many there were.
  size_t remove(const KeyRange &Range);

  /// A new lease that ends at Now + Ttl. Precondition: Ttl is positive.
  store::LeaseId grantLease(base::TimePoint Now, base::Duration Ttl);
  /// Starts the lease's time anew, and returns that time. Errors:
  /// LeaseExpired.
  base::Result<base::Duration> keepAlive(base::TimePoint Now,
                                         store::LeaseId Lease);
  /// Ends the lease, and deletes its keys. Errors: LeaseExpired.
  base::Result<void> revokeLease(store::LeaseId Lease);
  /// Ends every lease, as if all had expired.
  void endAllLeases();
  /// Ends the leases whose time is over.
  void expireLeases(base::TimePoint Now);

  /// The revision of the last change; a new store has 1.
  store::StoreRevision revision() const { return this->Current; }
  /// The changes in the range after a revision, in order. Errors: OutOfRange
  /// where the log no longer has them all.
  base::Result<std::vector<store::WatchEvent>>
  changesAfter(store::StoreRevision After, const KeyRange &Range) const;

private:
  struct Lease {
    base::Duration Ttl;
    base::TimePoint End;
  };

  bool isKnown(store::LeaseId Id) const;
  store::StoreRevision write(std::string_view Key, std::string_view Value,
                             store::LeaseId Lease);
  void deleteKeysOf(store::LeaseId Lease);
  void erase(const std::vector<std::string> &Keys);
  void log(store::WatchEvent Change);

  std::map<std::string, store::KeyValue, std::less<>> Entries;
  std::map<store::LeaseId, Lease> Leases;
  std::deque<store::WatchEvent> Changes;
  store::StoreRevision Current = 1;
  // The revision of the last change that the log has dropped.
  store::StoreRevision Dropped = 0;
  store::LeaseId LastLease = 0;
};

} // namespace bilberry::standin

#endif
