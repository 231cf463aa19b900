#include "bilberry/requests/request_snapshot.h"

#include "bilberry/wire/codec.h"

#include <chrono>
#include <variant>

namespace bilberry::requests {

namespace {

struct ShardState {
  uint32_t Shard = 0;
  std::string Record;
  store::StoreRevision ModRevision = 0;
  uint64_t CompleteEpoch = 0;
  std::vector<wire::IntentEntry> Entries;

  MSGPACK_DEFINE(Shard, Record, ModRevision, CompleteEpoch, Entries); // NOLINT
};

/// Kind is the index of the alternative in wire::RequestOutcome.
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
  base::MemberName ProcessName;
  base::Incarnation Run = 0;
  std::vector<ShardState> Shards;
  std::vector<OutcomeState> Outcomes;

  MSGPACK_DEFINE(ProcessName, Run, Shards, Outcomes); // NOLINT
};

OutcomeState toOutcomeState(base::RequestId Id, const StoredOutcome &Stored) {
  OutcomeState State{Id, Stored.Attempt, Stored.Deadline, 0, 0, 0, ""};
  State.Kind = static_cast<uint8_t>(Stored.Outcome.index());
  if (const auto *Answered = std::get_if<wire::Answer>(&Stored.Outcome)) {
    State.Body = Answered->Body;
    return State;
  }
  auto SetRefusal = [&](wire::RefusalReason Reason, base::Duration RetryAfter) {
    State.Reason = static_cast<uint8_t>(Reason);
    State.RetryAfterMicroseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(RetryAfter)
            .count();
  };
  if (const auto *Refused = std::get_if<wire::NotRun>(&Stored.Outcome)) {
    SetRefusal(Refused->Reason, Refused->RetryAfter);
  } else {
    const auto &Unknown = std::get<wire::OutcomeUnknown>(Stored.Outcome);
    SetRefusal(Unknown.Reason, Unknown.RetryAfter);
  }
  return State;
}

wire::RequestOutcome toOutcome(const OutcomeState &State) {
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

std::string encodeSnapshot(const ShardHolder &Self, const ShardGroup &Shards,
                           const OutcomeStore &Outcomes) {
  Snapshot State{Self.Name, Self.Run, {}, {}};
  for (uint32_t Shard = 0; Shard < ShardsPerService; ++Shard) {
    const ShardReplica &Replica = Shards.replica(Shard);
    const StoredShard &Record = Replica.record();
    if (Record.ModRevision == 0) {
      continue;
    }
    State.Shards.push_back({Shard, shardRecordText(Record.Record),
                            Record.ModRevision, Replica.completeEpoch(),
                            Replica.table().entries()});
  }
  for (const auto &[Id, Stored] : Outcomes.all()) {
    State.Outcomes.push_back(toOutcomeState(Id, Stored));
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
  const Snapshot &Saved = Parsed.value();
  if (Saved.ProcessName != Self) {
    return base::Error{base::ErrorCode::Malformed,
                       "the snapshot belongs to another process: " +
                           Saved.ProcessName.text()};
  }
  std::vector<StoredShard> Records;
  for (const ShardState &Each : Saved.Shards) {
    base::Result<ShardRecord> Record = parseShardRecord(Each.Record);
    if (!Record || Each.Shard >= ShardsPerService || Each.ModRevision <= 0) {
      return base::Error{base::ErrorCode::Malformed,
                         "the snapshot holds an invalid shard state"};
    }
    Records.push_back({Each.Shard, Record.value(), Each.ModRevision});
  }
  for (size_t Index = 0; Index < Records.size(); ++Index) {
    const ShardState &Each = Saved.Shards[Index];
    Shards.replica(Each.Shard)
        .restoreState(Records[Index], Each.CompleteEpoch, Each.Entries,
                      {Saved.ProcessName, Saved.Run});
  }
  for (const OutcomeState &Each : Saved.Outcomes) {
    if (!isExpired(Now, Each.Deadline)) {
      Outcomes.put(Each.Id, {Each.Attempt, Each.Deadline, toOutcome(Each)});
    }
  }
  return boost::outcome_v2::success();
}

} // namespace bilberry::requests
