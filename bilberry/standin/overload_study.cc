#include "bilberry/standin/overload_study.h"

#include "bilberry/admission/deadline_queue.h"
#include "bilberry/admission/upstream_limits.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>

namespace bilberry::standin {

namespace {

constexpr base::Duration SimulationStep = std::chrono::milliseconds(1);
constexpr uint32_t CompletionsPerSlot = 10;
constexpr size_t QueueLength = 128;
constexpr size_t UnboundedLength = SIZE_MAX;
constexpr base::TimePoint SimulationStart{std::chrono::hours(1)};
constexpr base::TimePoint NoDeadline =
    SimulationStart + std::chrono::hours(10'000);

struct Request {
  base::TimePoint Start;
  base::TimePoint Deadline;
  bool IsAnswered = false;
  /// Indexes of the agents, in the order in which they are tried.
  std::vector<size_t> Ranking;
};

struct RunningRequest {
  size_t Request = 0;
  base::TimePoint StartedAt;
  /// Remaining service time in milliseconds.
  double RemainingMilliseconds = 0;
};

// An upstream together with the admission control of its agent.
struct SimulatedUpstream {
  SimulatedUpstream(const StudyConfig &Config, const StudyPolicy &Policy)
      : Limits(Policy.Retry),
        Queue(Policy.ShedsByDeadline ? QueueLength : UnboundedLength) {
    targets::UpstreamCapacity Capacity;
    Capacity.Slots = Config.Slots;
    Capacity.ColdSlots = Config.ColdSlots;
    Capacity.CompletionsPerSlot = CompletionsPerSlot;
    Capacity.LatencyBound = Config.LatencyBound;
    this->Limits.setCapacity(Capacity);
  }

  admission::UpstreamLimits Limits;
  admission::DeadlineQueue<size_t> Queue;
  std::vector<RunningRequest> Work;
  uint32_t SlowFactor = 1;
};

class Study {
public:
  Study(const StudyConfig &Config, const StudyPolicy &Policy)
      : Config(Config), Policy(Policy), Random(Config.Seed) {
    uint32_t Alive = Config.Upstreams - Config.RemovedUpstreams;
    for (uint32_t Index = 0; Index < Alive; ++Index) {
      this->SimulatedUpstreams.push_back(
          std::make_unique<SimulatedUpstream>(Config, Policy));
      bool IsSlow = Index < Config.SlowUpstreams;
      this->SimulatedUpstreams.back()->SlowFactor =
          IsSlow ? Config.SlowFactor : 1;
    }
  }

  StudyResult run() {
    base::TimePoint End =
        SimulationStart + this->Config.WarmUp + this->Config.Length;
    for (; this->Now < End; this->Now += SimulationStep) {
      this->generateArrivals();
      this->sendDueRetries();
      for (std::unique_ptr<SimulatedUpstream> &Each :
           this->SimulatedUpstreams) {
        this->processWork(*Each);
      }
    }
    this->computeResult();
    return this->Result;
  }

private:
  bool isCounted() const {
    return this->Now >= SimulationStart + this->Config.WarmUp;
  }

  void count(uint64_t &Counter) const { Counter += this->isCounted() ? 1 : 0; }

  double requestsPerSecond(double Slots) const {
    return Slots /
           std::chrono::duration<double>(this->Config.ServiceTime).count();
  }

  void generateArrivals() {
    double Rate =
        this->Config.Load *
        this->requestsPerSecond(this->Config.Slots * this->Config.Upstreams);
    std::poisson_distribution<int> Arrivals(
        Rate * std::chrono::duration<double>(SimulationStep).count());
    for (int Count = Arrivals(this->Random); Count > 0; --Count) {
      this->addRequest();
    }
  }

  void addRequest() {
    Request NewRequest;
    NewRequest.Start = this->Now;
    NewRequest.Deadline = this->Now + this->Config.Deadline;
    for (size_t Index = 0; Index < this->SimulatedUpstreams.size(); ++Index) {
      NewRequest.Ranking.push_back(Index);
    }
    std::shuffle(NewRequest.Ranking.begin(), NewRequest.Ranking.end(),
                 this->Random);
    size_t Id = this->Requests.size();
    this->Requests.push_back(std::move(NewRequest));
    this->count(this->Result.Offered);
    this->scheduleRetry(Id);
    this->dispatch(Id);
  }

  // Tries the agents in order until one accepts the request or the hop limit or
  // the retry budget is used up.
  void dispatch(size_t Id) {
    const std::vector<size_t> &Ranking = this->Requests[Id].Ranking;
    this->SimulatedUpstreams[Ranking[0]]->Limits.recordNewWork(this->Now);
    for (size_t Hop = 0; Hop < Ranking.size(); ++Hop) {
      SimulatedUpstream &Candidate = *this->SimulatedUpstreams[Ranking[Hop]];
      if (this->admit(Candidate, Id)) {
        return;
      }
      bool MayPassOn = Hop < this->Policy.MaxHops && Hop + 1 < Ranking.size() &&
                       Candidate.Limits.takeRetryToken(this->Now);
      if (!MayPassOn) {
        break;
      }
      this->count(this->Result.ForwardsAndRetries);
    }
    this->count(this->Result.Refused);
  }

  bool admit(SimulatedUpstream &Candidate, size_t Id) {
    if (!this->Policy.HasLimits) {
      this->startRequest(Candidate, Id);
      return true;
    }
    if (Candidate.Queue.empty() && Candidate.Limits.acquireSlot(this->Now)) {
      this->startRequest(Candidate, Id);
      return true;
    }
    Candidate.Queue.setSlots(Candidate.Limits.status().SlotLimit);
    base::TimePoint Deadline =
        this->Policy.ShedsByDeadline ? this->Requests[Id].Deadline : NoDeadline;
    return Candidate.Queue.push(this->Now, Deadline, Id);
  }

  void startRequest(SimulatedUpstream &Candidate, size_t Id) {
    double Milliseconds =
        std::chrono::duration<double, std::milli>(this->Config.ServiceTime)
            .count();
    Candidate.Work.push_back({Id, this->Now, Milliseconds});
    this->count(this->Result.Runs);
    if (this->isCounted()) {
      this->Result.MaxConcurrentRequests = std::max<uint64_t>(
          this->Result.MaxConcurrentRequests, Candidate.Work.size());
    }
  }

  void processWork(SimulatedUpstream &Each) {
    double Share = std::min(1.0, static_cast<double>(this->Config.Slots) /
                                     std::max<double>(1, Each.Work.size()));
    std::vector<RunningRequest> Unfinished;
    for (RunningRequest &Item : Each.Work) {
      Item.RemainingMilliseconds -= Share / Each.SlowFactor;
      if (Item.RemainingMilliseconds > 0) {
        Unfinished.push_back(Item);
      } else {
        this->finishRequest(Each, Item);
      }
    }
    Each.Work = std::move(Unfinished);
    this->startQueuedRequests(Each);
  }

  void finishRequest(SimulatedUpstream &Each, const RunningRequest &Item) {
    base::Duration ServiceDuration = this->Now - Item.StartedAt;
    if (this->Policy.HasLimits) {
      Each.Queue.recordServiceTime(ServiceDuration);
      Each.Limits.releaseSlot(this->Now, admission::Completion::Done,
                              ServiceDuration);
    }
    Request &Ended = this->Requests[Item.Request];
    if (Ended.IsAnswered || this->Now > Ended.Deadline) {
      this->count(this->Result.WastedRuns);
      return;
    }
    Ended.IsAnswered = true;
    this->count(this->Result.Answered);
    if (this->isCounted()) {
      this->Latencies.push_back(this->Now - Ended.Start);
    }
  }

  void startQueuedRequests(SimulatedUpstream &Each) {
    std::vector<size_t> Expired;
    while (!Each.Queue.empty() && Each.Limits.acquireSlot(this->Now)) {
      std::optional<size_t> Next = Each.Queue.popReady(this->Now, Expired);
      if (Next) {
        this->startRequest(Each, *Next);
      } else {
        Each.Limits.releaseSlot(this->Now, admission::Completion::Neutral,
                                base::Duration(0));
      }
    }
    Each.Queue.removeExpired(this->Now, Expired);
    for (size_t Count = Expired.size(); Count > 0; --Count) {
      this->count(this->Result.Expired);
    }
  }

  void scheduleRetry(size_t Id) {
    if (this->Policy.CallerRetry.count() > 0) {
      this->Retries.emplace(this->Now + this->Policy.CallerRetry, Id);
    }
  }

  void sendDueRetries() {
    while (!this->Retries.empty() &&
           this->Retries.begin()->first <= this->Now) {
      size_t Id = this->Retries.begin()->second;
      this->Retries.erase(this->Retries.begin());
      Request &Pending = this->Requests[Id];
      if (Pending.IsAnswered || this->Now >= Pending.Deadline) {
        continue;
      }
      this->count(this->Result.ForwardsAndRetries);
      std::rotate(Pending.Ranking.begin(), Pending.Ranking.begin() + 1,
                  Pending.Ranking.end());
      this->scheduleRetry(Id);
      this->dispatch(Id);
    }
  }

  void computeResult() {
    double Healthy = this->Config.Upstreams - this->Config.RemovedUpstreams -
                     this->Config.SlowUpstreams;
    double Slow = static_cast<double>(this->Config.SlowUpstreams) /
                  this->Config.SlowFactor;
    this->Result.CapacityInRequests =
        this->requestsPerSecond((Healthy + Slow) * this->Config.Slots) *
        std::chrono::duration<double>(this->Config.Length).count();
    if (!this->Latencies.empty()) {
      auto Median = this->Latencies.begin() +
                    static_cast<ptrdiff_t>(this->Latencies.size() / 2);
      std::nth_element(this->Latencies.begin(), Median, this->Latencies.end());
      this->Result.MedianLatency = *Median;
    }
  }

  const StudyConfig &Config;
  const StudyPolicy &Policy;
  std::mt19937 Random;
  base::TimePoint Now = SimulationStart;
  std::vector<std::unique_ptr<SimulatedUpstream>> SimulatedUpstreams;
  std::vector<Request> Requests;
  std::multimap<base::TimePoint, size_t> Retries;
  std::vector<base::Duration> Latencies;
  StudyResult Result;
};

} // namespace

StudyPolicy agentDefaultPolicy() {
  StudyPolicy Policy;
  Policy.Name = "limits, deadline queue, budget";
  return Policy;
}

StudyPolicy smallRetryBudgetPolicy() {
  StudyPolicy Policy;
  Policy.Name = "the same, one in ten passed on";
  Policy.Retry.NewWorkPerToken = 10;
  return Policy;
}

StudyPolicy unlimitedForwardingPolicy() {
  StudyPolicy Policy;
  Policy.Name = "the same, every refusal passed on";
  Policy.Retry.NewWorkPerToken = 1;
  Policy.Retry.Burst = UINT32_MAX;
  return Policy;
}

StudyPolicy unboundedQueuePolicy() {
  StudyPolicy Policy;
  Policy.Name = "limits, plain queue";
  Policy.ShedsByDeadline = false;
  return Policy;
}

StudyPolicy unlimitedPolicy() {
  StudyPolicy Policy;
  Policy.Name = "no limits";
  Policy.HasLimits = false;
  return Policy;
}

StudyPolicy unlimitedPolicyWithRetries() {
  StudyPolicy Policy = unlimitedPolicy();
  Policy.Name = "no limits, callers retry";
  Policy.CallerRetry = std::chrono::milliseconds(150);
  return Policy;
}

StudyResult runOverloadStudy(const StudyConfig &Config,
                             const StudyPolicy &Policy) {
  return Study(Config, Policy).run();
}

} // namespace bilberry::standin
