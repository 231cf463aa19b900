// One-way messages between bilberry processes over nng push and pull sockets. A
// reply is a separate message and is matched to its request by its fields.

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

/// Sent in both directions on every open link. A link whose heartbeats are not
/// answered is closed and redialled on a new socket.
struct Heartbeat {
  uint64_t Sequence = 0;
  bool IsReply = false;

  MSGPACK_DEFINE(Sequence, IsReply); // NOLINT
};

/// The agent that carries a displaced flow. Written once and never changed.
struct FlowRecord {
  base::FlowKey Key;
  base::MemberName Holder;

  MSGPACK_DEFINE(Key, Holder); // NOLINT
};
struct FlowRecordPut {
  std::vector<FlowRecord> Records;

  MSGPACK_DEFINE(Records); // NOLINT
};
/// The flows have ended; receivers delete their records of them.
struct FlowRecordDrop {
  std::vector<base::FlowKey> Keys;

  MSGPACK_DEFINE(Keys); // NOLINT
};

/// Asks whether the receiver carries the flow or has a record of its holder.
struct FlowQuery {
  base::FlowKey Key;

  MSGPACK_DEFINE(Key); // NOLINT
};
enum class FlowLookupResult : uint8_t { Unknown = 0, Held = 1, Recorded = 2 };
struct FlowQueryReply {
  base::FlowKey Key;
  FlowLookupResult LookupResult = FlowLookupResult::Unknown;
  /// The holder, unless LookupResult is Unknown.
  base::MemberName Holder;

  MSGPACK_DEFINE(Key, LookupResult, Holder); // NOLINT
};

/// The decision on one attempt of a request, recorded before it takes effect.
enum class RequestDecision : uint8_t { Run = 0, Refuse = 1 };

/// One entry in the request records of a shard.
struct IntentEntry {
  base::RequestId Id;
  uint32_t Attempt = 0;
  RequestDecision Decision = RequestDecision::Run;
  base::TimePoint Deadline;

  MSGPACK_DEFINE(Id, Attempt, Decision, Deadline); // NOLINT
};
/// Owner to backup: record this entry before the owner acts on it.
struct Intent {
  uint32_t Shard = 0;
  uint64_t Epoch = 0;
  IntentEntry Entry;

  MSGPACK_DEFINE(Shard, Epoch, Entry); // NOLINT
};
/// Backup to owner. Recorded is false if the backup knows a higher epoch or has
/// stopped accepting this one; the owner must not act then.
struct IntentReply {
  uint32_t Shard = 0;
  uint64_t Epoch = 0;
  base::RequestId Id;
  uint32_t Attempt = 0;
  bool Recorded = false;
  /// The decision that this replies to. Within one attempt a Refuse may follow
  /// a Run, and a late reply to the Run must not be taken for a reply to the
  /// Refuse.
  RequestDecision Decision = RequestDecision::Run;

  MSGPACK_DEFINE(Shard, Epoch, Id, Attempt, Recorded, Decision); // NOLINT
};
/// All live entries of a shard, sent to the process that becomes its backup or
/// owner in the given epoch.
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

/// Owner to an agent with a free slot: run this request. The owner is the only
/// process that may dispatch the request, to one agent at a time.
struct RunRequest {
  base::RequestId Id;
  uint32_t Attempt = 0;
  base::ClassName Class;
  base::TimePoint Deadline;
  std::string Body;
  /// Incarnation of the intended receiver. A later incarnation drops the
  /// message, because it does not know which requests an earlier one has run.
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
/// Owner to the agent that runs the request: the caller has cancelled it.
struct RunCancel {
  base::RequestId Id;
  uint32_t Attempt = 0;

  MSGPACK_DEFINE(Id, Attempt); // NOLINT
};

/// State of a restarting agent, stored at a peer until the agent's next
/// incarnation fetches it. State is opaque to that peer.
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

/// Requests the receiver's targets and members. Any process may send it to any
/// other.
struct ViewFetch {
  MSGPACK_DEFINE(); // NOLINT
};
/// The sender's targets and members. Targets is the text of the target document
/// at TargetsRevision.
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

/// One message. Sender contains the sender's name, incarnation, state and
/// revision, so that membership changes propagate without the store. The
/// receiver checks Receiver and Service and drops messages for another process
/// or service.
struct PeerMessage {
  members::Member Sender;
  base::MemberName Receiver;
  PeerBody Body;
};

/// Parses a message. Errors: Malformed. Never throws. Thread-safe.
base::Result<PeerMessage> parsePeerMessage(std::string_view Bytes);

/// Encodes a message. Thread-safe.
std::string peerMessageBytes(const PeerMessage &Message);

/// Returns the message type as text for logs. Never fails.
std::string_view peerBodyText(const PeerBody &Body);

} // namespace bilberry::wire

MSGPACK_ADD_ENUM(bilberry::wire::FlowLookupResult);
MSGPACK_ADD_ENUM(bilberry::wire::RequestDecision);
MSGPACK_ADD_ENUM(bilberry::wire::RunOutcome);
MSGPACK_ADD_ENUM(bilberry::wire::RefusalReason);

#endif
