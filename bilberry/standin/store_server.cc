#include "bilberry/standin/store_server.h"

#include "bilberry/base/ranked_mutex.h"
#include "bilberry/standin/etcd_gateway.h"
#include "bilberry/store/etcd_json.h"

#include <array>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <utility>

namespace bilberry::standin {

using base::ErrorCode;
using nlohmann::json;
using store::field;
using store::GrpcCode;
using store::integerField;
using store::textField;

namespace {

constexpr char JsonType[] = "application/json";
constexpr char WatchPath[] = "/v3/watch";
constexpr char WatchName[] = "watch";
// How often each watch's thread checks for expired leases.
constexpr base::Duration WatchPollInterval = std::chrono::milliseconds(50);

// The upper bound for delays in milliseconds, response counts and lease ids in
// a fault request.
constexpr int64_t MaxFaultNumber = UINT32_MAX;

struct Route {
  const char *Path;
  const char *Name;
  bool IsWrite;
  EtcdGateway::Call Handler;
};

constexpr std::array<Route, 7> Routes = {{
    {"/v3/kv/range", "range", false, &EtcdGateway::range},
    {"/v3/kv/put", "put", true, &EtcdGateway::put},
    {"/v3/kv/txn", "txn", true, &EtcdGateway::txn},
    {"/v3/kv/deleterange", "deleterange", true, &EtcdGateway::deleteRange},
    {"/v3/lease/grant", "lease_grant", true, &EtcdGateway::grantLease},
    {"/v3/lease/keepalive", "lease_keepalive", true, &EtcdGateway::keepAlive},
    {"/v3/lease/revoke", "lease_revoke", true, &EtcdGateway::revokeLease},
}};

void sendError(httplib::Response &Response, int Status, GrpcCode Code,
               const std::string &Message) {
  json Body = {{"error", Message},
               {"message", Message},
               {"code", static_cast<int64_t>(Code)}};
  Response.status = Status;
  Response.set_content(Body.dump(), JsonType);
}

void sendError(httplib::Response &Response, const base::Error &Cause) {
  if (Cause.Code == ErrorCode::LeaseExpired) {
    sendError(Response, 404, GrpcCode::NotFound, Cause.Message);
    return;
  }
  sendError(Response, 400, GrpcCode::InvalidArgument, Cause.Message);
}

void sendNoLeaderError(httplib::Response &Response) {
  sendError(Response, 503, GrpcCode::Unavailable, store::NoLeaderMessage);
}

// Announces a body but sends none of it, which closes the connection.
void dropResponse(httplib::Response &Response) {
  Response.set_content_provider(
      1, JsonType, [](size_t, size_t, httplib::DataSink &) { return false; });
}

// httplib's listen backlog holds five connections; when a whole fleet connects
// at once, the connections beyond it would wait for a SYN retransmission.
class HttpServer : public httplib::Server {
public:
  void raiseListenBacklog() { ::listen(this->svr_sock_, SOMAXCONN); }
};

bool sendLine(httplib::DataSink &Sink, const json &Message) {
  std::string Line = Message.dump() + "\n";
  return Sink.write(Line.data(), Line.size());
}

} // namespace

class StoreServer::Impl {
public:
  Impl(size_t Threads, base::Duration ProgressPeriod);

  base::Result<base::Address> start(base::Address ListenAddress);
  void stop();
  void setFaults(const StoreFaults &Value);
  template <typename Change> void updateState(Change &&Apply);

private:
  enum class FaultDecision { Pass, Refuse, Drop };

  struct WatchSession {
    OpenWatch Watch;
    uint64_t InitialSilenceCount = 0;
    bool IsCreatedSent = false;
    base::TimePoint LastSent;
  };

  void serveCall(const Route &Item, const httplib::Request &Request,
                 httplib::Response &Response);
  void serveWatch(const httplib::Request &Request, httplib::Response &Response);
  bool serveWatchOnce(WatchSession &Session, httplib::DataSink &Sink);
  std::vector<json> watchMessages(WatchSession &Session);
  void serveFault(const httplib::Request &Request, httplib::Response &Response);
  void serveCounts(httplib::Response &Response);
  base::Result<void> applyFault(const json &Request);
  bool admit(std::unique_lock<base::RankedMutex> &Lock,
             httplib::Response &Response);
  FaultDecision applyCallFaults(std::unique_lock<base::RankedMutex> &Lock);
  FaultDecision holdHangingCall(std::unique_lock<base::RankedMutex> &Lock);

