// The agent as a process: sockets, threads and the store around an AgentCore.

#ifndef BILBERRY_AGENT_AGENT_DAEMON_H
#define BILBERRY_AGENT_AGENT_DAEMON_H

#include "bilberry/base/error.h"
#include "bilberry/settings/process_settings.h"

#include <memory>
#include <string>

namespace bilberry::agent {

/// What still has to end before an agent may leave without cutting anything.
struct Remaining {
  size_t Flows = 0;
  size_t Requests = 0;
  size_t Shards = 0;

  bool none() const {
    return this->Flows == 0 && this->Requests == 0 && this->Shards == 0;
  }
  /// "2 flows, 0 requests, 1 shards".
  std::string text() const;
};

/// Not thread-safe: one thread owns it.
class AgentDaemon {
public:
  explicit AgentDaemon(const settings::ProcessSettings &Settings);
  /// Stops at once, whatever is left.
  ~AgentDaemon();
  AgentDaemon(const AgentDaemon &) = delete;
  AgentDaemon &operator=(const AgentDaemon &) = delete;

  /// Opens the sockets, fetches what an earlier run has left with peers, and
  /// begins to serve. Errors: System, with the address.
  base::Result<void> start();

  /// Takes no new work from now on.
  void drain();
  /// What is left to finish.
  Remaining remaining() const;

  /// Leaves this agent's state with peers for its next run. Call after the
  /// requests in hand have ended. True where at least one peer keeps it; no
  /// peer to ask counts as failure.
  bool handOver();

  /// Tells the store that this process has left, and stops.
  void leave();

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace bilberry::agent

#endif
