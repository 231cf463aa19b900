// Carries out packet::PacketActions on sockets, in batches: the one place
// where a packet's hop fields are written, and where resets get their bytes.

#ifndef BILBERRY_RUNTIME_PACKET_IO_H
#define BILBERRY_RUNTIME_PACKET_IO_H

#include "bilberry/packet/packet_actions.h"
#include "bilberry/runtime/udp_socket.h"

#include <array>

namespace bilberry::runtime {

/// Where packets and messages leave. The sockets must outlive it.
struct PacketOutlets {
  const UdpSocket &Packets;
  const UdpSocket &Messages;
  /// The port at which callers take their packets.
  uint16_t CallerPort = 0;
  /// The upstream beside this agent; port 0 for a balancer.
  base::Address Upstream;
};

/// Sends for one process. Not thread-safe.
template <packet::PacketFormat Format> class PacketSender {
public:
  explicit PacketSender(PacketOutlets Outlets) : Outlets(Outlets) {}

  /// Sends all and clears the actions. Returns how many the kernel refused.
  size_t send(packet::PacketActions &Actions) {
    size_t Refused = 0;
    for (const packet::SendPacket &Action : Actions.Packets) {
      Format::setHop(Action.Bytes, Action.Mark, Action.IsBounced);
      Refused += this->makeRoom();
      this->Batch.add(this->receiver(Action), Action.Bytes);
    }
    // Resets share one buffer each batch.
    for (const packet::SendReset &Action : Actions.Resets) {
      // Before a buffer is taken, since a flush makes all free again.
      Refused += this->makeRoom();
      std::span<char> Buffer = this->Resets[this->UsedResets];
      size_t Size = Format::writeReset(Buffer, Action.Flow, Action.Sequence);
      ++this->UsedResets;
      this->Batch.add({Action.Flow.Caller.Ip, this->Outlets.CallerPort},
                      Buffer.first(Size));
    }
    Refused += this->flush();
    for (const packet::SendMessage &Action : Actions.Messages) {
      std::string Bytes = wire::relayMessageBytes(Action.Message);
      for (const base::Address &To : Action.To) {
        Refused += this->Outlets.Messages.sendOne(To, Bytes, {}) ? 0 : 1;
      }
    }
    Actions.clear();
    return Refused;
  }

private:
  base::Address receiver(const packet::SendPacket &Action) const {
    switch (Action.Kind) {
    case packet::Receiver::Peer:
      return Action.To;
    case packet::Receiver::Upstream:
      return this->Outlets.Upstream;
    case packet::Receiver::Caller:
      return {Action.To.Ip, this->Outlets.CallerPort};
    }
    return Action.To;
  }

  size_t makeRoom() { return this->Batch.isFull() ? this->flush() : 0; }

  size_t flush() {
    this->UsedResets = 0;
    return this->Batch.empty() ? 0 : this->Outlets.Packets.send(this->Batch);
  }

  static constexpr size_t ResetBytes = 64;

  PacketOutlets Outlets;
  DatagramBatch Batch;
  // No fewer than a batch holds, so that none is written over before it left.
  std::array<std::array<char, ResetBytes>, BatchSize> Resets{};
  size_t UsedResets = 0;
};

} // namespace bilberry::runtime

#endif
