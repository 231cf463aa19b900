#include "bilberry/runtime/udp_socket.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <unistd.h>
#include <utility>

namespace bilberry::runtime {

// Requested send and receive buffer of each socket, so that a burst is queued
// instead of dropped; the kernel may grant less.
static constexpr int SocketBufferBytes = 4 * 1024 * 1024;

static sockaddr_in socketAddress(const base::Address &Value) {
  sockaddr_in SocketAddress = {};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_addr.s_addr = htonl(Value.Ip);
  SocketAddress.sin_port = htons(Value.Port);
  return SocketAddress;
}

ReceiveBatch::ReceiveBatch(size_t BufferBytes)
    : IoVectors(BatchSize), Senders(BatchSize), Messages(BatchSize) {
  for (size_t I = 0; I < BatchSize; ++I) {
    this->Buffers.push_back(std::make_unique<char[]>(BufferBytes));
    this->IoVectors[I] = {this->Buffers[I].get(), BufferBytes};
  }
}

base::Address ReceiveBatch::sender(size_t Index) const {
  const sockaddr_in &SocketAddress = this->Senders[Index];
  return {ntohl(SocketAddress.sin_addr.s_addr), ntohs(SocketAddress.sin_port)};
}

void SendBatch::add(const base::Address &To, std::string Header,
                    std::string_view Payload) {
  this->Items.push_back({socketAddress(To), std::move(Header), Payload});
}

DatagramBatch::DatagramBatch() {
  for (size_t I = 0; I < BatchSize; ++I) {
    msghdr &Header = this->Messages[I].msg_hdr;
    Header.msg_name = &this->Receivers[I];
    Header.msg_namelen = sizeof(sockaddr_in);
    Header.msg_iov = &this->IoVectors[I];
    Header.msg_iovlen = 1;
  }
}

void DatagramBatch::add(const base::Address &To, std::span<const char> Bytes) {
  this->Receivers[this->Count] = socketAddress(To);
  this->IoVectors[this->Count] = {const_cast<char *>(Bytes.data()),
                                  Bytes.size()};
  ++this->Count;
}

base::Result<UdpSocket> UdpSocket::bind(const base::Address &At) {
  int Fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Fd < 0) {
    return base::Error{base::ErrorCode::System,
                       std::string("socket: ") + std::strerror(errno)};
  }
  UdpSocket Socket(Fd);
  setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &SocketBufferBytes,
             sizeof(SocketBufferBytes));
  setsockopt(Fd, SOL_SOCKET, SO_SNDBUF, &SocketBufferBytes,
             sizeof(SocketBufferBytes));
  sockaddr_in SocketAddress = socketAddress(At);
  if (::bind(Fd, reinterpret_cast<const sockaddr *>(&SocketAddress),
             sizeof(SocketAddress)) != 0) {
    return base::Error{base::ErrorCode::System,
                       "bind " + base::addressText(At) + ": " +
                           std::strerror(errno)};
  }
  return Socket;
}

UdpSocket::UdpSocket(UdpSocket &&Other) noexcept
    : Fd(std::exchange(Other.Fd, -1)) {}

UdpSocket &UdpSocket::operator=(UdpSocket &&Other) noexcept {
  std::swap(this->Fd, Other.Fd);
  return *this;
}

UdpSocket::~UdpSocket() {
  if (this->Fd >= 0) {
    close(this->Fd);
  }
}

void UdpSocket::receive(ReceiveBatch &Batch) const {
  for (size_t I = 0; I < BatchSize; ++I) {
    msghdr &Header = Batch.Messages[I].msg_hdr;
    Header = {};
    Header.msg_name = &Batch.Senders[I];
    Header.msg_namelen = sizeof(sockaddr_in);
    Header.msg_iov = &Batch.IoVectors[I];
    Header.msg_iovlen = 1;
  }
  int ReceivedCount = recvmmsg(this->Fd, Batch.Messages.data(), BatchSize,
                               MSG_DONTWAIT, nullptr);
  Batch.Count = ReceivedCount > 0 ? static_cast<size_t>(ReceivedCount) : 0;
}

// Sends all messages. Returns the number that the kernel rejected.
static size_t sendMessages(int Fd, mmsghdr *Messages, size_t Count) {
  size_t Sent = 0;
  size_t RejectedCount = 0;
  while (Sent < Count) {
    int SentNow = sendmmsg(Fd, Messages + Sent,
                           static_cast<unsigned>(Count - Sent), MSG_DONTWAIT);
    if (SentNow <= 0) {
      // The first of the remaining messages failed; skip only that one.
      SentNow = 1;
      ++RejectedCount;
    }
    Sent += static_cast<size_t>(SentNow);
  }
  return RejectedCount;
}

size_t UdpSocket::send(SendBatch &Batch) const {
  size_t Count = Batch.Items.size();
  std::vector<mmsghdr> Messages(Count);
  std::vector<std::array<iovec, 2>> IoVectors(Count);
  for (size_t I = 0; I < Count; ++I) {
    SendBatch::Item &Item = Batch.Items[I];
    IoVectors[I][0] = {Item.Header.data(), Item.Header.size()};
    IoVectors[I][1] = {const_cast<char *>(Item.Payload.data()),
                       Item.Payload.size()};
    msghdr &Header = Messages[I].msg_hdr;
    Header = {};
    Header.msg_name = &Item.To;
    Header.msg_namelen = sizeof(sockaddr_in);
    Header.msg_iov = IoVectors[I].data();
    Header.msg_iovlen = 2;
  }
  size_t RejectedCount = sendMessages(this->Fd, Messages.data(), Count);
  Batch.Items.clear();
  return RejectedCount;
}

size_t UdpSocket::send(DatagramBatch &Batch) const {
  size_t RejectedCount =
      sendMessages(this->Fd, Batch.Messages.data(), Batch.Count);
  Batch.Count = 0;
  return RejectedCount;
}

bool UdpSocket::sendOne(const base::Address &To, std::string_view Header,
                        std::string_view Payload) const {
  sockaddr_in SocketAddress = socketAddress(To);
  std::array<iovec, 2> IoVectors = {
      iovec{const_cast<char *>(Header.data()), Header.size()},
      iovec{const_cast<char *>(Payload.data()), Payload.size()}};
  msghdr Message = {};
  Message.msg_name = &SocketAddress;
  Message.msg_namelen = sizeof(SocketAddress);
  Message.msg_iov = IoVectors.data();
  Message.msg_iovlen = IoVectors.size();
  return sendmsg(this->Fd, &Message, MSG_DONTWAIT) >= 0;
}

} // namespace bilberry::runtime
