// The output of packet routing: what the process has to send and log, in order.
// The object is reused across batches, so that once its vectors have grown, a
// packet needs no allocation.

#ifndef BILBERRY_PACKET_PACKET_ACTIONS_H
#define BILBERRY_PACKET_PACKET_ACTIONS_H

#include "bilberry/packet/packet.h"
#include "bilberry/wire/relay_message.h"

#include <list>
#include <string>
#include <vector>

namespace bilberry::packet {

enum class Receiver : uint8_t {
  /// Another balancer or agent, at the address in To.
  Peer,
  /// The upstream served by this agent.
  Upstream,
  /// The caller, at the packet's destination address.
  Caller,
};

struct SendPacket {
  Receiver Kind = Receiver::Peer;
  base::Address To;
  std::span<char> Bytes;
  HopMark Mark;
  bool IsBounced = false;
};

/// Resets a flow at its caller.
struct SendReset {
  FlowId Flow;
  uint32_t Sequence = 0;
};

/// One message, sent unchanged to every address in To.
struct SendMessage {
  std::vector<base::Address> To;
  wire::RelayMessage Message;
};

/// A log entry for one routing decision: the decision, the flow and the reason.
struct FlowDecision {
  std::string_view DecisionName;
  FlowId Flow;
  /// The agent, balancer or upstream concerned, if any.
  base::Address To;
  std::string_view Reason;
  /// The route version used for the decision.
  uint64_t RouteVersion = 0;
  /// The flow is refused or reset, so its caller loses it.
  bool EndsFlow = false;
};

/// Collects the actions of one batch. Not thread-safe.
class PacketActions {
public:
  std::vector<SendPacket> Packets;
  std::vector<SendReset> Resets;
  std::vector<SendMessage> Messages;
  std::vector<FlowDecision> Decisions;
  /// Log lines about changes in the view of other processes.
  std::vector<std::string> Events;

  /// Takes ownership of the bytes of a queued packet. The returned span is
  /// valid until clear().
  std::span<char> ownBytes(std::string Bytes) {
    std::string &OwnedBytes = this->OwnedBytes.emplace_back(std::move(Bytes));
    return {OwnedBytes.data(), OwnedBytes.size()};
  }

  void clear() {
    this->Packets.clear();
    this->Resets.clear();
    this->Messages.clear();
    this->Decisions.clear();
    this->Events.clear();
    this->OwnedBytes.clear();
  }

private:
  // A list, because spans of its strings must stay valid when more are added.
  std::list<std::string> OwnedBytes;
};

} // namespace bilberry::packet

#endif
