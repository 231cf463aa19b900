// Non-blocking sockets for the stand-ins.

#ifndef BILBERRY_STANDIN_SOCKET_H
#define BILBERRY_STANDIN_SOCKET_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"

#include <netinet/in.h>
#include <optional>
#include <utility>

namespace bilberry::standin {

/// Owns one file descriptor and closes it on destruction. Not thread-safe.
class Socket {
public:
  Socket() = default;
  explicit Socket(int Fd) : Fd(Fd) {}
  Socket(Socket &&Other) noexcept : Fd(std::exchange(Other.Fd, -1)) {}
  Socket &operator=(Socket &&Other) noexcept {
    std::swap(this->Fd, Other.Fd);
    return *this;
  }
  ~Socket();

  int fd() const { return this->Fd; }
  bool isOpen() const { return this->Fd >= 0; }

private:
  int Fd = -1;
};

/// Opens a TCP socket that listens on an address. Errors: System.
base::Result<Socket> listenTcp(base::Address BindAddress);
/// Accepts the next pending connection; none where there is none.
std::optional<Socket> acceptTcp(const Socket &Listener);
/// Opens a UDP socket bound to an address. Errors: System.
base::Result<Socket> bindUdp(base::Address BindAddress);
/// The address that the socket is bound to; port 0 where it isn't bound.
base::Address localAddress(const Socket &Bound);

/// Convert to and from the socket API's address structure.
sockaddr_in toSockaddr(base::Address Value);
base::Address fromSockaddr(const sockaddr_in &Value);

/// The timeout for poll(2) until Due: whole milliseconds, rounded up and
/// clamped to the range from 0 to MaxWait.
int pollTimeout(base::TimePoint Now, base::TimePoint Due,
                std::chrono::milliseconds MaxWait);

} // namespace bilberry::standin

#endif