  const size_t MaxHangingCalls;
  const base::Duration ProgressPeriod;
  base::SteadyClock Clock;
  HttpServer Http;
  std::thread Listener;

  base::RankedMutex Mutex{base::LockRank::Adapter};
  std::condition_variable_any StateChanged;
  EtcdGateway Gateway;
  StoreFaultState Faults;
  std::map<std::string, uint64_t> Counts;
  size_t HangingCalls = 0;
  size_t OpenWatches = 0;
  bool IsStopping = false;
};

StoreServer::Impl::Impl(size_t Threads, base::Duration ProgressPeriod)
    : MaxHangingCalls(Threads / 2), ProgressPeriod(ProgressPeriod) {
  this->Http.set_tcp_nodelay(true);
  this->Http.new_task_queue = [Threads] {
    return new httplib::ThreadPool(Threads); // The server takes ownership.
  };
  for (const Route &Item : Routes) {
    this->Http.Post(Item.Path, [this, &Item](const httplib::Request &Request,
                                             httplib::Response &Response) {
      this->serveCall(Item, Request, Response);
    });
  }
  this->Http.Post(WatchPath, [this](const httplib::Request &Request,
                                    httplib::Response &Response) {
    this->serveWatch(Request, Response);
  });
  this->Http.Post("/standin/fault", [this](const httplib::Request &Request,
                                           httplib::Response &Response) {
    this->serveFault(Request, Response);
  });
  this->Http.Get("/standin/counts",
                 [this](const httplib::Request &, httplib::Response &Response) {
                   this->serveCounts(Response);
                 });
}

base::Result<base::Address>
StoreServer::Impl::start(base::Address ListenAddress) {
  std::string Host = base::hostText(ListenAddress);
  int Port = ListenAddress.Port;
  if (Port == 0) {
    Port = this->Http.bind_to_any_port(Host);
  } else if (!this->Http.bind_to_port(Host, Port)) {
    Port = -1;
  }
  if (Port < 0) {
    return base::Error{ErrorCode::System,
                       "cannot listen on " + base::addressText(ListenAddress)};
  }
  this->Http.raiseListenBacklog();
  this->Listener = std::thread([this] { this->Http.listen_after_bind(); });
  return base::Address{ListenAddress.Ip, static_cast<uint16_t>(Port)};
}

void StoreServer::Impl::stop() {
  if (!this->Listener.joinable()) {
    return;
  }
  {
    std::lock_guard Lock(this->Mutex);
    this->IsStopping = true;
  }
  this->StateChanged.notify_all();
  // stop() has no effect on a server that isn't running yet, so wait for it.
  while (!this->Http.is_running()) {
    std::this_thread::yield();
  }
  this->Http.stop();
  this->Listener.join();
}

void StoreServer::Impl::setFaults(const StoreFaults &Value) {
  {
    std::lock_guard Lock(this->Mutex);
    this->Faults.set(Value);
  }
  this->StateChanged.notify_all();
}

template <typename Change> void StoreServer::Impl::updateState(Change &&Apply) {
  {
    std::lock_guard Lock(this->Mutex);
    Apply(this->Gateway.state());
  }
  this->StateChanged.notify_all();
}

StoreServer::Impl::FaultDecision
StoreServer::Impl::applyCallFaults(std::unique_lock<base::RankedMutex> &Lock) {
  if (this->Faults.get().Delay > base::Duration::zero()) {
    this->StateChanged.wait_for(Lock, this->Faults.get().Delay,
                                [this] { return this->IsStopping; });
  }
  if (this->Faults.get().Mode == Availability::Refusing || this->IsStopping) {
    return FaultDecision::Refuse;
  }
  if (this->Faults.get().Mode == Availability::Hanging) {
    return this->holdHangingCall(Lock);
  }
  return FaultDecision::Pass;
}

StoreServer::Impl::FaultDecision
StoreServer::Impl::holdHangingCall(std::unique_lock<base::RankedMutex> &Lock) {
  if (this->HangingCalls >= this->MaxHangingCalls) {
    return FaultDecision::Drop;
  }
  ++this->HangingCalls;
  bool HasHangEnded =
      this->StateChanged.wait_for(Lock, MaxHangingCallTime, [this] {
        return this->IsStopping ||
               this->Faults.get().Mode != Availability::Hanging;
      });
  --this->HangingCalls;
  return HasHangEnded && !this->IsStopping ? FaultDecision::Pass
                                           : FaultDecision::Drop;
}

// Returns false where a fault prevents the call; the response is then set.
bool StoreServer::Impl::admit(std::unique_lock<base::RankedMutex> &Lock,
                              httplib::Response &Response) {
  FaultDecision Decision = this->applyCallFaults(Lock);
  if (Decision == FaultDecision::Refuse) {
    sendNoLeaderError(Response);
  }
  if (Decision == FaultDecision::Drop) {
    dropResponse(Response);
  }
  return Decision == FaultDecision::Pass;
}

void StoreServer::Impl::serveCall(const Route &Item,
                                  const httplib::Request &Request,
                                  httplib::Response &Response) {
  json Body = store::parseObject(Request.body);
  std::unique_lock Lock(this->Mutex);
  ++this->Counts[Item.Name];
  if (!this->admit(Lock, Response)) {
    return;
  }
  base::TimePoint Now = this->Clock.now();
  this->Gateway.state().expireLeases(Now);
  base::Result<json> Answer = (this->Gateway.*Item.Handler)(Now, Body);
  bool IsResponseDropped =
      Item.IsWrite && this->Faults.consumeDroppedResponse();
  Lock.unlock();
  this->StateChanged.notify_all();
  if (IsResponseDropped) {
    dropResponse(Response);
  } else if (Answer) {
    Response.set_content(Answer.value().dump(), JsonType);
  } else {
    sendError(Response, Answer.error());
  }
}

void StoreServer::Impl::serveWatch(const httplib::Request &Request,
                                   httplib::Response &Response) {
  json Body = store::parseObject(Request.body);
  std::unique_lock Lock(this->Mutex);
  ++this->Counts[WatchName];
  if (!this->admit(Lock, Response)) {
    return;
  }
  base::Result<OpenWatch> Watch = this->Gateway.openWatch(Body);
  if (!Watch) {
    sendError(Response, Watch.error());
    return;
  }
  ++this->OpenWatches;
  auto Session = std::make_shared<WatchSession>();
  Session->Watch = std::move(Watch).value();
  Session->InitialSilenceCount = this->Faults.watchSilenceCount();
  Session->LastSent = this->Clock.now();
  Response.set_chunked_content_provider(
      JsonType,
      [this, Session](size_t, httplib::DataSink &Sink) {
        return this->serveWatchOnce(*Session, Sink);
      },
      [this](bool) {
        std::lock_guard Closing(this->Mutex);
        --this->OpenWatches;
      });
}

// One iteration of a watch's thread: waits for a change or the poll interval
// and sends the messages that are due. Returning false ends the watch.
bool StoreServer::Impl::serveWatchOnce(WatchSession &Session,
                                       httplib::DataSink &Sink) {
  std::vector<json> Messages;
  {
    std::unique_lock Lock(this->Mutex);
    if (Session.IsCreatedSent) {
      this->StateChanged.wait_for(Lock, WatchPollInterval);
    }
    if (this->IsStopping || this->Faults.get().Mode == Availability::Refusing) {
      return false;
    }
    Messages = this->watchMessages(Session);
  }
  for (const json &Message : Messages) {
    if (!sendLine(Sink, Message)) {
      return false;
    }
  }
  return Sink.is_writable();
}

std::vector<json> StoreServer::Impl::watchMessages(WatchSession &Session) {
  base::TimePoint Now = this->Clock.now();
  this->Gateway.state().expireLeases(Now);
  std::vector<json> Messages;
  if (!Session.IsCreatedSent) {
    Session.IsCreatedSent = true;
    Messages.push_back(this->Gateway.watchCreatedMessage());
  }
  if (this->Faults.isSilent(Session.InitialSilenceCount)) {
    return Messages;
  }
  json Changes = this->Gateway.watchChangesMessage(Session.Watch);
  if (!Changes.is_null()) {
    Messages.push_back(std::move(Changes));
  } else if (Now - Session.LastSent >= this->ProgressPeriod) {
    Messages.push_back(this->Gateway.watchProgressMessage());
  }
  if (!Messages.empty()) {
    Session.LastSent = Now;
  }
  return Messages;
}

static base::Error invalidFaultValue(const std::string &Name) {
  return {ErrorCode::Malformed, "invalid value for '" + Name + "'"};
}

static base::Result<Availability> parseAvailability(const std::string &Text) {
  if (Text == "no") {
    return Availability::Up;
  }
  if (Text == "refuse") {
    return Availability::Refusing;
  }
  if (Text == "hang") {
    return Availability::Hanging;
  }
  return invalidFaultValue("down");
}

// Applies one field of a fault request to the faults or the leases.
static base::Result<void> applyField(const std::string &Name,
                                     const json &Request, StoreFaults &Faults,
                                     KeyValueState &State) {
  std::string Text = textField(Request, Name.c_str());
  base::Result<int64_t> Number = integerField(Request, Name.c_str());
  bool IsCount =
      Number && Number.value() >= 0 && Number.value() <= MaxFaultNumber;
  bool IsFlag = field(Request, Name.c_str()).is_boolean();
  bool Flag = field(Request, Name.c_str()) == json(true);
  if (Name == "down") {
    base::Result<Availability> Mode = parseAvailability(Text);
    if (!Mode) {
      return Mode.error();
    }
    Faults.Mode = Mode.value();
  } else if (Name == "slow_ms" && IsCount) {
    Faults.Delay = std::chrono::milliseconds(Number.value());
  } else if (Name == "lose_answers" && IsCount) {
    Faults.ResponsesToDrop = static_cast<uint32_t>(Number.value());
  } else if (Name == "watch_silent" && IsFlag) {
    Faults.HasSilentWatches = Flag;
  } else if (Name == "expire_lease" && Text == "all") {
    State.revokeAllLeases();
  } else if (Name == "expire_lease" && IsCount) {
    (void)State.revokeLease(Number.value());
  } else if (Name == "heal" && Flag) {
    Faults = StoreFaults();
  } else {
    return invalidFaultValue(Name);
  }
  return boost::outcome_v2::success();
}

// Applies all fields of the request, or none where one of them is invalid.
base::Result<void> StoreServer::Impl::applyFault(const json &Request) {
  StoreFaults NewFaults = this->Faults.get();
  KeyValueState NewState = this->Gateway.state();
  for (const auto &[Name, Value] : Request.items()) {
    base::Result<void> Applied = applyField(Name, Request, NewFaults, NewState);
    if (!Applied) {
      return Applied;
    }
  }
  this->Faults.set(NewFaults);
  this->Gateway.state() = std::move(NewState);
  return boost::outcome_v2::success();
}

void StoreServer::Impl::serveFault(const httplib::Request &Request,
                                   httplib::Response &Response) {
  json Body = store::parseObject(Request.body);
  if (Body.empty()) {
    sendError(Response, {ErrorCode::Malformed, "request names no fault"});
    return;
  }
  std::unique_lock Lock(this->Mutex);
  base::Result<void> Applied = this->applyFault(Body);
  Lock.unlock();
  this->StateChanged.notify_all();
  if (!Applied) {
    sendError(Response, Applied.error());
    return;
  }
  Response.set_content("{}", JsonType);
}

void StoreServer::Impl::serveCounts(httplib::Response &Response) {
  json Body = {{WatchName, 0}};
  for (const Route &Item : Routes) {
    Body[Item.Name] = 0;
  }
  {
    std::lock_guard Lock(this->Mutex);
    for (const auto &[Name, Count] : this->Counts) {
      Body[Name] = Count;
    }
    Body["open_watches"] = this->OpenWatches;
  }
  Response.set_content(Body.dump(), JsonType);
}

StoreServer::StoreServer(size_t Threads, base::Duration ProgressPeriod)
    : Implementation(std::make_unique<Impl>(Threads, ProgressPeriod)) {}

StoreServer::~StoreServer() { this->stop(); }

base::Result<base::Address> StoreServer::start(base::Address ListenAddress) {
  return this->Implementation->start(ListenAddress);
}

void StoreServer::stop() { this->Implementation->stop(); }

void StoreServer::setFaults(const StoreFaults &Faults) {
  this->Implementation->setFaults(Faults);
}

void StoreServer::expireLease(store::LeaseId Lease) {
  this->Implementation->updateState(
      [Lease](KeyValueState &State) { (void)State.revokeLease(Lease); });
}

void StoreServer::expireAllLeases() {
  this->Implementation->updateState(
      [](KeyValueState &State) { State.revokeAllLeases(); });
}

} // namespace bilberry::standin
