// All processes are killed at once; later, quiet flows are used again while the
// server beside another agent is down for some seconds.

#include "trial.hpp"

#include <algorithm>

using namespace review;

static const Endpoint Route{(198U << 24U) | (18U << 16U) | 1U, 8443};

static int run() {
  Deployment D;
  const uint32_t Balancer = machine(1, 10);
  const int Last = 8;
  const uint32_t Crashes = machine(1, 10 + Last);
  D.store().put("op/config",
                configuration(3, {{"198.18.0.1", "rounds"}}, {"rounds"}));
  Program &Front = D.balancer("front-z-1", "z", Balancer);
  std::vector<Program *> Programs = {&Front};
  std::vector<std::unique_ptr<Server>> Steady;
  std::vector<Server *> All;
  for (int I = 1; I <= Last; ++I) {
    std::string Number = std::to_string(I);
    Programs.push_back(
        &D.agent("side-z-" + Number, "z", machine(1, 10 + I), "rounds"));
    if (I < Last) {
      Steady.push_back(std::make_unique<Server>(Server::Options{
          "i-steady-" + Number, "rounds", "z", machine(1, 10 + I)}));
      All.push_back(Steady.back().get());
    }
  }
  Clients Callers(machine(9, 1));
  Callers.setNodes({Balancer});
  auto Crashing = std::make_unique<Server>(
      Server::Options{"i-crashing", "rounds", "z", Crashes});
  auto AllBeatSince = [&](double Time) {
    return std::all_of(All.begin(), All.end(),
                       [&](Server *S) { return S->lastAckedBeat() > Time; });
  };
  All.push_back(Crashing.get());
  waitFor("the servers' registration", 8, [&] { return AllBeatSince(0); });
  waitFor("the balancer in rotation", 8,
          [&] { return Callers.inRotation().size() == 1; });
  sleepUntil(now() + 1);

  std::vector<std::unique_ptr<LongFlow>> Flows;
  for (int I = 0; I < 48; ++I) {
    auto F = std::make_unique<LongFlow>();
    F->State = openUsed(Callers, Route, "q" + std::to_string(I));
    F->Holder = holderOf(F->State, All);
    Flows.push_back(std::move(F));
  }
  std::erase_if(Flows, [&](auto &F) {
    return F->Holder == nullptr || F->Holder == Crashing.get();
  });
  if (Flows.empty()) {
    throw NotRun("no flow on a steady server");
  }
  sleepUntil(now() + 1);

  const double Kill = now();
  record("all processes of the system are killed at once (herd_kill)");
  for (Program *P : Programs) {
    P->signal(SIGKILL);
  }
  for (Program *P : Programs) {
    P->waitForEnd(2);
  }
  sleepUntil(Kill + 0.5);
  for (Program *P : Programs) {
    P->start();
  }
  waitFor("heartbeats after the restart", 4,
          [&] { return AllBeatSince(Kill + 0.5); });
  sleepUntil(Kill + 3);
  if (hasTrouble()) {
    record("server i-crashing crashes (srv_crash, for 4.5 s)");
    Crashing->crash();
  }
  // By now the killed machines have run undisturbed for over stable_window_ms.
  sleepUntil(Kill + 6);
  record("the clients use their flows again");
  for (size_t I = 0; I < Flows.size(); ++I) {
    LongFlow *F = Flows[I].get();
    F->Thread = std::thread([&Callers, F, I] {
      sleepUntil(now() + 0.03 * static_cast<double>(I));
      ++F->Sent;
      F->Answered +=
          Callers.request(F->State, "q" + std::to_string(I) + "-second", 5.5);
    });
  }
  sleepUntil(Kill + 7.5);
  std::unique_ptr<Server> Returned;
  if (hasTrouble()) {
    Returned = std::make_unique<Server>(
        Server::Options{"i-returned", "rounds", "z", Crashes});
  }
  int Broken = 0;
  for (auto &F : Flows) {
    F->Thread.join();
    bool IsBroken = F->State->IsReset &&
                    F->Holder->holds(F->State->Client, F->State->Route);
    Broken += IsBroken;
    record("flow from port " + std::to_string(F->State->Client.Port) + " on " +
           F->Holder->options().Id + ": " + std::to_string(F->Sent) +
           " sent, " + std::to_string(F->Answered) + " answered" +
           (IsBroken ? ", RESET by the system" : ""));
  }
  record("result: " + std::to_string(Flows.size()) +
         " flows on steady servers, " + std::to_string(Broken) +
         " of them were reset");
  return Broken > 0 ? ExitCode::Broken : Held;
}

int case8() { return run(); }
