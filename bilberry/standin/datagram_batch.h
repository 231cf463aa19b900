// Datagrams by the batch: one system call for many, since a call for each is
// most of what a small datagram costs.

#ifndef BILBERRY_STANDIN_DATAGRAM_BATCH_H
#define BILBERRY_STANDIN_DATAGRAM_BATCH_H

#include "bilberry/standin/socket.h"
#include "bilberry/wire/codec.h"

#include <string>
#include <string_view>
#include <sys/socket.h>
#include <vector>

namespace bilberry::standin {

/// How many datagrams one system call takes.
inline constexpr size_t BatchSize = 64;

/// A datagram that has come. Bytes live until the next receive().
struct ReceivedDatagram {
  base::Address From;
  std::string_view Bytes;
};

/// Buffers for receiving. Not safe for two threads at once.
class ReceiveBatch {
public:
  ReceiveBatch();

  /// Takes what waits, up to BatchSize datagrams; empty where none does.
  const std::vector<ReceivedDatagram> &receive(const Socket &From);

private:
  std::vector<std::string> Buffers;
  std::vector<sockaddr_in> Names;
  std::vector<iovec> Parts;
  std::vector<mmsghdr> Headers;
  std::vector<ReceivedDatagram> Received;
};

/// Collects datagrams and sends them together. Not safe for two threads at
/// once.
class SendBatch {
public:
  /// Adds a datagram; it goes out with the next flush().
  void add(base::Address To, std::string Bytes);
  /// Sends all. What the system refuses is lost, as datagrams are.
  void flush(const Socket &Through);
  /// How many the system has refused.
  uint64_t lost() const { return this->Lost; }

private:
  struct Entry {
    sockaddr_in To;
    std::string Bytes;
  };

  size_t sendFrom(const Socket &Through, size_t First);

  std::vector<Entry> Entries;
  uint64_t Lost = 0;
};

} // namespace bilberry::standin

#endif
