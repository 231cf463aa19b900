// The requests that run on our upstream, by the message id of the run, so
// that a result finds its request whatever the order of the answers.

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

/// One run of a request.
struct Run {
  base::RequestId Id;
  uint32_t Attempt = 0;
  base::TimePoint StartedAt;
};

/// Thread-safe: one mutex of rank Adapter.
class RunTable {
public:
  /// Notes a run and gives it a message id that no other run has.
  uint32_t add(const Run &Value) {
    std::lock_guard Lock(this->Mutex);
    uint32_t MessageId = ++this->LastId;
    this->Runs[MessageId] = Value;
    return MessageId;
  }

  /// Takes out the run of that message id; empty for one not known, such as
  /// the late result of an earlier connection.
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

  /// The message id under which a request runs now.
  std::optional<uint32_t> find(const Run &Wanted) const {
    std::lock_guard Lock(this->Mutex);
    for (const auto &[MessageId, Value] : this->Runs) {
      if (Value.Id == Wanted.Id && Value.Attempt == Wanted.Attempt) {
        return MessageId;
      }
    }
    return std::nullopt;
  }

  /// Forgets all runs: the connection that would bring their results is lost.
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
