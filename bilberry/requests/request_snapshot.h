// What a planned restart carries over: the shards' tables and the outcomes
// that callers may still ask for. Requests in hand aren't in it; a daemon
// restarts once there are none.
//
// Taking a snapshot seals the old run: it neither decides nor records anything
// more in the epochs that it held. So the snapshot is complete even if the old
// run lives on, and the new run may swap itself in with it. A snapshot that is
// used twice, or late, finds another epoch in the store and counts for nothing.

#ifndef BILBERRY_REQUESTS_REQUEST_SNAPSHOT_H
#define BILBERRY_REQUESTS_REQUEST_SNAPSHOT_H

#include "bilberry/base/error.h"
#include "bilberry/requests/outcome_store.h"
#include "bilberry/requests/shard_group.h"

#include <string>
#include <string_view>

namespace bilberry::requests {

/// Writes the state of a run. Precondition: its shards are sealed.
std::string snapshotBytes(const ShardHolder &Self, const ShardGroup &Shards,
                          const OutcomeStore &Outcomes);

/// Reads a state into a new run of that name. Errors: Malformed, and nothing
/// is changed. Precondition: nothing has happened to Shards.
base::Result<void> restoreSnapshot(base::TimePoint Now,
                                   const base::MemberName &Self,
                                   std::string_view State, ShardGroup &Shards,
                                   OutcomeStore &Outcomes);

} // namespace bilberry::requests

#endif
