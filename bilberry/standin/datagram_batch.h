// Receives and sends datagrams in batches, one system call for many: a system
// call for each would be most of the cost of a small datagram.

#ifndef BILBERRY_STANDIN_DATAGRAM_BATCH_H
#define BILBERRY_STANDIN_DATAGRAM_BATCH_H

#include "bilberry/standin/socket.h"
#include "bilberry/wire/codec.h"

#include <string>
#include <string_view>
#include <sys/socket.h>
#include <vector>

namespace bilberry::standin {

/// The most datagrams in one system call.
inline constexpr size_t MaxBatchDatagrams = 64;

/// A received datagram. Bytes are valid until the next receive().
struct ReceivedDatagram {
  base::Address From;
  std::string_view Bytes;
};

/// Receives datagrams in batches. Not thread-safe.
class ReceiveBatch {
public:
  ReceiveBatch();

  /// Receives up to MaxBatchDatagrams datagrams without blocking; empty where
  /// none are pending.
  const std::vector<ReceivedDatagram> &receive(const Socket &From);

private:
  std::vector<std::string> Buffers;
  std::vector<sockaddr_in> PeerAddresses;
  std::vector<iovec> IoVectors;
  std::vector<mmsghdr> MessageHeaders;
  std::vector<ReceivedDatagram> Received;
};

/// Queues datagrams and sends them in batches. Not thread-safe.
class SendBatch {
public:
  /// Queues a datagram for the next flush().
  void add(base::Address To, std::string Bytes);
  /// Sends all queued datagrams without blocking. A datagram that the kernel
  /// refuses is dropped and counted.
  void flush(const Socket &Sender);
  /// Number of datagrams that the kernel refused.
  uint64_t droppedCount() const { return this->DroppedCount; }

private:
  struct Entry {
    sockaddr_in To;
    std::string Bytes;
  };

  size_t sendFrom(const Socket &Sender, size_t First);

  std::vector<Entry> Entries;
  uint64_t DroppedCount = 0;
};

} // namespace bilberry::standin

#endif
