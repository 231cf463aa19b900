// A stand-in for one upstream: speaks wire/upstream_message.h to its agent
// over TCP, and is steered and read over HTTP.
//
//   GET  /ledger?since=S   what truly happened; since in seconds since 1970
//   GET  /ledger/full      runs of each request, packets of each open flow
//   POST /cold             bear no more than after the start
//   POST /drain            refuse new work and say so
//   POST /lie  {"state": TEXT, "load": NUMBER}
//   POST /slow {"ms": N}   serve requests at another pace
//
// SIGTERM drains, waits for requests and flows to end, and says what it cut.

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
  UpstreamRule Rule;
  base::Duration DrainTimeout = std::chrono::seconds(30);
};

} // namespace

static bool readSettings(int Count, char **Arguments, Settings &Into) {
  targets::UpstreamCapacity &Capacity = Into.Rule.Capacity;
  const std::vector<Option> Options = {
      addressOption("listen", "where the agent connects", Into.Listen),
      addressOption("admin", "where the HTTP endpoint listens", Into.Admin),
      textOption("service", "the service that it serves", Into.Service),
      numberOption("slots", "requests at once when warm", Capacity.Slots),
      numberOption("connections", "flows at once when warm",
                   Capacity.Connections),
      numberOption("cold-slots", "requests at once when cold",
                   Capacity.ColdSlots),
      numberOption("cold-connections", "flows at once when cold",
                   Capacity.ColdConnections),
      numberOption("completions-per-slot", "completions that bear one more",
                   Capacity.CompletionsPerSlot),
      millisecondsOption("service-time", "how long a request takes",
                         Into.Rule.ServiceTime),
      millisecondsOption("push-interval",
                         "how often each flow is sent an event; 0 for never",
                         Into.Rule.PushInterval),
      millisecondsOption("health-lag", "how old a health report may be",
                         Into.Rule.HealthLag),
      millisecondsOption("drain-timeout", "how long SIGTERM waits",
                         Into.DrainTimeout),
  };
  if (!readOptions(Count, Arguments, Options)) {
    return false;
  }
  Into.Rule.Service = base::ServiceName(Into.Service);
  if (Into.Listen.Port == 0 || Into.Service.empty()) {
    std::fprintf(stderr, "--listen and --service are needed\n");
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
          {"slots_borne", Model.slotsBorne()},
          {"connections_borne", Model.connectionsBorne()},
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

static base::TimePoint sinceOf(const QueryValue &Query) {
  std::string Text = Query("since").value_or("0");
  return base::TimePoint(std::chrono::seconds(std::atoll(Text.c_str())));
}

static void addQueries(AdminServer &Admin, UpstreamServer &Server) {
  Admin.get("/ledger", [&Server](const QueryValue &Query) {
    json Answer;
    Server.use([&](const UpstreamModel &Model, UpstreamOutputs &) {
      Answer = ledgerJson(Model, sinceOf(Query));
    });
    return Answer;
  });
  Admin.get("/ledger/full", [&Server](const QueryValue &) {
    json Answer;
    Server.use([&](const UpstreamModel &Model, UpstreamOutputs &) {
      Answer = fullLedgerJson(Model);
    });
    return Answer;
  });
}

static void addCommands(AdminServer &Admin, UpstreamServer &Server) {
  Admin.post("/cold", [&Server](const json &) {
    Server.use(
        [](UpstreamModel &Model, UpstreamOutputs &) { Model.turnCold(); });
    return true;
  });
  Admin.post("/drain", [&Server](const json &) {
    Server.use(
        [](UpstreamModel &Model, UpstreamOutputs &Out) { Model.drain(Out); });
    return true;
  });
  Admin.post("/lie", [&Server](const json &Body) {
    if (!Body.contains("state") || !Body["state"].is_string() ||
        !Body.contains("load") || !Body["load"].is_number()) {
      return false;
    }
    Server.use([&](UpstreamModel &Model, UpstreamOutputs &) {
      Model.lie(Body["state"], Body["load"]);
    });
    return true;
  });
  Admin.post("/slow", [&Server](const json &Body) {
    if (!Body.contains("ms") || !Body["ms"].is_number_unsigned()) {
      return false;
    }
    Server.use([&](UpstreamModel &Model, UpstreamOutputs &) {
      Model.setServiceTime(
          std::chrono::milliseconds(Body["ms"].get<uint32_t>()));
    });
    return true;
  });
}

// Serves until all has ended or the time is up, and says what was cut.
static void drainAndStop(UpstreamServer &Server, const Settings &Config,
                         const base::SteadyClock &Clock) {
  Server.use(
      [](UpstreamModel &Model, UpstreamOutputs &Out) { Model.drain(Out); });
  base::TimePoint End = Clock.now() + Config.DrainTimeout;
  bool IsDone = false;
  while (!IsDone && Clock.now() < End) {
    Server.serve(Clock);
    Server.use([&](const UpstreamModel &Model, UpstreamOutputs &) {
      IsDone = Model.isIdle();
    });
    IsDone = IsDone && Server.isFlushed();
  }
  Server.use([](const UpstreamModel &Model, UpstreamOutputs &) {
    std::printf("drained: %zu requests and %zu flows were cut\n",
                Model.running(), Model.flowsOpen());
  });
}

int main(int Count, char **Arguments) {
  Settings Config;
  if (!readSettings(Count, Arguments, Config)) {
    return 2;
  }
  catchStopSignals();
  base::Result<Socket> Listener = listenTcp(Config.Listen);
  if (!Listener) {
    std::fprintf(stderr, "%s\n", Listener.error().Message.c_str());
    return 1;
  }
  UpstreamServer Server(std::move(Listener.value()), Config.Rule);
  AdminServer Admin;
  addQueries(Admin, Server);
  addCommands(Admin, Server);
  if (Config.Admin.Port != 0) {
    base::Result<void> Started = Admin.start(Config.Admin);
    if (!Started) {
      std::fprintf(stderr, "%s\n", Started.error().Message.c_str());
      return 1;
    }
  }
  base::SteadyClock Clock;
  while (!isStopRequested()) {
    Server.serve(Clock);
  }
  drainAndStop(Server, Config, Clock);
  return 0;
}
