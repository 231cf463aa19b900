// Stand-in for one upstream: speaks the protocol of wire/upstream_message.h to
// its agent over TCP, and is controlled and inspected over HTTP.
//
//   GET  /ledger?since=S   counts of what the upstream did; arrivals since S, a
//                          Unix time in seconds
//   GET  /ledger/full      runs of each request, packets of each open flow
//   POST /cold             resets capacity to that after a start
//   POST /drain            refuses new work and reports it
//   POST /lie  {"state": TEXT, "load": NUMBER}
//                          reports this health instead of the actual one
//   POST /slow {"ms": N}   sets the service time of requests
//
// SIGTERM drains, waits for requests and flows to end, and prints how many were
// cut.

#include "bilberry/standin/admin_server.h"
#include "bilberry/standin/id_text.h"
#include "bilberry/standin/options.h"
#include "bilberry/standin/upstream_server.h"

#include <cstdio>
#include <cstdlib>

using namespace bilberry;
using namespace bilberry::standin;
using nlohmann::json;

namespace {

struct Settings {
  base::Address Listen;
  base::Address Admin;
  std::string Service;
  UpstreamConfig Rule;
  base::Duration DrainTimeout = std::chrono::seconds(30);
};

} // namespace

static bool readSettings(int Count, char **Arguments, Settings &Into) {
  targets::UpstreamCapacity &Capacity = Into.Rule.Capacity;
  const std::vector<Option> Options = {
      addressOption("listen", "listening address for the agent", Into.Listen),
      addressOption("admin", "listening address of the HTTP endpoint",
                    Into.Admin),
      textOption("service", "name of the service", Into.Service),
      numberOption("slots", "concurrent requests when warm", Capacity.Slots),
      numberOption("connections", "concurrent flows when warm",
                   Capacity.Connections),
      numberOption("cold-slots", "concurrent requests when cold",
                   Capacity.ColdSlots),
      numberOption("cold-connections", "concurrent flows when cold",
                   Capacity.ColdConnections),
      numberOption("completions-per-slot",
                   "completions per slot gained while warming up",
                   Capacity.CompletionsPerSlot),
      millisecondsOption("service-time", "duration of a request",
                         Into.Rule.ServiceTime),
      millisecondsOption("push-interval",
                         "interval of events sent on each flow; 0 for none",
                         Into.Rule.PushInterval),
      millisecondsOption("health-lag", "maximum age of a health report",
                         Into.Rule.HealthLag),
      millisecondsOption("drain-timeout",
                         "longest wait for work to end after SIGTERM",
                         Into.DrainTimeout),
  };
  if (!parseOptions(Count, Arguments, Options)) {
    return false;
  }
  Into.Rule.Service = base::ServiceName(Into.Service);
  if (Into.Listen.Port == 0 || Into.Service.empty()) {
    std::fprintf(stderr, "--listen and --service are required\n");
    return false;
  }
  return true;
}

static json ledgerJson(const UpstreamModel &Model, base::TimePoint Since) {
  const UpstreamLedger &Ledger = Model.ledger();
  json RunTwice = json::object();
  for (const auto &[Id, Runs] : Ledger.Runs) {
    if (Runs > 1) {
      RunTwice[requestIdText(Id)] = Runs;
    }
  }
  return {{"run_more_than_once", RunTwice},
          {"runs", Ledger.TotalRuns},
          {"done", Ledger.Done},
          {"cancelled", Ledger.Cancelled},
          {"refused", Ledger.Refused},
          {"overruns", Ledger.Overruns},
          {"running", Model.running()},
          {"slots_borne", Model.currentSlotLimit()},
          {"connections_borne", Model.currentConnectionLimit()},
          {"flows_open", Model.flowsOpen()},
          {"flows_opened", Ledger.FlowsOpened},
          {"flows_closed", Ledger.FlowsClosed},
          {"stray_packets", Ledger.StrayPackets},
          {"wrong_service", Ledger.WrongService},
          {"draining", Model.isDraining()},
          {"arrivals", Model.arrivalsSince(Since)}};
}

