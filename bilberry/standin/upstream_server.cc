#include "bilberry/standin/upstream_server.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace bilberry::standin {

static constexpr std::chrono::milliseconds MaxPollWait{20};
static constexpr size_t ReadBytes = 64 * 1024;
// The connection of an agent that doesn't read is closed beyond this.
static constexpr size_t MaxUnsentBytes = 64 * 1024 * 1024;

UpstreamServer::UpstreamServer(Socket Listener, UpstreamConfig Config)
    : Listener(std::move(Listener)), Model(std::move(Config)) {}

void UpstreamServer::runOnce(const base::SteadyClock &Clock) {
  std::vector<pollfd> PollSet;
  int Timeout = 0;
  {
    std::lock_guard Lock(this->Mutex);
    base::TimePoint Now = Clock.now();
    PollSet = this->pollSet();
    Timeout = pollTimeout(
        Now, this->Model.nextDue().value_or(Now + MaxPollWait), MaxPollWait);
  }
  (void)::poll(PollSet.data(), PollSet.size(), Timeout);

  std::lock_guard Lock(this->Mutex);
  base::TimePoint Now = Clock.now();
  UpstreamOutputs Out;
  this->acceptAll();
  for (auto &[Link, Agent] : this->Agents) {
    this->readFrom(Now, Link, Agent, Out);
  }
  this->Model.onTick(Now, Out);
  this->queueMessages(Out);
  for (auto &[Link, Agent] : this->Agents) {
    this->flush(Agent);
  }
  this->removeClosedConnections();
}

void UpstreamServer::withModel(
    const std::function<void(UpstreamModel &, UpstreamOutputs &)> &Callback) {
  std::lock_guard Lock(this->Mutex);
  UpstreamOutputs Out;
  Callback(this->Model, Out);
  this->queueMessages(Out);
}

bool UpstreamServer::isFlushed() {
  std::lock_guard Lock(this->Mutex);
  return std::all_of(
      this->Agents.begin(), this->Agents.end(),
      [](const auto &Entry) { return Entry.second.Unsent.empty(); });
}

std::vector<pollfd> UpstreamServer::pollSet() const {
  std::vector<pollfd> PollSet = {{this->Listener.fd(), POLLIN, 0}};
  for (const auto &[Link, Agent] : this->Agents) {
    short Events = Agent.Unsent.empty() ? POLLIN : POLLIN | POLLOUT;
    PollSet.push_back({Agent.Stream.fd(), Events, 0});
  }
  return PollSet;
}

void UpstreamServer::acceptAll() {
  while (std::optional<Socket> Stream = acceptTcp(this->Listener)) {
    LinkId Link = ++this->LastLink;
    this->Agents[Link].Stream = std::move(*Stream);
    this->Model.onLinkOpened(Link);
  }
}

void UpstreamServer::readFrom(base::TimePoint Now, LinkId Link,
                              Connection &Agent, UpstreamOutputs &Out) {
  std::array<char, ReadBytes> Bytes;
  while (!Agent.IsClosed) {
    ssize_t Count = ::recv(Agent.Stream.fd(), Bytes.data(), Bytes.size(), 0);
    if (Count < 0) {
      Agent.IsClosed = errno != EAGAIN && errno != EINTR;
      return;
    }
    std::vector<wire::ToUpstream> Messages;
    auto Length = static_cast<size_t>(Count);
    bool IsRead =
        static_cast<bool>(Agent.Reader.feed({Bytes.data(), Length}, Messages));
    for (const wire::ToUpstream &Message : Messages) {
      this->Model.onMessage(Now, Link, Message, Out);
    }
    Agent.IsClosed = Count == 0 || !IsRead;
  }
}

void UpstreamServer::queueMessages(const UpstreamOutputs &Out) {
  for (const UpstreamOutput &Item : Out) {
    auto Agent = this->Agents.find(Item.Link);
    if (Agent != this->Agents.end()) {
      Agent->second.Unsent += wire::upstreamBytes(Item.Message);
    }
  }
}

void UpstreamServer::flush(Connection &Agent) {
  while (!Agent.IsClosed && !Agent.Unsent.empty()) {
    ssize_t Count = ::send(Agent.Stream.fd(), Agent.Unsent.data(),
                           Agent.Unsent.size(), MSG_NOSIGNAL);
    if (Count < 0) {
      Agent.IsClosed = errno != EAGAIN && errno != EINTR;
      break;
    }
    Agent.Unsent.erase(0, static_cast<size_t>(Count));
  }
  Agent.IsClosed = Agent.IsClosed || Agent.Unsent.size() > MaxUnsentBytes;
}

void UpstreamServer::removeClosedConnections() {
  for (auto It = this->Agents.begin(); It != this->Agents.end();) {
    if (!It->second.IsClosed) {
      ++It;
      continue;
    }
    this->Model.onLinkLost(It->first);
    It = this->Agents.erase(It);
  }
}

} // namespace bilberry::standin
