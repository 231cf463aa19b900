// The store's record of the processes that may decide on the requests of a
// shard. There is one record per shard. It changes by compare-and-swap when the
// membership changes, never for a request.

#ifndef BILBERRY_REQUESTS_SHARD_RECORD_H
#define BILBERRY_REQUESTS_SHARD_RECORD_H

#include "bilberry/base/error.h"
#include "bilberry/base/ids.h"
#include "bilberry/store/store.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberry::requests {

/// The number of shards of each service.
inline constexpr uint32_t ShardsPerService = 32;

/// One run of a process. An owner that has restarted is a different holder.
struct ShardHolder {
  base::MemberName Name;
  base::Incarnation Run = 0;

  auto operator<=>(const ShardHolder &) const = default;
};

struct ShardRecord {
  ShardHolder Owner;
  /// The name is empty if the shard has no backup, because the owner is the
  /// only member of the service.
  ShardHolder Backup;
  /// Increases with every change of Owner or Backup.
  uint64_t Epoch = 0;

  bool operator==(const ShardRecord &) const = default;
};

/// A record as read from the store. ModRevision is the revision of its last
/// change; 0 means that there is no record yet.
struct StoredShard {
  uint32_t Shard = 0;
  ShardRecord Record;
  store::StoreRevision ModRevision = 0;
};

/// Converts a record to and from the JSON text in the store. Errors: Malformed.
std::string shardRecordText(const ShardRecord &Record);
base::Result<ShardRecord> parseShardRecord(std::string_view Text);

/// Returns the shard of a request.
inline uint32_t shardOf(base::RequestId Id) {
  return static_cast<uint32_t>((Id.High ^ Id.Low) % ShardsPerService);
}

} // namespace bilberry::requests

#endif
