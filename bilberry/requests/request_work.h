// One request in hand at an agent.

#ifndef BILBERRY_REQUESTS_REQUEST_WORK_H
#define BILBERRY_REQUESTS_REQUEST_WORK_H

#include "bilberry/base/address.h"
#include "bilberry/requests/shard_record.h"
#include "bilberry/wire/caller_message.h"
#include "bilberry/wire/data_message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberry::requests {

enum class WorkPhase : uint8_t {
  /// Waits for the backup to record that it may run.
  Deciding,
  /// May run; waits for a slot.
  Queued,
  /// On our own upstream.
  Running,
  /// At another agent.
  PassedOn,
  /// Waits for the backup to record that it is refused.
  Refusing,
};

/// Someone who waits for the outcome.
struct WaitingCaller {
  base::Address Address;
  uint32_t MessageId = 0;
  uint32_t Attempt = 0;
};

/// A plain value.
struct RequestWork {
  base::RequestId Id;
  uint32_t Attempt = 0;
  base::ClassName Class;
  base::TimePoint Deadline;
  bool IsIdempotent = false;
  uint32_t Shard = 0;
  /// The datagram as it came, to pass on until we have decided.
  wire::ForwardHeader Header;
  std::string Payload;
  std::string Body;
  std::vector<WaitingCaller> Callers;

  WorkPhase Phase = WorkPhase::Deciding;
  /// True once the backup has recorded that it may run.
  bool MayHaveRun = false;
  bool IsCancelled = false;
  /// Why it is refused, in phase Refusing.
  wire::RefusalReason Reason = wire::RefusalReason::Overloaded;
  /// Who runs it, in phase PassedOn.
  ShardHolder Runner;
  base::TimePoint SentAt;
  /// How often our own upstream has refused it.
  int RefusalsHere = 0;
  /// Which other agents have said that nothing of it ran there.
  std::vector<base::MemberName> RefusedBy;
};

} // namespace bilberry::requests

#endif
