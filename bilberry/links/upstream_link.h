// An agent's one connection to its upstream: dialled again whenever it is
// lost, or silent although a health query waits for its answer.

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

/// What the owner of the link wants to hear. Called in the link's fiber, with
/// no lock held.
struct UpstreamEvents {
  std::function<void(base::TimePoint)> OnConnected;
  std::function<void(base::TimePoint)> OnLost;
  std::function<void(base::TimePoint, const wire::FromUpstream &)> OnMessage;
};

/// send() and isConnected() are thread-safe: one mutex of rank Adapter. run()
/// and tick() belong to one worker's fibers.
class UpstreamLink {
public:
  /// Clock must outlive the link.
  UpstreamLink(const base::SteadyClock &Clock, const base::Address &To,
               UpstreamEvents Events);
  ~UpstreamLink();
  UpstreamLink(const UpstreamLink &) = delete;
  UpstreamLink &operator=(const UpstreamLink &) = delete;

  /// Dials, reads and dials again until Stop is set. A fiber's body.
  void run(const runtime::StopFlag &Stop);

  /// Sends a message, or queues it behind earlier ones. False where the link
  /// is down or its queue is full; then nothing was sent.
  bool send(const wire::ToUpstream &Message);

  bool isConnected() const;

  /// Sends a health query each second and what has queued; abandons a silent
  /// connection. Call several times a second from a fiber of run()'s worker.
  void tick(base::TimePoint Now);

private:
  int dial();
  void readUntilLost(int Connection, const runtime::StopFlag &Stop);
  void flush();
  void drop();

  const base::SteadyClock &Clock;
  base::Address To;
  UpstreamEvents Events;
  mutable base::RankedMutex Mutex{base::LockRank::Adapter};
  int Fd = -1;
  std::string Queue;
  base::TimePoint LastBytes;
  base::TimePoint LastQuery;
};

} // namespace bilberry::links

#endif
