#include "bilberry/standin/overload_study.h"

#include "bilberry/admission/deadline_queue.h"
#include "bilberry/admission/upstream_limits.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>

namespace bilberry::standin {

namespace {

constexpr base::Duration Step = std::chrono::milliseconds(1);
constexpr uint32_t CompletionsPerSlot = 10;
constexpr size_t QueueLength = 128;
constexpr size_t Unbounded = SIZE_MAX;
constexpr base::TimePoint Epoch{std::chrono::hours(1)};
constexpr base::TimePoint EndOfTime = Epoch + std::chrono::hours(10'000);

struct Request {
  base::TimePoint Start;
  base::TimePoint Deadline;
  bool IsAnswered = false;
  /// The agents in the order in which they are asked.
  std::vector<size_t> Ranking;
};

struct Running {
  size_t Request = 0;
  base::TimePoint Since;
  /// Service time that is still to be done, in milliseconds.
  double Left = 0;
};

struct Node {
  Node(const StudyRule &Rule, const StudyPolicy &Policy)
      : Limits(Policy.Retry),
        Queue(Policy.ShedsByDeadline ? QueueLength : Unbounded) {
    targets::UpstreamCapacity Capacity;
    Capacity.Slots = Rule.Slots;
    Capacity.ColdSlots = Rule.ColdSlots;
    Capacity.CompletionsPerSlot = CompletionsPerSlot;
    Capacity.LatencyBound = Rule.LatencyBound;
    this->Limits.setCapacity(Capacity);
  }

  admission::UpstreamLimits Limits;
  admission::DeadlineQueue<size_t> Queue;
  std::vector<Running> Work;
  uint32_t SlowFactor = 1;
};

class Study {
public:
  Study(const StudyRule &Rule, const StudyPolicy &Policy)
      : Rule(Rule), Policy(Policy), Random(Rule.Seed) {
    uint32_t Alive = Rule.Upstreams - Rule.GoneUpstreams;
    for (uint32_t Index = 0; Index < Alive; ++Index) {
      this->Nodes.push_back(std::make_unique<Node>(Rule, Policy));
      bool IsSlow = Index < Rule.SlowUpstreams;
      this->Nodes.back()->SlowFactor = IsSlow ? Rule.SlowFactor : 1;
    }
  }

  StudyResult run() {
    base::TimePoint End = Epoch + this->Rule.WarmUp + this->Rule.Length;
    for (; this->Now < End; this->Now += Step) {
      this->arrive();
      this->retryDue();
      for (std::unique_ptr<Node> &Each : this->Nodes) {
        this->work(*Each);
      }
    }
    this->finish();
    return this->Result;
  }

private:
  bool isCounted() const { return this->Now >= Epoch + this->Rule.WarmUp; }

  void count(uint64_t &Counter) const { Counter += this->isCounted() ? 1 : 0; }

  double perSecond(double Slots) const {
    return Slots /
           std::chrono::duration<double>(this->Rule.ServiceTime).count();
  }

  void arrive() {
    double Rate = this->Rule.Load *
                  this->perSecond(this->Rule.Slots * this->Rule.Upstreams);
    std::poisson_distribution<int> Arrivals(
        Rate * std::chrono::duration<double>(Step).count());
    for (int Left = Arrivals(this->Random); Left > 0; --Left) {
      this->arriveOne();
    }
  }

  void arriveOne() {
    Request Fresh;
    Fresh.Start = this->Now;
    Fresh.Deadline = this->Now + this->Rule.Deadline;
    for (size_t Index = 0; Index < this->Nodes.size(); ++Index) {
      Fresh.Ranking.push_back(Index);
    }
    std::shuffle(Fresh.Ranking.begin(), Fresh.Ranking.end(), this->Random);
    size_t Id = this->Requests.size();
    this->Requests.push_back(std::move(Fresh));
    this->count(this->Result.Offered);
    this->scheduleRetry(Id);
    this->offer(Id);
  }

  // Asks the agents in turn, as far as hops and budgets go.
  void offer(size_t Id) {
    const std::vector<size_t> &Ranking = this->Requests[Id].Ranking;
    this->Nodes[Ranking[0]]->Limits.noteFreshWork(this->Now);
    for (size_t Hop = 0; Hop < Ranking.size(); ++Hop) {
      Node &Asked = *this->Nodes[Ranking[Hop]];
      if (this->admit(Asked, Id)) {
        return;
      }
      bool MayPassOn = Hop < this->Policy.MaxHops && Hop + 1 < Ranking.size() &&
                       Asked.Limits.takeRetryToken(this->Now);
      if (!MayPassOn) {
        break;
      }
      this->count(this->Result.PassedOn);
    }
    this->count(this->Result.Refused);
  }

  bool admit(Node &Asked, size_t Id) {
    if (!this->Policy.HasLimits) {
      this->start(Asked, Id);
      return true;
    }
    if (Asked.Queue.empty() && Asked.Limits.acquireSlot(this->Now)) {
      this->start(Asked, Id);
      return true;
    }
    Asked.Queue.setSlots(Asked.Limits.status().SlotLimit);
    base::TimePoint Deadline =
        this->Policy.ShedsByDeadline ? this->Requests[Id].Deadline : EndOfTime;
    return Asked.Queue.push(this->Now, Deadline, Id);
  }

  void start(Node &Asked, size_t Id) {
    double Milliseconds =
        std::chrono::duration<double, std::milli>(this->Rule.ServiceTime)
            .count();
    Asked.Work.push_back({Id, this->Now, Milliseconds});
    this->count(this->Result.Runs);
    if (this->isCounted()) {
      this->Result.MostAtOnce =
          std::max<uint64_t>(this->Result.MostAtOnce, Asked.Work.size());
    }
  }

  void work(Node &Each) {
    double Share = std::min(1.0, static_cast<double>(this->Rule.Slots) /
                                     std::max<double>(1, Each.Work.size()));
    std::vector<Running> StillAtWork;
    for (Running &Item : Each.Work) {
      Item.Left -= Share / Each.SlowFactor;
      if (Item.Left > 0) {
        StillAtWork.push_back(Item);
      } else {
        this->end(Each, Item);
      }
    }
    Each.Work = std::move(StillAtWork);
    this->startWaiting(Each);
  }

  void end(Node &Each, const Running &Item) {
    base::Duration Took = this->Now - Item.Since;
    if (this->Policy.HasLimits) {
      Each.Queue.noteServiceTime(Took);
      Each.Limits.releaseSlot(this->Now, admission::Completion::Done, Took);
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

  void startWaiting(Node &Each) {
    std::vector<size_t> Expired;
    while (!Each.Queue.empty() && Each.Limits.acquireSlot(this->Now)) {
      std::optional<size_t> Next = Each.Queue.popReady(this->Now, Expired);
      if (Next) {
        this->start(Each, *Next);
      } else {
        Each.Limits.releaseSlot(this->Now, admission::Completion::Neutral,
                                base::Duration(0));
      }
    }
    Each.Queue.removeExpired(this->Now, Expired);
    for (size_t Left = Expired.size(); Left > 0; --Left) {
      this->count(this->Result.Expired);
    }
  }

  void scheduleRetry(size_t Id) {
    if (this->Policy.CallerRetry.count() > 0) {
      this->Retries.emplace(this->Now + this->Policy.CallerRetry, Id);
    }
  }

  void retryDue() {
    while (!this->Retries.empty() &&
           this->Retries.begin()->first <= this->Now) {
      size_t Id = this->Retries.begin()->second;
      this->Retries.erase(this->Retries.begin());
      Request &Waiting = this->Requests[Id];
      if (Waiting.IsAnswered || this->Now >= Waiting.Deadline) {
        continue;
      }
      this->count(this->Result.PassedOn);
      std::rotate(Waiting.Ranking.begin(), Waiting.Ranking.begin() + 1,
                  Waiting.Ranking.end());
      this->scheduleRetry(Id);
      this->offer(Id);
    }
  }

  void finish() {
    double Healthy = this->Rule.Upstreams - this->Rule.GoneUpstreams -
                     this->Rule.SlowUpstreams;
    double Slow =
        static_cast<double>(this->Rule.SlowUpstreams) / this->Rule.SlowFactor;
    this->Result.Possible =
        this->perSecond((Healthy + Slow) * this->Rule.Slots) *
        std::chrono::duration<double>(this->Rule.Length).count();
    if (!this->Latencies.empty()) {
      auto Middle = this->Latencies.begin() +
                    static_cast<ptrdiff_t>(this->Latencies.size() / 2);
      std::nth_element(this->Latencies.begin(), Middle, this->Latencies.end());
      this->Result.MedianLatency = *Middle;
    }
  }

  const StudyRule &Rule;
  const StudyPolicy &Policy;
  std::mt19937 Random;
  base::TimePoint Now = Epoch;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<Request> Requests;
  std::multimap<base::TimePoint, size_t> Retries;
  std::vector<base::Duration> Latencies;
  StudyResult Result;
};

} // namespace

StudyPolicy protectedPolicy() {
  StudyPolicy Policy;
  Policy.Name = "limits, deadline queue, budget";
  return Policy;
}

StudyPolicy smallBudgetPolicy() {
  StudyPolicy Policy;
  Policy.Name = "the same, one in ten passed on";
  Policy.Retry.FreshWorkPerToken = 10;
  return Policy;
}

StudyPolicy passEverythingPolicy() {
  StudyPolicy Policy;
  Policy.Name = "the same, every refusal passed on";
  Policy.Retry.FreshWorkPerToken = 1;
  Policy.Retry.Burst = UINT32_MAX;
  return Policy;
}

StudyPolicy plainQueuePolicy() {
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

StudyPolicy unlimitedRetryPolicy() {
  StudyPolicy Policy = unlimitedPolicy();
  Policy.Name = "no limits, callers retry";
  Policy.CallerRetry = std::chrono::milliseconds(150);
  return Policy;
}

StudyResult runOverloadStudy(const StudyRule &Rule, const StudyPolicy &Policy) {
  return Study(Rule, Policy).run();
}

} // namespace bilberry::standin
