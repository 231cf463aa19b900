// Messages between our processes, one way each, over nng push and pull
// sockets. A reply is a message of its own and is matched by its fields.

#ifndef BILBERRY_WIRE_PEER_MESSAGE_H
#define BILBERRY_WIRE_PEER_MESSAGE_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/error.h"
#include "bilberry/base/ids.h"
#include "bilberry/base/name.h"
#include "bilberry/members/member.h"
#include "bilberry/wire/caller_message.h"
#include "bilberry/wire/time_format.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bilberry::wire {

/// Sent both ways on every link while it is open. A link whose heartbeats
/// aren't answered is closed and dialled anew on a new socket.
struct Heartbeat {
  uint64_t Sequence = 0;
  bool IsReply = false;

  MSGPACK_DEFINE(Sequence, IsReply); // NOLINT
};

/// Where a displaced flow is carried. Written once and never changed.
struct FlowRecord {
  base::FlowKey Key;
  base::MemberName Holder;

  MSGPACK_DEFINE(Key, Holder); // NOLINT
};
struct FlowRecordPut {
  std::vector<FlowRecord> Records;

  MSGPACK_DEFINE(Records); // NOLINT
};
/// The flows have ended; whoever keeps records of them drops these.
struct FlowRecordDrop {
  std::vector<base::FlowKey> Keys;

  MSGPACK_DEFINE(Keys); // NOLINT
};

/// "Do you carry this flow, or know who does?"
struct FlowQuery {
  base::FlowKey Key;

  MSGPACK_DEFINE(Key); // NOLINT
};
enum class FlowKnowledge : uint8_t { Unknown = 0, Held = 1, Recorded = 2 };
struct FlowQueryReply {
  base::FlowKey Key;
  FlowKnowledge Knowledge = FlowKnowledge::Unknown;
  /// The holder, where Knowledge isn't Unknown.
  base::MemberName Holder;

  MSGPACK_DEFINE(Key, Knowledge, Holder); // NOLINT
};

/// What is decided of one attempt of a request, before it is acted on.
enum class Verdict : uint8_t { Run = 0, Refuse = 1 };

/// One entry of a shard's request records.
struct IntentEntry {
  base::RequestId Id;
  uint32_t Attempt = 0;
  Verdict Decision = Verdict::Run;
  base::TimePoint Deadline;

  MSGPACK_DEFINE(Id, Attempt, Decision, Deadline); // NOLINT
};
/// Owner to backup: record this before I act on it.
struct Intent {
  uint32_t Shard = 0;
  uint64_t Epoch = 0;
  IntentEntry Entry;

  MSGPACK_DEFINE(Shard, Epoch, Entry); // NOLINT
};
/// Backup to owner. Recorded is false where the backup knows a higher epoch
/// or has stopped accepting this one; then the owner may not act.
struct IntentReply {
  uint32_t Shard = 0;
  uint64_t Epoch = 0;
  base::RequestId Id;
  uint32_t Attempt = 0;
  bool Recorded = false;
  /// The decision that this replies to: within one attempt a Refuse may follow
  /// a Run, and a late reply to the Run mustn't pass for one to the Refuse.
  Verdict Decision = Verdict::Run;

  MSGPACK_DEFINE(Shard, Epoch, Id, Attempt, Recorded, Decision); // NOLINT
};
/// All live entries of a shard, to the process that is to be its backup or
/// owner from the given epoch on.
struct ShardCopy {
  uint32_t Shard = 0;
  uint64_t Epoch = 0;
  std::vector<IntentEntry> Entries;

  MSGPACK_DEFINE(Shard, Epoch, Entries); // NOLINT
};
struct ShardCopyReply {
  uint32_t Shard = 0;
  uint64_t Epoch = 0;
  bool Accepted = false;

  MSGPACK_DEFINE(Shard, Epoch, Accepted); // NOLINT
};

/// Owner to an agent with a free slot: run this. The owner has the right to
/// let it go, and gives it to one agent at a time.
struct RunRequest {
  base::RequestId Id;
  uint32_t Attempt = 0;
  base::ClassName Class;
  base::TimePoint Deadline;
  std::string Body;
  /// The run of the receiver that is meant: a later run doesn't know what an
  /// earlier one has run, so it drops the message.
  base::Incarnation ReceiverRun = 0;

  MSGPACK_DEFINE(Id, Attempt, Class, Deadline, Body, ReceiverRun); // NOLINT
};
enum class RunOutcome : uint8_t { Answered = 0, NotRun = 1, Unknown = 2 };
struct RunResult {
  base::RequestId Id;
  uint32_t Attempt = 0;
  RunOutcome Outcome = RunOutcome::Unknown;
  RefusalReason Reason = RefusalReason::Overloaded;
  std::string Body;

  MSGPACK_DEFINE(Id, Attempt, Outcome, Reason, Body); // NOLINT
};
/// Owner to the agent that runs it: the caller has cancelled.
struct RunCancel {
  base::RequestId Id;
  uint32_t Attempt = 0;

  MSGPACK_DEFINE(Id, Attempt); // NOLINT
};

/// The state of an agent that restarts, left with a peer until its next run
/// asks for it. State is opaque to the keeper.
struct SnapshotPut {
  base::MemberName Of;
  base::Incarnation Run = 0;
  std::string State;

  MSGPACK_DEFINE(Of, Run, State); // NOLINT
};
struct SnapshotPutReply {
  base::MemberName Of;
  base::Incarnation Run = 0;

  MSGPACK_DEFINE(Of, Run); // NOLINT
};
struct SnapshotFetch {
  base::MemberName Of;

  MSGPACK_DEFINE(Of); // NOLINT
};
struct SnapshotReply {
  base::MemberName Of;
  bool Found = false;
  base::Incarnation Run = 0;
  std::string State;

  MSGPACK_DEFINE(Of, Found, Run, State); // NOLINT
};

/// "Send me your targets and members." Any process may ask any other.
struct ViewFetch {
  MSGPACK_DEFINE(); // NOLINT
};
/// What the sender knows. Targets is the document's text at TargetsRevision.
struct View {
  base::Revision TargetsRevision = 0;
  std::string Targets;
  std::vector<members::Member> Members;

  MSGPACK_DEFINE(TargetsRevision, Targets, Members); // NOLINT
};

using PeerBody = std::variant<Heartbeat, FlowRecordPut, FlowRecordDrop,
                              FlowQuery, FlowQueryReply, Intent, IntentReply,
                              ShardCopy, ShardCopyReply, RunRequest, RunResult,
                              RunCancel, SnapshotPut, SnapshotPutReply,
                              SnapshotFetch, SnapshotReply, ViewFetch, View>;

/// One message. Sender carries the sender's name, run, state and revision, so
/// that news spreads without the store. Receiver and Service are checked at
/// the other end; a message for another process or service is dropped.
struct PeerMessage {
  members::Member Sender;
  base::MemberName Receiver;
  PeerBody Body;
};

/// Reads a message. Errors: Malformed. Never throws. Thread-safe.
base::Result<PeerMessage> parsePeerMessage(std::string_view Bytes);

/// Writes a message. Thread-safe.
std::string peerMessageBytes(const PeerMessage &Message);

/// The kind of message as a word for logs. Never fails.
std::string_view peerBodyText(const PeerBody &Body);

} // namespace bilberry::wire

MSGPACK_ADD_ENUM(bilberry::wire::FlowKnowledge);
MSGPACK_ADD_ENUM(bilberry::wire::Verdict);
MSGPACK_ADD_ENUM(bilberry::wire::RunOutcome);
MSGPACK_ADD_ENUM(bilberry::wire::RefusalReason);

#endif
