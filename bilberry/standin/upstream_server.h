// An UpstreamModel behind a TCP port: one poll(2) loop that reads agents'
// messages, gives them to the model and sends what the model answers.

#ifndef BILBERRY_STANDIN_UPSTREAM_SERVER_H
#define BILBERRY_STANDIN_UPSTREAM_SERVER_H

#include "bilberry/standin/socket.h"
#include "bilberry/standin/upstream_model.h"

#include <functional>
#include <map>
#include <mutex>
#include <poll.h>

namespace bilberry::standin {

/// One thread calls serve(); use() may be called by any.
class UpstreamServer {
public:
  UpstreamServer(Socket Listener, UpstreamRule Rule);

  /// Serves once: waits for traffic or a timer, for 20 ms at the most.
  void serve(const base::SteadyClock &Clock);
  /// Lets Work read or steer the model, and sends what it answers.
  void use(const std::function<void(UpstreamModel &, UpstreamOutputs &)> &Work);
  /// True where nothing waits to be sent.
  bool isFlushed();

private:
  struct Connection {
    Socket Stream;
    wire::UpstreamReader<wire::ToUpstream> Reader;
    std::string Unsent;
    bool IsLost = false;
  };

  std::vector<pollfd> pollSet() const;
  void acceptAll();
  void readFrom(base::TimePoint Now, LinkId Link, Connection &Agent,
                UpstreamOutputs &Out);
  void queue(const UpstreamOutputs &Out);
  void flush(Connection &Agent);
  void dropLost();

  std::mutex Mutex;
  Socket Listener;
  UpstreamModel Model;
  std::map<LinkId, Connection> Agents;
  LinkId LastLink = 0;
};

} // namespace bilberry::standin

#endif
