// What runs on our own upstream, for our own shards and for other owners.
//
// A request that another owner passed to us is remembered until its deadline
// has passed everywhere, whatever became of it: a second copy of that message
// gets the first one's result, and one that we refused is never run later.

#ifndef BILBERRY_REQUESTS_UPSTREAM_RUNS_H
#define BILBERRY_REQUESTS_UPSTREAM_RUNS_H

#include "bilberry/admission/upstream_limits.h"
#include "bilberry/board/agent_action.h"
#include "bilberry/requests/shard_record.h"

#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bilberry::requests {

/// One request on our upstream.
struct UpstreamRun {
  uint32_t Attempt = 0;
  base::TimePoint Deadline;
  base::TimePoint StartedAt;
  /// The owner that passed it to us; empty where we own it.
  ShardHolder Owner;
  /// False once its slot was given back, for want of an answer in time.
  bool HoldsSlot = true;
};

/// Not safe for two threads at once.
class UpstreamRuns {
public:
  /// Limits must outlive this object.
  explicit UpstreamRuns(admission::UpstreamLimits &Limits) : Limits(Limits) {}

  /// Takes a slot and starts a request. False where no slot is free.
  bool start(base::TimePoint Now, board::RunOnUpstream Request,
             const ShardHolder &Owner, board::AgentActions &Out);
  bool isRunning(base::RequestId Id) const { return this->ById.contains(Id); }

  /// A result has come: gives the slot back and returns what had run, if it is
  /// known.
  std::optional<UpstreamRun> finish(base::TimePoint Now,
                                    const wire::RunResult &Result);
  /// The upstream was lost: returns all that ran. The slots are gone with it.
  std::vector<std::pair<base::RequestId, UpstreamRun>> loseAll();
  /// Gives back the slots of what has had no answer by its deadline.
  void expire(base::TimePoint Now);

  /// Another owner asks us to run a request: starts it, or answers.
  void onRunRequest(base::TimePoint Now, const ShardHolder &Owner,
                    const wire::RunRequest &Message, bool MayRunHere,
                    board::AgentActions &Out);
  /// Sends the result of what another owner passed to us.
  void answerOwner(const UpstreamRun &Run, const wire::RunResult &Result,
                   board::AgentActions &Out);
  void onRunCancel(const wire::RunCancel &Message, board::AgentActions &Out);

  size_t size() const { return this->ById.size(); }

private:
  /// A request that another owner passed to us.
  struct PassedOn {
    uint32_t Attempt = 0;
    base::TimePoint Deadline;
    std::optional<wire::RunResult> Result;
  };

  void refuse(base::TimePoint Deadline, const ShardHolder &Owner,
              const wire::RunRequest &Message, wire::RefusalReason Reason,
              board::AgentActions &Out);

  admission::UpstreamLimits &Limits;
  std::unordered_map<base::RequestId, UpstreamRun> ById;
  std::unordered_map<base::RequestId, PassedOn> FromOthers;
};

} // namespace bilberry::requests

#endif
