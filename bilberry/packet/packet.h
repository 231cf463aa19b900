// The parsed form of a packet from a caller or an upstream: both endpoints, the
// header fields used for routing decisions, and the raw bytes, which are
// forwarded unchanged.
//
// The byte format is a template parameter (PacketFormat) of the loops that read
// and write sockets. Routing decisions use only Packet, so tests need no
// encoded packets.

#ifndef BILBERRY_PACKET_PACKET_H
#define BILBERRY_PACKET_PACKET_H

#include "bilberry/base/address.h"
#include "bilberry/base/name.h"

#include <compare>
#include <concepts>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <optional>
#include <span>
#include <string>

namespace bilberry::packet {

/// Identifies a flow by its two endpoints. A caller port is not reused while
/// its flow exists.
struct FlowId {
  base::Address Caller;
  /// The address and port of the route that the caller connected to.
  base::Address Route;

  auto operator<=>(const FlowId &) const = default;
  MSGPACK_DEFINE(Caller, Route); // NOLINT
};

/// Formats a flow for logs, as in "1.2.3.4:5>6.7.8.9:10". Never fails.
inline std::string flowIdText(const FlowId &Flow) {
  return base::addressText(Flow.Caller) + ">" + base::addressText(Flow.Route);
}

/// Returns a uniformly distributed 64-bit hash of the flow.
inline uint64_t flowHash(const FlowId &Flow) {
  uint64_t Hash = (uint64_t{Flow.Caller.Ip} << 32U) ^
                  (uint64_t{Flow.Caller.Port} << 16U) ^ Flow.Route.Port ^
                  (uint64_t{Flow.Route.Ip} << 20U);
  // The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
  Hash ^= Hash >> 30U;
  Hash *= 0xBF58476D1CE4E5B9ULL;
  Hash ^= Hash >> 27U;
  Hash *= 0x94D049BB133111EBULL;
  return Hash ^ (Hash >> 31U);
}

/// Metadata about a packet on a hop between a balancer and an agent.
enum class HopTag : uint8_t {
  None = 0,
  /// Balancer to agent: an opening packet.
  Opening = 1,
  /// Balancer to agent: the agent has confirmed that it holds the flow.
  Holder = 2,
  /// Balancer to agent: the agent may hold the flow. Its upstream returns the
  /// packet if it doesn't. An agent that returns it with NoUpstream has not
  /// delivered it, because the upstream is silent.
  Probe = 3,
  /// Agent to balancer: the packet is returned for the named reason. Applies to
  /// this and all following values.
  NotHeld = 16,
  NoUpstream = 17,
  Draining = 18,
  /// The agent's data centre is evacuated and gets no new flows.
  Evacuated = 19,
  /// The upstream is cold and the limit of its new flows per window is reached.
  Cold = 20,
  /// The upstream has too many flows, or too many that await a response.
  Full = 21,
  WrongService = 22,
  /// The upstream refused the flow itself.
  Shed = 23,
  /// The upstream's remaining capacity is reserved for routes with a higher
  /// priority.
  Reserved = 24,
  /// The packet is meant for another agent, which had this address before.
  WrongAgent = 25,
  /// The upstream has sent nothing since it was probed with an earlier packet
  /// of the flow, so it may hold the flow or not.
  Unanswered = 26,
};

/// Returns the log name of the tag. Never fails.
std::string_view hopTagText(HopTag Tag);

/// Hop metadata stored in header fields that neither endpoint reads. Present
/// only on hops between balancers and agents.
struct HopMark {
  HopTag Tag = HopTag::None;
  /// Balancer to agent: the receiverId() of the agent that the packet is meant
  /// for. 0 from a balancer that doesn't know the agent's service, or that is
  /// of a version without receiver ids.
  uint32_t Receiver = 0;
  /// Agent to balancer: the low 32 bits of the agent's route version.
  uint32_t RouteVersion = 0;
};

/// Identifies an agent by its name and the service of its upstream. An address
/// does not: it may be used again by another VM while balancers still know the
/// earlier one. Never 0.
uint32_t receiverId(const base::MemberName &Agent,
                    const base::ServiceName &Service);

/// Returns the mark of a packet for the agent with that receiverId().
inline HopMark markForAgent(HopTag Tag, uint32_t Receiver) {
  return {Tag, Receiver, 0};
}

/// Returns the mark of a packet that an agent returns. Precondition: Reason is
/// NotHeld or a later value.
inline HopMark markOfReturn(HopTag Reason, uint64_t RouteVersion) {
  return {Reason, 0, static_cast<uint32_t>(RouteVersion)};
}

/// One parsed datagram. Bytes refers to the receive buffer or to a stored copy
/// and is not owned.
struct Packet {
  base::Address Source;
  base::Address Destination;
  uint32_t Sequence = 0;
  /// The acknowledgement number.
  uint32_t Acknowledged = 0;
  uint16_t DataBytes = 0;
  bool IsSyn = false;
  bool IsAck = false;
  bool IsFin = false;
  bool IsReset = false;
  /// The upstream returned the packet, because it doesn't hold the flow or
  /// can't accept it.
  bool IsBounced = false;
  HopMark Mark;
  std::span<char> Bytes;

  /// The flow, for a packet sent by a caller.
  FlowId flowFromCaller() const { return {this->Source, this->Destination}; }
  /// The flow, for a packet sent by an upstream.
  FlowId flowFromUpstream() const { return {this->Destination, this->Source}; }
  /// True for a packet that opens a flow (SYN without ACK).
  bool opensFlow() const { return this->IsSyn && !this->IsAck; }
};

/// Encoding and decoding of packets. setHop() writes the hop mark, and rewrites
/// only fields that neither endpoint reads. A reset notifies the caller that
/// its flow has ended.
template <typename F>
concept PacketFormat = requires(std::span<char> Bytes, HopMark Mark,
                                const FlowId &Flow, uint32_t Sequence) {
  // Returns an empty optional for bytes that are not a valid packet.
  { F::parse(Bytes) } -> std::same_as<std::optional<Packet>>;
  // The third argument is Packet::IsBounced. Precondition: parse() accepted the
  // bytes.
  { F::setHop(Bytes, Mark, true) } -> std::same_as<void>;
  // Writes a reset to the start of Bytes and returns its length in bytes.
  { F::writeReset(Bytes, Flow, Sequence) } -> std::same_as<size_t>;
};

/// The receive buffer size for one datagram of a flow, with room for a header
/// longer than today's.
inline constexpr size_t MaxPacketBytes = 2048;

} // namespace bilberry::packet

MSGPACK_ADD_ENUM(bilberry::packet::HopTag);

template <> struct std::hash<bilberry::packet::FlowId> {
  size_t operator()(const bilberry::packet::FlowId &Flow) const {
    return bilberry::packet::flowHash(Flow);
  }
};

#endif
