// The HTTP endpoint through which a script controls a stand-in and reads its
// state. Handlers run on the endpoint's own threads; each stand-in protects
// the state that its handlers access.

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

/// Returns the value of a query parameter, or nothing where it is absent.
using QueryValue =
    std::function<std::optional<std::string>(const std::string &)>;

/// An HTTP server with JSON handlers. Configured and started by one thread;
/// it then serves until it is destroyed.
class AdminServer {
public:
  AdminServer();
  /// Stops the server and joins its thread.
  ~AdminServer();
  AdminServer(const AdminServer &) = delete;
  AdminServer &operator=(const AdminServer &) = delete;

  /// Answers GET Path with the JSON that Handler returns. Call before start()
  /// only.
  void get(const std::string &Path,
           std::function<nlohmann::json(const QueryValue &)> Handler);
  /// Passes the body of POST Path to Handler, or null where the body is empty.
  /// Answers with status 400 where Handler returns false or the body isn't
  /// valid JSON. Call before start() only.
  void post(const std::string &Path,
            std::function<bool(const nlohmann::json &)> Handler);

  /// Starts serving on a separate thread. Errors: System.
  base::Result<void> start(base::Address ListenAddress);

private:
  std::unique_ptr<httplib::Server> Server;
  std::thread Thread;
};

} // namespace bilberry::standin

#endif
