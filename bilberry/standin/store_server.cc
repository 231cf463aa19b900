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
// How long a watch sleeps before it looks for expired leases again.
constexpr base::Duration WatchPoll = std::chrono::milliseconds(50);

// Bounds the delays in milliseconds, numbers of answers and lease ids.
constexpr int64_t MaxFaultCount = UINT32_MAX;

struct Route {
  const char *Path;
  const char *Name;
  bool IsWrite;
  EtcdGateway::Call Perform;
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

void answerError(httplib::Response &Response, int Status, GrpcCode Code,
                 const std::string &Message) {
  json Body = {{"error", Message},
               {"message", Message},
               {"code", static_cast<int64_t>(Code)}};
  Response.status = Status;
  Response.set_content(Body.dump(), JsonType);
}

void answerError(httplib::Response &Response, const base::Error &Cause) {
  if (Cause.Code == ErrorCode::LeaseExpired) {
    answerError(Response, 404, GrpcCode::NotFound, Cause.Message);
    return;
  }
  answerError(Response, 400, GrpcCode::InvalidArgument, Cause.Message);
}

void answerNoLeader(httplib::Response &Response) {
  answerError(Response, 503, GrpcCode::Unavailable, store::NoLeaderMessage);
}

// Promises a body, sends none of it, and so closes the connection.
void dropAnswer(httplib::Response &Response) {
  Response.set_content_provider(
      1, JsonType, [](size_t, size_t, httplib::DataSink &) { return false; });
}

// The library's own queue holds five connections; when a whole fleet calls at
// once, those beyond it would wait for a retransmission.
class HttpServer : public httplib::Server {
public:
  void widenQueue() { ::listen(this->svr_sock_, SOMAXCONN); }
};

bool sendLine(httplib::DataSink &Sink, const json &Message) {
  std::string Line = Message.dump() + "\n";
  return Sink.write(Line.data(), Line.size());
}

} // namespace

class StoreServer::Impl {
public:
  Impl(size_t Threads, base::Duration Progress);

  base::Result<base::Address> start(base::Address Listen);
  void stop();
  void setFaults(const StoreFaults &Value);
  template <typename Change> void changeState(Change &&Apply);

private:
  enum class Gate { Pass, Refuse, Drop };

  struct WatchSession {
    OpenWatch Watch;
    uint64_t SilencesSeen = 0;
    bool IsCreated = false;
    base::TimePoint LastSent;
  };

  void serve(const Route &Item, const httplib::Request &Request,
             httplib::Response &Response);
  void serveWatch(const httplib::Request &Request, httplib::Response &Response);
  bool serveWatchRound(WatchSession &Session, httplib::DataSink &Sink);
  std::vector<json> watchMessages(WatchSession &Session);
  void serveFault(const httplib::Request &Request, httplib::Response &Response);
  void serveCounts(httplib::Response &Response);
  base::Result<void> applyFault(const json &Request);
  bool admit(std::unique_lock<base::RankedMutex> &Lock,
             httplib::Response &Response);
  Gate passFaults(std::unique_lock<base::RankedMutex> &Lock);
  Gate hold(std::unique_lock<base::RankedMutex> &Lock);

  const size_t MaxHeldCalls;
  const base::Duration Progress;
  base::SteadyClock Clock;
  HttpServer Http;
  std::thread Listener;

  base::RankedMutex Mutex{base::LockRank::Adapter};
  std::condition_variable_any Changed;
  EtcdGateway Gateway;
  FaultControl Faults;
  std::map<std::string, uint64_t> Counts;
  size_t HeldCalls = 0;
  size_t OpenWatches = 0;
  bool IsStopping = false;
};

