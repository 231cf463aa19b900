// Tracks the requests that run on the local upstream, for local shards and for
// other owners.
//
// A request from another owner is remembered until its deadline has passed on
// every clock, whatever its outcome: a duplicate of the message gets the result
// of the first one, and a refused request is never run later.

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

/// A request that runs on the local upstream.
struct UpstreamRun {
  uint32_t Attempt = 0;
  base::TimePoint Deadline;
  base::TimePoint StartedAt;
  /// The other owner that sent the request; empty if this process owns it.
  ShardHolder Owner;
  /// False once its slot was released because no answer arrived in time.
  bool HoldsSlot = true;
};

/// Not thread-safe.
class UpstreamRuns {
public:
  /// Limits must outlive this object.
  explicit UpstreamRuns(admission::UpstreamLimits &Limits) : Limits(Limits) {}

  /// Acquires a slot and starts a request. Returns false if no slot is free or
  /// the request is running already.
  bool start(base::TimePoint Now, board::RunOnUpstream Request,
             const ShardHolder &Owner, board::AgentActions &Out);
  bool isRunning(base::RequestId Id) const { return this->ById.contains(Id); }

  /// Handles a result: releases the slot and returns the run, if it is known.
  std::optional<UpstreamRun> finish(base::TimePoint Now,
                                    const wire::RunResult &Result);
  /// Removes and returns all runs after the upstream was lost. Their slots are
  /// not released, because they were lost with the upstream.
  std::vector<std::pair<base::RequestId, UpstreamRun>> removeAll();
  /// Releases the slots of runs without an answer by their deadline, and
  /// removes entries whose deadline has passed on every clock.
  void expire(base::TimePoint Now);

  /// Handles another owner's request to run something: starts it, or replies
  /// with the known or refused result.
  void onRunRequest(base::TimePoint Now, const ShardHolder &Owner,
                    const wire::RunRequest &Message, bool CanRunLocally,
                    board::AgentActions &Out);
  /// Stores the result of another owner's request and sends it to that owner.
  void sendResultToOwner(const UpstreamRun &Run, const wire::RunResult &Result,
                         board::AgentActions &Out);
  void onRunCancel(const wire::RunCancel &Message, board::AgentActions &Out);

  size_t size() const { return this->ById.size(); }

private:
  /// A request from another owner, with its result once there is one.
  struct RemoteRequest {
    uint32_t Attempt = 0;
    base::TimePoint Deadline;
    std::optional<wire::RunResult> Result;
  };

  void refuse(base::TimePoint Deadline, const ShardHolder &Owner,
              const wire::RunRequest &Message, wire::RefusalReason Reason,
              board::AgentActions &Out);

  admission::UpstreamLimits &Limits;
  std::unordered_map<base::RequestId, UpstreamRun> ById;
  std::unordered_map<base::RequestId, RemoteRequest> RemoteRequests;
};

} // namespace bilberry::requests

#endif
