// A client for stores with the etcd v3 JSON gateway's protocol: POST requests
// with JSON bodies, and watches as streamed responses of one JSON object a
// line.
//
// Each call opens its own connection. This costs a round trip per call, but no
// connection is shared between threads, and none is reused after the server may
// have closed it: the outcome of a write is unknown only if its answer is lost.

#ifndef BILBERRY_STORE_ETCD_STORE_H
#define BILBERRY_STORE_ETCD_STORE_H

#include "bilberry/base/address.h"
#include "bilberry/store/call_counts.h"
#include "bilberry/store/store.h"

#include <nlohmann/json_fwd.hpp>

namespace bilberry::store {

/// Models Store. Thread-safe. Except for watch(), each method blocks for at
/// most the timeout to connect plus the timeout for each part of the answer.
class EtcdStore {
public:
  /// Opens no connection yet. Precondition: CallTimeout is positive.
  EtcdStore(base::Address Server, base::Duration CallTimeout);

  /// Returns the entry of a key, if any. Errors: Unavailable.
  base::Result<std::optional<KeyValue>> get(std::string_view Key);
  /// Returns all entries whose key starts with Prefix, in key order. Errors:
  /// Unavailable.
  base::Result<Listing> list(std::string_view Prefix);
  /// Writes Value if the revision of the key's last change is Expected (0: key
  /// absent). Lease 0 means none. Errors: Unavailable, OutcomeUnknown,
  /// LeaseExpired.
  base::Result<SwapResult> swap(std::string_view Key, StoreRevision Expected,
                                std::string_view Value, LeaseId Lease);
  /// Writes Value unconditionally. Errors: as swap().
  base::Result<StoreRevision> put(std::string_view Key, std::string_view Value,
                                  LeaseId Lease);
  /// Deletes the key if it exists. Errors: Unavailable, OutcomeUnknown.
  base::Result<void> remove(std::string_view Key);
  /// Creates a lease. The store's TTLs are whole seconds, so Ttl is rounded up.
  /// Errors: Unavailable, OutcomeUnknown.
  base::Result<LeaseId> grantLease(base::Duration Ttl);
  /// Renews the lease for its TTL. Errors: Unavailable, OutcomeUnknown,
  /// LeaseExpired.
  base::Result<void> keepAlive(LeaseId Lease);
  /// Revokes the lease and deletes its keys. Errors: as keepAlive().
  base::Result<void> revokeLease(LeaseId Lease);
  /// Calls OnEvent for each change under Prefix after the revision After, and
  /// returns without an error when Stop is requested. Errors: Unavailable if
  /// the watch breaks, gets neither an event nor a progress notification for
  /// SilenceLimit, or asks for changes that the store no longer has. If a store
  /// sends no notifications, each idle watch fails.
  base::Result<void> watch(std::string_view Prefix, WatchStart Start,
                           const WatchCallback &OnEvent, std::stop_token Stop,
                           base::Duration SilenceLimit = DefaultSilenceLimit);

  /// etcd names no era: a cluster that is restored gets a new cluster id, and
  /// its clients are set up anew.
  static StoreEra era() { return 0; }
  /// The number of calls made so far.
  const StoreCallCounts &counts() const { return this->Counts; }

private:
  enum class CallEffect { Reads, Writes };

  base::Result<nlohmann::json>
  post(const char *Path, const nlohmann::json &Body, CallEffect Kind);

  base::Address Server;
  base::Duration CallTimeout;
  StoreCallCounts Counts;
};

static_assert(Store<EtcdStore>);

} // namespace bilberry::store

#endif
