#include "bilberry/links/upstream_link.h"

#include "bilberry/links/link_health.h"
#include "bilberry/runtime/poll_scheduler.h"

#include <array>
#include <boost/fiber/operations.hpp>
#include <cerrno>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace bilberry::links {

static constexpr size_t MaxQueueBytes = 8 * 1024 * 1024;
static constexpr size_t ReadBytes = 64 * 1024;
static constexpr std::chrono::milliseconds RedialInterval(100);

UpstreamLink::UpstreamLink(const base::SteadyClock &Clock,
                           const base::Address &To, UpstreamEvents Events)
    : Clock(Clock), To(To), Events(std::move(Events)) {}

UpstreamLink::~UpstreamLink() {
  if (this->Fd >= 0) {
    close(this->Fd);
  }
}

// A connected socket, or -1.
int UpstreamLink::dial() {
  int Connection =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Connection < 0) {
    return -1;
  }
  int On = 1;
  setsockopt(Connection, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  sockaddr_in Raw = {};
  Raw.sin_family = AF_INET;
  Raw.sin_addr.s_addr = htonl(this->To.Ip);
  Raw.sin_port = htons(this->To.Port);
  if (connect(Connection, reinterpret_cast<sockaddr *>(&Raw), sizeof(Raw)) ==
      0) {
    return Connection;
  }
  if (errno == EINPROGRESS) {
    runtime::PollScheduler::waitWritable(Connection);
    int Error = 0;
    socklen_t Size = sizeof(Error);
    getsockopt(Connection, SOL_SOCKET, SO_ERROR, &Error, &Size);
    if (Error == 0) {
      return Connection;
    }
    runtime::PollScheduler::release(Connection);
  }
  close(Connection);
  return -1;
}

void UpstreamLink::run(const runtime::StopFlag &Stop) {
  while (!Stop.isRequested()) {
    int Connection = this->dial();
    if (Connection < 0) {
      boost::this_fiber::sleep_for(RedialInterval);
      continue;
    }
    base::TimePoint Now = this->Clock.now();
    {
      std::lock_guard Lock(this->Mutex);
      this->Fd = Connection;
      this->Queue.clear();
      this->LastBytes = Now;
      this->LastQuery = Now;
    }
    this->Events.OnConnected(Now);
    this->readUntilLost(Connection, Stop);
    runtime::PollScheduler::release(Connection);
    this->drop();
    close(Connection);
    this->Events.OnLost(this->Clock.now());
  }
}

void UpstreamLink::readUntilLost(int Connection,
                                 const runtime::StopFlag &Stop) {
  wire::UpstreamReader<wire::FromUpstream> Reader;
  std::vector<char> Buffer(ReadBytes);
  runtime::StopWaker Waker(Connection, Stop);
  while (!Stop.isRequested()) {
    ssize_t Taken = recv(Connection, Buffer.data(), Buffer.size(), 0);
    if (Taken < 0 && (errno == EAGAIN || errno == EINTR)) {
      runtime::PollScheduler::waitReadable(Connection);
      continue;
    }
    if (Taken <= 0) {
      return;
    }
    base::TimePoint Now = this->Clock.now();
    {
      std::lock_guard Lock(this->Mutex);
      this->LastBytes = Now;
    }
    std::vector<wire::FromUpstream> Messages;
    if (!Reader.feed({Buffer.data(), static_cast<size_t>(Taken)}, Messages)) {
      return;
    }
    for (const wire::FromUpstream &Message : Messages) {
      this->Events.OnMessage(Now, Message);
    }
    boost::this_fiber::yield();
  }
}

void UpstreamLink::drop() {
  std::lock_guard Lock(this->Mutex);
  this->Fd = -1;
  this->Queue.clear();
}

// Precondition: Mutex is held and the link is connected.
void UpstreamLink::flush() {
  while (!this->Queue.empty()) {
    ssize_t Sent = ::send(this->Fd, this->Queue.data(), this->Queue.size(),
                          MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent <= 0) {
      return;
    }
    this->Queue.erase(0, static_cast<size_t>(Sent));
  }
}

bool UpstreamLink::send(const wire::ToUpstream &Message) {
  std::string Bytes = wire::upstreamBytes(Message);
  std::lock_guard Lock(this->Mutex);
  if (this->Fd < 0 || this->Queue.size() + Bytes.size() > MaxQueueBytes) {
    return false;
  }
  this->Queue += Bytes;
  this->flush();
  return true;
}

bool UpstreamLink::isConnected() const {
  std::lock_guard Lock(this->Mutex);
  return this->Fd >= 0;
}

void UpstreamLink::tick(base::TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  if (this->Fd < 0) {
    return;
  }
  if (Now - this->LastBytes >= SilentAfter) {
    // Ends readUntilLost, which closes the socket and dials a new one.
    shutdown(this->Fd, SHUT_RDWR);
    return;
  }
  if (Now - this->LastQuery >= HeartbeatInterval) {
    this->LastQuery = Now;
    this->Queue +=
        wire::upstreamBytes(wire::ToUpstream(wire::UpstreamHealthQuery{0}));
  }
  this->flush();
}

} // namespace bilberry::links
