// A stand-in for callers: makes streams, uploads and requests through the
// fabric's ports, and prints as JSON on stdout what came of each kind. A
// progress line goes to stderr every two seconds. With --detail, each
// request's outcome is listed, for a script to hold against the upstreams'
// ledgers.
//
//   GET /summary   as at the end, up to now
//   GET /requests  outcome of each request
//
// SIGTERM ends the load early. Ends with status 0 whatever came of the load;
// a script judges the summary.

#include "bilberry/standin/admin_server.h"
#include "bilberry/standin/caller_model.h"
#include "bilberry/standin/datagram_batch.h"
#include "bilberry/standin/id_text.h"
#include "bilberry/standin/options.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <poll.h>

using namespace bilberry;
using namespace bilberry::standin;
using nlohmann::json;

namespace {

constexpr base::Duration TickInterval = std::chrono::milliseconds(5);
constexpr base::Duration ProgressInterval = std::chrono::seconds(2);

struct Settings {
  std::map<base::ServiceName, base::Address> Services;
  CallerRule Rule;
  uint32_t Sockets = 8;
  uint32_t UploadChunks = 50;
  uint32_t Seed = 1;
  base::Address Bind = {0x7F000001, 0};
  base::Address Admin;
  base::Duration Length = std::chrono::seconds(10);
  base::Duration CloseTimeout = std::chrono::seconds(15);
  bool IsDetailed = false;
};

} // namespace

// "CLASS@SERVICE", for a FlowPlan or a RequestPlan.
template <typename Plan>
static Option classOption(const char *Name, const char *Help, Plan &Into) {
  return {Name, "CLASS@SERVICE", Help, [&Into](const std::string &Text) {
            size_t Split = Text.find('@');
            if (Split == std::string::npos) {
              return false;
            }
            Into.Class = base::ClassName(Text.substr(0, Split));
            Into.Service = base::ServiceName(Text.substr(Split + 1));
            return !Into.Class.empty() && !Into.Service.empty();
          }};
}

static std::vector<Option> optionsOf(Settings &Into) {
  CallerRule &Rule = Into.Rule;
  return {
      serviceOption("the fabric's port of a service; may be repeated",
                    [&Into](base::ServiceName Name, base::Address Where) {
                      Into.Services[std::move(Name)] = Where;
                    }),
      classOption("stream", "class of the streams", Rule.Stream),
      numberOption("streams", "streams at once", Rule.Streams),
      millisecondsOption("stream-interval", "between two packets of a stream",
                         Rule.Stream.Interval),
      numberOption("opens-per-second", "new flows a second at the most",
                   Rule.OpensPerSecond),
      classOption("request", "class of the requests", Rule.Request),
      numberOption("requests-per-second", "requests begun each second",
                   Rule.RequestsPerSecond),
      millisecondsOption("deadline", "how long a request waits",
                         Rule.Request.Deadline),
      numberOption("attempts", "attempts a request, after \"not run\"",
                   Rule.Request.MaxAttempts),
      numberOption("duplicate", "first packets in a hundred sent twice",
                   Rule.DuplicatePercent),
      classOption("upload", "class of the uploads", Rule.Upload),
      numberOption("uploads", "uploads at once", Rule.Uploads),
      numberOption("upload-chunks", "packets an upload", Into.UploadChunks),
      numberOption("chunk-bytes", "bytes a packet of an upload",
                   Rule.Upload.BodyBytes),
      numberOption("sockets", "UDP sockets", Into.Sockets),
      addressOption("bind", "local address; port 0 for any", Into.Bind),
      addressOption("admin", "where the HTTP endpoint listens", Into.Admin),
      secondsOption("seconds", "how long load is made", Into.Length),
      secondsOption("close-timeout", "how long outcomes are waited for",
                    Into.CloseTimeout),
      numberOption("seed", "seed of ids and duplicates", Into.Seed),
      flagOption("detail", "list each request's outcome", Into.IsDetailed),
  };
}

static bool checkService(const Settings &Config, uint32_t Load,
                         const base::ServiceName &Service) {
  if (Load == 0 || Config.Services.contains(Service)) {
    return true;
  }
  std::fprintf(stderr, "no --service for \"%s\"\n", Service.text().c_str());
  return false;
}

static bool readSettings(int Count, char **Arguments, Settings &Into) {
  CallerRule &Rule = Into.Rule;
  Rule.Stream.Interval = std::chrono::seconds(1);
  Rule.Upload.BodyBytes = 1024;
  if (!readOptions(Count, Arguments, optionsOf(Into))) {
    return false;
  }
  Rule.Seed = Into.Seed;
  Rule.Upload.Packets = std::max(2U, Into.UploadChunks);
  Into.Sockets = std::max(1U, Into.Sockets);
  return checkService(Into, Rule.Streams, Rule.Stream.Service) &&
         checkService(Into, Rule.RequestsPerSecond, Rule.Request.Service) &&
         checkService(Into, Rule.Uploads, Rule.Upload.Service);
}

