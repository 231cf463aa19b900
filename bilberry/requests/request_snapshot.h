// Serialises the state that a process keeps across a planned restart: the
// decision tables of its shards, and the outcomes that callers may still ask
// for. Pending requests are not included; a daemon restarts when there are
// none.
//
// Taking a snapshot seals the old run: it makes and records no more decisions
// in the epochs that it held. The snapshot is therefore complete even if the
// old run stays alive, and the new run may use it to take over by
// compare-and-swap. A snapshot that is restored twice, or late, has no effect,
// because the epoch in the store has changed.

#ifndef BILBERRY_REQUESTS_REQUEST_SNAPSHOT_H
#define BILBERRY_REQUESTS_REQUEST_SNAPSHOT_H

#include "bilberry/base/error.h"
#include "bilberry/requests/outcome_store.h"
#include "bilberry/requests/shard_group.h"

#include <string>
#include <string_view>

namespace bilberry::requests {

/// Serialises the state of a run. Precondition: its shards are sealed.
std::string encodeSnapshot(const ShardHolder &Self, const ShardGroup &Shards,
                           const OutcomeStore &Outcomes);

/// Restores a serialised state into a new run of the process named Self.
/// Errors: Malformed, without any change. Precondition: Shards is unused.
base::Result<void> restoreSnapshot(base::TimePoint Now,
                                   const base::MemberName &Self,
                                   std::string_view State, ShardGroup &Shards,
                                   OutcomeStore &Outcomes);

} // namespace bilberry::requests

#endif
