// The state of peers that restart. A VM keeps nothing, so an agent that is
// replaced in place leaves its flows and records with two peers, and its next
// run fetches them from there. Bounded in count, bytes and age.

#ifndef BILBERRY_AGENT_SNAPSHOT_KEEPER_H
#define BILBERRY_AGENT_SNAPSHOT_KEEPER_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ranked_mutex.h"
#include "bilberry/wire/peer_message.h"

#include <map>

namespace bilberry::agent {

inline constexpr size_t MaxSnapshots = 16;
inline constexpr base::Duration SnapshotAge = std::chrono::minutes(2);

/// Thread-safe: one mutex of rank Adapter.
class SnapshotKeeper {
public:
  /// Keeps a snapshot unless one of a later run is kept. False where there is
  /// no room.
  bool put(base::TimePoint Now, const wire::SnapshotPut &Snapshot);

  /// The snapshot of that member, or one with Found false. Stays kept, so
  /// that a lost reply can be asked for again.
  wire::SnapshotReply fetch(base::TimePoint Now,
                            const base::MemberName &Of) const;

  /// Drops what is older than SnapshotAge.
  void tick(base::TimePoint Now);

private:
  struct Entry {
    wire::SnapshotPut Snapshot;
    base::TimePoint KeptAt;
  };

  mutable base::RankedMutex Mutex{base::LockRank::Adapter};
  std::map<base::MemberName, Entry> Entries;
};

} // namespace bilberry::agent

#endif
