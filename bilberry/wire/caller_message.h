// The protocol between callers and bilberry: MessagePack-RPC in UDP datagrams.
//
// From the caller:
//
//   packet of a flow  [2, CLASS, [connection, flags, sequence, body]]
//   request           [0, msgid, CLASS, [high, low, attempt, deadline, body]]
//   cancellation      [2, "cancel", [high, low, attempt]]
//
// To the caller, from the agent that handles the flow or request:
//
//   packet of a flow  [2, "flow", [connection, event, sequence, body]]
//   answer            [1, msgid, nil, [high, low, chunk, chunks, body]]
//   refusal           [1, msgid, [outcome, reason, retry-after], [high, low]]
//
// CLASS is the class of work. connection is a number chosen by the caller; the
// flow is identified by it, the service and the caller's address. high and low
// are the two halves of the request id. deadline is in microseconds since the
// Unix epoch. A caller increments attempt when it retries a request after "not
// run"; datagrams with the same id and attempt are copies of one request.

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

/// Flag on the packets of a flow until the upstream has answered one of them.
inline constexpr uint8_t FlowOpenFlag = 1;
/// Flag on the last packet of a flow.
inline constexpr uint8_t FlowCloseFlag = 2;

/// One packet of a flow, from the caller. Body refers to the datagram.
struct FlowPacket {
  base::ClassName Class;
  uint64_t Connection = 0;
  uint8_t Flags = 0;
  uint64_t Sequence = 0;
  std::string_view Body;

  bool hasOpenFlag() const { return (this->Flags & FlowOpenFlag) != 0; }
  bool hasCloseFlag() const { return (this->Flags & FlowCloseFlag) != 0; }
};

/// One copy of a request. Body refers to the datagram.
struct RequestPacket {
  base::ClassName Class;
  uint32_t MessageId = 0;
  base::RequestId Id;
  uint32_t Attempt = 0;
  base::TimePoint Deadline;
  std::string_view Body;
};

/// Cancels an attempt of a request.
struct CancelPacket {
  base::RequestId Id;
  uint32_t Attempt = 0;
};

using CallerPacket = std::variant<FlowPacket, RequestPacket, CancelPacket>;

/// Parses a datagram from a caller. Views in the result refer to Bytes.
/// Errors: Malformed. Never throws, even on arbitrary bytes. Thread-safe.
base::Result<CallerPacket> parseCallerPacket(std::string_view Bytes);

/// Encode a datagram from a caller. Thread-safe.
std::string flowPacketBytes(const FlowPacket &Packet);
std::string requestPacketBytes(const RequestPacket &Packet);
std::string cancelPacketBytes(const CancelPacket &Packet);

/// The event that a flow packet to the caller reports.
enum class FlowEvent : uint8_t {
  /// The upstream has accepted the flow.
  Opened = 0,
  /// Data from the upstream.
  Data = 1,
  /// The upstream has received everything up to the closing packet.
  Closed = 2,
  /// No upstream accepted the flow; none of its packets was delivered.
  Refused = 3,
  /// The flow is lost. The body contains the reason.
  Reset = 4,
};

/// One packet of a flow, to the caller.
struct FlowReply {
  uint64_t Connection = 0;
  FlowEvent Event = FlowEvent::Data;
  uint64_t Sequence = 0;
  std::string Body;
};

/// Why a request was not run, or why its outcome is unknown.
enum class RefusalReason : uint8_t {
  /// Every upstream tried is at its limit.
  Overloaded = 0,
  /// The request could not start before its deadline.
  DeadlinePassed = 1,
  /// The process is draining, and no other process accepts the request.
  Draining = 2,
  /// The data centre is out of service.
  DataCentreOutOfService = 3,
  /// The request's shard is being transferred to another owner, and no process
  /// may decide on the request until that is complete.
  ShardFrozen = 4,
  /// The caller cancelled the request before it ran.
  Cancelled = 5,
  /// The class, service or size is not served.
  NotServed = 6,
  /// The upstream or its agent was lost while the request ran.
  UpstreamLost = 7,
};

/// Returns the reason as text. Never fails; "unknown" for invalid values.
std::string_view refusalReasonText(RefusalReason Reason);

/// The complete answer.
struct Answer {
  std::string Body;
};
/// The request has not run, and no copy of this attempt will run later.
struct NotRun {
  RefusalReason Reason = RefusalReason::Overloaded;
  base::Duration RetryAfter{0};
};
/// The request may have run or may still run.
struct OutcomeUnknown {
  RefusalReason Reason = RefusalReason::UpstreamLost;
  base::Duration RetryAfter{0};
};

/// The three outcomes of a request.
using RequestOutcome = std::variant<Answer, NotRun, OutcomeUnknown>;

/// Encode datagrams to the caller. An answer larger than one datagram is split
/// into chunks, each of which can be parsed on its own. Thread-safe.
std::string flowReplyBytes(const FlowReply &Reply);
std::vector<std::string> outcomeBytes(uint32_t MessageId, base::RequestId Id,
                                      const RequestOutcome &Outcome);

/// One chunk of an answer, as parsed by a caller.
struct AnswerChunk {
  uint32_t MessageId = 0;
  base::RequestId Id;
  uint32_t Chunk = 0;
  uint32_t Chunks = 1;
  std::string Body;
};
/// A refusal, as parsed by a caller.
struct Refusal {
  uint32_t MessageId = 0;
  base::RequestId Id;
  /// True for "not run", false for "outcome unknown".
  bool IsNotRun = false;
  RefusalReason Reason = RefusalReason::Overloaded;
  base::Duration RetryAfter{0};
};

using CallerReply = std::variant<FlowReply, AnswerChunk, Refusal>;

/// Parses a datagram that a caller received. Errors: Malformed. Thread-safe.
base::Result<CallerReply> parseCallerReply(std::string_view Bytes);

} // namespace bilberry::wire

#endif
