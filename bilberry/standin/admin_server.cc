#include "bilberry/standin/admin_server.h"

#include <httplib.h>

namespace bilberry::standin {

static constexpr int BadRequest = 400;
static constexpr const char *JsonType = "application/json";

static std::string ipText(base::Address ListenAddress) {
  std::string Text = base::addressText(ListenAddress);
  return Text.substr(0, Text.find(':'));
}

AdminServer::AdminServer() : Server(std::make_unique<httplib::Server>()) {}

AdminServer::~AdminServer() {
  this->Server->stop();
  if (this->Thread.joinable()) {
    this->Thread.join();
  }
}

void AdminServer::get(
    const std::string &Path,
    std::function<nlohmann::json(const QueryValue &)> Handler) {
  this->Server->Get(Path, [Handler = std::move(Handler)](
                              const httplib::Request &Request,
                              httplib::Response &Response) {
    auto Value = [&](const std::string &Name) -> std::optional<std::string> {
      if (!Request.has_param(Name)) {
        return std::nullopt;
      }
      return Request.get_param_value(Name);
    };
    Response.set_content(Handler(Value).dump() + "\n", JsonType);
  });
}

void AdminServer::post(const std::string &Path,
                       std::function<bool(const nlohmann::json &)> Handler) {
  this->Server->Post(
      Path, [Handler = std::move(Handler)](const httplib::Request &Request,
                                           httplib::Response &Response) {
        nlohmann::json Body;
        if (!Request.body.empty()) {
          Body = nlohmann::json::parse(Request.body, nullptr, false);
        }
        bool IsDone = !Body.is_discarded() && Handler(Body);
        Response.status = IsDone ? Response.status : BadRequest;
        Response.set_content(IsDone ? "{}\n" : "{\"error\":\"bad request\"}\n",
                             JsonType);
      });
}

base::Result<void> AdminServer::start(base::Address ListenAddress) {
  if (!this->Server->bind_to_port(ipText(ListenAddress), ListenAddress.Port)) {
    return base::Error{base::ErrorCode::System,
                       "cannot serve HTTP on " +
                           base::addressText(ListenAddress)};
  }
  this->Thread = std::thread([this] { this->Server->listen_after_bind(); });
  // stop() has no effect on a server that isn't running yet, so wait for it.
  while (!this->Server->is_running()) {
    std::this_thread::yield();
  }
  return boost::outcome_v2::success();
}

} // namespace bilberry::standin
