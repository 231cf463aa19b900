#include "bilberry/requests/request_snapshot.h"

#include "bilberry/wire/codec.h"

#include <chrono>
#include <variant>

namespace bilberry::requests {

namespace {

struct ShardState {
  uint32_t Shard = 0;
  std::string Record;
  store::StoreRevision Changed = 0;
  uint64_t CompleteAt = 0;
  std::vector<wire::IntentEntry> Entries;

  MSGPACK_DEFINE(Shard, Record, Changed, CompleteAt, Entries); // NOLINT
};

/// Kind is the outcome's place in wire::RequestOutcome.
struct OutcomeState {
  base::RequestId Id;
  uint32_t Attempt = 0;
  base::TimePoint Deadline;
  uint8_t Kind = 0;
  uint8_t Reason = 0;
  int64_t RetryAfterMicroseconds = 0;
  std::string Body;

  MSGPACK_DEFINE(Id, Attempt, Deadline, Kind, Reason, RetryAfterMicroseconds,
                 Body); // NOLINT
};

struct Snapshot {
  base::MemberName Of;
  base::Incarnation Run = 0;
  std::vector<ShardState> Shards;
  std::vector<OutcomeState> Outcomes;

  MSGPACK_DEFINE(Of, Run, Shards, Outcomes); // NOLINT
};

OutcomeState stateOf(base::RequestId Id, const KeptOutcome &Kept) {
  OutcomeState State{Id, Kept.Attempt, Kept.Deadline, 0, 0, 0, ""};
  State.Kind = static_cast<uint8_t>(Kept.Outcome.index());
  if (const auto *Answered = std::get_if<wire::Answer>(&Kept.Outcome)) {
    State.Body = Answered->Body;
    return State;
  }
  auto Refusal = [&](wire::RefusalReason Reason, base::Duration RetryAfter) {
    State.Reason = static_cast<uint8_t>(Reason);
    State.RetryAfterMicroseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(RetryAfter)
            .count();
  };
  if (const auto *Refused = std::get_if<wire::NotRun>(&Kept.Outcome)) {
    Refusal(Refused->Reason, Refused->RetryAfter);
  } else {
    const auto &Unknown = std::get<wire::OutcomeUnknown>(Kept.Outcome);
    Refusal(Unknown.Reason, Unknown.RetryAfter);
  }
  return State;
}

wire::RequestOutcome outcomeOf(const OutcomeState &State) {
  auto Reason = static_cast<wire::RefusalReason>(State.Reason);
  std::chrono::microseconds RetryAfter(State.RetryAfterMicroseconds);
  switch (State.Kind) {
  case 0:
    return wire::Answer{State.Body};
  case 1:
    return wire::NotRun{Reason, RetryAfter};
  default:
    return wire::OutcomeUnknown{Reason, RetryAfter};
  }
}

} // namespace

std::string snapshotBytes(const ShardHolder &Self, const ShardGroup &Shards,
                          const OutcomeStore &Outcomes) {
  Snapshot State{Self.Name, Self.Run, {}, {}};
  for (uint32_t Shard = 0; Shard < ShardsPerService; ++Shard) {
    const ShardReplica &Replica = Shards.replica(Shard);
    const StoredShard &Record = Replica.record();
    if (Record.Changed == 0) {
      continue;
    }
    State.Shards.push_back({Shard, shardRecordText(Record.Record),
                            Record.Changed, Replica.completeAt(),
                            Replica.table().entries()});
  }
  for (const auto &[Id, Kept] : Outcomes.all()) {
    State.Outcomes.push_back(stateOf(Id, Kept));
  }
  return wire::encode(State);
}

base::Result<void> restoreSnapshot(base::TimePoint Now,
                                   const base::MemberName &Self,
                                   std::string_view State, ShardGroup &Shards,
                                   OutcomeStore &Outcomes) {
  base::Result<Snapshot> Parsed = wire::decode<Snapshot>(State);
  if (!Parsed) {
    return Parsed.error();
  }
  const Snapshot &Old = Parsed.value();
  if (Old.Of != Self) {
    return base::Error{base::ErrorCode::Malformed,
                       "the state of another process: " + Old.Of.text()};
  }
  std::vector<StoredShard> Records;
  for (const ShardState &Each : Old.Shards) {
    base::Result<ShardRecord> Record = parseShardRecord(Each.Record);
    if (!Record || Each.Shard >= ShardsPerService || Each.Changed <= 0) {
      return base::Error{base::ErrorCode::Malformed, "a shard's state"};
    }
    Records.push_back({Each.Shard, Record.value(), Each.Changed});
  }
  for (size_t Place = 0; Place < Records.size(); ++Place) {
    const ShardState &Each = Old.Shards[Place];
    Shards.replica(Each.Shard)
        .resume(Records[Place], Each.CompleteAt, Each.Entries,
                {Old.Of, Old.Run});
  }
  for (const OutcomeState &Each : Old.Outcomes) {
    if (!isExpired(Now, Each.Deadline)) {
      Outcomes.put(Each.Id, {Each.Attempt, Each.Deadline, outcomeOf(Each)});
    }
  }
  return boost::outcome_v2::success();
}

} // namespace bilberry::requests
