// The keys of all entries in the store.

#ifndef BILBERRY_STORE_KEYS_H
#define BILBERRY_STORE_KEYS_H

#include "bilberry/base/name.h"

#include <cstdint>
#include <string>

namespace bilberry::store {

inline constexpr char TargetsKey[] = "/bilberry/targets";
inline constexpr char MembersPrefix[] = "/bilberry/members/";
inline constexpr char ShardsPrefix[] = "/bilberry/shards/";

/// The key of a member's announcement, which is attached to its lease.
inline std::string memberKey(const base::MemberName &Name) {
  return MembersPrefix + Name.text();
}

/// The prefix of the keys of a service's shard records.
inline std::string shardPrefix(const base::ServiceName &Service) {
  return ShardsPrefix + Service.text() + "/";
}

/// The key of a shard's record.
inline std::string shardKey(const base::ServiceName &Service, uint32_t Shard) {
  return shardPrefix(Service) + std::to_string(Shard);
}

} // namespace bilberry::store

#endif
