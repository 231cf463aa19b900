// What a decision on packets asks its process to send, in order. Reused from
// batch to batch: once the vectors have grown, a packet costs no allocation.

#ifndef BILBERRY_PACKET_PACKET_ACTIONS_H
#define BILBERRY_PACKET_PACKET_ACTIONS_H

#include "bilberry/packet/packet.h"
#include "bilberry/wire/relay_message.h"

#include <list>
#include <string>
#include <vector>

namespace bilberry::packet {

enum class Receiver : uint8_t {
  /// Another process of ours; To says which.
  Peer,
  /// The upstream beside this agent.
  Upstream,
  /// The caller, by the packet's destination.
  Caller,
};

struct SendPacket {
  Receiver Kind = Receiver::Peer;
  base::Address To;
  std::span<char> Bytes;
  HopMark Mark;
  bool IsBounced = false;
};

/// Ends a flow at its caller.
struct SendReset {
  FlowId Flow;
  uint32_t Sequence = 0;
};

/// One message, the same for all its receivers.
struct SendMessage {
  std::vector<base::Address> To;
  wire::RelayMessage Message;
};

/// One line for the log: what was decided about which flow, and why.
struct FlowDecision {
  std::string_view What;
  FlowId Flow;
  /// The other process or upstream concerned, if any.
  base::Address To;
  std::string_view Reason;
  /// The version of the routes that the decision went by.
  uint64_t RouteVersion = 0;
};

/// Not thread-safe.
class PacketActions {
public:
  std::vector<SendPacket> Packets;
  std::vector<SendReset> Resets;
  std::vector<SendMessage> Messages;
  std::vector<FlowDecision> Decisions;
  /// Lines for the log on what changed in the view of other processes.
  std::vector<std::string> Events;

  /// Keeps bytes alive until clear(), for packets that were held back.
  std::span<char> keep(std::string Bytes) {
    std::string &Kept = this->Kept.emplace_back(std::move(Bytes));
    return {Kept.data(), Kept.size()};
  }

  void clear() {
    this->Packets.clear();
    this->Resets.clear();
    this->Messages.clear();
    this->Decisions.clear();
    this->Events.clear();
    this->Kept.clear();
  }

private:
  // A list, since views into its strings must outlive later additions.
  std::list<std::string> Kept;
};

} // namespace bilberry::packet

#endif
