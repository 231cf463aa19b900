// What the cases share: the deployment of one trial, and clients that keep
// flows open.

#ifndef REVIEW_STANDIN_2_TRIAL_H
#define REVIEW_STANDIN_2_TRIAL_H

#include "world.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <unistd.h>

namespace review {

enum ExitCode { Held = 0, Broken = 1, CouldNotRun = 2 };

inline bool hasTrouble() {
  const char *Value = getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

/// Ends the trial as one that couldn't run.
class NotRun : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The store, and the project's programs with their settings.
class Deployment {
public:
  explicit Deployment(size_t StoreThreads = 64)
      : StoreIp(machine(0, 7)), TheStore(StoreIp, StoreThreads) {
    char Template[] = "/tmp/review-XXXXXX";
    Folder = mkdtemp(Template);
  }
  ~Deployment() {
    Programs.clear();
    if (getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(Folder);
    } else {
      fprintf(stderr, "logs in %s\n", Folder.c_str());
    }
  }
  Store &store() { return TheStore; }
  Program &balancer(const std::string &Name, const std::string &Zone,
                    uint32_t Ip) {
    return add(Name, "target/bilberry-packet-balancer",
               balancerSettings(Name, Zone, Ip, StoreIp));
  }
  Program &agent(const std::string &Name, const std::string &Zone, uint32_t Ip,
                 const std::string &Service) {
    return add(Name, "target/bilberry-packet-agent",
               agentSettings(Name, Zone, Ip, Service, StoreIp));
  }
  /// Forgets the programs that have ended.
  void forgetEnded() {
    std::erase_if(Programs, [](auto &P) { return !P->isRunning(); });
  }
  /// Stops a program as the platform does at planned work, and starts it again
  /// after Delay seconds.
  static void restart(Program &P, double Delay) {
    P.signal(SIGTERM);
    P.waitForEnd(6);
    sleepUntil(now() + Delay);
    P.start();
  }

  /// The programs that are added from now on write to a log collector, which
  /// reads while *Reads is true.
  void collectOutput(const std::atomic<bool> *Reads) { CollectorReads = Reads; }

private:
  Program &add(const std::string &Name, const std::string &Binary,
               const std::string &Settings) {
    Programs.push_back(
        std::make_unique<Program>(Name, Binary, Settings, Folder));
    Programs.back()->collectOutput(CollectorReads);
    Programs.back()->start();
    return *Programs.back();
  }

  uint32_t StoreIp;
  Store TheStore;
  std::string Folder;
  const std::atomic<bool> *CollectorReads = nullptr;
  std::vector<std::unique_ptr<Program>> Programs;
};

inline void waitFor(const std::string &What, double Limit,
                    const std::function<bool()> &IsTrue) {
  double End = now() + Limit;
  while (!IsTrue()) {
    if (now() > End) {
      throw NotRun("waited in vain for: " + What);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

/// A flow on which requests are sent one after the other, with a pause.
struct LongFlow {
  Clients::Flow State;
  Server *Holder = nullptr;
  std::thread Thread;
  std::atomic<int> Sent{0}, Answered{0};
};

/// Opens a flow and sends a first request on it; tries three times.
inline Clients::Flow openUsed(Clients &Callers, Endpoint Route,
                              const std::string &Id) {
  for (int I = 0; I < 3; ++I) {
    Clients::Flow F = Callers.open(Route);
    if (F && Callers.request(F, Id + "-first" + std::to_string(I), 2)) {
      return F;
    }
  }
  throw NotRun("a flow could not be opened");
}

inline Server *holderOf(const Clients::Flow &F,
                        const std::vector<Server *> &All) {
  for (Server *S : All) {
    if (S->holds(F->Client, F->Route)) {
      return S;
    }
  }
  return nullptr;
}

} // namespace review

#endif
