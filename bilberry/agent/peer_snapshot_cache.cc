#include "bilberry/agent/peer_snapshot_cache.h"

#include <mutex>

namespace bilberry::agent {

bool PeerSnapshotCache::put(base::TimePoint Now,
                            const wire::SnapshotPut &Snapshot) {
  std::lock_guard Lock(this->Mutex);
  auto It = this->Entries.find(Snapshot.Of);
  if (It == this->Entries.end()) {
    if (this->Entries.size() >= MaxSnapshots) {
      return false;
    }
    this->Entries[Snapshot.Of] = {Snapshot, Now};
    return true;
  }
  if (It->second.Snapshot.Run <= Snapshot.Run) {
    It->second = {Snapshot, Now};
  }
  return true;
}

wire::SnapshotReply PeerSnapshotCache::fetch(base::TimePoint Now,
                                             const base::MemberName &Of) const {
  std::lock_guard Lock(this->Mutex);
  auto It = this->Entries.find(Of);
  if (It == this->Entries.end() || Now - It->second.StoredAt > MaxSnapshotAge) {
    return {Of, false, 0, {}};
  }
  const wire::SnapshotPut &Stored = It->second.Snapshot;
  return {Of, true, Stored.Run, Stored.State};
}

void PeerSnapshotCache::tick(base::TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  std::erase_if(this->Entries, [Now](const auto &Item) {
    return Now - Item.second.StoredAt > MaxSnapshotAge;
  });
}

} // namespace bilberry::agent
