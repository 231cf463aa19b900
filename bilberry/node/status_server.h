// The HTTP pages of a process: /metrics for Prometheus and /status as JSON.

#ifndef BILBERRY_NODE_STATUS_SERVER_H
#define BILBERRY_NODE_STATUS_SERVER_H

#include "bilberry/base/address.h"
#include "bilberry/base/error.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bilberry::node {

/// Builds a page. Called in the server's threads, so it must be thread-safe.
using PageBuilder = std::function<std::string()>;

struct Page {
  std::string Path;
  std::string ContentType;
  PageBuilder Build;
};

/// Not thread-safe itself: built, started and destroyed by one thread.
class StatusServer {
public:
  StatusServer(PageBuilder Metrics, PageBuilder Status);
  /// Serves Pages, each with its content type by path.
  explicit StatusServer(std::vector<Page> Pages);
  /// Stops serving.
  ~StatusServer();
  StatusServer(const StatusServer &) = delete;
  StatusServer &operator=(const StatusServer &) = delete;

  /// Begins to serve. Errors: System where the address can't be bound.
  base::Result<void> start(const base::Address &At);

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace bilberry::node

#endif
