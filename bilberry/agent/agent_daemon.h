// The agent process: runs an AgentCore with its sockets, threads and store
// client.

#ifndef BILBERRY_AGENT_AGENT_DAEMON_H
#define BILBERRY_AGENT_AGENT_DAEMON_H

#include "bilberry/base/error.h"
#include "bilberry/settings/process_settings.h"

#include <memory>
#include <string>

namespace bilberry::agent {

/// The work that must end before an agent can leave without interrupting any.
struct RemainingWork {
  size_t Flows = 0;
  size_t Requests = 0;
  size_t Shards = 0;

  bool none() const {
    return this->Flows == 0 && this->Requests == 0 && this->Shards == 0;
  }
  /// For log lines, such as "2 flows, 0 requests, 1 shards".
  std::string text() const;
};

/// Not thread-safe: call from one thread only.
class AgentDaemon {
public:
  explicit AgentDaemon(const settings::ProcessSettings &Settings);
  /// Stops at once, and interrupts any remaining work.
  ~AgentDaemon();
  AgentDaemon(const AgentDaemon &) = delete;
  AgentDaemon &operator=(const AgentDaemon &) = delete;

  /// Opens the sockets and starts the threads, which fetch the previous run's
  /// snapshot from peers and then serve. Errors: System, with the address.
  base::Result<void> start();

  /// Stops accepting new work.
  void drain();
  /// The work still in progress.
  RemainingWork remaining() const;

  /// Sends a snapshot of this agent's state to peers, for its next run. Blocks
  /// until one confirms or a timeout passes. Call after the requests in
  /// progress have ended. Returns true if at least one peer confirmed that it
  /// holds the snapshot; false also if there is no peer.
  bool handOver();

  /// Withdraws this agent's announcement from the store.
  void leave();

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace bilberry::agent

#endif
