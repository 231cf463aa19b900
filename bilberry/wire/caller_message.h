// What callers and we say to each other: MessagePack-RPC in UDP datagrams.
//
//   packet of a flow  [2, CLASS, [connection, flags, sequence, body]]
//   request           [0, msgid, CLASS, [high, low, attempt, deadline, body]]
//   cancellation      [2, "cancel", [high, low, attempt]]
//
// and back, from whichever agent answers:
//
//   packet of a flow  [2, "flow", [connection, event, sequence, body]]
//   answer            [1, msgid, nil, [high, low, chunk, chunks, body]]
//   refusal           [1, msgid, [outcome, reason, retry-after], [high, low]]
//
// CLASS names the class of work. connection is drawn by the caller; with the
// service and the caller's address it names the flow. high and low are the
// request's id. deadline counts microseconds since the Unix epoch. attempt
// rises by one when a caller repeats a request after "not run"; the copies of
// one attempt are the same request.

#ifndef BILBERRY_WIRE_CALLER_MESSAGE_H
#define BILBERRY_WIRE_CALLER_MESSAGE_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/error.h"
#include "bilberry/base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bilberry::wire {

/// Set in the first packets of a flow, until the upstream has answered one.
inline constexpr uint8_t FlowOpen = 1;
/// Set in the last packet of a flow.
inline constexpr uint8_t FlowClose = 2;

/// One packet of a flow, from the caller. Body points into the datagram.
struct FlowPacket {
  base::ClassName Class;
  uint64_t Connection = 0;
  uint8_t Flags = 0;
  uint64_t Sequence = 0;
  std::string_view Body;

  bool opens() const { return (this->Flags & FlowOpen) != 0; }
  bool closes() const { return (this->Flags & FlowClose) != 0; }
};

/// One copy of a request. Body points into the datagram.
struct RequestPacket {
  base::ClassName Class;
  uint32_t MessageId = 0;
  base::RequestId Id;
  uint32_t Attempt = 0;
  base::TimePoint Deadline;
  std::string_view Body;
};

/// The caller no longer wants the answer.
struct CancelPacket {
  base::RequestId Id;
  uint32_t Attempt = 0;
};

using CallerPacket = std::variant<FlowPacket, RequestPacket, CancelPacket>;

/// Reads a caller's datagram. The result's views live as long as Bytes.
/// Errors: Malformed. Never throws, whatever the bytes. Thread-safe.
base::Result<CallerPacket> parseCallerPacket(std::string_view Bytes);

/// Write a caller's datagram.
std::string flowPacketBytes(const FlowPacket &Packet);
std::string requestPacketBytes(const RequestPacket &Packet);
std::string cancelPacketBytes(const CancelPacket &Packet);

/// What a flow packet towards the caller tells.
enum class FlowEvent : uint8_t {
  /// The upstream has taken the flow.
  Opened = 0,
  /// A packet from the upstream.
  Data = 1,
  /// The upstream has everything up to the closing packet.
  Closed = 2,
  /// No upstream took the flow; nothing of it was delivered.
  Refused = 3,
  /// The flow is lost. The body holds the reason.
  Reset = 4,
};

/// One packet of a flow, to the caller.
struct FlowReply {
  uint64_t Connection = 0;
  FlowEvent Event = FlowEvent::Data;
  uint64_t Sequence = 0;
  std::string Body;
};

/// Why a request wasn't run, or why its outcome isn't known.
enum class RefusalReason : uint8_t {
  /// Every upstream asked is at its limit.
  Overloaded = 0,
  /// It couldn't start before its deadline.
  DeadlinePassed = 1,
  /// The process is draining, and no other takes it.
  Draining = 2,
  /// The data centre is out of service.
  DataCentreOut = 3,
  /// No process may decide on it now: its shard is changing hands.
  ShardFrozen = 4,
  /// The caller cancelled it in time.
  Cancelled = 5,
  /// The class, service or size isn't one that is served.
  NotServed = 6,
  /// The upstream or its agent was lost while it ran.
  UpstreamLost = 7,
};

/// The reason as a word. Never fails.
std::string_view refusalReasonText(RefusalReason Reason);

/// The whole answer.
struct Answer {
  std::string Body;
};
/// The request hasn't run and no copy of this attempt ever will.
struct NotRun {
  RefusalReason Reason = RefusalReason::Overloaded;
  base::Duration RetryAfter{0};
};
/// The request may have run, or may yet.
struct OutcomeUnknown {
  RefusalReason Reason = RefusalReason::UpstreamLost;
  base::Duration RetryAfter{0};
};

/// The three outcomes of a request.
using RequestOutcome = std::variant<Answer, NotRun, OutcomeUnknown>;

/// Write packets to the caller. An answer larger than one datagram becomes
/// several chunks, each complete in itself.
std::string flowReplyBytes(const FlowReply &Reply);
std::vector<std::string> outcomeBytes(uint32_t MessageId, base::RequestId Id,
                                      const RequestOutcome &Outcome);

/// One chunk of an answer, as a caller reads it.
struct AnswerChunk {
  uint32_t MessageId = 0;
  base::RequestId Id;
  uint32_t Chunk = 0;
  uint32_t Chunks = 1;
  std::string Body;
};
/// A refusal, as a caller reads it.
struct Refusal {
  uint32_t MessageId = 0;
  base::RequestId Id;
  /// True for "not run", false for "outcome unknown".
  bool IsNotRun = false;
  RefusalReason Reason = RefusalReason::Overloaded;
  base::Duration RetryAfter{0};
};

using CallerReply = std::variant<FlowReply, AnswerChunk, Refusal>;

/// Reads a datagram that a caller got. Errors: Malformed. Thread-safe.
base::Result<CallerReply> parseCallerReply(std::string_view Bytes);

} // namespace bilberry::wire

#endif
