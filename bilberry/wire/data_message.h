// Datagrams between the network fabric, balancers and agents: a short
// MessagePack header followed by the caller's datagram as received. A process
// that forwards the datagram replaces the header and never modifies the
// payload.

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

/// Fabric to balancer: the addressed service and the caller's address.
struct FabricEnvelope {
  base::ServiceName Service;
  base::Address Caller;

  MSGPACK_DEFINE(Service, Caller); // NOLINT
};

/// Balancer or agent to agent. Receiver names the intended process; another
/// process that has since taken over the address drops the datagram.
struct ForwardHeader {
  base::ServiceName Service;
  base::Address Caller;
  base::MemberName Receiver;
  /// The balancer that forwarded the packet, as the destination of hints. Port
  /// 0 if there is none.
  base::Address Balancer;
  /// Revision of the sender's targets.
  base::Revision Revision = 0;
  /// Number of agents that have forwarded the packet.
  uint8_t Hops = 0;

  MSGPACK_DEFINE(Service, Caller, Receiver, Balancer, Revision, Hops); // NOLINT
};

/// Agent to balancer: Holder is the agent that carries the flow.
struct HolderHint {
  base::FlowKey Key;
  base::MemberName Holder;

  MSGPACK_DEFINE(Key, Holder); // NOLINT
};

/// Agent to balancer, at most a few per second: the agent's current member
/// entry. A balancer with an older revision then requests the targets.
struct MemberNotice {
  members::Member Sender;

  MSGPACK_DEFINE(Sender); // NOLINT
};

/// Balancer to agent: requests a MemberNotice. An agent that leaves several
/// consecutive probes unanswered gets no new flows until it answers one.
struct Probe {
  base::Revision Revision = 0;
  uint64_t Sequence = 0;

  MSGPACK_DEFINE(Revision, Sequence); // NOLINT
};

using DataMessage = std::variant<FabricEnvelope, ForwardHeader, HolderHint,
                                 MemberNotice, Probe>;

/// A parsed datagram. Payload is a view of the caller's datagram within it,
/// empty for messages without one.
struct Datagram {
  DataMessage Message;
  std::string_view Payload;
};

/// Parses a datagram. Errors: Malformed. Never throws. Thread-safe.
base::Result<Datagram> parseDatagram(std::string_view Bytes);

/// Encodes the header; the sender appends the payload. Thread-safe.
std::string datagramHeader(const DataMessage &Message);

} // namespace bilberry::wire

#endif
