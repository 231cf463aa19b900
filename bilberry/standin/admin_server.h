// The HTTP endpoint by which a script steers and reads a stand-in. Handlers
// run on the endpoint's own threads; each stand-in guards what they touch.

#ifndef BILBERRY_STANDIN_ADMIN_SERVER_H
#define BILBERRY_STANDIN_ADMIN_SERVER_H

#include "bilberry/base/address.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

namespace httplib {
class Server;
} // namespace httplib

namespace bilberry::standin {

/// What a query's parameters give.
using QueryValue =
    std::function<std::optional<std::string>(const std::string &)>;

/// Set up by one thread; then serves until it is destroyed.
class AdminServer {
public:
  AdminServer();
  /// Stops serving and waits for the thread.
  ~AdminServer();
  AdminServer(const AdminServer &) = delete;
  AdminServer &operator=(const AdminServer &) = delete;

  /// Answers GET Path with the JSON that Handler gives. Before start() only.
  void get(const std::string &Path,
           std::function<nlohmann::json(const QueryValue &)> Handler);
  /// Answers POST Path; Handler is given the body, null where it is empty.
  /// False gives status 400, as does a body that is no JSON. Before start()
  /// only.
  void post(const std::string &Path,
            std::function<bool(const nlohmann::json &)> Handler);

  /// Begins to serve on a thread of its own. Errors: System.
  base::Result<void> start(base::Address Where);

private:
  std::unique_ptr<httplib::Server> Server;
  std::thread Thread;
};

} // namespace bilberry::standin

#endif
