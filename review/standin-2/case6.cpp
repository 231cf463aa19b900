// Three times, a machine beside a server is lost, and its address is used again
// by another service, while configurations come in quick succession.

#include "trial.hpp"

#include <algorithm>

using namespace review;

static const Endpoint RoundsRoute{(198U << 24U) | (18U << 16U) | 1U, 8443};

static std::string configurationOf(uint64_t Version) {
  return configuration(Version,
                       {{"198.18.0.1", "rounds"}, {"198.18.0.2", "photos"}},
                       {"rounds", "photos"});
}

static int run() {
  Deployment D;
  const uint32_t Front = machine(1, 10), OtherFront = machine(2, 10);
  D.store().put("op/config", configurationOf(3));
  // Zone y has no servers; its clients are served in zone z.
  D.balancer("front-y-1", "y", Front);
  D.balancer("front-z-1", "z", OtherFront);
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<Program *> Agents;
  for (int I = 1; I <= 10; ++I) {
    std::string Number = std::to_string(I);
    std::string Service = I <= 7 ? "rounds" : "photos";
    Agents.push_back(
        &D.agent("side-z-" + Number, "z", machine(2, 10 + I), Service));
    Servers.push_back(std::make_unique<Server>(
        Server::Options{"i-" + Number, Service, "z", machine(2, 10 + I)}));
  }
  Clients Callers(machine(9, 1));
  Callers.setNodes({Front});
  waitFor("the servers' registration", 10, [&] {
    return std::all_of(Servers.begin(), Servers.end(),
                       [](auto &S) { return S->lastAckedBeat() > 0; });
  });
  waitFor("the balancer in rotation", 8,
          [&] { return Callers.inRotation().size() == 1; });
  sleepUntil(now() + 2);

  // Each client opens a flow for each request, as for check-offs.
  std::atomic<bool> Stop{false};
  std::atomic<int> Sent{0}, Served{0};
  std::vector<std::thread> Threads;
  for (int I = 0; I < 40; ++I) {
    Threads.emplace_back([&, I] {
      sleepUntil(now() + 0.005 * I);
      for (int N = 0; !Stop; ++N) {
        ++Sent;
        Clients::Flow F = Callers.open(RoundsRoute);
        if (F &&
            Callers.request(
                F, "c" + std::to_string(I) + "-" + std::to_string(N), 1.5)) {
          ++Served;
          Callers.finish(F);
        }
        sleepUntil(now() + 0.15);
      }
    });
  }
  sleepUntil(now() + 3);
  // Loses the machine of rounds with this number and uses its address again.
  std::vector<std::unique_ptr<Server>> Strangers;
  uint64_t Version = 10;
  auto LoseMachine = [&](int Index) {
    const double Lost = now();
    const uint32_t Ip = machine(2, 11 + Index);
    const std::string Old = std::to_string(Index + 1);
    const std::string New = std::to_string(Index + 11);
    // The processes read the changes every 200 ms; their phases differ.
    const double StormAt = Lost + 1.55 + 0.07 * Index;
    std::thread Operator([&] {
      sleepUntil(StormAt);
      record("planned work: configurations come in quick succession "
             "(config_storm)");
      for (int I = 0; I < 25; ++I) {
        D.store().put("op/config", configurationOf(Version));
        Version += 3;
        sleepUntil(StormAt + 0.06 * (I + 1));
      }
    });
    if (hasTrouble()) {
      record("machine side-z-" + Old + " is lost (replace_with_reuse)");
      Agents[Index]->signal(SIGKILL);
      Servers[Index]->crash();
      Agents[Index]->waitForEnd(1);
      // addr_reuse_s.
      sleepUntil(Lost + 2);
      record("its address is used again by a server of photos");
      D.agent("side-z-" + New, "z", Ip, "photos");
      for (double End = now() + 1;
           now() < End &&
           getStatus(Ip, Ports::Ready, "/bilberrylb/ready") != 200;) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
      Strangers.push_back(std::make_unique<Server>(
          Server::Options{"i-" + New, "photos", "z", Ip}));
    }
    Operator.join();
    sleepUntil(Lost + 8);
  };
  for (int Index : {0, 1, 2}) {
    LoseMachine(Index);
  }
  Stop = true;
  for (auto &T : Threads) {
    T.join();
  }
  int Foreign = 0;
  auto Count = [&](Server &S) {
    if (S.options().Service != "rounds") {
      int Runs = S.runsByRoute()[RoundsRoute];
      Foreign += Runs;
      record("server " + S.options().Id + " of photos ran " +
             std::to_string(Runs) + " requests for rounds");
    }
  };
  for (auto &S : Servers) {
    Count(*S);
  }
  for (auto &S : Strangers) {
    Count(*S);
  }
  record("result: " + std::to_string(Sent) + " sent, " +
         std::to_string(Served) + " served, " + std::to_string(Foreign) +
         " run by a service that no configuration names");
  return Foreign > 0 ? ExitCode::Broken : Held;
}

int case6() { return run(); }
