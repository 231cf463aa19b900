// The protocol between an agent and its upstream: MessagePack-RPC over one TCP
// connection, as consecutive messages without additional framing.
//
//   agent to upstream
//     run a request       [0, msgid, "run", [class, high, low, deadline, body]]
//     query health        [0, msgid, "health", []]
//     packet of a flow    [2, "flow", [class, key-high, key-low, flags,
//                                      sequence, body]]
//     cancel a request    [2, "cancel", [msgid]]
//   upstream to agent
//     done                [1, msgid, nil, body]
//     refused             [1, msgid, REASON, nil]
//     health              [1, msgid, nil, [state, load]]
//     packet of a flow    [2, "flow", [key-high, key-low, event, sequence,
//                                      body]]
//     draining            [2, "draining", []]

#ifndef BILBERRY_WIRE_UPSTREAM_MESSAGE_H
#define BILBERRY_WIRE_UPSTREAM_MESSAGE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/error.h"
#include "bilberry/base/ids.h"
#include "bilberry/wire/caller_message.h"
#include "bilberry/wire/codec.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bilberry::wire {

/// Runs a request on the upstream.
struct UpstreamRun {
  uint32_t MessageId = 0;
  base::ClassName Class;
  base::RequestId Id;
  base::TimePoint Deadline;
  std::string Body;
};
struct UpstreamHealthQuery {
  uint32_t MessageId = 0;
};
struct UpstreamFlowPacket {
  base::ClassName Class;
  base::FlowKey Key;
  uint8_t Flags = 0;
  uint64_t Sequence = 0;
  std::string Body;
};
struct UpstreamCancel {
  uint32_t MessageId = 0;
};
/// The flow was reset, so it ended without being closed by its caller. The
/// upstream may discard its state and sends no reply.
struct UpstreamFlowAbort {
  base::FlowKey Key;
};
using ToUpstream =
    std::variant<UpstreamRun, UpstreamHealthQuery, UpstreamFlowPacket,
                 UpstreamCancel, UpstreamFlowAbort>;

/// Why an upstream did not complete a request. Every value but Failed means
/// that no part of the request ran.
enum class UpstreamRefusal : uint8_t {
  /// Rejected by load shedding.
  Shed,
  /// The upstream is draining before it stops.
  Draining,
  /// The deadline passed before the request started.
  DeadlinePassed,
  /// Cancelled before the request started.
  Cancelled,
  /// The request started but did not finish.
  Failed,
};
/// Returns the text on the wire. Never fails; "unknown" for invalid values.
std::string_view upstreamRefusalText(UpstreamRefusal Refusal);

struct UpstreamDone {
  uint32_t MessageId = 0;
  std::string Body;
};
struct UpstreamRefused {
  uint32_t MessageId = 0;
  UpstreamRefusal Refusal = UpstreamRefusal::Failed;
};
/// Health as reported by the upstream. It may be stale or wrong.
struct UpstreamHealth {
  uint32_t MessageId = 0;
  std::string State;
  double Load = 0;
};
struct UpstreamFlowEvent {
  base::FlowKey Key;
  FlowEvent Event = FlowEvent::Data;
  uint64_t Sequence = 0;
  std::string Body;
};
struct UpstreamDraining {};
using FromUpstream = std::variant<UpstreamDone, UpstreamRefused, UpstreamHealth,
                                  UpstreamFlowEvent, UpstreamDraining>;

/// Encode one message. Thread-safe.
std::string upstreamBytes(const ToUpstream &Message);
std::string upstreamBytes(const FromUpstream &Message);

/// Initial size of a reader's buffer, which grows for larger messages.
inline constexpr size_t InitialBufferBytes = 64 * 1024;

/// Parses the byte stream of a TCP connection into messages and buffers an
/// incomplete message until the next call. Not thread-safe.
template <typename Message> class UpstreamReader {
public:
  /// Adds bytes to the buffer and appends the messages that are complete to
  /// Out. Errors: Malformed; the connection must then be closed.
  base::Result<void> feed(std::string_view Bytes, std::vector<Message> &Out);

private:
  msgpack::unpacker Unpacker{nullptr, nullptr, InitialBufferBytes,
                             unpackLimit()};
};

extern template class UpstreamReader<ToUpstream>;
extern template class UpstreamReader<FromUpstream>;

} // namespace bilberry::wire

#endif
