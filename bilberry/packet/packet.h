// A caller's or an upstream's packet as the relaying code sees it: the two
// ends, the few header fields that decisions look at, and the bytes, which are
// forwarded as they came.
//
// The format of the bytes is a template parameter (PacketFormat) of the loops
// that read and write sockets; decisions work on Packet alone, so that tests
// need no bytes.

#ifndef BILBERRY_PACKET_PACKET_H
#define BILBERRY_PACKET_PACKET_H

#include "bilberry/base/address.h"

#include <compare>
#include <concepts>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <optional>
#include <span>
#include <string>

namespace bilberry::packet {

/// The two ends of a flow. Caller ports are not reused while a flow lives.
struct FlowId {
  base::Address Caller;
  /// The address and port that the caller connected to.
  base::Address Route;

  auto operator<=>(const FlowId &) const = default;
  MSGPACK_DEFINE(Caller, Route); // NOLINT
};

/// "1.2.3.4:5 > 6.7.8.9:10", the name of a flow in logs. Never fails.
inline std::string flowIdText(const FlowId &Flow) {
  return base::addressText(Flow.Caller) + ">" + base::addressText(Flow.Route);
}

/// 64 bits that spread flows evenly.
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

/// What a process tells the next one about a packet on a hop between our own
/// processes.
enum class HopTag : uint8_t {
  None = 0,
  /// Balancer to agent: an opening packet, placed by that revision of routes.
  Opening = 1,
  /// Balancer to agent: the flow is known to be there.
  Holder = 2,
  /// Balancer to agent: the flow may be there; its upstream will tell.
  Probe = 3,
  /// Agent to balancer: returned, for the reason.
  NotHeld = 16,
  NoUpstream = 17,
  Draining = 18,
  Evacuated = 19,
  Cold = 20,
  Full = 21,
  WrongService = 22,
  Shed = 23,
};

/// The tag as a word for logs. Never fails.
std::string_view hopTagText(HopTag Tag);

/// Rides in header fields that neither end reads, on our own hops only.
struct HopMark {
  /// The low bits of the version of the routes that the sender went by.
  uint32_t RouteVersion = 0;
  HopTag Tag = HopTag::None;
};

inline HopMark hopMark(uint64_t RouteVersion, HopTag Tag) {
  return {static_cast<uint32_t>(RouteVersion), Tag};
}

/// One datagram, parsed. Bytes are the receive buffer's or a kept copy's.
struct Packet {
  base::Address Source;
  base::Address Destination;
  uint32_t Sequence = 0;
  uint32_t Acknowledged = 0;
  uint16_t DataBytes = 0;
  bool IsSyn = false;
  bool IsAck = false;
  bool IsFin = false;
  bool IsReset = false;
  /// An upstream gave it back: it doesn't hold the flow, or can't take it.
  bool IsBounced = false;
  HopMark Mark;
  std::span<char> Bytes;

  /// The flow of a packet that a caller sent.
  FlowId callersFlow() const { return {this->Source, this->Destination}; }
  /// The flow of a packet that an upstream sent.
  FlowId upstreamsFlow() const { return {this->Destination, this->Source}; }
  /// True for the packet that opens a flow.
  bool opensFlow() const { return this->IsSyn && !this->IsAck; }
};

/// How packets lie in bytes. setHop() rewrites only the fields that neither
/// end reads; a reset says to the caller that its flow is over.
template <typename F>
concept PacketFormat = requires(std::span<char> Bytes, HopMark Mark,
                                const FlowId &Flow, uint32_t Sequence) {
  // Empty for anything that is no packet.
  { F::parse(Bytes) } -> std::same_as<std::optional<Packet>>;
  // Precondition: parse() accepted the bytes.
  { F::setHop(Bytes, Mark, true) } -> std::same_as<void>;
  // Writes a reset to the front of Bytes and gives its length.
  { F::writeReset(Bytes, Flow, Sequence) } -> std::same_as<size_t>;
};

/// The largest datagram of a flow, with room for a longer header.
inline constexpr size_t MaxPacketBytes = 2048;

} // namespace bilberry::packet

MSGPACK_ADD_ENUM(bilberry::packet::HopTag);

template <> struct std::hash<bilberry::packet::FlowId> {
  size_t operator()(const bilberry::packet::FlowId &Flow) const {
    return bilberry::packet::flowHash(Flow);
  }
};

#endif
