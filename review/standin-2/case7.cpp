// A late heartbeat of a server that has crashed reaches an agent that was just
// restarted by planned work. With VARIANT=born it is one of another writer,
// without the field `born`.

#include "trial.hpp"

#include <csignal>

using namespace review;

static const Endpoint Route{(198U << 24U) | (18U << 16U) | 1U, 8443};

enum class Variant { LateHeartbeat, MissingField };

static int run(Variant Kind) {
  Deployment D;
  const uint32_t Balancer = machine(1, 10);
  const uint32_t Machine2 = machine(1, 12);
  D.store().put("op/config",
                configuration(3, {{"198.18.0.1", "rounds"}}, {"rounds"}));
  D.balancer("front-z-1", "z", Balancer);
  std::vector<std::unique_ptr<Server>> Others;
  std::vector<Server *> All;
  for (int I : {1, 3, 4, 5, 6, 7, 8}) {
    std::string Number = std::to_string(I);
    D.agent("side-z-" + Number, "z", machine(1, 10 + I), "rounds");
    Others.push_back(std::make_unique<Server>(Server::Options{
        "i-other-" + Number, "rounds", "z", machine(1, 10 + I)}));
    All.push_back(Others.back().get());
  }
  Program &Agent2 = D.agent("side-z-2", "z", Machine2, "rounds");
  Clients Callers(machine(9, 1));
  Callers.setNodes({Balancer});

  // The earlier incarnation. Its last heartbeat doesn't arrive for now.
  std::string LateBody;
  const std::string OldId = "i-old";
  if (Kind == Variant::LateHeartbeat) {
    Server Old({OldId, "rounds", "z", Machine2});
    waitFor("the first server's registration", 5,
            [&] { return Old.lastAckedBeat() > 0; });
    sleepUntil(now() + 1.5);
    LateBody = Old.beatBody(Old.sequence() + 1);
    record("server i-old: heartbeat seq " + std::to_string(Old.sequence() + 1) +
           " is held up on its way");
    Old.crash();
    sleepUntil(now() + 2);
  }
  Server New({"i-new", "rounds", "z", Machine2});
  All.push_back(&New);
  waitFor("the new incarnation's registration", 8,
          [&] { return New.lastAckedBeat() > 0; });
  waitFor("the balancer in rotation", 8,
          [&] { return Callers.inRotation().size() == 1; });
  sleepUntil(now() + 1);
  if (Kind == Variant::MissingField) {
    LateBody = New.beatBody(1, /*WithBorn=*/false);
  }
  const std::string SenderId =
      Kind == Variant::LateHeartbeat ? OldId : "i-other-writer";

  std::vector<std::unique_ptr<LongFlow>> Flows;
  std::atomic<bool> Stop{false};
  for (int I = 0; I < 64; ++I) {
    auto F = std::make_unique<LongFlow>();
    F->State = openUsed(Callers, Route, "q" + std::to_string(I));
    F->Holder = holderOf(F->State, All);
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
      Status = sendBeat(Machine2, SenderId, LateBody, 0.2);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    record((Kind == Variant::LateHeartbeat
                ? "the late heartbeat of i-old arrives -> "
                : "a heartbeat without born arrives -> ") +
           std::to_string(Status) + ": " + LateBody);
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

int case7() {
  const char *Value = getenv("VARIANT");
  bool IsMissingField = Value != nullptr && std::string(Value) == "born";
  return run(IsMissingField ? Variant::MissingField : Variant::LateHeartbeat);
}
