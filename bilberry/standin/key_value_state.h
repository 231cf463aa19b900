// An in-memory key-value store with revisions, leases and a log of changes,
// used by the stand-in that serves it over HTTP and by the tests' fake store.
// Follows the semantics of etcd v3: each change has the next revision, and the
// keys of an expired lease are deleted at one revision.

#ifndef BILBERRY_STANDIN_KEY_VALUE_STATE_H
#define BILBERRY_STANDIN_KEY_VALUE_STATE_H

#include "bilberry/store/store.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::standin {

/// The most changes that the log keeps for watches that start in the past.
inline constexpr size_t MaxLoggedChanges = 10'000;

/// The keys from Begin (inclusive) to End (exclusive). An empty End means the
/// single key Begin; an End of a single zero byte means no upper bound.
struct KeyRange {
  std::string Begin;
  std::string End;

  /// True for a key in the range.
  bool contains(std::string_view Key) const;
};

/// The keys that begin with Prefix.
KeyRange prefixRange(std::string_view Prefix);

/// The store's contents. Not thread-safe: the owner must lock. The caller
/// passes the time with each call.
class KeyValueState {
public:
  /// The keys in the range, in order.
  store::Listing list(const KeyRange &Range) const;
  /// The value under a key, if any.
  std::optional<store::KeyValue> get(std::string_view Key) const;
  /// Writes Value if the revision of the key's last change is Expected (0: the
  /// key is absent).
  /// Errors: LeaseExpired.
  base::Result<store::SwapResult> swap(std::string_view Key,
                                       store::StoreRevision Expected,
                                       std::string_view Value,
                                       store::LeaseId Lease);
  /// Writes Value; returns the new revision. Errors: LeaseExpired.
  base::Result<store::StoreRevision>
  put(std::string_view Key, std::string_view Value, store::LeaseId Lease);
  /// Deletes the keys in the range at one revision; returns their number.
  size_t remove(const KeyRange &Range);

  /// Creates a lease that expires at Now + Ttl. Precondition: Ttl is positive.
  store::LeaseId grantLease(base::TimePoint Now, base::Duration Ttl);
  /// Renews the lease and returns its TTL. Errors: LeaseExpired.
  base::Result<base::Duration> keepAlive(base::TimePoint Now,
                                         store::LeaseId Lease);
  /// Revokes the lease and deletes its keys. Errors: LeaseExpired.
  base::Result<void> revokeLease(store::LeaseId Lease);
  /// Revokes all leases, as if they had expired.
  void revokeAllLeases();
  /// Revokes the leases that have expired.
  void expireLeases(base::TimePoint Now);

  /// The revision of the last change; a new store has 1.
  store::StoreRevision revision() const { return this->CurrentRevision; }
  /// The changes in the range after a revision, in order. Errors: OutOfRange
  /// where the log has dropped some of the changes after that revision.
  base::Result<std::vector<store::WatchEvent>>
  changesAfter(store::StoreRevision After, const KeyRange &Range) const;

private:
  struct Lease {
    base::Duration Ttl;
    base::TimePoint ExpiresAt;
  };

  bool isKnownLease(store::LeaseId Id) const;
  store::StoreRevision write(std::string_view Key, std::string_view Value,
                             store::LeaseId Lease);
  void deleteKeysOf(store::LeaseId Lease);
  void erase(const std::vector<std::string> &Keys);
  void appendChange(store::WatchEvent Change);

  std::map<std::string, store::KeyValue, std::less<>> Entries;
  std::map<store::LeaseId, Lease> Leases;
  std::deque<store::WatchEvent> ChangeLog;
  store::StoreRevision CurrentRevision = 1;
  // The revision of the last change that was dropped from the log.
  store::StoreRevision LastDroppedRevision = 0;
  store::LeaseId LastLease = 0;
};

} // namespace bilberry::standin

#endif