static double millisecondsOf(base::Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

static json percentilesJson(std::vector<base::Duration> Times) {
  if (Times.empty()) {
    return {{"count", 0}};
  }
  std::sort(Times.begin(), Times.end());
  auto At = [&](double Share) {
    auto Index = static_cast<size_t>(Share * double(Times.size() - 1));
    return millisecondsOf(Times[Index]);
  };
  return {{"count", Times.size()}, {"p50_ms", At(0.5)},    {"p90_ms", At(0.9)},
          {"p99_ms", At(0.99)},    {"p999_ms", At(0.999)}, {"max_ms", At(1)}};
}

static json flowsJson(const FlowCounts &Counts) {
  return {{"started", Counts.Started},
          {"opened", Counts.Opened},
          {"closed", Counts.Closed},
          {"closed_partly", Counts.ClosedPartly},
          {"refused", Counts.Refused},
          {"broken", Counts.Broken},
          {"never_opened", Counts.NeverOpened},
          {"by_reason", Counts.ByReason}};
}

static json requestsJson(const RequestCounts &Counts) {
  return {{"started", Counts.Started},
          {"attempts", Counts.Attempts},
          {"answered", Counts.Answered},
          {"not_run", Counts.NotRun},
          {"unknown", Counts.Unknown},
          {"no_outcome", Counts.NoOutcome},
          {"wrong_answers", Counts.Wrong},
          {"contradicted", Counts.Contradicted},
          {"not_run_by_reason", Counts.NotRunByReason}};
}

static json brokenJson(const CallerModel &Model) {
  json List = json::array();
  for (const BrokenFlow &Flow : Model.brokenFlows()) {
    auto At = std::chrono::duration<double>(Flow.At.time_since_epoch());
    List.push_back({{"service", Flow.Service.text()},
                    {"connection", Flow.Connection},
                    {"at", At.count()},
                    {"reason", Flow.Reason}});
  }
  return List;
}

static json summaryJson(const CallerModel &Model) {
  CallerCounts Counts = Model.counts();
  return {{"streams", flowsJson(Counts.Streams)},
          {"uploads", flowsJson(Counts.Uploads)},
          {"requests", requestsJson(Counts.Requests)},
          {"flows_left", Model.flowsLeft()},
          {"requests_waiting", Model.requestsWaiting()},
          {"stray_replies", Counts.Stray},
          {"pushes", Counts.Pushes},
          {"broken_flows", brokenJson(Model)},
          {"answer_times", percentilesJson(Model.answerTimes())},
          {"packet_times", percentilesJson(Model.packetTimes())}};
}

static json outcomesJson(const CallerModel &Model) {
  json List = json::object();
  for (const auto &[Id, Request] : Model.requests()) {
    List[requestIdText(Id)] = {{"outcome", requestStateText(Request.state())},
                               {"attempts", Request.attempts()},
                               {"contradicted", Request.isContradicted()},
                               {"wrong", Request.isWrong()}};
  }
  return List;
}

namespace {

// The sockets of one client process, and the model behind them.
class Caller {
public:
  Caller(const Settings &Config, std::vector<Socket> Sockets,
         base::TimePoint Now)
      : Config(Config), Sockets(std::move(Sockets)),
        Batches(this->Sockets.size()), Model(Config.Rule, Now) {}

  // Receives, ticks and sends once.
  void serve(const base::SteadyClock &Clock) {
    this->wait(Clock.now());
    std::lock_guard Lock(this->Mutex);
    for (const Socket &Each : this->Sockets) {
      this->receiveAll(Clock, Each);
    }
    base::TimePoint Now = Clock.now();
    if (Now < this->NextTick) {
      return;
    }
    this->NextTick = Now + TickInterval;
    this->tick(Now);
    this->printProgress(Now);
  }

  template <typename Work> auto use(Work &&Run) {
    std::lock_guard Lock(this->Mutex);
    return Run(this->Model);
  }

private:
  void wait(base::TimePoint Now) {
    std::vector<pollfd> Set;
    Set.reserve(this->Sockets.size());
    for (const Socket &Each : this->Sockets) {
      Set.push_back({Each.fd(), POLLIN, 0});
    }
    int Timeout =
        pollTimeout(Now, this->NextTick,
                    std::chrono::ceil<std::chrono::milliseconds>(TickInterval));
    (void)::poll(Set.data(), Set.size(), Timeout);
  }

  void receiveAll(const base::SteadyClock &Clock, const Socket &From) {
    const std::vector<ReceivedDatagram> *Datagrams = &this->In.receive(From);
    while (!Datagrams->empty()) {
      base::TimePoint Now = Clock.now();
      for (const ReceivedDatagram &Each : *Datagrams) {
        this->Model.onDatagram(Now, Each.Bytes);
      }
      Datagrams = &this->In.receive(From);
    }
  }

  void tick(base::TimePoint Now) {
    std::vector<CallerDatagram> Out;
    this->Model.onTick(Now, Out);
    for (CallerDatagram &Each : Out) {
      size_t Index = Each.Source % this->Sockets.size();
      this->Batches[Index].add(this->Config.Services.at(Each.Service),
                               std::move(Each.Bytes));
    }
    for (size_t Index = 0; Index < this->Sockets.size(); ++Index) {
      this->Batches[Index].flush(this->Sockets[Index]);
    }
  }

  void printProgress(base::TimePoint Now) {
    if (Now < this->NextProgress) {
      return;
    }
    this->NextProgress = Now + ProgressInterval;
    CallerCounts Counts = this->Model.counts();
    auto Broken = Counts.Streams.Broken + Counts.Uploads.Broken;
    std::fprintf(stderr,
                 "streams %zu uploads %zu (whole %llu) broken %llu requests "
                 "%llu answered %llu not-run %llu unknown %llu waiting %zu\n",
                 this->Model.streamsOpen(), this->Model.uploadsOpen(),
                 static_cast<unsigned long long>(Counts.Uploads.Closed),
                 static_cast<unsigned long long>(Broken),
                 static_cast<unsigned long long>(Counts.Requests.Started),
                 static_cast<unsigned long long>(Counts.Requests.Answered),
                 static_cast<unsigned long long>(Counts.Requests.NotRun),
                 static_cast<unsigned long long>(Counts.Requests.Unknown),
                 this->Model.requestsWaiting());
  }

  const Settings &Config;
  std::mutex Mutex;
  std::vector<Socket> Sockets;
  std::vector<SendBatch> Batches;
  ReceiveBatch In;
  CallerModel Model;
  base::TimePoint NextTick;
  base::TimePoint NextProgress;
};

} // namespace

static bool openSockets(const Settings &Config, std::vector<Socket> &Into) {
  for (uint32_t Index = 0; Index < Config.Sockets; ++Index) {
    base::Address Where = Config.Bind;
    if (Where.Port != 0) {
      Where.Port = static_cast<uint16_t>(Where.Port + Index);
    }
    base::Result<Socket> Bound = bindUdp(Where);
    if (!Bound) {
      std::fprintf(stderr, "%s\n", Bound.error().Message.c_str());
      return false;
    }
    Into.push_back(std::move(Bound.value()));
  }
  return true;
}

// Makes load, then waits for what it came to.
static void makeLoad(Caller &Load, const Settings &Config,
                     const base::SteadyClock &Clock) {
  base::TimePoint End = Clock.now() + Config.Length;
  while (!isStopRequested() && Clock.now() < End) {
    Load.serve(Clock);
  }
  Load.use([](CallerModel &Model) { Model.stop(); });
  End = Clock.now() + Config.CloseTimeout;
  auto IsDone = [](const CallerModel &Model) { return Model.isDone(); };
  while (!Load.use(IsDone) && Clock.now() < End) {
    Load.serve(Clock);
  }
}

int main(int Count, char **Arguments) {
  Settings Config;
  if (!readSettings(Count, Arguments, Config)) {
    return 2;
  }
  catchStopSignals();
  std::vector<Socket> Sockets;
  if (!openSockets(Config, Sockets)) {
    return 1;
  }
  base::SteadyClock Clock;
  Caller Load(Config, std::move(Sockets), Clock.now());
  AdminServer Admin;
  Admin.get("/summary",
            [&](const QueryValue &) { return Load.use(summaryJson); });
  Admin.get("/requests",
            [&](const QueryValue &) { return Load.use(outcomesJson); });
  if (Config.Admin.Port != 0) {
    base::Result<void> Started = Admin.start(Config.Admin);
    if (!Started) {
      std::fprintf(stderr, "%s\n", Started.error().Message.c_str());
      return 1;
    }
  }
  makeLoad(Load, Config, Clock);
  json Summary = Load.use(summaryJson);
  if (Config.IsDetailed) {
    Summary["request_outcomes"] = Load.use(outcomesJson);
  }
  std::cout << Summary.dump() << std::endl;
  return 0;
}
