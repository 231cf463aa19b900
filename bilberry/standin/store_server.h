// A stand-in for the platform's store: an HTTP server that speaks the part of
// the etcd v3 JSON gateway that we use, keeps everything in memory, and has
// the faults that it is told to have.
//
// Besides the gateway's paths it serves two of its own:
//   POST /standin/fault   a JSON object with any of
//     "down": "no" | "refuse" | "hang"      see Availability
//     "slow_ms": N                          delay of each call
//     "lose_answers": N                     of the next N writes
//     "watch_silent": true | false
//     "expire_lease": "ID" | "all"
//     "heal": true                          no fault at all
//   GET /standin/counts   the calls since the start, by kind, and
//                         "open_watches", those that are open now

#ifndef BILBERRY_STANDIN_STORE_SERVER_H
#define BILBERRY_STANDIN_STORE_SERVER_H

#include "bilberry/base/address.h"
#include "bilberry/standin/store_faults.h"
#include "bilberry/store/store.h"

#include <memory>

namespace bilberry::standin {

/// How often an idle watch brings a progress notice.
inline constexpr base::Duration ProgressInterval = std::chrono::seconds(2);
/// How long a call waits under Availability::Hanging before it is dropped
/// without having been performed.
inline constexpr base::Duration MaxHold = std::chrono::seconds(5);
/// The threads of a server in a process of its own. Each waiting watch holds
/// one, and no more than half of them are held by hanging calls.
inline constexpr size_t ServerThreads = 256;

/// Thread-safe, but for start() and stop().
class StoreServer {
public:
  /// Precondition: Threads is at least 2.
  explicit StoreServer(size_t Threads = ServerThreads,
                       base::Duration Progress = ProgressInterval);
  /// Stops the server.
  ~StoreServer();
  StoreServer(const StoreServer &) = delete;
  StoreServer &operator=(const StoreServer &) = delete;

  /// Listens in threads of its own; port 0 takes a free one. Returns the
  /// address. Errors: System. Precondition: not started yet.
  base::Result<base::Address> start(base::Address Listen);
  /// Ends all calls and watches, and waits for their threads.
  void stop();

  /// Replaces the faults.
  void setFaults(const StoreFaults &Faults);
  /// Ends one lease, as if it had expired. Unknown ones are ignored.
  void expireLease(store::LeaseId Lease);
  /// Ends every lease, as if all had expired.
  void expireAllLeases();

private:
  class Impl;
  std::unique_ptr<Impl> Body;
};

} // namespace bilberry::standin

#endif
