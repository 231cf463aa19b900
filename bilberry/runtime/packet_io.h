// Executes packet::PacketActions on sockets, in batches. Only this code writes
// the hop fields of packets and serializes resets.

#ifndef BILBERRY_RUNTIME_PACKET_IO_H
#define BILBERRY_RUNTIME_PACKET_IO_H

#include "bilberry/packet/packet_actions.h"
#include "bilberry/runtime/udp_socket.h"

#include <array>

namespace bilberry::runtime {

/// The sockets and addresses that a PacketSender uses. The sockets must outlive
/// it.
struct PacketSenderOptions {
  const UdpSocket &Packets;
  const UdpSocket &Messages;
  /// The port at which callers receive packets.
  uint16_t CallerPort = 0;
  /// The upstream of this agent; port 0 for a balancer.
  base::Address Upstream;
};

/// Sends the packets, resets and messages of one process. Not thread-safe.
template <packet::PacketFormat Format> class PacketSender {
public:
  explicit PacketSender(PacketSenderOptions SenderOptions)
      : SenderOptions(SenderOptions) {}

  /// Sends all and clears the actions. Returns the number of datagrams that the
  /// kernel rejected. Does not block.
  size_t send(packet::PacketActions &Actions) {
    size_t RejectedCount = 0;
    for (const packet::SendPacket &Action : Actions.Packets) {
      Format::setHop(Action.Bytes, Action.Mark, Action.IsBounced);
      RejectedCount += this->flushIfFull();
      this->Batch.add(this->receiver(Action), Action.Bytes);
    }
    // The resets of a batch use the preallocated buffers.
    for (const packet::SendReset &Action : Actions.Resets) {
      // Must precede the use of a buffer, since a flush releases all buffers.
      RejectedCount += this->flushIfFull();
      std::span<char> Buffer = this->Resets[this->UsedResetBuffers];
      size_t Size = Format::writeReset(Buffer, Action.Flow, Action.Sequence);
      ++this->UsedResetBuffers;
      this->Batch.add({Action.Flow.Caller.Ip, this->SenderOptions.CallerPort},
                      Buffer.first(Size));
    }
    RejectedCount += this->flush();
    for (const packet::SendMessage &Action : Actions.Messages) {
      std::string Bytes = wire::relayMessageBytes(Action.Message);
      for (const base::Address &To : Action.To) {
        RejectedCount +=
            this->SenderOptions.Messages.sendOne(To, Bytes, {}) ? 0 : 1;
      }
    }
    Actions.clear();
    return RejectedCount;
  }

private:
  base::Address receiver(const packet::SendPacket &Action) const {
    switch (Action.Kind) {
    case packet::Receiver::Peer:
      return Action.To;
    case packet::Receiver::Upstream:
      return this->SenderOptions.Upstream;
    case packet::Receiver::Caller:
      return {Action.To.Ip, this->SenderOptions.CallerPort};
    }
    return Action.To;
  }

  size_t flushIfFull() { return this->Batch.isFull() ? this->flush() : 0; }

  size_t flush() {
    this->UsedResetBuffers = 0;
    return this->Batch.empty() ? 0
                               : this->SenderOptions.Packets.send(this->Batch);
  }

  static constexpr size_t ResetBytes = 64;

  PacketSenderOptions SenderOptions;
  DatagramBatch Batch;
  // One per datagram of a batch, so that none is overwritten before it is sent.
  std::array<std::array<char, ResetBytes>, BatchSize> Resets{};
  size_t UsedResetBuffers = 0;
};

} // namespace bilberry::runtime

#endif
