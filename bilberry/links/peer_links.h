// Messages between agents and balancers over nng: each process has one
// listening pull socket and one push socket for each peer. Delivery is not
// guaranteed: a message is dropped if the peer's queue is full or the link is
// down. Protocols that need delivery retransmit.

#ifndef BILBERRY_LINKS_PEER_LINKS_H
#define BILBERRY_LINKS_PEER_LINKS_H

#include "bilberry/base/ranked_mutex.h"
#include "bilberry/board/local_member.h"
#include "bilberry/links/link_health.h"
#include "bilberry/wire/peer_message.h"

#include <atomic>
#include <map>
#include <memory>
#include <nng/nng.h>
#include <optional>

namespace bilberry::links {

/// Message counters of the links, for the metrics.
struct LinkCounts {
  uint64_t Sent = 0;
  uint64_t SentBytes = 0;
  uint64_t Dropped = 0;
  uint64_t Received = 0;
  uint64_t Malformed = 0;
  uint64_t Misaddressed = 0;
  uint64_t Redials = 0;
};

/// The links to all peers. Thread-safe: one mutex of rank Adapter.
class PeerLinks {
public:
  /// Self must outlive the links.
  explicit PeerLinks(const board::LocalMember &Self);
  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// Starts to listen for peers. Errors: System. Call once.
  base::Result<void> listen(const base::Address &Endpoint);

  /// A descriptor that is readable while receive() may return a message. -1
  /// before listen() has succeeded.
  int receiveFd() const { return this->ReceiveFd; }

  /// Returns the next message for this process, or nothing if none is queued.
  /// Does not block. Heartbeats are handled internally and not returned;
  /// malformed and misaddressed messages are counted and dropped.
  std::optional<wire::PeerMessage> receive(base::TimePoint Now);

  /// Sends to the process Receiver at the control address To. With an empty
  /// name, any process at that address accepts the message. Does not block and
  /// reports no failure; dropped messages are counted.
  void send(base::TimePoint Now, const base::Address &To,
            const base::MemberName &Receiver, wire::PeerBody Body);

  /// Sends heartbeats, redials links without replies and closes idle links.
  /// Call several times a second.
  void tick(base::TimePoint Now);

  LinkCounts counts() const;

private:
  struct Link {
    nng_socket PushSocket;
    LinkHealth Health;
    base::MemberName Receiver;
    uint64_t Sequence = 0;
  };

  // Returns the link to an address, dialling it if it does not exist, or null
  // if nng fails to dial. Precondition: Mutex is held.
  Link *findOrDial(base::TimePoint Now, const base::Address &To);
  void push(Link &To, const std::string &Bytes);
  std::string encodeMessage(const base::MemberName &Receiver,
                            wire::PeerBody Body) const;
  void handleHeartbeat(base::TimePoint Now, const wire::PeerMessage &Message);

  const board::LocalMember &Self;
  nng_socket PullSocket = NNG_SOCKET_INITIALIZER;
  int ReceiveFd = -1;
  mutable base::RankedMutex Mutex{base::LockRank::Adapter};
  std::map<base::Address, Link> Links;
  LinkCounts Counts;
};

} // namespace bilberry::links

#endif
