// All processes are killed at once while the collector of their standard output
// pauses.

#include "trial.hpp"

using namespace review;

static const Endpoint Route{(198U << 24U) | (18U << 16U) | 1U, 8443};
// Seconds after traffic began: the final fault, and the end of the judgement.
static constexpr double KillAt = 4, JudgedUntil = 32;
static constexpr double DownTime = 0.64, RecoverySeconds = 12;

static int run() {
  std::atomic<bool> CollectorReads{true};
  Deployment D;
  D.collectOutput(&CollectorReads);
  const uint32_t Balancer1 = machine(1, 10), Balancer2 = machine(1, 20);
  const uint32_t Machine1 = machine(1, 11), Machine2 = machine(1, 12);
  D.store().put("op/config",
                configuration(3, {{"198.18.0.1", "rounds"}}, {"rounds"}));
  std::vector<Program *> Programs = {
      &D.balancer("front-z-1", "z", Balancer1),
      &D.balancer("front-z-2", "z", Balancer2),
      &D.agent("side-z-1", "z", Machine1, "rounds"),
      &D.agent("side-z-2", "z", Machine2, "rounds")};
  Clients Callers(machine(9, 1));
  Callers.setNodes({Balancer1, Balancer2});
  Server A({"i-a", "rounds", "z", Machine1}),
      B({"i-b", "rounds", "z", Machine2});
  waitFor("both servers' registration", 8,
          [&] { return A.lastAckedBeat() > 0 && B.lastAckedBeat() > 0; });
  waitFor("the balancers in rotation", 8, [&] {
    return getStatus(Balancer1, Ports::Ready, "/bilberrylb/ready") == 200 &&
           getStatus(Balancer2, Ports::Ready, "/bilberrylb/ready") == 200;
  });
  sleepUntil(now() + 1);

  // Each client opens a flow for each request, as for check-offs: about 200
  // requests a second together.
  const double Begin = now();
  std::atomic<bool> Stop{false};
  std::mutex M;
  std::map<int, int> Sent, Served;
  std::vector<std::thread> Threads;
  for (int I = 0; I < 24; ++I) {
    Threads.emplace_back([&, I] {
      for (int N = 0; !Stop; ++N) {
        int Second = static_cast<int>(now() - Begin);
        Clients::Flow F = Callers.open(Route);
        bool IsServed =
            F && Callers.request(
                     F, "c" + std::to_string(I) + "-" + std::to_string(N), 1.6);
        if (IsServed) {
          Callers.finish(F);
        }
        {
          std::lock_guard Lock(M);
          ++Sent[Second];
          Served[Second] += IsServed;
        }
        sleepUntil(now() + 0.1);
      }
    });
  }
  sleepUntil(Begin + KillAt);
  if (hasTrouble()) {
    record("the collector of the logs pauses");
    CollectorReads = false;
  }
  record("final fault: all processes are killed (kill_all)");
  for (Program *P : Programs) {
    P->signal(SIGKILL);
  }
  for (Program *P : Programs) {
    P->waitForEnd(2);
  }
  sleepUntil(Begin + KillAt + DownTime);
  for (Program *P : Programs) {
    P->start();
  }
  const double BackAt = now() - Begin;
  sleepUntil(Begin + JudgedUntil - 2);
  record(
      "front-z-1: ready -> " +
      std::to_string(getStatus(Balancer1, Ports::Ready, "/bilberrylb/ready")) +
      ", metrics -> " +
      std::to_string(getStatus(Balancer1, Ports::Internal, "/metrics")) +
      "; the process is " + (Programs[0]->isRunning() ? "running" : "gone"));
  sleepUntil(Begin + JudgedUntil + 2);
  record("the collector reads again");
  CollectorReads = true;
  sleepUntil(Begin + JudgedUntil + 6);
  Stop = true;
  for (auto &T : Threads) {
    T.join();
  }
  int SentBefore = 0, ServedBefore = 0, SentAfter = 0, ServedAfter = 0;
  for (auto &[Second, Count] : Sent) {
    record("second " + std::to_string(Second) + ": " + std::to_string(Count) +
           " sent, " + std::to_string(Served[Second]) + " served");
    if (Second < KillAt) {
      SentBefore += Count;
      ServedBefore += Served[Second];
    }
    if (Second >= BackAt + RecoverySeconds && Second < JudgedUntil) {
      SentAfter += Count;
      ServedAfter += Served[Second];
    }
  }
  record("result: before the final fault " + std::to_string(SentBefore) +
         " sent, " + std::to_string(ServedBefore) + " served; later than " +
         std::to_string(static_cast<int>(RecoverySeconds)) +
         " s after the machines are back " + std::to_string(SentAfter) +
         " sent, " + std::to_string(ServedAfter) + " served");
  if (ServedBefore * 4 < SentBefore) {
    throw NotRun("the deployment didn't serve before the final fault");
  }
  return ServedAfter * 4 < SentAfter ? ExitCode::Broken : Held;
}

int case10() { return run(); }