StoreServer::Impl::Impl(size_t Threads, base::Duration Progress)
    : MaxHeldCalls(Threads / 2), Progress(Progress) {
  this->Http.set_tcp_nodelay(true);
  this->Http.new_task_queue = [Threads] {
    return new httplib::ThreadPool(Threads); // Owned by the server.
  };
  for (const Route &Item : Routes) {
    this->Http.Post(Item.Path, [this, &Item](const httplib::Request &Request,
                                             httplib::Response &Response) {
      this->serve(Item, Request, Response);
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

base::Result<base::Address> StoreServer::Impl::start(base::Address Listen) {
  std::string Host = base::hostText(Listen);
  int Port = Listen.Port;
  if (Port == 0) {
    Port = this->Http.bind_to_any_port(Host);
  } else if (!this->Http.bind_to_port(Host, Port)) {
    Port = -1;
  }
  if (Port < 0) {
    return base::Error{ErrorCode::System,
                       "can't listen on " + base::addressText(Listen)};
  }
  this->Http.widenQueue();
  this->Listener = std::thread([this] { this->Http.listen_after_bind(); });
  return base::Address{Listen.Ip, static_cast<uint16_t>(Port)};
}

void StoreServer::Impl::stop() {
  if (!this->Listener.joinable()) {
    return;
  }
  {
    std::lock_guard Lock(this->Mutex);
    this->IsStopping = true;
  }
  this->Changed.notify_all();
  // A server that isn't listening yet would miss the stop.
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
  this->Changed.notify_all();
}

template <typename Change> void StoreServer::Impl::changeState(Change &&Apply) {
  {
    std::lock_guard Lock(this->Mutex);
    Apply(this->Gateway.state());
  }
  this->Changed.notify_all();
}

StoreServer::Impl::Gate
StoreServer::Impl::passFaults(std::unique_lock<base::RankedMutex> &Lock) {
  if (this->Faults.get().Delay > base::Duration::zero()) {
    this->Changed.wait_for(Lock, this->Faults.get().Delay,
                           [this] { return this->IsStopping; });
  }
  if (this->Faults.get().Mode == Availability::Refusing || this->IsStopping) {
    return Gate::Refuse;
  }
  if (this->Faults.get().Mode == Availability::Hanging) {
    return this->hold(Lock);
  }
  return Gate::Pass;
}

StoreServer::Impl::Gate
StoreServer::Impl::hold(std::unique_lock<base::RankedMutex> &Lock) {
  if (this->HeldCalls >= this->MaxHeldCalls) {
    return Gate::Drop;
  }
  ++this->HeldCalls;
  bool IsOver = this->Changed.wait_for(Lock, MaxHold, [this] {
    return this->IsStopping || this->Faults.get().Mode != Availability::Hanging;
  });
  --this->HeldCalls;
  return IsOver && !this->IsStopping ? Gate::Pass : Gate::Drop;
}

// False where a fault kept the call out, which then has its answer.
bool StoreServer::Impl::admit(std::unique_lock<base::RankedMutex> &Lock,
                              httplib::Response &Response) {
  Gate Way = this->passFaults(Lock);
  if (Way == Gate::Refuse) {
    answerNoLeader(Response);
  }
  if (Way == Gate::Drop) {
    dropAnswer(Response);
  }
  return Way == Gate::Pass;
}

void StoreServer::Impl::serve(const Route &Item,
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
  base::Result<json> Answer = (this->Gateway.*Item.Perform)(Now, Body);
  bool IsLost = Item.IsWrite && this->Faults.takeLostAnswer();
  Lock.unlock();
  this->Changed.notify_all();
  if (IsLost) {
    dropAnswer(Response);
  } else if (Answer) {
    Response.set_content(Answer.value().dump(), JsonType);
  } else {
    answerError(Response, Answer.error());
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
    answerError(Response, Watch.error());
    return;
  }
  ++this->OpenWatches;
  auto Session = std::make_shared<WatchSession>();
  Session->Watch = std::move(Watch).value();
  Session->SilencesSeen = this->Faults.silences();
  Session->LastSent = this->Clock.now();
  Response.set_chunked_content_provider(
      JsonType,
      [this, Session](size_t, httplib::DataSink &Sink) {
        return this->serveWatchRound(*Session, Sink);
      },
      [this](bool) {
        std::lock_guard Closing(this->Mutex);
        --this->OpenWatches;
      });
}

// One turn of a watch's thread: waits for something to send and sends it.
// False ends the watch.
bool StoreServer::Impl::serveWatchRound(WatchSession &Session,
                                        httplib::DataSink &Sink) {
  std::vector<json> Messages;
  {
    std::unique_lock Lock(this->Mutex);
    if (Session.IsCreated) {
      this->Changed.wait_for(Lock, WatchPoll);
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
  if (!Session.IsCreated) {
    Session.IsCreated = true;
    Messages.push_back(this->Gateway.watchCreated());
  }
  if (this->Faults.isSilent(Session.SilencesSeen)) {
    return Messages;
  }
  json Changes = this->Gateway.watchChanges(Session.Watch);
  if (!Changes.is_null()) {
    Messages.push_back(std::move(Changes));
  } else if (Now - Session.LastSent >= this->Progress) {
    Messages.push_back(this->Gateway.watchProgress());
  }
  if (!Messages.empty()) {
    Session.LastSent = Now;
  }
  return Messages;
}

static base::Error badFault(const std::string &Name) {
  return {ErrorCode::Malformed, "bad value of '" + Name + "'"};
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
  return badFault("down");
}

// Changes the faults, or the leases, as one field of a request says.
static base::Result<void> applyField(const std::string &Name,
                                     const json &Request, StoreFaults &Faults,
                                     KeyValueState &State) {
  std::string Text = textField(Request, Name.c_str());
  base::Result<int64_t> Number = integerField(Request, Name.c_str());
  bool IsCount =
      Number && Number.value() >= 0 && Number.value() <= MaxFaultCount;
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
    Faults.AnswersToLose = static_cast<uint32_t>(Number.value());
  } else if (Name == "watch_silent" && IsFlag) {
    Faults.HasSilentWatches = Flag;
  } else if (Name == "expire_lease" && Text == "all") {
    State.endAllLeases();
  } else if (Name == "expire_lease" && IsCount) {
    (void)State.revokeLease(Number.value());
  } else if (Name == "heal" && Flag) {
    Faults = StoreFaults();
  } else {
    return badFault(Name);
  }
  return boost::outcome_v2::success();
}

// Takes every field or none.
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
    answerError(Response, {ErrorCode::Malformed, "no fault is named"});
    return;
  }
  std::unique_lock Lock(this->Mutex);
  base::Result<void> Applied = this->applyFault(Body);
  Lock.unlock();
  this->Changed.notify_all();
  if (!Applied) {
    answerError(Response, Applied.error());
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

StoreServer::StoreServer(size_t Threads, base::Duration Progress)
    : Body(std::make_unique<Impl>(Threads, Progress)) {}

StoreServer::~StoreServer() { this->stop(); }

base::Result<base::Address> StoreServer::start(base::Address Listen) {
  return this->Body->start(Listen);
}

void StoreServer::stop() { this->Body->stop(); }

void StoreServer::setFaults(const StoreFaults &Faults) {
  this->Body->setFaults(Faults);
}

void StoreServer::expireLease(store::LeaseId Lease) {
  this->Body->changeState(
      [Lease](KeyValueState &State) { (void)State.revokeLease(Lease); });
}

void StoreServer::expireAllLeases() {
  this->Body->changeState([](KeyValueState &State) { State.endAllLeases(); });
}

} // namespace bilberry::standin
