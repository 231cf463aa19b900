// A stand-in for the platform's store: an in-memory HTTP server for the calls
// of the etcd v3 JSON gateway that the store adapter uses, with fault
// injection.
//
// It serves two paths in addition to the gateway's:
//   POST /standin/fault   a JSON object with any of
//     "down": "no" | "refuse" | "hang"      see Availability
//     "slow_ms": N                          delay of each call
//     "lose_answers": N                     of the next N writes
//     "watch_silent": true | false
//     "expire_lease": "ID" | "all"
//     "heal": true                          removes all faults
//   GET /standin/counts   the calls since the start, by kind, and
//                         "open_watches", those that are open now

#ifndef BILBERRY_STANDIN_STORE_SERVER_H
#define BILBERRY_STANDIN_STORE_SERVER_H

#include "bilberry/base/address.h"
#include "bilberry/standin/store_faults.h"
#include "bilberry/store/store.h"

#include <memory>

namespace bilberry::standin {

/// How often a progress notification is sent on an idle watch.
inline constexpr base::Duration ProgressInterval = std::chrono::seconds(2);
/// How long a call waits under Availability::Hanging before its connection is
/// closed and the call isn't performed.
inline constexpr base::Duration MaxHangingCallTime = std::chrono::seconds(5);
/// The default number of threads. Each open watch occupies one, and hanging
/// calls occupy at most half of them.
inline constexpr size_t DefaultServerThreads = 256;

/// The HTTP server. Thread-safe, except for start() and stop().
class StoreServer {
public:
  /// Precondition: Threads is at least 2.
  explicit StoreServer(size_t Threads = DefaultServerThreads,
                       base::Duration ProgressPeriod = ProgressInterval);
  /// Stops the server.
  ~StoreServer();
  StoreServer(const StoreServer &) = delete;
  StoreServer &operator=(const StoreServer &) = delete;

  /// Starts serving on separate threads; port 0 selects a free port. Returns
  /// the address. Errors: System. Precondition: not started yet.
  base::Result<base::Address> start(base::Address ListenAddress);
  /// Ends all calls and watches, and joins their threads.
  void stop();

  /// Replaces the faults.
  void setFaults(const StoreFaults &Faults);
  /// Revokes one lease, as if it had expired. Ignores an unknown lease.
  void expireLease(store::LeaseId Lease);
  /// Revokes all leases, as if they had expired.
  void expireAllLeases();

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace bilberry::standin

#endif
