// Load generator that stands in for callers: opens streams, uploads and
// requests through the fabric's ports and prints a JSON summary of their
// outcomes to stdout. Prints a progress line to stderr every two seconds. With
// --detail, the summary lists each request's outcome, so that a script can
// compare it with the upstreams' ledgers.
//
//   GET /summary   summary of the load so far
//   GET /requests  outcome of each request
//
// SIGTERM ends the load early. The exit status is 0 whatever the outcomes are;
// the script that reads the summary evaluates them.

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
  CallerLoad Rule;
  uint32_t Sockets = 8;
  uint32_t UploadChunks = 50;
  uint32_t Seed = 1;
  base::Address Bind = {0x7F000001, 0};
  base::Address Admin;
  base::Duration LoadDuration = std::chrono::seconds(10);
  base::Duration CloseTimeout = std::chrono::seconds(15);
  bool ListsRequestOutcomes = false;
};

} // namespace

// Option with the value "CLASS@SERVICE", stored in a FlowConfig or a
// RequestConfig.
template <typename Plan>
static Option classOption(const char *Name, const char *Help, Plan &Into) {
  return {Name, "CLASS@SERVICE", Help, [&Into](const std::string &Text) {
            size_t Separator = Text.find('@');
            if (Separator == std::string::npos) {
              return false;
            }
            Into.Class = base::ClassName(Text.substr(0, Separator));
            Into.Service = base::ServiceName(Text.substr(Separator + 1));
            return !Into.Class.empty() && !Into.Service.empty();
          }};
}

static std::vector<Option> buildOptions(Settings &Into) {
  CallerLoad &Rule = Into.Rule;
  return {
      serviceOption("the fabric's port of a service; may be repeated",
                    [&Into](base::ServiceName Name, base::Address Where) {
                      Into.Services[std::move(Name)] = Where;
                    }),
      classOption("stream", "class of the streams", Rule.Stream),
      numberOption("streams", "concurrent streams", Rule.Streams),
      millisecondsOption("stream-interval",
                         "interval between packets of a stream",
                         Rule.Stream.Interval),
      numberOption("opens-per-second", "maximum of new flows per second",
                   Rule.OpensPerSecond),
      classOption("request", "class of the requests", Rule.Request),
      numberOption("requests-per-second", "new requests per second",
                   Rule.RequestsPerSecond),
      millisecondsOption("deadline",
                         "time limit of a request over all attempts",
                         Rule.Request.Deadline),
      numberOption("attempts",
                   "attempts per request, retrying after \"not run\"",
                   Rule.Request.MaxAttempts),
      numberOption("duplicate", "percentage of first packets sent twice",
                   Rule.DuplicatePercent),
      classOption("upload", "class of the uploads", Rule.Upload),
      numberOption("uploads", "concurrent uploads", Rule.Uploads),
      numberOption("upload-chunks", "packets per upload", Into.UploadChunks),
      numberOption("chunk-bytes", "bytes per packet of an upload",
                   Rule.Upload.BodyBytes),
      numberOption("sockets", "UDP sockets", Into.Sockets),
      addressOption("bind", "local address; port 0 for any", Into.Bind),
      addressOption("admin", "listening address of the HTTP endpoint",
                    Into.Admin),
      secondsOption("seconds", "duration of the load", Into.LoadDuration),
      secondsOption("close-timeout", "longest wait for outcomes after the load",
                    Into.CloseTimeout),
      numberOption("seed", "random seed of ids and duplicates", Into.Seed),
      flagOption("detail", "list each request's outcome",
                 Into.ListsRequestOutcomes),
  };
}

// Reports a kind of load that is configured for a service without an address.
static bool checkService(const Settings &Config, uint32_t ConfiguredLoad,
                         const base::ServiceName &Service) {
  if (ConfiguredLoad == 0 || Config.Services.contains(Service)) {
    return true;
  }
  std::fprintf(stderr, "no --service option for service \"%s\"\n",
               Service.text().c_str());
  return false;
}

static bool readSettings(int Count, char **Arguments, Settings &Into) {
  CallerLoad &Rule = Into.Rule;
  Rule.Stream.Interval = std::chrono::seconds(1);
  Rule.Upload.BodyBytes = 1024;
  if (!parseOptions(Count, Arguments, buildOptions(Into))) {
    return false;
  }
  Rule.Seed = Into.Seed;
  Rule.Upload.Packets = std::max(2U, Into.UploadChunks);
  Into.Sockets = std::max(1U, Into.Sockets);
  return checkService(Into, Rule.Streams, Rule.Stream.Service) &&
         checkService(Into, Rule.RequestsPerSecond, Rule.Request.Service) &&
         checkService(Into, Rule.Uploads, Rule.Upload.Service);
}

