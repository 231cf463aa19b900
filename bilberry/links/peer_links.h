// Messages between our processes over nng: each process pulls from one
// listening socket and pushes to one socket a peer. A message is sent or, where
// the peer's queue is full or the link is down, lost; whatever must arrive is
// sent again by its protocol.

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

/// What the metrics tell of the links.
struct LinkCounts {
  uint64_t Sent = 0;
  uint64_t SentBytes = 0;
  uint64_t Dropped = 0;
  uint64_t Received = 0;
  uint64_t Malformed = 0;
  uint64_t Misaddressed = 0;
  uint64_t Redials = 0;
};

/// Thread-safe: one mutex of rank Adapter.
class PeerLinks {
public:
  /// Self must outlive the links.
  explicit PeerLinks(const board::LocalMember &Self);
  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// Begins to listen. Errors: System. Call once.
  base::Result<void> listen(const base::Address &At);

  /// Readable while receive() may have a message.
  int receiveFd() const { return this->PullFd; }

  /// The next message for this process, without waiting. Heartbeats are
  /// answered here and not returned; malformed and misaddressed messages are
  /// counted and dropped. Empty when nothing is left.
  std::optional<wire::PeerMessage> receive(base::TimePoint Now);

  /// Sends to the process Receiver at a control address. An empty name means
  /// whoever is there.
  void send(base::TimePoint Now, const base::Address &To,
            const base::MemberName &Receiver, wire::PeerBody Body);

  /// Heartbeats, redials and closes. Call several times a second.
  void tick(base::TimePoint Now);

  LinkCounts counts() const;

private:
  struct Link {
    nng_socket Push;
    LinkHealth Health;
    base::MemberName Receiver;
    uint64_t Sequence = 0;
  };

  // The link to an address, dialled where there is none. Precondition: Mutex
  // is held. Null where nng refuses.
  Link *open(base::TimePoint Now, const base::Address &To);
  void push(Link &To, const std::string &Bytes);
  std::string envelope(const base::MemberName &Receiver,
                       wire::PeerBody Body) const;
  void answerHeartbeat(base::TimePoint Now, const wire::PeerMessage &Message);

  const board::LocalMember &Self;
  nng_socket Pull = NNG_SOCKET_INITIALIZER;
  int PullFd = -1;
  mutable base::RankedMutex Mutex{base::LockRank::Adapter};
  std::map<base::Address, Link> Links;
  LinkCounts Counts;
};

} // namespace bilberry::links

#endif
