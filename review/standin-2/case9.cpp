// A balancer that has run through the replacement of many machines, one or a
// few at a time, as planned work. The trial replaces 128 at once to be short.

#include "trial.hpp"

using namespace review;

static const Endpoint Route{(198U << 24U) | (18U << 16U) | 1U, 8443};
// The machines beside servers that are added and removed again; each has a name
// of its own. Without the trouble, fewer.
static constexpr int ManyReplaced = 4160, FewReplaced = 256;
static constexpr int AtOnce = 128;

static void replaceMachines(Deployment &D, int Count) {
  for (int Next = 0; Next < Count;) {
    std::vector<Program *> Added;
    double Begin = now();
    int Half = (Next / AtOnce) % 2;
    for (int I = 0; I < AtOnce && Next < Count; ++I, ++Next) {
      // An address is used again after 3 s at the earliest.
      Added.push_back(&D.agent("side-z-" + std::to_string(100 + Next), "z",
                               machine(20 + Half, 1 + I), "rounds"));
    }
    sleepUntil(Begin + 1.4);
    for (Program *P : Added) {
      P->signal(SIGTERM);
    }
    for (Program *P : Added) {
      P->waitForEnd(6);
    }
    D.forgetEnded();
    record("planned work: " + std::to_string(Next) +
           " machines added and removed");
  }
}

static int run() {
  Deployment D(500);
  // The watches of processes that have ended would wait on.
  D.store().cutWatchesAfter(3);
  const uint32_t Old = machine(1, 10), Restarted = machine(1, 20);
  D.store().put("op/config",
                configuration(3, {{"198.18.0.1", "rounds"}}, {"rounds"}));
  D.balancer("front-z-1", "z", Old);
  Program &Second = D.balancer("front-y-1", "y", Restarted);
  D.agent("side-z-1", "z", machine(1, 11), "rounds");
  Server First({"i-first", "rounds", "z", machine(1, 11)});
  Clients Callers(machine(9, 1));
  waitFor("the first server's registration", 8,
          [&] { return First.lastAckedBeat() > 0; });
  replaceMachines(D, hasTrouble() ? ManyReplaced : FewReplaced);
  Deployment::restart(Second, 0.4);
  sleepUntil(now() + 2);
  D.agent("side-z-new", "z", machine(1, 12), "rounds");
  Server New({"i-new", "rounds", "z", machine(1, 12)});
  waitFor("the new server's registration", 12,
          [&] { return New.lastAckedBeat() > 0; });
  sleepUntil(now() + 2);
  // The clients of zone y; their flows arrive at front-y-1 at first.
  Callers.setNodes({Restarted});
  waitFor("front-y-1 in rotation", 8, [&] {
    return getStatus(Restarted, Ports::Ready, "/bilberrylb/ready") == 200;
  });
  sleepUntil(now() + 1);
  std::vector<std::unique_ptr<LongFlow>> Flows;
  int OnNew = 0;
  for (int I = 0; I < 24; ++I) {
    auto F = std::make_unique<LongFlow>();
    F->State = openUsed(Callers, Route, "q" + std::to_string(I));
    F->Holder = holderOf(F->State, {&First, &New});
    OnNew += F->Holder == &New;
    Flows.push_back(std::move(F));
  }
  sleepUntil(now() + 4.5);
  record("planned work: front-y-1 is stopped (roll_term); no node of zone y is "
         "in rotation, so its flows arrive at front-z-1 from now on");
  Callers.setNodes({Old});
  sleepUntil(now() + 1.2);
  Second.signal(SIGTERM);
  int Broken = 0;
  for (size_t I = 0; I < Flows.size(); ++I) {
    LongFlow &F = *Flows[I];
    bool IsServed =
        Callers.request(F.State, "q" + std::to_string(I) + "-second", 2);
    bool IsBroken = F.State->IsReset && F.Holder != nullptr &&
                    F.Holder->holds(F.State->Client, F.State->Route);
    Broken += IsBroken;
    record("flow from port " + std::to_string(F.State->Client.Port) + " on " +
           (F.Holder ? F.Holder->options().Id : "no server") + ": " +
           (IsServed ? "served" : "not served") +
           (IsBroken ? ", RESET by the system" : ""));
  }
  record("result: " + std::to_string(OnNew) + " flows on i-new, " +
         std::to_string(Broken) + " flows of living servers were reset");
  if (OnNew == 0) {
    throw NotRun("no flow on the new server");
  }
  return Broken > 0 ? ExitCode::Broken : Held;
}

int case9() { return run(); }
