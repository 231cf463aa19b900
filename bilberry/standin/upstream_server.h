// Serves an UpstreamModel on a TCP port: a poll(2) loop that reads messages
// from agents, passes them to the model and sends the model's replies.

#ifndef BILBERRY_STANDIN_UPSTREAM_SERVER_H
#define BILBERRY_STANDIN_UPSTREAM_SERVER_H

#include "bilberry/standin/socket.h"
#include "bilberry/standin/upstream_model.h"

#include <functional>
#include <map>
#include <mutex>
#include <poll.h>

namespace bilberry::standin {

/// One thread calls runOnce(); the other methods are thread-safe.
class UpstreamServer {
public:
  UpstreamServer(Socket Listener, UpstreamConfig Config);

  /// Runs one iteration of the loop: waits at most 20 ms for traffic or a
  /// timer, then handles both.
  void runOnce(const base::SteadyClock &Clock);
  /// Calls Callback with the model under the lock, and queues the model's
  /// messages for sending.
  void withModel(
      const std::function<void(UpstreamModel &, UpstreamOutputs &)> &Callback);
  /// True where no bytes are queued for sending.
  bool isFlushed();

private:
  struct Connection {
    Socket Stream;
    wire::UpstreamReader<wire::ToUpstream> Reader;
    std::string Unsent;
    bool IsClosed = false;
  };

  std::vector<pollfd> pollSet() const;
  void acceptAll();
  void readFrom(base::TimePoint Now, LinkId Link, Connection &Agent,
                UpstreamOutputs &Out);
  void queueMessages(const UpstreamOutputs &Out);
  void flush(Connection &Agent);
  void removeClosedConnections();

  std::mutex Mutex;
  Socket Listener;
  UpstreamModel Model;
  std::map<LinkId, Connection> Agents;
  LinkId LastLink = 0;
};

} // namespace bilberry::standin

#endif
