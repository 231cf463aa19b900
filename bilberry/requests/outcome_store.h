// Stores the outcomes of completed requests, so that a caller that lost the
// reply gets the same outcome when it sends the request again. The answers are
// bounded in memory: over the limit the oldest are evicted, and a duplicate of
// an evicted request gets "outcome unknown" and is never run again.

#ifndef BILBERRY_REQUESTS_OUTCOME_STORE_H
#define BILBERRY_REQUESTS_OUTCOME_STORE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ids.h"
#include "bilberry/wire/caller_message.h"
#include "bilberry/wire/time_format.h"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bilberry::requests {

/// Limit on the total size of the stored answers.
inline constexpr size_t MaxStoredAnswerBytes = 16 * 1024 * 1024;

struct StoredOutcome {
  uint32_t Attempt = 0;
  base::TimePoint Deadline;
  wire::RequestOutcome Outcome;
};

/// Not thread-safe.
class OutcomeStore {
public:
  explicit OutcomeStore(size_t MaxAnswerBytes = MaxStoredAnswerBytes)
      : MaxAnswerBytes(MaxAnswerBytes) {}

  /// Stores an outcome and replaces an earlier one of the same request.
  void put(base::RequestId Id, StoredOutcome Value);
  /// Returns the outcome of a request, or null if none is stored.
  const StoredOutcome *find(base::RequestId Id) const;
  /// Removes the outcome of a request, before a new attempt of it.
  void erase(base::RequestId Id);
  /// Removes outcomes whose deadline has passed on every clock.
  void expire(base::TimePoint Now);

  size_t size() const { return this->ById.size(); }
  size_t bytes() const { return this->TotalAnswerBytes; }
  /// Returns all stored outcomes in unspecified order, for a snapshot.
  std::vector<std::pair<base::RequestId, StoredOutcome>> all() const;

private:
  void evictOldestAnswers();

  size_t MaxAnswerBytes;
  size_t TotalAnswerBytes = 0;
  std::unordered_map<base::RequestId, StoredOutcome> ById;
  /// Ids of answered requests, oldest first. May hold ids that are no longer
  /// stored.
  std::deque<base::RequestId> AnswersByAge;
};

} // namespace bilberry::requests

#endif
