// A late heartbeat of a server that has crashed reaches an agent that was just
// restarted by planned work.

#include "trial.h"

#include <csignal>

using namespace review;

static const Endpoint Route{(198U << 24U) | (18U << 16U) | 1U, 8443};

static int run() {
  Deployment D;
  const uint32_t Balancer = machine(1, 10);
  const uint32_t Machine1 = machine(1, 11), Machine2 = machine(1, 12);
  D.store().put("op/config", configuration(3, {{"198.18.0.1", "rounds"}},
                                           {"rounds"}));
  D.balancer("front-z-1", "z", Balancer);
  D.agent("side-z-1", "z", Machine1, "rounds");
  Program &Agent2 = D.agent("side-z-2", "z", Machine2, "rounds");
  Clients Callers(machine(9, 1));
  Callers.setNodes({Balancer});
  Server Other({"i-other", "rounds", "z", Machine1});

  // The earlier incarnation. Its last heartbeat doesn't arrive for now.
  std::string LateBody;
  const std::string OldId = "i-old";
  {
    Server Old({OldId, "rounds", "z", Machine2});
    waitFor("the first server's registration", 5,
            [&] { return Old.lastAckedBeat() > 0; });
    sleepUntil(now() + 1.5);
    LateBody = Old.beatBody(Old.sequence() + 1);
    record("server i-old: heartbeat seq " + std::to_string(Old.sequence() + 1) +
           " is held up on its way");
    Old.crash();
  }
  sleepUntil(now() + 2);
  Server New({"i-new", "rounds", "z", Machine2});
  waitFor("the new incarnation's registration", 8,
          [&] { return New.lastAckedBeat() > 0; });
  waitFor("the balancer in rotation", 8,
          [&] { return Callers.inRotation().size() == 1; });
  sleepUntil(now() + 1);

  std::vector<std::unique_ptr<LongFlow>> Flows;
  std::atomic<bool> Stop{false};
  for (int I = 0; I < 16; ++I) {
    auto F = std::make_unique<LongFlow>();
    F->State = Callers.open(Route);
    if (!F->State ||
        !Callers.request(F->State, "q" + std::to_string(I) + "-first", 2)) {
      throw NotRun("a flow could not be opened");
    }
    F->Holder = holderOf(F->State, {&Other, &New});
    LongFlow *Raw = F.get();
    F->Thread = std::thread([&Callers, &Stop, Raw, I] {
      for (int N = 1; !Stop && !Raw->State->IsReset; ++N) {
        ++Raw->Sent;
        Raw->Answered += Callers.request(
            Raw->State, "q" + std::to_string(I) + "-" + std::to_string(N), 4);
        sleepUntil(now() + (I % 2 == 0 ? 0.15 : 2.5));
      }
    });
    Flows.push_back(std::move(F));
  }
  // The new incarnation has run undisturbed for longer than stable_window_ms.
  sleepUntil(now() + 4.5);
  double LastBeat = New.lastAckedBeat();
  waitFor("a heartbeat", 3, [&] { return New.lastAckedBeat() > LastBeat; });
  record("planned work: side-z-2 is stopped and started (roll_term)");
  Deployment::restart(Agent2, 0.4);
  if (hasTrouble()) {
    int Status = -1;
    sleepUntil(now() + 0.35);
    double End = now() + 1;
    while (Status < 0 && now() < End) {
      Status = sendBeat(Machine2, OldId, LateBody, 0.2);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    record("the late heartbeat of i-old arrives -> " + std::to_string(Status));
  }
  sleepUntil(now() + 8);
  Stop = true;
  int Broken = 0, OnNew = 0;
  for (auto &F : Flows) {
    F->Thread.join();
    OnNew += F->Holder == &New;
    bool IsBroken = F->State->IsReset && F->Holder != nullptr &&
                    F->Holder->holds(F->State->Client, F->State->Route);
    Broken += IsBroken;
    record("flow from port " + std::to_string(F->State->Client.Port) + " on " +
           (F->Holder ? F->Holder->options().Id : "no server") + ": " +
           std::to_string(F->Sent) + " sent, " + std::to_string(F->Answered) +
           " answered" + (IsBroken ? ", RESET by the system" : ""));
  }
  record("result: " + std::to_string(OnNew) + " flows on i-new, " +
         std::to_string(Broken) + " flows of living servers were reset");
  if (OnNew == 0) {
    throw NotRun("no flow on the new incarnation");
  }
  return Broken > 0 ? ExitCode::Broken : Held;
}

int case7() { return run(); }
