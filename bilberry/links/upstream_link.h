// The connection of an agent to its upstream. It is redialled when it is lost,
// or when a health query gets no response in time.

#ifndef BILBERRY_LINKS_UPSTREAM_LINK_H
#define BILBERRY_LINKS_UPSTREAM_LINK_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/ranked_mutex.h"
#include "bilberry/runtime/worker_pool.h"
#include "bilberry/wire/upstream_message.h"

#include <functional>
#include <string>

namespace bilberry::links {

/// Callbacks of the link's owner. They run in the link's fiber, with no lock
/// held.
struct UpstreamEvents {
  std::function<void(base::TimePoint)> OnConnected;
  std::function<void(base::TimePoint)> OnDisconnected;
  std::function<void(base::TimePoint, const wire::FromUpstream &)> OnMessage;
};

/// send() and isConnected() are thread-safe: one mutex of rank Adapter. run()
/// and tick() must run in fibers of the same worker.
class UpstreamLink {
public:
  /// Clock must outlive the link.
  UpstreamLink(const base::SteadyClock &Clock,
               const base::Address &UpstreamAddress, UpstreamEvents Events);
  ~UpstreamLink();
  UpstreamLink(const UpstreamLink &) = delete;
  UpstreamLink &operator=(const UpstreamLink &) = delete;

  /// Dials, reads messages and redials until Stop is set. Runs as a fiber.
  void run(const runtime::StopFlag &Stop);

  /// Sends a message, or queues it behind earlier ones. Returns false if the
  /// link is down or its queue is full; the message is then discarded.
  bool send(const wire::ToUpstream &Message);

  bool isConnected() const;

  /// Sends a health query every second, flushes the send queue, and shuts down
  /// a connection that has received nothing for ReplyTimeout. Call several
  /// times a second from a fiber of the worker that runs run().
  void tick(base::TimePoint Now);

private:
  int dial();
  void readUntilDisconnected(int ConnectionFd, const runtime::StopFlag &Stop);
  void flush();
  void markDisconnected();

  const base::SteadyClock &Clock;
  base::Address UpstreamAddress;
  UpstreamEvents Events;
  mutable base::RankedMutex Mutex{base::LockRank::Adapter};
  int Fd = -1;
  std::string SendQueue;
  base::TimePoint LastReceived;
  base::TimePoint LastHealthQuery;
};

} // namespace bilberry::links

#endif
