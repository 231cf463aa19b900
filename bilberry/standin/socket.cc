#include "bilberry/standin/socket.h"

#include <algorithm>
#include <cerrno>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace bilberry::standin {

// Large enough to buffer bursts of datagrams while a stand-in is busy.
static constexpr int UdpBufferBytes = 4 * 1024 * 1024;
static constexpr int TcpBacklog = 128;

static base::Error systemError(const std::string &What,
                               base::Address BindAddress) {
  return {base::ErrorCode::System, What + " " + base::addressText(BindAddress) +
                                       ": " +
                                       std::generic_category().message(errno)};
}

static bool bindTo(int Fd, base::Address BindAddress) {
  sockaddr_in SocketAddress = toSockaddr(BindAddress);
  return ::bind(Fd, reinterpret_cast<sockaddr *>(&SocketAddress),
                sizeof(SocketAddress)) == 0;
}

static void setOption(int Fd, int Level, int Option, int Value) {
  (void)::setsockopt(Fd, Level, Option, &Value, sizeof(Value));
}

Socket::~Socket() {
  if (this->Fd >= 0) {
    (void)::close(this->Fd);
  }
}

base::Result<Socket> listenTcp(base::Address BindAddress) {
  Socket Listener(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  setOption(Listener.fd(), SOL_SOCKET, SO_REUSEADDR, 1);
  bool IsBound = Listener.isOpen() && bindTo(Listener.fd(), BindAddress);
  if (!IsBound || ::listen(Listener.fd(), TcpBacklog) != 0) {
    return systemError("cannot listen on", BindAddress);
  }
  return Listener;
}

std::optional<Socket> acceptTcp(const Socket &Listener) {
  Socket Accepted(
      ::accept4(Listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!Accepted.isOpen()) {
    return std::nullopt;
  }
  setOption(Accepted.fd(), IPPROTO_TCP, TCP_NODELAY, 1);
  return Accepted;
}

base::Result<Socket> bindUdp(base::Address BindAddress) {
  Socket Bound(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!Bound.isOpen() || !bindTo(Bound.fd(), BindAddress)) {
    return systemError("cannot bind UDP", BindAddress);
  }
  setOption(Bound.fd(), SOL_SOCKET, SO_RCVBUF, UdpBufferBytes);
  setOption(Bound.fd(), SOL_SOCKET, SO_SNDBUF, UdpBufferBytes);
  return Bound;
}

base::Address localAddress(const Socket &Bound) {
  sockaddr_in SocketAddress = {};
  socklen_t Length = sizeof(SocketAddress);
  if (::getsockname(Bound.fd(), reinterpret_cast<sockaddr *>(&SocketAddress),
                    &Length) != 0) {
    return {};
  }
  return fromSockaddr(SocketAddress);
}

sockaddr_in toSockaddr(base::Address Value) {
  sockaddr_in SocketAddress = {};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_addr.s_addr = htonl(Value.Ip);
  SocketAddress.sin_port = htons(Value.Port);
  return SocketAddress;
}

base::Address fromSockaddr(const sockaddr_in &Value) {
  return {ntohl(Value.sin_addr.s_addr), ntohs(Value.sin_port)};
}

int pollTimeout(base::TimePoint Now, base::TimePoint Due,
                std::chrono::milliseconds MaxWait) {
  auto Left = std::chrono::ceil<std::chrono::milliseconds>(Due - Now);
  return static_cast<int>(
      std::clamp(Left, std::chrono::milliseconds(0), MaxWait).count());
}

} // namespace bilberry::standin
