// Stand-in for the fabric: receives callers' datagrams on one UDP port per
// service, prepends an envelope with service and caller, and sends each to a
// random live balancer. Answers do not pass through the fabric.
//
//   GET  /balancers                       the balancers in use
//   POST /balancers ["IP:PORT", ...]      replaces the list
//   POST /cut       "IP:PORT"             stops sending to a balancer
//   POST /restore   "IP:PORT"             resumes sending to it
//   GET  /counters                        datagrams received and dropped

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

constexpr int PollTimeoutMilliseconds = 100;
// Limit per port and loop iteration, so that a busy port does not starve the
// others.
constexpr int MaxBatchesPerPort = 16;

struct ServicePort {
  base::ServiceName Service;
  base::Address Listen;
  Socket UdpSocket;
};

struct Settings {
  std::vector<ServicePort> Services;
  std::vector<base::Address> Balancers;
  base::Address Admin;
  uint32_t Seed = 1;
};

// State shared by the HTTP endpoint's threads and the forwarding loop. Mutex
// guards all other members.
struct SharedState {
  std::mutex Mutex;
  FabricSprayer Sprayer;
  uint64_t Received = 0;
  uint64_t NoBalancerDrops = 0;
  uint64_t SendFailures = 0;
};

} // namespace

static Option balancerOption(std::vector<base::Address> &Into) {
  return {"balancer", "IP:PORT", "data address of a balancer; may be repeated",
          [&Into](const std::string &Text) {
            auto SocketAddress = base::parseAddress(Text);
            if (SocketAddress) {
              Into.push_back(SocketAddress.value());
            }
            return static_cast<bool>(SocketAddress);
          }};
}

static bool readSettings(int Count, char **Arguments, Settings &Into) {
  const std::vector<Option> Options = {
      serviceOption(
          "a service and its listening address; may be repeated",
          [&Into](base::ServiceName Name, base::Address SocketAddress) {
            Into.Services.push_back({std::move(Name), SocketAddress, {}});
          }),
      balancerOption(Into.Balancers),
      addressOption("admin", "listening address of the HTTP endpoint",
                    Into.Admin),
      numberOption("seed", "random seed of the choice of balancers",
                   Into.Seed)};
  if (!parseOptions(Count, Arguments, Options)) {
    return false;
  }
  if (Into.Services.empty()) {
    std::fprintf(stderr, "--service is required\n");
    return false;
  }
  return true;
}

static std::optional<base::Address> parseAddressJson(const json &Body) {
  if (!Body.is_string()) {
    return std::nullopt;
  }
  base::Result<base::Address> Parsed =
      base::parseAddress(Body.get<std::string>());
  return Parsed ? std::optional(Parsed.value()) : std::nullopt;
}

static bool setBalancers(SharedState &State, const json &Body) {
  if (!Body.is_array()) {
    return false;
  }
  std::vector<base::Address> Balancers;
  for (const json &Item : Body) {
    std::optional<base::Address> SocketAddress = parseAddressJson(Item);
    if (!SocketAddress) {
      return false;
    }
    Balancers.push_back(*SocketAddress);
  }
  std::lock_guard Lock(State.Mutex);
  State.Sprayer.setBalancers(std::move(Balancers));
  return true;
}

static json countersJson(SharedState &State) {
  std::lock_guard Lock(State.Mutex);
  return {{"received", State.Received},
          {"no_balancer", State.NoBalancerDrops},
          {"lost", State.SendFailures}};
}

static json balancersJson(SharedState &State) {
  std::lock_guard Lock(State.Mutex);
  json List = json::array();
  for (base::Address Balancer : State.Sprayer.live()) {
    List.push_back(base::addressText(Balancer));
  }
  return List;
}

