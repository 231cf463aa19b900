// The outcomes of requests that ended here, kept so that a caller whose answer
// was lost gets the same one again. Answers hold memory, so they are bounded:
// when they outgrow the budget the oldest are dropped, and a copy of such a
// request is told "outcome unknown", never run again.

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

/// The most that kept answers may take together.
inline constexpr size_t AnswerBudgetBytes = 16 * 1024 * 1024;

struct KeptOutcome {
  uint32_t Attempt = 0;
  base::TimePoint Deadline;
  wire::RequestOutcome Outcome;
};

/// Not safe for two threads at once.
class OutcomeStore {
public:
  explicit OutcomeStore(size_t BudgetBytes = AnswerBudgetBytes)
      : BudgetBytes(BudgetBytes) {}

  /// Keeps an outcome, in place of an earlier one of the same request.
  void put(base::RequestId Id, KeptOutcome Value);
  /// The outcome of a request, or null.
  const KeptOutcome *find(base::RequestId Id) const;
  /// Forgets a request that is tried again.
  void erase(base::RequestId Id);
  /// Drops what no copy can ask for any more.
  void expire(base::TimePoint Now);

  size_t size() const { return this->ById.size(); }
  size_t bytes() const { return this->Bytes; }
  /// All that is kept, in no order, for a snapshot.
  std::vector<std::pair<base::RequestId, KeptOutcome>> all() const;

private:
  void shrink();

  size_t BudgetBytes;
  size_t Bytes = 0;
  std::unordered_map<base::RequestId, KeptOutcome> ById;
  /// Answers, oldest first; may name some that are gone already.
  std::deque<base::RequestId> AnswersByAge;
};

} // namespace bilberry::requests

#endif
