// A UDP socket that takes and sends datagrams in batches, one system call a
// batch (recvmmsg, sendmmsg).

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

/// Datagrams that one batch takes.
inline constexpr size_t BatchSize = 32;
/// The largest payload of a UDP datagram over IPv4.
inline constexpr size_t MaxReceivedBytes = 65507;

/// Room for one batch. Reused between calls; one a fiber.
class ReceiveBatch {
public:
  /// Room for datagrams of at most BufferBytes; longer ones are cut.
  explicit ReceiveBatch(size_t BufferBytes = MaxReceivedBytes);

  /// Datagrams that the last receive() took.
  size_t size() const { return this->Count; }
  /// The Nth datagram, valid until the next receive().
  std::string_view bytes(size_t N) const {
    return {this->Buffers[N].get(), this->Messages[N].msg_len};
  }
  /// The same, for changes in place.
  std::span<char> buffer(size_t N) {
    return {this->Buffers[N].get(), this->Messages[N].msg_len};
  }
  /// Where it came from.
  base::Address sender(size_t N) const;

private:
  friend class UdpSocket;

  size_t Count = 0;
  std::vector<std::unique_ptr<char[]>> Buffers;
  std::vector<iovec> Parts;
  std::vector<sockaddr_in> Senders;
  std::vector<mmsghdr> Messages;
};

/// Datagrams that wait to be sent together. One a fiber.
class SendBatch {
public:
  /// Adds a datagram of two parts. Payload must stay valid until it is sent.
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

/// Datagrams of one part that wait to be sent together, without allocation.
/// One a thread.
class DatagramBatch {
public:
  DatagramBatch();

  /// Adds a datagram; Bytes must stay valid until it is sent. Precondition:
  /// the batch is not full.
  void add(const base::Address &To, std::span<const char> Bytes);
  bool isFull() const { return this->Count == BatchSize; }
  bool empty() const { return this->Count == 0; }

private:
  friend class UdpSocket;

  size_t Count = 0;
  std::array<sockaddr_in, BatchSize> Receivers{};
  std::array<iovec, BatchSize> Parts{};
  std::array<mmsghdr, BatchSize> Messages{};
};

/// Non-blocking. receive() and send() may be called from several threads at
/// once; the kernel gives each datagram to one of them.
class UdpSocket {
public:
  /// Opens and binds. Errors: System, with the address and the reason.
  static base::Result<UdpSocket> bind(const base::Address &At);

  UdpSocket(UdpSocket &&Other) noexcept;
  UdpSocket &operator=(UdpSocket &&Other) noexcept;
  ~UdpSocket();

  int fd() const { return this->Fd; }

  /// Takes what has come, at most one batch, without waiting.
  void receive(ReceiveBatch &Batch) const;

  /// Sends and clears the batch. Returns how many the kernel refused; such a
  /// datagram is lost, as any datagram may be.
  size_t send(SendBatch &Batch) const;

  /// The same for a batch of one-part datagrams.
  size_t send(DatagramBatch &Batch) const;

  /// Sends one datagram. False where the kernel refused it.
  bool sendOne(const base::Address &To, std::string_view Header,
               std::string_view Payload) const;

private:
  explicit UdpSocket(int Fd) : Fd(Fd) {}

  int Fd = -1;
};

} // namespace bilberry::runtime

#endif
