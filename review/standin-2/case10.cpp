// The collector of the processes' standard output pauses.

#include "trial.hpp"

using namespace review;

static const Endpoint Route{(198U << 24U) | (18U << 16U) | 1U, 8443};
// The collector pauses from Begin until End, seconds after traffic began.
static constexpr double PauseBegin = 4, PauseEnd = 34, TrafficEnd = 42;

static int run() {
  std::atomic<bool> CollectorReads{true};
  Deployment D;
  D.collectOutput(&CollectorReads);
  const uint32_t Balancer1 = machine(1, 10), Balancer2 = machine(1, 20);
  const uint32_t Machine1 = machine(1, 11), Machine2 = machine(1, 12);
  D.store().put("op/config",
                configuration(3, {{"198.18.0.1", "rounds"}}, {"rounds"}));
  Program &First = D.balancer("front-z-1", "z", Balancer1);
  D.balancer("front-z-2", "z", Balancer2);
  D.agent("side-z-1", "z", Machine1, "rounds");
  D.agent("side-z-2", "z", Machine2, "rounds");
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
        {
          std::lock_guard Lock(M);
          ++Sent[Second];
          Served[Second] += IsServed;
        }
        sleepUntil(now() + 0.1);
      }
    });
  }
  sleepUntil(Begin + PauseBegin);
  if (hasTrouble()) {
    record("the collector of the logs pauses");
    CollectorReads = false;
  }
  sleepUntil(Begin + PauseEnd - 4);
  int FirstStatus = getStatus(Balancer1, Ports::Ready, "/bilberrylb/ready");
  int Metrics = getStatus(Balancer1, Ports::Internal, "/metrics");
  double SinceBeat = now() - std::max(A.lastAckedBeat(), B.lastAckedBeat());
  record("front-z-1: ready -> " + std::to_string(FirstStatus) +
         ", metrics -> " + std::to_string(Metrics) +
         "; last heartbeat acknowledged " + std::to_string(SinceBeat) +
         " s ago");
  sleepUntil(Begin + PauseEnd);
  if (hasTrouble()) {
    record("the collector reads again");
    CollectorReads = true;
  }
  sleepUntil(Begin + TrafficEnd);
  Stop = true;
  for (auto &T : Threads) {
    T.join();
  }
  int SentInPause = 0, ServedInPause = 0, Before = 0;
  for (auto &[Second, Count] : Sent) {
    record("second " + std::to_string(Second) + ": " + std::to_string(Count) +
           " sent, " + std::to_string(Served[Second]) + " served");
    if (Second < PauseBegin) {
      Before += Served[Second];
    }
    // 14 s of the pause, without those whose clients still wait at its end.
    if (Second >= PauseEnd - 17 && Second < PauseEnd - 3) {
      SentInPause += Count;
      ServedInPause += Served[Second];
    }
  }
  record("result: in 14 s of the pause " + std::to_string(SentInPause) +
         " sent, " + std::to_string(ServedInPause) +
         " served; the process is " + (First.isRunning() ? "running" : "gone"));
  if (Before < 50) {
    throw NotRun("the deployment didn't serve before the pause");
  }
  return SentInPause > 0 && ServedInPause == 0 ? ExitCode::Broken : Held;
}

int case10() { return run(); }
