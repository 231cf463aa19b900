#include "bilberry/node/status_server.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <thread>
#include <utility>

namespace bilberry::node {

// Requests are rare; more threads would only use memory.
static constexpr size_t ServerThreads = 2;

struct StatusServer::Impl {
  httplib::Server Server;
  std::thread Thread;
};

StatusServer::StatusServer(PageBuilder Metrics, PageBuilder Status)
    : StatusServer(std::vector<Page>{
          {"/metrics", "text/plain; version=0.0.4", std::move(Metrics)},
          {"/status", "application/json", std::move(Status)}}) {}

StatusServer::StatusServer(std::vector<Page> Pages)
    : ServerImpl(std::make_unique<Impl>()) {
  httplib::Server &Server = this->ServerImpl->Server;
  Server.new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
  for (Page &Served : Pages) {
    Server.Get(
        Served.Path,
        [Build = std::move(Served.Build), Type = std::move(Served.ContentType)](
            const httplib::Request &, httplib::Response &HttpResponse) {
          HttpResponse.set_content(Build(), Type.c_str());
        });
  }
}

StatusServer::~StatusServer() {
  this->ServerImpl->Server.stop();
  if (this->ServerImpl->Thread.joinable()) {
    this->ServerImpl->Thread.join();
  }
}

base::Result<void> StatusServer::start(const base::Address &At) {
  in_addr Ip = {htonl(At.Ip)};
  char Host[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Ip, Host, sizeof(Host));
  if (!this->ServerImpl->Server.bind_to_port(Host, At.Port)) {
    return base::Error{base::ErrorCode::System,
                       "cannot serve HTTP on " + base::addressText(At)};
  }
  this->ServerImpl->Thread =
      std::thread([this] { this->ServerImpl->Server.listen_after_bind(); });
  return boost::outcome_v2::success();
}

} // namespace bilberry::node
