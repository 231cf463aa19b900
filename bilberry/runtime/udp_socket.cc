#include "bilberry/runtime/udp_socket.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <unistd.h>
#include <utility>

namespace bilberry::runtime {

// Asked of the kernel for each socket, so that a burst waits instead of being
// dropped; the kernel may grant less.
static constexpr int SocketBufferBytes = 4 * 1024 * 1024;

static sockaddr_in socketAddress(const base::Address &Value) {
  sockaddr_in Raw = {};
  Raw.sin_family = AF_INET;
  Raw.sin_addr.s_addr = htonl(Value.Ip);
  Raw.sin_port = htons(Value.Port);
  return Raw;
}

ReceiveBatch::ReceiveBatch(size_t BufferBytes)
    : Parts(BatchSize), Senders(BatchSize), Messages(BatchSize) {
  for (size_t I = 0; I < BatchSize; ++I) {
    this->Buffers.push_back(std::make_unique<char[]>(BufferBytes));
    this->Parts[I] = {this->Buffers[I].get(), BufferBytes};
  }
}

base::Address ReceiveBatch::sender(size_t N) const {
  const sockaddr_in &Raw = this->Senders[N];
  return {ntohl(Raw.sin_addr.s_addr), ntohs(Raw.sin_port)};
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
    Header.msg_iov = &this->Parts[I];
    Header.msg_iovlen = 1;
  }
}

void DatagramBatch::add(const base::Address &To, std::span<const char> Bytes) {
  this->Receivers[this->Count] = socketAddress(To);
  this->Parts[this->Count] = {const_cast<char *>(Bytes.data()), Bytes.size()};
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
  sockaddr_in Raw = socketAddress(At);
  if (::bind(Fd, reinterpret_cast<const sockaddr *>(&Raw), sizeof(Raw)) != 0) {
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
    Header.msg_iov = &Batch.Parts[I];
    Header.msg_iovlen = 1;
  }
  int Taken = recvmmsg(this->Fd, Batch.Messages.data(), BatchSize, MSG_DONTWAIT,
                       nullptr);
  Batch.Count = Taken > 0 ? static_cast<size_t>(Taken) : 0;
}

// Sends all; returns how many the kernel refused.
static size_t sendMessages(int Fd, mmsghdr *Messages, size_t Count) {
  size_t Sent = 0;
  size_t Refused = 0;
  while (Sent < Count) {
    int Done = sendmmsg(Fd, Messages + Sent,
                        static_cast<unsigned>(Count - Sent), MSG_DONTWAIT);
    if (Done <= 0) {
      // The first of the rest can't be sent; pass over just that one.
      Done = 1;
      ++Refused;
    }
    Sent += static_cast<size_t>(Done);
  }
  return Refused;
}

size_t UdpSocket::send(SendBatch &Batch) const {
  size_t Count = Batch.Items.size();
  std::vector<mmsghdr> Messages(Count);
  std::vector<std::array<iovec, 2>> Parts(Count);
  for (size_t I = 0; I < Count; ++I) {
    SendBatch::Item &Item = Batch.Items[I];
    Parts[I][0] = {Item.Header.data(), Item.Header.size()};
    Parts[I][1] = {const_cast<char *>(Item.Payload.data()),
                   Item.Payload.size()};
    msghdr &Header = Messages[I].msg_hdr;
    Header = {};
    Header.msg_name = &Item.To;
    Header.msg_namelen = sizeof(sockaddr_in);
    Header.msg_iov = Parts[I].data();
    Header.msg_iovlen = 2;
  }
  size_t Refused = sendMessages(this->Fd, Messages.data(), Count);
  Batch.Items.clear();
  return Refused;
}

size_t UdpSocket::send(DatagramBatch &Batch) const {
  size_t Refused = sendMessages(this->Fd, Batch.Messages.data(), Batch.Count);
  Batch.Count = 0;
  return Refused;
}

bool UdpSocket::sendOne(const base::Address &To, std::string_view Header,
                        std::string_view Payload) const {
  sockaddr_in Raw = socketAddress(To);
  std::array<iovec, 2> Parts = {
      iovec{const_cast<char *>(Header.data()), Header.size()},
      iovec{const_cast<char *>(Payload.data()), Payload.size()}};
  msghdr Message = {};
  Message.msg_name = &Raw;
  Message.msg_namelen = sizeof(Raw);
  Message.msg_iov = Parts.data();
  Message.msg_iovlen = Parts.size();
  return sendmsg(this->Fd, &Message, MSG_DONTWAIT) >= 0;
}

} // namespace bilberry::runtime
