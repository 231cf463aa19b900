// A UDP socket that receives and sends datagrams in batches, with one system
// call per batch (recvmmsg, sendmmsg).

#ifndef BILBERRY_RUNTIME_UDP_SOCKET_H
#define BILBERRY_RUNTIME_UDP_SOCKET_H

#include "bilberry/base/address.h"
#include "bilberry/base/error.h"

#include <array>
#include <cstddef>
#include <memory>
#include <netinet/in.h>
#include <span>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <vector>

namespace bilberry::runtime {

/// The maximum number of datagrams in a batch.
inline constexpr size_t BatchSize = 32;
/// The largest payload of a UDP datagram over IPv4.
inline constexpr size_t MaxReceivedBytes = 65507;

/// The buffers of one received batch, reused between calls. Each fiber needs
/// its own.
class ReceiveBatch {
public:
  /// Allocates buffers of BufferBytes; longer datagrams are truncated.
  explicit ReceiveBatch(size_t BufferBytes = MaxReceivedBytes);

  /// The number of datagrams from the last receive().
  size_t size() const { return this->Count; }
  /// The datagram at Index, valid until the next receive().
  std::string_view bytes(size_t Index) const {
    return {this->Buffers[Index].get(), this->Messages[Index].msg_len};
  }
  /// Like bytes(), but may be modified in place.
  std::span<char> buffer(size_t Index) {
    return {this->Buffers[Index].get(), this->Messages[Index].msg_len};
  }
  /// The source address of the datagram at Index.
  base::Address sender(size_t Index) const;

private:
  friend class UdpSocket;

  size_t Count = 0;
  std::vector<std::unique_ptr<char[]>> Buffers;
  std::vector<iovec> IoVectors;
  std::vector<sockaddr_in> Senders;
  std::vector<mmsghdr> Messages;
};

/// Two-part datagrams to be sent together. Each fiber needs its own.
class SendBatch {
public:
  /// Adds a datagram of a header and a payload. Payload must stay valid until
  /// the batch is sent.
  void add(const base::Address &To, std::string Header,
           std::string_view Payload);
  bool isFull() const { return this->Items.size() >= BatchSize; }
  bool empty() const { return this->Items.empty(); }

private:
  friend class UdpSocket;

  struct Item {
    sockaddr_in To;
    std::string Header;
    std::string_view Payload;
  };
  std::vector<Item> Items;
};

/// One-part datagrams to be sent together, without allocation. Each thread
/// needs its own.
class DatagramBatch {
public:
  DatagramBatch();

  /// Adds a datagram. Bytes must stay valid until the batch is sent.
  /// Precondition: the batch is not full.
  void add(const base::Address &To, std::span<const char> Bytes);
  bool isFull() const { return this->Count == BatchSize; }
  bool empty() const { return this->Count == 0; }

private:
  friend class UdpSocket;

  size_t Count = 0;
  std::array<sockaddr_in, BatchSize> Receivers{};
  std::array<iovec, BatchSize> IoVectors{};
  std::array<mmsghdr, BatchSize> Messages{};
};

/// A non-blocking socket. receive() and send() may be called concurrently; the
/// kernel delivers each datagram to one caller only.
class UdpSocket {
public:
  /// Opens a socket and binds it to At. Errors: System, with the system's
  /// reason.
  static base::Result<UdpSocket> bind(const base::Address &At);

  UdpSocket(UdpSocket &&Other) noexcept;
  UdpSocket &operator=(UdpSocket &&Other) noexcept;
  ~UdpSocket();

  int fd() const { return this->Fd; }

  /// Receives the queued datagrams, at most one batch, without blocking.
  void receive(ReceiveBatch &Batch) const;

  /// Sends and clears the batch. Returns the number of datagrams that the
  /// kernel rejected; they are lost and not retried, as UDP guarantees no
  /// delivery.
  size_t send(SendBatch &Batch) const;

  /// Like send(SendBatch &), for one-part datagrams.
  size_t send(DatagramBatch &Batch) const;

  /// Sends one datagram. Returns false if the kernel rejected it.
  bool sendOne(const base::Address &To, std::string_view Header,
               std::string_view Payload) const;

private:
  explicit UdpSocket(int Fd) : Fd(Fd) {}

  int Fd = -1;
};

} // namespace bilberry::runtime

#endif
