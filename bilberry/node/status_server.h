// The HTTP server of a process, such as /metrics for Prometheus and /status as
// JSON.

#ifndef BILBERRY_NODE_STATUS_SERVER_H
#define BILBERRY_NODE_STATUS_SERVER_H

#include "bilberry/base/address.h"
#include "bilberry/base/error.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bilberry::node {

/// Returns the body of a page. Called from the server's threads, so it must be
/// thread-safe.
using PageBuilder = std::function<std::string()>;

/// A page: the path it is served at, its content type and its body.
struct Page {
  std::string Path;
  std::string ContentType;
  PageBuilder Build;
};

/// Not thread-safe: must be created, started and destroyed by the same thread.
class StatusServer {
public:
  StatusServer(PageBuilder Metrics, PageBuilder Status);
  /// Serves the given pages.
  explicit StatusServer(std::vector<Page> Pages);
  /// Stops the server and joins its thread.
  ~StatusServer();
  StatusServer(const StatusServer &) = delete;
  StatusServer &operator=(const StatusServer &) = delete;

  /// Starts the server. Errors: System if the address cannot be bound. Call
  /// once.
  base::Result<void> start(const base::Address &At);

private:
  struct Impl;
  std::unique_ptr<Impl> ServerImpl;
};

} // namespace bilberry::node

#endif
