// Requests in progress on the agent's upstream, indexed by message id, so that
// results can arrive in any order.

#ifndef BILBERRY_AGENT_RUN_TABLE_H
#define BILBERRY_AGENT_RUN_TABLE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ids.h"
#include "bilberry/base/ranked_mutex.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace bilberry::agent {

/// One execution of a request on the upstream.
struct Run {
  base::RequestId Id;
  uint32_t Attempt = 0;
  base::TimePoint StartedAt;
};

/// Thread-safe: guarded by one mutex of rank Adapter.
class RunTable {
public:
  /// Adds a run and returns its new, unique message id.
  uint32_t add(const Run &Value) {
    std::lock_guard Lock(this->Mutex);
    uint32_t MessageId = ++this->LastId;
    this->Runs[MessageId] = Value;
    return MessageId;
  }

  /// Removes and returns the run with this message id. Empty if the id is
  /// unknown, such as that of a late result of an earlier connection.
  std::optional<Run> take(uint32_t MessageId) {
    std::lock_guard Lock(this->Mutex);
    auto It = this->Runs.find(MessageId);
    if (It == this->Runs.end()) {
      return std::nullopt;
    }
    Run Value = It->second;
    this->Runs.erase(It);
    return Value;
  }

  /// The message id of the run with this request id and attempt, if any.
  std::optional<uint32_t> find(const Run &Wanted) const {
    std::lock_guard Lock(this->Mutex);
    for (const auto &[MessageId, Value] : this->Runs) {
      if (Value.Id == Wanted.Id && Value.Attempt == Wanted.Attempt) {
        return MessageId;
      }
    }
    return std::nullopt;
  }

  /// Removes all runs. Call when the connection that would carry their results
  /// is lost.
  void clear() {
    std::lock_guard Lock(this->Mutex);
    this->Runs.clear();
  }

private:
  mutable base::RankedMutex Mutex{base::LockRank::Adapter};
  std::unordered_map<uint32_t, Run> Runs;
  uint32_t LastId = 0;
};

} // namespace bilberry::agent

#endif
