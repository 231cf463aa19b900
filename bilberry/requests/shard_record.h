// Who may decide on a shard's requests. The store holds one such record a
// shard; it changes by compare-and-swap, with the membership, never with a
// request.

#ifndef BILBERRY_REQUESTS_SHARD_RECORD_H
#define BILBERRY_REQUESTS_SHARD_RECORD_H

#include "bilberry/base/error.h"
#include "bilberry/base/ids.h"
#include "bilberry/store/store.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberry::requests {

/// How many shards the requests of one service fall into.
inline constexpr uint32_t ShardsPerService = 32;

/// A process in one of its runs: a restarted owner isn't the same owner.
struct ShardHolder {
  base::MemberName Name;
  base::Incarnation Run = 0;

  auto operator<=>(const ShardHolder &) const = default;
};

struct ShardRecord {
  ShardHolder Owner;
  /// Empty name where the shard has no backup: the owner is alone in the
  /// service.
  ShardHolder Backup;
  /// Rises with every change of Owner or Backup.
  uint64_t Epoch = 0;

  bool operator==(const ShardRecord &) const = default;
};

/// A record as read from the store. Changed 0: there is none yet.
struct StoredShard {
  uint32_t Shard = 0;
  ShardRecord Record;
  store::StoreRevision Changed = 0;
};

/// The record as JSON text for the store, and back. Errors: Malformed.
std::string shardRecordText(const ShardRecord &Record);
base::Result<ShardRecord> parseShardRecord(std::string_view Text);

/// The shard that a request falls into.
inline uint32_t shardOf(base::RequestId Id) {
  return static_cast<uint32_t>((Id.High ^ Id.Low) % ShardsPerService);
}

} // namespace bilberry::requests

#endif
