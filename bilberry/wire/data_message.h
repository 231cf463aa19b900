// Datagrams between fabric, balancers and agents: a short MessagePack header,
// then the caller's datagram as it came. Whoever passes it on writes a new
// header and never touches the rest.

#ifndef BILBERRY_WIRE_DATA_MESSAGE_H
#define BILBERRY_WIRE_DATA_MESSAGE_H

#include "bilberry/base/address.h"
#include "bilberry/base/error.h"
#include "bilberry/base/ids.h"
#include "bilberry/base/name.h"
#include "bilberry/members/member.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace bilberry::wire {

/// Fabric to balancer: which service the caller addressed, and the caller.
struct FabricEnvelope {
  base::ServiceName Service;
  base::Address Caller;

  MSGPACK_DEFINE(Service, Caller); // NOLINT
};

/// Balancer or agent to agent. Receiver and ReceiverRun name the process that
/// the sender means; another one that has come to the same address drops it.
struct ForwardHeader {
  base::ServiceName Service;
  base::Address Caller;
  base::MemberName Receiver;
  /// The balancer that the packet came by, for hints; port 0 where none.
  base::Address Balancer;
  /// The sender's revision of the targets.
  base::Revision Revision = 0;
  /// How many agents have passed it on.
  uint8_t Hops = 0;

  MSGPACK_DEFINE(Service, Caller, Receiver, Balancer, Revision, Hops); // NOLINT
};

/// Agent to balancer: the flow is carried by Holder.
struct HolderHint {
  base::FlowKey Key;
  base::MemberName Holder;

  MSGPACK_DEFINE(Key, Holder); // NOLINT
};

/// Agent to balancer, at most a few a second: what the agent is now. Its
/// revision makes a balancer behind it ask for the targets.
struct MemberNotice {
  members::Member Sender;

  MSGPACK_DEFINE(Sender); // NOLINT
};

/// Balancer to agent: asks for a MemberNotice. An agent that doesn't answer
/// several in a row is skipped for new flows until it does.
struct Probe {
  base::Revision Revision = 0;
  uint64_t Sequence = 0;

  MSGPACK_DEFINE(Revision, Sequence); // NOLINT
};

using DataMessage = std::variant<FabricEnvelope, ForwardHeader, HolderHint,
                                 MemberNotice, Probe>;

/// A datagram taken apart. Payload is a view into it: the caller's datagram,
/// empty for messages that carry none.
struct Datagram {
  DataMessage Message;
  std::string_view Payload;
};

/// Reads a datagram. Errors: Malformed. Never throws. Thread-safe.
base::Result<Datagram> parseDatagram(std::string_view Bytes);

/// Writes the header; the sender appends the payload.
std::string datagramHeader(const DataMessage &Message);

} // namespace bilberry::wire

#endif
