// Holds snapshots of restarting peers. VMs have no persistent storage, so an
// agent that is replaced in place sends its flows and records to two peers, and
// its next run fetches them from there. Snapshots are bounded in number, size
// and age.

#ifndef BILBERRY_AGENT_PEER_SNAPSHOT_CACHE_H
#define BILBERRY_AGENT_PEER_SNAPSHOT_CACHE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ranked_mutex.h"
#include "bilberry/wire/peer_message.h"

#include <map>

namespace bilberry::agent {

inline constexpr size_t MaxSnapshots = 16;
inline constexpr base::Duration MaxSnapshotAge = std::chrono::minutes(2);

/// Thread-safe: guarded by one mutex of rank Adapter.
class PeerSnapshotCache {
public:
  /// Stores a snapshot unless one of a later run is held. Returns false if
  /// MaxSnapshots other members' snapshots are held.
  bool put(base::TimePoint Now, const wire::SnapshotPut &Snapshot);

  /// The snapshot of member Of, or a reply with Found false. The snapshot is
  /// not removed, so that the fetch can be repeated if the reply is lost.
  wire::SnapshotReply fetch(base::TimePoint Now,
                            const base::MemberName &Of) const;

  /// Removes snapshots older than MaxSnapshotAge. Call several times a second.
  void tick(base::TimePoint Now);

private:
  struct Entry {
    wire::SnapshotPut Snapshot;
    base::TimePoint StoredAt;
  };

  mutable base::RankedMutex Mutex{base::LockRank::Adapter};
  std::map<base::MemberName, Entry> Entries;
};

} // namespace bilberry::agent

#endif
