// The adapter for a store that speaks the etcd v3 JSON gateway's protocol:
// POST requests with JSON bodies, and watches as streamed responses of one
// JSON object a line.
//
// Each call opens a connection of its own. This costs a round trip a call,
// and buys two things: no connection is shared between threads, and none is
// reused that the other end may already have dropped, so that a lost answer
// is the only way in which a write's outcome becomes unknown.

#ifndef BILBERRY_STORE_ETCD_STORE_H
#define BILBERRY_STORE_ETCD_STORE_H

#include "bilberry/base/address.h"
#include "bilberry/store/call_counts.h"
#include "bilberry/store/store.h"

#include <nlohmann/json_fwd.hpp>

namespace bilberry::store {

/// How long a watch may bring neither an event nor a progress notice before
/// it counts as broken. A store that sends no notices makes each quiet watch
/// break, and be opened anew, this often.
inline constexpr base::Duration MaxWatchSilence = std::chrono::seconds(10);

/// Models Store. Any method may be called from any thread at any time; each
/// blocks its thread for at most the timeout to connect plus the timeout for
/// each part of the answer, but for watch().
class EtcdStore {
public:
  /// Makes no connection yet. Precondition: both durations are positive.
  EtcdStore(base::Address Server, base::Duration CallTimeout,
            base::Duration WatchSilence = MaxWatchSilence);

  /// The value under a key, if any. Errors: Unavailable.
  base::Result<std::optional<KeyValue>> get(std::string_view Key);
  /// Every key that begins with Prefix, in the order of keys. Errors:
  /// Unavailable.
  base::Result<Listing> list(std::string_view Prefix);
  /// Writes Value where the key's last change is Expected (0: key absent).
  /// Lease 0 means none. Errors: Unavailable, OutcomeUnknown, LeaseExpired.
  base::Result<SwapResult> swap(std::string_view Key, StoreRevision Expected,
                                std::string_view Value, LeaseId Lease);
  /// Writes Value whatever is there. Errors: as swap().
  base::Result<StoreRevision> put(std::string_view Key, std::string_view Value,
                                  LeaseId Lease);
  /// Deletes the key, if it is there. Errors: Unavailable, OutcomeUnknown.
  base::Result<void> remove(std::string_view Key);
  /// A new lease; the store counts in whole seconds, so Ttl is rounded up.
  /// Errors: Unavailable, OutcomeUnknown.
  base::Result<LeaseId> grantLease(base::Duration Ttl);
  /// Starts the lease's time anew. Errors: Unavailable, OutcomeUnknown,
  /// LeaseExpired.
  base::Result<void> keepAlive(LeaseId Lease);
  /// Ends the lease, and deletes the keys under it. Errors: as keepAlive().
  base::Result<void> revokeLease(LeaseId Lease);
  /// Calls OnEvent for each change under Prefix after the revision After,
  /// until Stop is requested (no error). Errors: Unavailable where the watch
  /// broke, went silent, or asks for changes that the store no longer has.
  base::Result<void> watch(std::string_view Prefix, StoreRevision After,
                           const WatchCallback &OnEvent, std::stop_token Stop);

  /// The calls made so far.
  const StoreCallCounts &counts() const { return this->Counts; }

private:
  enum class Effect { Reads, Writes };

  base::Result<nlohmann::json> post(const char *Path,
                                    const nlohmann::json &Body, Effect Kind);

  base::Address Server;
  base::Duration CallTimeout;
  base::Duration WatchSilence;
  StoreCallCounts Counts;
};

static_assert(Store<EtcdStore>);

} // namespace bilberry::store

#endif
