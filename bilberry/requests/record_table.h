// The decisions on a shard's requests, kept until each request's deadline has
// passed on every clock. A decision only ever moves forward: to a higher
// attempt, or within one attempt from Run to Refuse, which the owner decides
// when every process that it asked has said that nothing ran.

#ifndef BILBERRY_REQUESTS_RECORD_TABLE_H
#define BILBERRY_REQUESTS_RECORD_TABLE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ids.h"
#include "bilberry/wire/peer_message.h"

#include <cstddef>
#include <map>
#include <vector>

namespace bilberry::requests {

/// A plain value. Not safe for two threads at once.
class RecordTable {
public:
  /// The decision on a request, or null.
  const wire::IntentEntry *find(base::RequestId Id) const;

  /// True where Entry may follow what is recorded: nothing, the same, a
  /// Refuse after the Run of its attempt, or a higher attempt after a Refuse.
  /// No attempt follows a Run: the request may have run.
  bool mayFollow(const wire::IntentEntry &Entry) const;

  /// Records Entry. False, and nothing changes, where it may not follow.
  bool record(const wire::IntentEntry &Entry);

  /// Drops what every clock has passed the deadline of.
  void expire(base::TimePoint Now);

  /// All entries, for a copy.
  std::vector<wire::IntentEntry> entries() const;
  /// Replaces everything.
  void assign(const std::vector<wire::IntentEntry> &Entries);

  size_t size() const { return this->ById.size(); }

private:
  std::map<base::RequestId, wire::IntentEntry> ById;
};

/// True once no clock can still be before the deadline.
inline bool isExpired(base::TimePoint Now, base::TimePoint Deadline) {
  return Now > Deadline + base::MaxClockSkew;
}

} // namespace bilberry::requests

#endif