static double toMilliseconds(base::Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

static json percentilesJson(std::vector<base::Duration> Times) {
  if (Times.empty()) {
    return {{"count", 0}};
  }
  std::sort(Times.begin(), Times.end());
  auto Percentile = [&](double Fraction) {
    auto Index = static_cast<size_t>(Fraction * double(Times.size() - 1));
    return toMilliseconds(Times[Index]);
  };
  return {{"count", Times.size()},        {"p50_ms", Percentile(0.5)},
          {"p90_ms", Percentile(0.9)},    {"p99_ms", Percentile(0.99)},
          {"p999_ms", Percentile(0.999)}, {"max_ms", Percentile(1)}};
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

static json brokenFlowsJson(const CallerModel &Model) {
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
          {"stray_replies", Counts.StrayReplies},
          {"pushes", Counts.Pushes},
          {"broken_flows", brokenFlowsJson(Model)},
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

// Connects a CallerModel to its sockets. serve() is called by one thread;
// withModel() is thread-safe, since the HTTP endpoint's threads use it too.
class LoadGenerator {
public:
  LoadGenerator(const Settings &Config, std::vector<Socket> Sockets,
                base::TimePoint Now)
      : Config(Config), Sockets(std::move(Sockets)),
        Batches(this->Sockets.size()), Model(Config.Rule, Now) {}

  // Waits up to one tick for datagrams and passes them to the model. When a
  // tick is due, sends the model's datagrams too.
  void serve(const base::SteadyClock &Clock) {
    this->waitForDatagrams(Clock.now());
    std::lock_guard Lock(this->Mutex);
    for (const Socket &Each : this->Sockets) {
      this->receiveAll(Clock, Each);
    }
    base::TimePoint Now = Clock.now();
    if (Now < this->NextTick) {
      return;
    }
    this->NextTick = Now + TickInterval;
    this->sendDueDatagrams(Now);
    this->printProgress(Now);
  }

  // Calls Action with the model under the lock and returns its result.
  template <typename Callable> auto withModel(Callable &&Action) {
    std::lock_guard Lock(this->Mutex);
    return Action(this->Model);
  }

private:
  void waitForDatagrams(base::TimePoint Now) {
    std::vector<pollfd> PollDescriptors;
    PollDescriptors.reserve(this->Sockets.size());
    for (const Socket &Each : this->Sockets) {
      PollDescriptors.push_back({Each.fd(), POLLIN, 0});
    }
    int Timeout =
        pollTimeout(Now, this->NextTick,
                    std::chrono::ceil<std::chrono::milliseconds>(TickInterval));
    (void)::poll(PollDescriptors.data(), PollDescriptors.size(), Timeout);
  }

  void receiveAll(const base::SteadyClock &Clock, const Socket &From) {
    const std::vector<ReceivedDatagram> *Datagrams =
        &this->ReceivedDatagrams.receive(From);
    while (!Datagrams->empty()) {
      base::TimePoint Now = Clock.now();
      for (const ReceivedDatagram &Each : *Datagrams) {
        this->Model.onDatagram(Now, Each.Bytes);
      }
      Datagrams = &this->ReceivedDatagrams.receive(From);
    }
  }

  void sendDueDatagrams(base::TimePoint Now) {
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
                 "streams %zu uploads %zu (complete %llu) broken %llu requests "
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
  ReceiveBatch ReceivedDatagrams;
  CallerModel Model;
  base::TimePoint NextTick;
  base::TimePoint NextProgress;
};

} // namespace

static bool bindSockets(const Settings &Config, std::vector<Socket> &Into) {
  for (uint32_t Index = 0; Index < Config.Sockets; ++Index) {
    base::Address Where = Config.Bind;
    if (Where.Port != 0) {
      Where.Port = static_cast<uint16_t>(Where.Port + Index);
    }
    base::Result<Socket> BoundSocket = bindUdp(Where);
    if (!BoundSocket) {
      std::fprintf(stderr, "%s\n", BoundSocket.error().Message.c_str());
      return false;
    }
    Into.push_back(std::move(BoundSocket.value()));
  }
  return true;
}

// Generates load for Config.LoadDuration, then waits for the outcomes up to
// Config.CloseTimeout.
static void generateLoad(LoadGenerator &Generator, const Settings &Config,
                         const base::SteadyClock &Clock) {
  base::TimePoint StopTime = Clock.now() + Config.LoadDuration;
  while (!isStopRequested() && Clock.now() < StopTime) {
    Generator.serve(Clock);
  }
  Generator.withModel([](CallerModel &Model) { Model.stop(); });
  StopTime = Clock.now() + Config.CloseTimeout;
  auto IsDone = [](const CallerModel &Model) { return Model.isDone(); };
  while (!Generator.withModel(IsDone) && Clock.now() < StopTime) {
    Generator.serve(Clock);
  }
}

int main(int Count, char **Arguments) {
  Settings Config;
  if (!readSettings(Count, Arguments, Config)) {
    return 2;
  }
  installStopSignalHandlers();
  std::vector<Socket> Sockets;
  if (!bindSockets(Config, Sockets)) {
    return 1;
  }
  base::SteadyClock Clock;
  LoadGenerator Generator(Config, std::move(Sockets), Clock.now());
  AdminServer Admin;
  Admin.get("/summary", [&](const QueryValue &) {
    return Generator.withModel(summaryJson);
  });
  Admin.get("/requests", [&](const QueryValue &) {
    return Generator.withModel(outcomesJson);
  });
  if (Config.Admin.Port != 0) {
    base::Result<void> Started = Admin.start(Config.Admin);
    if (!Started) {
      std::fprintf(stderr, "%s\n", Started.error().Message.c_str());
      return 1;
    }
  }
  generateLoad(Generator, Config, Clock);
  json Summary = Generator.withModel(summaryJson);
  if (Config.ListsRequestOutcomes) {
    Summary["request_outcomes"] = Generator.withModel(outcomesJson);
  }
  std::cout << Summary.dump() << std::endl;
  return 0;
}
