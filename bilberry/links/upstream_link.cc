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

static constexpr size_t MaxSendQueueBytes = 8 * 1024 * 1024;
static constexpr size_t ReadBufferBytes = 64 * 1024;
static constexpr std::chrono::milliseconds RedialInterval(100);

UpstreamLink::UpstreamLink(const base::SteadyClock &Clock,
                           const base::Address &UpstreamAddress,
                           UpstreamEvents Events)
    : Clock(Clock), UpstreamAddress(UpstreamAddress),
      Events(std::move(Events)) {}

UpstreamLink::~UpstreamLink() {
  if (this->Fd >= 0) {
    close(this->Fd);
  }
}

// Connects to the upstream. Returns the socket, or -1 on failure.
int UpstreamLink::dial() {
  int ConnectionFd =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (ConnectionFd < 0) {
    return -1;
  }
  int Enabled = 1;
  setsockopt(ConnectionFd, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
  sockaddr_in SocketAddress = {};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_addr.s_addr = htonl(this->UpstreamAddress.Ip);
  SocketAddress.sin_port = htons(this->UpstreamAddress.Port);
  if (connect(ConnectionFd, reinterpret_cast<sockaddr *>(&SocketAddress),
              sizeof(SocketAddress)) == 0) {
    return ConnectionFd;
  }
  if (errno == EINPROGRESS) {
    runtime::PollScheduler::waitWritable(ConnectionFd);
    int Error = 0;
    socklen_t Size = sizeof(Error);
    getsockopt(ConnectionFd, SOL_SOCKET, SO_ERROR, &Error, &Size);
    if (Error == 0) {
      return ConnectionFd;
    }
    runtime::PollScheduler::release(ConnectionFd);
  }
  close(ConnectionFd);
  return -1;
}

void UpstreamLink::run(const runtime::StopFlag &Stop) {
  while (!Stop.isRequested()) {
    int ConnectionFd = this->dial();
    if (ConnectionFd < 0) {
      boost::this_fiber::sleep_for(RedialInterval);
      continue;
    }
    base::TimePoint Now = this->Clock.now();
    {
      std::lock_guard Lock(this->Mutex);
      this->Fd = ConnectionFd;
      this->SendQueue.clear();
      this->LastReceived = Now;
      this->LastHealthQuery = Now;
    }
    this->Events.OnConnected(Now);
    this->readUntilDisconnected(ConnectionFd, Stop);
    runtime::PollScheduler::release(ConnectionFd);
    this->markDisconnected();
    close(ConnectionFd);
    this->Events.OnDisconnected(this->Clock.now());
  }
}

void UpstreamLink::readUntilDisconnected(int ConnectionFd,
                                         const runtime::StopFlag &Stop) {
  wire::UpstreamReader<wire::FromUpstream> Reader;
  std::vector<char> Buffer(ReadBufferBytes);
  runtime::StopWaker Waker(ConnectionFd, Stop);
  while (!Stop.isRequested()) {
    ssize_t ReceivedBytes = recv(ConnectionFd, Buffer.data(), Buffer.size(), 0);
    if (ReceivedBytes < 0 && (errno == EAGAIN || errno == EINTR)) {
      runtime::PollScheduler::waitReadable(ConnectionFd);
      continue;
    }
    if (ReceivedBytes <= 0) {
      return;
    }
    base::TimePoint Now = this->Clock.now();
    {
      std::lock_guard Lock(this->Mutex);
      this->LastReceived = Now;
    }
    std::vector<wire::FromUpstream> Messages;
    if (!Reader.feed({Buffer.data(), static_cast<size_t>(ReceivedBytes)},
                     Messages)) {
      return;
    }
    for (const wire::FromUpstream &Message : Messages) {
      this->Events.OnMessage(Now, Message);
    }
    boost::this_fiber::yield();
  }
}

void UpstreamLink::markDisconnected() {
  std::lock_guard Lock(this->Mutex);
  this->Fd = -1;
  this->SendQueue.clear();
}

// Sends as much of the queue as the socket accepts. Precondition: Mutex is held
// and the link is connected.
void UpstreamLink::flush() {
  while (!this->SendQueue.empty()) {
    ssize_t Sent = ::send(this->Fd, this->SendQueue.data(),
                          this->SendQueue.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent <= 0) {
      return;
    }
    this->SendQueue.erase(0, static_cast<size_t>(Sent));
  }
}

bool UpstreamLink::send(const wire::ToUpstream &Message) {
  std::string Bytes = wire::upstreamBytes(Message);
  std::lock_guard Lock(this->Mutex);
  if (this->Fd < 0 ||
      this->SendQueue.size() + Bytes.size() > MaxSendQueueBytes) {
    return false;
  }
  this->SendQueue += Bytes;
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
  if (Now - this->LastReceived >= ReplyTimeout) {
    // Makes readUntilDisconnected() return; run() then closes the socket and
    // dials a new one.
    shutdown(this->Fd, SHUT_RDWR);
    return;
  }
  if (Now - this->LastHealthQuery >= HeartbeatInterval) {
    this->LastHealthQuery = Now;
    this->SendQueue +=
        wire::upstreamBytes(wire::ToUpstream(wire::UpstreamHealthQuery{0}));
  }
  this->flush();
}

} // namespace bilberry::links
