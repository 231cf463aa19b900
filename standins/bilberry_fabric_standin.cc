// A stand-in for the fabric: takes callers' datagrams on one UDP port a
// service, adds an envelope with service and caller, and hands each to a
// random live balancer. Answers don't come this way.
//
//   GET  /balancers                       those that get packets
//   POST /balancers ["IP:PORT", ...]      replace the list
//   POST /cut       "IP:PORT"             send nothing more to one
//   POST /restore   "IP:PORT"             send to it again
//   GET  /counters

#include "bilberry/standin/admin_server.h"
#include "bilberry/standin/datagram_batch.h"
#include "bilberry/standin/fabric_sprayer.h"
#include "bilberry/standin/options.h"
#include "bilberry/wire/data_message.h"

#include <cstdio>
#include <mutex>
#include <poll.h>

using namespace bilberry;
using namespace bilberry::standin;
using nlohmann::json;

namespace {

constexpr int LongestWaitMilliseconds = 100;
// Batches taken from one port before the next has its turn.
constexpr int BatchesPerTurn = 16;

struct ServicePort {
  base::ServiceName Service;
  base::Address Listen;
  Socket Port;
};

struct Settings {
  std::vector<ServicePort> Services;
  std::vector<base::Address> Balancers;
  base::Address Admin;
  uint32_t Seed = 1;
};

// What the endpoint's threads and the loop share.
struct Shared {
  std::mutex Mutex;
  FabricSprayer Sprayer;
  uint64_t Received = 0;
  uint64_t NoBalancer = 0;
  uint64_t Lost = 0;
};

} // namespace

static Option balancerOption(std::vector<base::Address> &Into) {
  return {"balancer", "IP:PORT", "a balancer's data port; may be repeated",
          [&Into](const std::string &Text) {
            auto Where = base::parseAddress(Text);
            if (Where) {
              Into.push_back(Where.value());
            }
            return static_cast<bool>(Where);
          }};
}

static bool readSettings(int Count, char **Arguments, Settings &Into) {
  const std::vector<Option> Options = {
      serviceOption("a service and its port; may be repeated",
                    [&Into](base::ServiceName Name, base::Address Where) {
                      Into.Services.push_back({std::move(Name), Where, {}});
                    }),
      balancerOption(Into.Balancers),
      addressOption("admin", "where the HTTP endpoint listens", Into.Admin),
      numberOption("seed", "seed of the random choice", Into.Seed)};
  if (!readOptions(Count, Arguments, Options)) {
    return false;
  }
  if (Into.Services.empty()) {
    std::fprintf(stderr, "--service is needed\n");
    return false;
  }
  return true;
}

static std::optional<base::Address> addressIn(const json &Body) {
  if (!Body.is_string()) {
    return std::nullopt;
  }
  base::Result<base::Address> Parsed =
      base::parseAddress(Body.get<std::string>());
  return Parsed ? std::optional(Parsed.value()) : std::nullopt;
}

static bool setBalancers(Shared &State, const json &Body) {
  if (!Body.is_array()) {
    return false;
  }
  std::vector<base::Address> Balancers;
  for (const json &Item : Body) {
    std::optional<base::Address> Where = addressIn(Item);
    if (!Where) {
      return false;
    }
    Balancers.push_back(*Where);
  }
  std::lock_guard Lock(State.Mutex);
  State.Sprayer.setBalancers(std::move(Balancers));
  return true;
}

static json countersJson(Shared &State) {
  std::lock_guard Lock(State.Mutex);
  return {{"received", State.Received},
          {"no_balancer", State.NoBalancer},
          {"lost", State.Lost}};
}

static json balancersJson(Shared &State) {
  std::lock_guard Lock(State.Mutex);
  json List = json::array();
  for (base::Address Balancer : State.Sprayer.live()) {
    List.push_back(base::addressText(Balancer));
  }
  return List;
}

// POST Path with one address, given to Change.
static void addAddressCommand(AdminServer &Admin, Shared &State,
                              const char *Path,
                              void (FabricSprayer::*Change)(base::Address)) {
  Admin.post(Path, [&State, Change](const json &Body) {
    std::optional<base::Address> Where = addressIn(Body);
    if (Where) {
      std::lock_guard Lock(State.Mutex);
      (State.Sprayer.*Change)(*Where);
    }
    return Where.has_value();
  });
}

static void addEndpoints(AdminServer &Admin, Shared &State) {
  Admin.get("/balancers",
            [&State](const QueryValue &) { return balancersJson(State); });
  Admin.get("/counters",
            [&State](const QueryValue &) { return countersJson(State); });
  Admin.post("/balancers",
             [&State](const json &Body) { return setBalancers(State, Body); });
  addAddressCommand(Admin, State, "/cut", &FabricSprayer::cut);
  addAddressCommand(Admin, State, "/restore", &FabricSprayer::restore);
}

static bool openPorts(std::vector<ServicePort> &Services) {
  for (ServicePort &Each : Services) {
    base::Result<Socket> Port = bindUdp(Each.Listen);
    if (!Port) {
      std::fprintf(stderr, "%s\n", Port.error().Message.c_str());
      return false;
    }
    Each.Port = std::move(Port.value());
  }
  return true;
}

// Takes one batch off a port and sprays it. False where nothing waited.
static bool carryBatch(const ServicePort &From, ReceiveBatch &In,
                       SendBatch &Out, Shared &State) {
  const std::vector<ReceivedDatagram> &Datagrams = In.receive(From.Port);
  if (Datagrams.empty()) {
    return false;
  }
  std::lock_guard Lock(State.Mutex);
  for (const ReceivedDatagram &Each : Datagrams) {
    ++State.Received;
    std::optional<base::Address> To = State.Sprayer.next();
    if (!To) {
      ++State.NoBalancer;
      continue;
    }
    std::string Bytes =
        wire::datagramHeader(wire::FabricEnvelope{From.Service, Each.From});
    Bytes += Each.Bytes;
    Out.add(*To, std::move(Bytes));
  }
  Out.flush(From.Port);
  State.Lost = Out.lost();
  return true;
}

static void carry(const std::vector<ServicePort> &Services, Shared &State) {
  std::vector<pollfd> Set;
  Set.reserve(Services.size());
  for (const ServicePort &Each : Services) {
    Set.push_back({Each.Port.fd(), POLLIN, 0});
  }
  ReceiveBatch In;
  SendBatch Out;
  while (!isStopRequested()) {
    (void)::poll(Set.data(), Set.size(), LongestWaitMilliseconds);
    for (const ServicePort &Each : Services) {
      int Left = BatchesPerTurn;
      while (Left > 0 && carryBatch(Each, In, Out, State)) {
        --Left;
      }
    }
  }
}

int main(int Count, char **Arguments) {
  Settings Config;
  if (!readSettings(Count, Arguments, Config)) {
    return 2;
  }
  catchStopSignals();
  if (!openPorts(Config.Services)) {
    return 1;
  }
  Shared State{{}, FabricSprayer(Config.Balancers, Config.Seed)};
  AdminServer Admin;
  addEndpoints(Admin, State);
  if (Config.Admin.Port != 0) {
    base::Result<void> Started = Admin.start(Config.Admin);
    if (!Started) {
      std::fprintf(stderr, "%s\n", Started.error().Message.c_str());
      return 1;
    }
  }
  carry(Config.Services, State);
  return 0;
}
