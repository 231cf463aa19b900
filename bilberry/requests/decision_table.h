// Stores the decisions on the requests of one shard until each deadline has
// passed on every clock. A recorded decision is only replaced by one of a
// higher attempt or, within one attempt, by Refuse after Run. The owner
// proposes the latter when every process that it asked has reported that it did
// not run the request.

#ifndef BILBERRY_REQUESTS_DECISION_TABLE_H
#define BILBERRY_REQUESTS_DECISION_TABLE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ids.h"
#include "bilberry/wire/peer_message.h"

#include <cstddef>
#include <map>
#include <vector>

namespace bilberry::requests {

/// Copyable. Not thread-safe.
class DecisionTable {
public:
  /// Returns the decision on a request, or null if none is recorded.
  const wire::IntentEntry *find(base::RequestId Id) const;

  /// Returns true if Entry can be recorded: the request has no decision yet, or
  /// the same one, or Entry is a Refuse after a Run of the same attempt, or a
  /// higher attempt after a Refuse. No further attempt is allowed after a Run,
  /// because the request may have run.
  bool canRecord(const wire::IntentEntry &Entry) const;

  /// Records Entry. Returns false, without any change, if canRecord(Entry) is
  /// false.
  bool record(const wire::IntentEntry &Entry);

  /// Removes entries whose deadline has passed on every clock.
  void expire(base::TimePoint Now);

  /// Returns all entries, to be copied to another process.
  std::vector<wire::IntentEntry> entries() const;
  /// Replaces the contents of the table.
  void assign(const std::vector<wire::IntentEntry> &Entries);

  size_t size() const { return this->ById.size(); }

private:
  std::map<base::RequestId, wire::IntentEntry> ById;
};

/// Returns true if the deadline has passed on every clock, allowing for
/// base::MaxClockSkew.
inline bool isExpired(base::TimePoint Now, base::TimePoint Deadline) {
  return Now > Deadline + base::MaxClockSkew;
}

} // namespace bilberry::requests

#endif