// Registers POST Path, whose body is one address, which is passed to Change.
static void addAddressCommand(AdminServer &Admin, SharedState &State,
                              const char *Path,
                              void (FabricSprayer::*Change)(base::Address)) {
  Admin.post(Path, [&State, Change](const json &Body) {
    std::optional<base::Address> SocketAddress = parseAddressJson(Body);
    if (SocketAddress) {
      std::lock_guard Lock(State.Mutex);
      (State.Sprayer.*Change)(*SocketAddress);
    }
    return SocketAddress.has_value();
  });
}

static void addEndpoints(AdminServer &Admin, SharedState &State) {
  Admin.get("/balancers",
            [&State](const QueryValue &) { return balancersJson(State); });
  Admin.get("/counters",
            [&State](const QueryValue &) { return countersJson(State); });
  Admin.post("/balancers",
             [&State](const json &Body) { return setBalancers(State, Body); });
  addAddressCommand(Admin, State, "/cut", &FabricSprayer::disableBalancer);
  addAddressCommand(Admin, State, "/restore", &FabricSprayer::enableBalancer);
}

static bool openPorts(std::vector<ServicePort> &Services) {
  for (ServicePort &Each : Services) {
    base::Result<Socket> UdpSocket = bindUdp(Each.Listen);
    if (!UdpSocket) {
      std::fprintf(stderr, "%s\n", UdpSocket.error().Message.c_str());
      return false;
    }
    Each.UdpSocket = std::move(UdpSocket.value());
  }
  return true;
}

// Receives one batch from a port and forwards it. Returns false if no datagram
// was waiting.
static bool forwardBatch(const ServicePort &From, ReceiveBatch &ReceivedBatch,
                         SendBatch &Out, SharedState &State) {
  const std::vector<ReceivedDatagram> &Datagrams =
      ReceivedBatch.receive(From.UdpSocket);
  if (Datagrams.empty()) {
    return false;
  }
  std::lock_guard Lock(State.Mutex);
  for (const ReceivedDatagram &Each : Datagrams) {
    ++State.Received;
    std::optional<base::Address> To = State.Sprayer.next();
    if (!To) {
      ++State.NoBalancerDrops;
      continue;
    }
    std::string Bytes =
        wire::datagramHeader(wire::FabricEnvelope{From.Service, Each.From});
    Bytes += Each.Bytes;
    Out.add(*To, std::move(Bytes));
  }
  Out.flush(From.UdpSocket);
  State.SendFailures = Out.droppedCount();
  return true;
}

static void runForwardingLoop(const std::vector<ServicePort> &Services,
                              SharedState &State) {
  std::vector<pollfd> PollDescriptors;
  PollDescriptors.reserve(Services.size());
  for (const ServicePort &Each : Services) {
    PollDescriptors.push_back({Each.UdpSocket.fd(), POLLIN, 0});
  }
  ReceiveBatch ReceivedBatch;
  SendBatch Out;
  while (!isStopRequested()) {
    (void)::poll(PollDescriptors.data(), PollDescriptors.size(),
                 PollTimeoutMilliseconds);
    for (const ServicePort &Each : Services) {
      int RemainingBatches = MaxBatchesPerPort;
      while (RemainingBatches > 0 &&
             forwardBatch(Each, ReceivedBatch, Out, State)) {
        --RemainingBatches;
      }
    }
  }
}

int main(int Count, char **Arguments) {
  Settings Config;
  if (!readSettings(Count, Arguments, Config)) {
    return 2;
  }
  installStopSignalHandlers();
  if (!openPorts(Config.Services)) {
    return 1;
  }
  SharedState State{{}, FabricSprayer(Config.Balancers, Config.Seed)};
  AdminServer Admin;
  addEndpoints(Admin, State);
  if (Config.Admin.Port != 0) {
    base::Result<void> Started = Admin.start(Config.Admin);
    if (!Started) {
      std::fprintf(stderr, "%s\n", Started.error().Message.c_str());
      return 1;
    }
  }
  runForwardingLoop(Config.Services, State);
  return 0;
}
