// A request that an agent has accepted and that has no outcome yet.

#ifndef BILBERRY_REQUESTS_PENDING_REQUEST_H
#define BILBERRY_REQUESTS_PENDING_REQUEST_H

#include "bilberry/base/address.h"
#include "bilberry/requests/shard_record.h"
#include "bilberry/wire/caller_message.h"
#include "bilberry/wire/data_message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberry::requests {

enum class RequestPhase : uint8_t {
  /// Waits for the backup to record the decision to run.
  ReplicatingRunDecision,
  /// May run, and waits for a slot.
  Queued,
  /// Runs on the local upstream.
  RunningLocally,
  /// Passed to another agent.
  RunningRemotely,
  /// Waits for the backup to record the decision to refuse.
  ReplicatingRefusal,
};

/// A caller that waits for the outcome, with the packet to reply to.
struct WaitingCaller {
  base::Address Address;
  uint32_t MessageId = 0;
  uint32_t Attempt = 0;
};

/// State of one pending request. Copyable; not thread-safe.
struct PendingRequest {
  base::RequestId Id;
  uint32_t Attempt = 0;
  base::ClassName Class;
  base::TimePoint Deadline;
  bool IsIdempotent = false;
  uint32_t Shard = 0;
  /// The datagram as received, to be forwarded until a decision is recorded.
  wire::ForwardHeader Header;
  std::string Payload;
  std::string Body;
  std::vector<WaitingCaller> Callers;

  RequestPhase Phase = RequestPhase::ReplicatingRunDecision;
  /// True once the backup has recorded the decision to run.
  bool MayHaveRun = false;
  bool IsCancelled = false;
  /// The reason for the refusal, in phase ReplicatingRefusal.
  wire::RefusalReason Reason = wire::RefusalReason::Overloaded;
  /// The agent that runs it, in phase RunningRemotely.
  ShardHolder Runner;
  base::TimePoint SentAt;
  /// The number of local attempts that were refused or failed.
  int FailedLocalAttempts = 0;
  /// Other agents that have reported that the request did not run there.
  std::vector<base::MemberName> RefusedBy;
};

} // namespace bilberry::requests

#endif
