// Runs one case: review-harness CASE RECORD REPOSITORY. With TROUBLE=0 in the
// environment it leaves the disruption out. Exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case couldn't run.

#include "world.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

static const char *const Pairing = "pairing";
static const char *const Assess = "assess";

struct RouteSpec {
  int Number = 0;
  std::string Service;
};

static std::string configText(const World &W, int64_t Version,
                              const std::vector<RouteSpec> &Routes,
                              double ColdPerSecond) {
  json Config = {{"version", Version},
                 {"routes", json::array()},
                 {"services", json::array()},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", 262144},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15000}}}};
  for (const RouteSpec &Value : Routes) {
    Address At = W.routeAddress(Value.Number);
    Config["routes"].push_back({{"name", "r-" + std::to_string(Value.Number)},
                                {"host", ipText(At.Ip)},
                                {"prefix", "/" + std::to_string(At.Port) + "/"},
                                {"type", "unsafe"},
                                {"timeout_ms", 2000},
                                {"target_latency_ms", 120},
                                {"priority", 1},
                                {"service", Value.Service},
                                {"max_attempts", 2}});
  }
  for (const char *Name : {Pairing, Assess}) {
    Config["services"].push_back({{"name", Name},
                                  {"health_path", "/health"},
                                  {"max_connections", 2000},
                                  {"protocol", "h1"},
                                  {"tls", false},
                                  {"warmup_s", 2.0},
                                  {"warmup_per_s", ColdPerSecond}});
  }
  return Config.dump();
}

static void sleepUntil(int64_t At) {
  while (nowMs() < At) {
    std::this_thread::sleep_for(Ms(std::min<int64_t>(5, At - nowMs())));
  }
}

// Two data centres, a balancer and two servers in each; each service has a
// server in both.
static void buildDeployment(World &W) {
  W.addBalancer("front-kl-a-1", "kl-a", 10);
  W.addBalancer("front-kl-b-1", "kl-b", 11);
  W.addAgent("side-kl-a-1", "kl-a", 20, Pairing);
  W.addAgent("side-kl-b-1", "kl-b", 21, Pairing);
  W.addAgent("side-kl-a-2", "kl-a", 22, Assess);
  W.addAgent("side-kl-b-2", "kl-b", 23, Assess);
}

struct Fleet {
  std::shared_ptr<ServerRun> PairingA, PairingB, AssessA, AssessB;
};

static Fleet startServers(World &W) {
  return {W.startServer("i-pair-a", Pairing, "kl-a", 20, {}),
          W.startServer("i-pair-b", Pairing, "kl-b", 21, {}),
          W.startServer("i-assess-a", Assess, "kl-a", 22, {}),
          W.startServer("i-assess-b", Assess, "kl-b", 23, {})};
}

static int couldNotRun(World &W, const std::string &Why) {
  W.Out.line("couldn't run: " + Why);
  std::cout << "couldn't run: " << Why << std::endl;
  return 2;
}

static int verdict(World &W, bool IsBroken, const std::string &Text) {
  W.Out.line((IsBroken ? "BROKEN: " : "HELD: ") + Text);
  std::cout << (IsBroken ? "BROKEN: " : "HELD: ") << Text << std::endl;
  return IsBroken ? 1 : 0;
}

// CONFIG, and beside it EVAC, after all open connections to the store went
// silent.
static int silentConnections(World &W, bool HasTrouble) {
  constexpr int64_t StableWindowMs = 4000;
  constexpr int64_t ConfigApplyMs = 3000;
  constexpr int64_t EvacuationMs = 5000;
  // Allowance for clocks and scheduling of this program.
  constexpr int64_t MarginMs = 200;
  const Address Kept = W.routeAddress(0), Dropped = W.routeAddress(1),
                Added = W.routeAddress(2), First = W.routeAddress(3);
  std::vector<RouteSpec> Before = {{0, Pairing}, {1, Pairing}, {9, Assess}};
  std::vector<RouteSpec> Middle = Before;
  Middle.push_back({3, Pairing});
  std::vector<RouteSpec> After = {
      {0, Pairing}, {9, Assess}, {3, Pairing}, {2, Pairing}};
  W.Platform->put("op/config", configText(W, 7, Before, 10));
  buildDeployment(W);
  W.startAll();
  Fleet Servers = startServers(W);
  if (!W.waitUntilReady(Ms(15000))) {
    return couldNotRun(W, "the balancers aren't ready");
  }
  sleepUntil(nowMs() + 3000);
  // An ordinary change, which is in force at once.
  int64_t T0 = nowMs();
  W.Platform->put("op/config", configText(W, 12, Middle, 10));
  W.Out.line("operator: version 12 acknowledged; adds " + text(First));
  int64_t SilentAt = 0;
  int64_t AckAt = 0;
  int64_t EvacuatedAt = 0;
  int Number = 0;
  while (nowMs() < T0 + 15000) {
    int64_t Now = nowMs();
    if (SilentAt == 0 && Now >= T0 + 700) {
      SilentAt = Now;
      if (HasTrouble) {
        int Count = W.StoreProxy->silenceOpenConnections();
        W.Out.line("disruption: " + std::to_string(Count) +
                   " open connections to the store go silent");
      }
    }
    if (AckAt == 0 && Now >= T0 + 1500) {
      W.Platform->put("op/config", configText(W, 19, After, 10));
      W.Platform->put("op/evacuate/kl-b", "{}");
      AckAt = EvacuatedAt = nowMs();
      W.Out.line("operator: version 19 acknowledged; drops " + text(Dropped) +
                 ", adds " + text(Added));
      W.Out.line("operator: evacuation of kl-b acknowledged");
    }
    for (const char *Zone : {"kl-a", "kl-b"}) {
      std::string Id = std::to_string(++Number);
      W.openFlow(Zone, Kept, "kept-" + Id, 1, 0, 20);
      W.openFlow(Zone, Dropped, "dropped-" + Id, 1, 0, 20);
      W.openFlow(Zone, Added, "added-" + Id, 1, 0, 20);
    }
    sleepUntil(Now + 100);
  }
  sleepUntil(nowMs() + 2000);
  // Every machine is in touch from here on: its connections were last harmed a
  // stable window before, and the store had no disruption.
  int64_t InTouchAt = SilentAt + StableWindowMs + MarginMs;
  int64_t ConfigFrom = std::max(InTouchAt, AckAt + ConfigApplyMs + MarginMs);
  int64_t EvacuationFrom =
      std::max(InTouchAt, EvacuatedAt + EvacuationMs + MarginMs);
  int RunOnDropped = 0, RefusedOnAdded = 0, AddedAnswered = 0, InEvacuated = 0;
  int64_t Last = 0;
  W.look([&](const std::vector<ClientFlow> &Flows,
             const std::vector<std::shared_ptr<ServerRun>> &Runs) {
    for (const ClientFlow &Flow : Flows) {
      if (Flow.SentAt < ConfigFrom) {
        continue;
      }
      if (Flow.Key.second == Dropped && Flow.Outcome == "answered") {
        ++RunOnDropped;
        Last = std::max(Last, Flow.SentAt);
      }
      if (Flow.Key.second == Added && Flow.Outcome == "reset-opening") {
        ++RefusedOnAdded;
        Last = std::max(Last, Flow.SentAt);
      }
      AddedAnswered +=
          Flow.Key.second == Added && Flow.Outcome == "answered" ? 1 : 0;
    }
    for (const auto &Run : Runs) {
      for (const auto &[At, Key] : Run->Openings) {
        InEvacuated += Run->Zone == "kl-b" && At >= EvacuationFrom ? 1 : 0;
      }
    }
  });
  W.Out.line("checked for CONFIG: requests sent from " +
             std::to_string(ConfigFrom) + " ms on; for EVAC: from " +
             std::to_string(EvacuationFrom) + " ms on");
  // EVAC is only reported: the verdict is that of CONFIG.
  return verdict(W, RunOnDropped > 0 || RefusedOnAdded > 0,
                 "CONFIG: " + std::to_string(RunOnDropped) +
                     " requests run with the dropped route, " +
                     std::to_string(RefusedOnAdded) +
                     " refused on the new route (" +
                     std::to_string(AddedAnswered) + " answered), the last " +
                     std::to_string(Last > 0 ? Last - AckAt : 0) +
                     " ms after the acknowledgement; EVAC: " +
                     std::to_string(InEvacuated) +
                     " flows opened at servers of the evacuated zone");
}

// FLOW: counts the flows that were reset by the system though their server,
// which had the end of the handshake, lives.
static int resetFlows(World &W, int64_t From, int &LostRequests) {
  int Count = 0;
  W.look([&](const std::vector<ClientFlow> &Flows,
             const std::vector<std::shared_ptr<ServerRun>> &Runs) {
    for (const ClientFlow &Flow : Flows) {
      if (Flow.Outcome != "reset-open" || Flow.EndedAt < From) {
        continue;
      }
      for (const auto &Run : Runs) {
        auto It = Run->Flows.find(Flow.Key);
        if (Run->IsAlive && It != Run->Flows.end() && It->second.IsOpen) {
          ++Count;
          LostRequests += Flow.IsWaiting && !It->second.Running.empty() ? 1 : 0;
        }
      }
    }
  });
  return Count;
}

// FLOW after a heartbeat from another writer, which names a service that
// doesn't exist.
static int foreignHeartbeat(World &W, bool HasTrouble) {
  std::vector<RouteSpec> Routes = {{0, Pairing}, {9, Assess}};
  W.Platform->put("op/config", configText(W, 7, Routes, 10));
  buildDeployment(W);
  W.startAll();
  Fleet Servers = startServers(W);
  if (!W.waitUntilReady(Ms(15000))) {
    return couldNotRun(W, "the balancers aren't ready");
  }
  sleepUntil(nowMs() + 5000);
  int64_t T0 = nowMs();
  int64_t HeartbeatAt = 0;
  int Number = 0;
  for (int I = 0; I < 10; ++I) {
    W.openFlow(I % 2 == 0 ? "kl-a" : "kl-b", W.routeAddress(0),
               "feed-" + std::to_string(I), 40, 200, 110 + 20 * I);
  }
  while (nowMs() < T0 + 14000) {
    int64_t Now = nowMs();
    for (const char *Zone : {"kl-a", "kl-b"}) {
      W.openFlow(Zone, W.routeAddress(0), "match-" + std::to_string(++Number),
                 1, 0, 430);
    }
    if (HeartbeatAt == 0 && Now >= T0 + 6000) {
      HeartbeatAt = Now;
      if (HasTrouble) {
        int64_t Born = std::chrono::duration_cast<Ms>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
        std::string Body =
            "{\"service\":\"no-such-service\",\"address\":\"" +
            text(Servers.PairingA->App) +
            "\",\"zone\":\"kl-a\",\"version\":\"v1\",\"slots\":2,\"state\":"
            "\"ready\",\"warmup_left_ms\":0,\"seq\":1,\"born\":" +
            std::to_string(Born) + "}";
        int Status =
            World::call("PUT", Servers.PairingA->Control,
                        "/bilberrylb/instances/i-0ther", Body, Ms(1000));
        W.Out.line("disruption: a heartbeat from another writer to " +
                   text(Servers.PairingA->Control) + ", answered " +
                   std::to_string(Status) + ": " + Body);
      }
    }
    sleepUntil(Now + 200);
  }
  sleepUntil(nowMs() + 4500);
  int Lost = 0;
  int Count = resetFlows(W, HeartbeatAt, Lost);
  return verdict(W, Count > 0,
                 "FLOW: " + std::to_string(Count) +
                     " open flows of a live server were reset by the system, " +
                     std::to_string(Lost) +
                     " of them while their request ran there");
}

// DRAIN while another writer sends heartbeats that lack fields.
static int ignoredDrain(World &W, bool HasTrouble) {
  constexpr int64_t DrainMs = 3000;
  constexpr int64_t MarginMs = 200;
  constexpr int64_t HeartbeatMs = 770;
  std::vector<RouteSpec> Routes = {{0, Pairing}, {9, Assess}};
  W.Platform->put("op/config", configText(W, 7, Routes, 10));
  buildDeployment(W);
  W.startAll();
  Fleet Servers = startServers(W);
  if (!W.waitUntilReady(Ms(15000))) {
    return couldNotRun(W, "the balancers aren't ready");
  }
  sleepUntil(nowMs() + 5000);
  int64_t T0 = nowMs();
  int64_t Born = std::chrono::duration_cast<Ms>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
  std::shared_ptr<ServerRun> Leaving = Servers.PairingA;
  int64_t NextHeartbeatAt = T0 + 1000;
  int Sequence = 0;
  int Number = 0;
  bool IsDraining = false;
  bool HasLeft = false;
  while (nowMs() < T0 + 14000) {
    int64_t Now = nowMs();
    if (HasTrouble && Now >= NextHeartbeatAt) {
      NextHeartbeatAt = Now + HeartbeatMs;
      std::string Body = "{\"service\":\"pairing\",\"address\":\"" +
                         text(Leaving->App) +
                         "\",\"slots\":2,\"state\":\"ready\","
                         "\"warmup_left_ms\":0,\"seq\":" +
                         std::to_string(++Sequence) +
                         ",\"born\":" + std::to_string(Born) + "}";
      int Status =
          World::call("PUT", Leaving->Control, "/bilberrylb/instances/i-0ther",
                      Body, Ms(1000), Leaving->App.Ip);
      if (Sequence == 1) {
        W.Out.line("disruption: heartbeats from another writer without `zone` "
                   "and `version` to " +
                   text(Leaving->Control) + ", answered " +
                   std::to_string(Status) + ": " + Body);
      }
    }
    if (!IsDraining && Now >= T0 + 5000) {
      IsDraining = true;
      W.drainServer(Leaving);
    }
    int64_t AckAt = Leaving->DrainAckAt;
    if (!HasLeft && AckAt > 0 && Now >= AckAt + DrainMs + 2000) {
      HasLeft = true;
      W.leave(Leaving);
    }
    for (const char *Zone : {"kl-a", "kl-b"}) {
      W.openFlow(Zone, W.routeAddress(0), "match-" + std::to_string(++Number),
                 1, 0, 100);
    }
    sleepUntil(Now + 100);
  }
  sleepUntil(nowMs() + 4500);
  int64_t AckAt = Leaving->DrainAckAt;
  if (AckAt == 0) {
    return couldNotRun(W, "the draining server has no acknowledgement");
  }
  int Late = 0;
  int Cut = 0;
  W.look([&](const std::vector<ClientFlow> &Flows,
             const std::vector<std::shared_ptr<ServerRun>> &) {
    for (const auto &[At, Key] : Leaving->Openings) {
      if (At < AckAt + DrainMs + MarginMs) {
        continue;
      }
      ++Late;
      for (const ClientFlow &Flow : Flows) {
        Cut += Flow.Key == Key && Flow.Outcome != "answered" ? 1 : 0;
      }
    }
  });
  return verdict(W, Late > 0,
                 "DRAIN: " + std::to_string(Late) +
                     " flows were opened at a draining server later than "
                     "drain_ms after the acknowledgement, " +
                     std::to_string(Cut) + " of them got no answer");
}

// FAILBACK: the most opening packets in any second at a cold server.
static int mostInOneSecond(const std::vector<ClientFlow> &Flows,
                           const ServerRun &Run) {
  std::vector<std::pair<int64_t, int64_t>> Spans; // sent, arrived
  for (const auto &[At, Key] : Run.Openings) {
    if (At - Run.StartedAt >= Run.WarmupMs) {
      continue;
    }
    for (const ClientFlow &Flow : Flows) {
      if (Flow.Key == Key) {
        Spans.emplace_back(Flow.SentAt, At);
      }
    }
  }
  int Most = 0;
  for (const auto &[Unused, End] : Spans) {
    int Count = 0;
    for (const auto &[Sent, Arrived] : Spans) {
      Count += Sent > End - 1000 && Arrived <= End ? 1 : 0;
    }
    Most = std::max(Most, Count);
  }
  return Most;
}

// FAILBACK after a server crashed and came back cold. It takes packets from its
// start on, and sends its first heartbeat 0.3 s later.
static int coldRestart(World &W, bool HasTrouble) {
  constexpr double ColdPerSecond = 0;
  constexpr double Limit = ColdPerSecond * 1.5 + 5;
  std::vector<RouteSpec> Routes = {{0, Pairing}, {9, Assess}};
  W.Platform->put("op/config", configText(W, 7, Routes, ColdPerSecond));
  buildDeployment(W);
  W.startAll();
  Fleet Servers = startServers(W);
  if (!W.waitUntilReady(Ms(15000))) {
    return couldNotRun(W, "the balancers aren't ready");
  }
  sleepUntil(nowMs() + 5000);
  int64_t T0 = nowMs();
  int Number = 0;
  bool HasCrashed = false;
  std::shared_ptr<ServerRun> Cold;
  for (int I = 0; I < 20; ++I) {
    W.openFlow(I % 2 == 0 ? "kl-a" : "kl-b", W.routeAddress(0),
               "feed-" + std::to_string(I), 40, 300, 20);
  }
  while (nowMs() < T0 + 13000) {
    int64_t Now = nowMs();
    for (const char *Zone : {"kl-a", "kl-b"}) {
      W.openFlow(Zone, W.routeAddress(0), "match-" + std::to_string(++Number),
                 1, 0, 20);
    }
    if (HasTrouble && !HasCrashed && Now >= T0 + 5000) {
      HasCrashed = true;
      W.crashServer(Servers.PairingA);
    }
    if (HasCrashed && !Cold && Now >= T0 + 6500) {
      World::ServerOptions Options;
      Options.WarmupMs = 2000;
      Options.FirstHeartbeatDelayMs = 300;
      Cold = W.startServer("i-pair-a2", Pairing, "kl-a", 20, Options);
    }
    sleepUntil(Now + 25);
  }
  sleepUntil(nowMs() + 2000);
  int Most = 0;
  W.look([&](const std::vector<ClientFlow> &Flows,
             const std::vector<std::shared_ptr<ServerRun>> &) {
    if (Cold) {
      Most = mostInOneSecond(Flows, *Cold);
    }
  });
  return verdict(W, Most > Limit,
                 "FAILBACK: at most " + std::to_string(Most) +
                     " flows were opened in one second at a cold server, " +
                     std::to_string(static_cast<int>(Limit)) + " allowed");
}

// FLOW after an agent was killed and restarted within the first heartbeat
// interval of a new server whose count of heartbeats starts at 0.
static int earlyKill(World &W, bool HasTrouble) {
  std::vector<RouteSpec> Routes = {{0, Pairing}, {9, Assess}};
  W.Platform->put("op/config", configText(W, 7, Routes, 1000));
  buildDeployment(W);
  W.startAll();
  if (!W.waitUntilReady(Ms(15000))) {
    return couldNotRun(W, "the balancers aren't ready");
  }
  sleepUntil(nowMs() + 3000);
  World::ServerOptions Options;
  Options.FirstSeq = 0;
  Options.WarmupMs = 2000;
  auto Run = W.startServer("i-pair-a", Pairing, "kl-a", 20, Options);
  sleepUntil(nowMs() + 100);
  for (int I = 0; I < 6; ++I) {
    W.openFlow("kl-a", W.routeAddress(0), "feed-" + std::to_string(I), 3, 6000,
               20);
  }
  sleepUntil(nowMs() + 200);
  if (HasTrouble) {
    W.Processes["side-kl-a-1"]->kill(SIGKILL);
    W.Out.line("disruption: the agent side-kl-a-1 is killed");
    sleepUntil(nowMs() + 250);
    W.Processes["side-kl-a-1"]->start();
    W.Out.line("platform: the agent side-kl-a-1 is started again");
  }
  int64_t RestartedAt = nowMs();
  sleepUntil(nowMs() + 20000);
  int Lost = 0;
  int Count = resetFlows(W, RestartedAt + 4200, Lost);
  return verdict(W, Count > 0,
                 "FLOW: " + std::to_string(Count) +
                     " open flows of a live server were reset by the system");
}

} // namespace review

int main(int Argc, char **Argv) {
  if (Argc != 4) {
    std::cerr << "usage: review-harness CASE RECORD REPOSITORY" << std::endl;
    return 2;
  }
  const char *Trouble = std::getenv("TROUBLE");
  bool HasTrouble = Trouble == nullptr || std::strcmp(Trouble, "0") != 0;
  std::string Case = Argv[1];
  try {
    review::World W(Argv[2], Argv[3]);
    W.Out.line(std::string("case ") + Case +
               (HasTrouble ? "" : " without the disruption"));
    int Code = 2;
    if (Case == "silent-connections") {
      Code = review::silentConnections(W, HasTrouble);
    } else if (Case == "foreign-heartbeat") {
      Code = review::foreignHeartbeat(W, HasTrouble);
    } else if (Case == "cold-restart") {
      Code = review::coldRestart(W, HasTrouble);
    } else if (Case == "ignored-drain") {
      Code = review::ignoredDrain(W, HasTrouble);
    } else if (Case == "early-kill") {
      Code = review::earlyKill(W, HasTrouble);
    }
    W.stop();
    return Code;
  } catch (const std::exception &Failure) {
    std::cerr << "couldn't run: " << Failure.what() << std::endl;
    return 2;
  }
}
