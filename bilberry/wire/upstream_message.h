// What an agent and its upstream say to each other: MessagePack-RPC over one
// TCP connection, messages one after another without further framing.
//
//   agent to upstream
//     run a request       [0, msgid, "run", [class, high, low, deadline, body]]
//     ask for its health  [0, msgid, "health", []]
//     packet of a flow    [2, "flow", [class, key-high, key-low, flags,
//                                      sequence, body]]
//     cancel a request    [2, "cancel", [msgid]]
//   upstream to agent
//     done                [1, msgid, nil, body]
//     refused             [1, msgid, WORD, nil]
//     health              [1, msgid, nil, [state, load]]
//     packet of a flow    [2, "flow", [key-high, key-low, event, sequence,
//                                      body]]
//     going to stop       [2, "draining", []]

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
/// A flow is over though its caller hasn't closed it: it was reset. The
/// upstream may forget it; nothing is answered.
struct UpstreamFlowAbort {
  base::FlowKey Key;
};
using ToUpstream =
    std::variant<UpstreamRun, UpstreamHealthQuery, UpstreamFlowPacket,
                 UpstreamCancel, UpstreamFlowAbort>;

/// Why an upstream didn't run a request. Every word but Failed means that
/// nothing of it ran.
enum class UpstreamRefusal : uint8_t {
  /// More than it bears now.
  Shed,
  /// It is going to stop.
  Draining,
  /// The deadline had passed before it began.
  DeadlinePassed,
  /// Cancelled before it began.
  Cancelled,
  /// It began, and didn't finish.
  Failed,
};
/// The word on the wire. Never fails.
std::string_view upstreamRefusalText(UpstreamRefusal Refusal);

struct UpstreamDone {
  uint32_t MessageId = 0;
  std::string Body;
};
struct UpstreamRefused {
  uint32_t MessageId = 0;
  UpstreamRefusal Refusal = UpstreamRefusal::Failed;
};
/// What the upstream says of itself; it may lag or mislead.
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

/// Write one message. Thread-safe.
std::string upstreamBytes(const ToUpstream &Message);
std::string upstreamBytes(const FromUpstream &Message);

/// What a reader's buffer holds before a larger message makes it grow.
inline constexpr size_t InitialBufferBytes = 64 * 1024;

/// Takes a TCP connection's bytes apart into messages, keeping what is left
/// for the next call. Not safe for two threads at once.
template <typename Message> class UpstreamReader {
public:
  /// Adds bytes and appends the messages that are now whole. Errors:
  /// Malformed; the connection is then of no more use.
  base::Result<void> feed(std::string_view Bytes, std::vector<Message> &Out);

private:
  msgpack::unpacker Unpacker{nullptr, nullptr, InitialBufferBytes,
                             unpackLimit()};
};

extern template class UpstreamReader<ToUpstream>;
extern template class UpstreamReader<FromUpstream>;

} // namespace bilberry::wire

#endif