static json fullLedgerJson(const UpstreamModel &Model) {
  json Runs = json::object();
  for (const auto &[Id, Count] : Model.ledger().Runs) {
    Runs[requestIdText(Id)] = Count;
  }
  json Flows = json::object();
  for (const auto &[Key, Flow] : Model.flows()) {
    Flows[flowKeyText(Key)] = {{"packets", Flow.Packets},
                               {"highest_sequence", Flow.HighestSequence},
                               {"pushes", Flow.Pushes}};
  }
  return {{"runs", Runs}, {"flows", Flows}};
}

static base::TimePoint sinceParameter(const QueryValue &Query) {
  std::string Text = Query("since").value_or("0");
  return base::TimePoint(std::chrono::seconds(std::atoll(Text.c_str())));
}

static void addQueryEndpoints(AdminServer &Admin, UpstreamServer &Server) {
  Admin.get("/ledger", [&Server](const QueryValue &Query) {
    json Answer;
    Server.withModel([&](const UpstreamModel &Model, UpstreamOutputs &) {
      Answer = ledgerJson(Model, sinceParameter(Query));
    });
    return Answer;
  });
  Admin.get("/ledger/full", [&Server](const QueryValue &) {
    json Answer;
    Server.withModel([&](const UpstreamModel &Model, UpstreamOutputs &) {
      Answer = fullLedgerJson(Model);
    });
    return Answer;
  });
}

static void addCommandEndpoints(AdminServer &Admin, UpstreamServer &Server) {
  Admin.post("/cold", [&Server](const json &) {
    Server.withModel(
        [](UpstreamModel &Model, UpstreamOutputs &) { Model.resetWarmup(); });
    return true;
  });
  Admin.post("/drain", [&Server](const json &) {
    Server.withModel(
        [](UpstreamModel &Model, UpstreamOutputs &Out) { Model.drain(Out); });
    return true;
  });
  Admin.post("/lie", [&Server](const json &Body) {
    if (!Body.contains("state") || !Body["state"].is_string() ||
        !Body.contains("load") || !Body["load"].is_number()) {
      return false;
    }
    Server.withModel([&](UpstreamModel &Model, UpstreamOutputs &) {
      Model.overrideHealth(Body["state"], Body["load"]);
    });
    return true;
  });
  Admin.post("/slow", [&Server](const json &Body) {
    if (!Body.contains("ms") || !Body["ms"].is_number_unsigned()) {
      return false;
    }
    Server.withModel([&](UpstreamModel &Model, UpstreamOutputs &) {
      Model.setServiceTime(
          std::chrono::milliseconds(Body["ms"].get<uint32_t>()));
    });
    return true;
  });
}

// Drains: serves until all work has ended or Config.DrainTimeout has passed,
// then prints how much was cut.
static void drainAndStop(UpstreamServer &Server, const Settings &Config,
                         const base::SteadyClock &Clock) {
  Server.withModel(
      [](UpstreamModel &Model, UpstreamOutputs &Out) { Model.drain(Out); });
  base::TimePoint DrainDeadline = Clock.now() + Config.DrainTimeout;
  bool IsDone = false;
  while (!IsDone && Clock.now() < DrainDeadline) {
    Server.runOnce(Clock);
    Server.withModel([&](const UpstreamModel &Model, UpstreamOutputs &) {
      IsDone = Model.isIdle();
    });
    IsDone = IsDone && Server.isFlushed();
  }
  Server.withModel([](const UpstreamModel &Model, UpstreamOutputs &) {
    std::printf("drained: %zu requests and %zu flows were cut\n",
                Model.running(), Model.flowsOpen());
  });
}

int main(int Count, char **Arguments) {
  Settings Config;
  if (!readSettings(Count, Arguments, Config)) {
    return 2;
  }
  installStopSignalHandlers();
  base::Result<Socket> Listener = listenTcp(Config.Listen);
  if (!Listener) {
    std::fprintf(stderr, "%s\n", Listener.error().Message.c_str());
    return 1;
  }
  UpstreamServer Server(std::move(Listener.value()), Config.Rule);
  AdminServer Admin;
  addQueryEndpoints(Admin, Server);
  addCommandEndpoints(Admin, Server);
  if (Config.Admin.Port != 0) {
    base::Result<void> Started = Admin.start(Config.Admin);
    if (!Started) {
      std::fprintf(stderr, "%s\n", Started.error().Message.c_str());
      return 1;
    }
  }
  base::SteadyClock Clock;
  while (!isStopRequested()) {
    Server.runOnce(Clock);
  }
  drainAndStop(Server, Config, Clock);
  return 0;
}
