// Sockets for the stand-ins: opened without blocking, closed with their owner.

#ifndef BILBERRY_STANDIN_SOCKET_H
#define BILBERRY_STANDIN_SOCKET_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"

#include <netinet/in.h>
#include <optional>
#include <utility>

namespace bilberry::standin {

/// Owns one file descriptor. Not safe for two threads at once.
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

/// Opens a TCP socket that listens there. Errors: System.
base::Result<Socket> listenTcp(base::Address Where);
/// Takes the next connection that waits, or none.
std::optional<Socket> acceptTcp(const Socket &Listener);
/// Opens a UDP socket bound there. Errors: System.
base::Result<Socket> bindUdp(base::Address Where);
/// Where the socket is bound; port 0 where it isn't.
base::Address localAddress(const Socket &Bound);

/// To and from the system's form.
sockaddr_in systemAddress(base::Address Value);
base::Address addressOf(const sockaddr_in &Value);

/// The time until Due for poll(2): whole milliseconds, rounded up, from 0 to
/// Longest.
int pollTimeout(base::TimePoint Now, base::TimePoint Due,
                std::chrono::milliseconds Longest);

} // namespace bilberry::standin

#endif
