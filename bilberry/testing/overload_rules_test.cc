// Plays overload on the rules for new flows, without a network, and checks what
// callers get with each rule and without it.

#include "bilberry/admission/capacity_reserve.h"
#include "bilberry/admission/new_flow_queue.h"
#include "bilberry/admission/queue_forecast.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <random>

namespace bilberry::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint Start(std::chrono::hours(24));

// A burst of flows with a lower priority at one upstream: offered are 1.6 times
// its capacity, a quarter of it with the higher priority. A flow that isn't
// admitted is offered again every 20 ms until its caller gives up.
class BurstPlay {
public:
  struct Result {
    int HighInTarget = 0;
    int HighOffered = 0;
    int LowAnswered = 0;
  };

  explicit BurstPlay(bool ReservesByPriority)
      : ReservesByPriority(ReservesByPriority) {}

  Result run() {
    std::mt19937 Random(5);
    double Capacity = Slots / std::chrono::duration<double>(Service).count();
    std::poisson_distribution<int> HighPerStep(0.4 * Capacity * StepSeconds);
    std::poisson_distribution<int> LowPerStep(1.2 * Capacity * StepSeconds);
    for (base::TimePoint Now = Start; Now < Start + seconds(6); Now += Step) {
      this->finish(Now);
      this->add(Now, 1, HighPerStep(Random));
      this->add(Now, 2, LowPerStep(Random));
      this->offer(Now);
    }
    return this->Counts;
  }

private:
  struct Flow {
    uint32_t Priority = 0;
    base::TimePoint ArrivedAt;
  };
  static constexpr uint32_t Slots = 5;
  static constexpr base::Duration Service = milliseconds(60);
  static constexpr base::Duration Step = milliseconds(20);
  static constexpr double StepSeconds = 0.02;
  static constexpr base::Duration Target = milliseconds(400);

  void add(base::TimePoint Now, uint32_t Priority, int Count) {
    for (int I = 0; I < Count; ++I) {
      this->Offered.push_back({Priority, Now});
      this->Counts.HighOffered += Priority == 1 ? 1 : 0;
    }
  }

  void offer(base::TimePoint Now) {
    std::erase_if(this->Offered, [&](const Flow &Item) {
      if (Now - Item.ArrivedAt > MaxNewFlowQueueTime) {
        return true;
      }
      uint32_t PerSlot = MaxWaitingFlowsPerSlot;
      if (this->ReservesByPriority) {
        this->Reserve.recordArrival(Now, Item.Priority);
        PerSlot = this->Reserve.waitingFlowsPerSlot(Now, Item.Priority);
      }
      bool IsAdmitted =
          this->Running.size() + this->Waiting.size() < size_t{PerSlot} * Slots;
      if (IsAdmitted) {
        this->Waiting.push_back(Item);
      }
      return IsAdmitted;
    });
    while (this->Running.size() < Slots && !this->Waiting.empty()) {
      this->Running.emplace(Now + Service, this->Waiting.front());
      this->Waiting.pop_front();
    }
  }

  void finish(base::TimePoint Now) {
    while (!this->Running.empty() && this->Running.begin()->first <= Now) {
      const Flow &Done = this->Running.begin()->second;
      bool IsInTarget = Now - Done.ArrivedAt <= Target;
      this->Counts.HighInTarget += Done.Priority == 1 && IsInTarget ? 1 : 0;
      this->Counts.LowAnswered += Done.Priority == 2 ? 1 : 0;
      this->Running.erase(this->Running.begin());
    }
  }

  bool ReservesByPriority;
  CapacityReserve Reserve;
  std::deque<Flow> Offered;
  std::deque<Flow> Waiting;
  std::multimap<base::TimePoint, Flow> Running;
  Result Counts;
};

// Guards against a burst that takes the capacity from what is more important.
// Nine in ten of the flows with the higher priority, which alone are 0.4 of the
// capacity, must be answered within their target.
TEST(CapacityReserve, BurstLeavesCapacityForHigherPriorities) {
  BurstPlay::Result Before = BurstPlay(false).run();
  BurstPlay::Result After = BurstPlay(true).run();
  std::printf("higher priority in target: %d of %d without, %d with the "
              "reserve; lower priority answered: %d, %d\n",
              Before.HighInTarget, Before.HighOffered, After.HighInTarget,
              After.LowAnswered, Before.LowAnswered);
  EXPECT_GT(After.HighInTarget, After.HighOffered * 9 / 10);
  EXPECT_GT(After.HighInTarget, Before.HighInTarget);
  EXPECT_GT(After.LowAnswered, 0);
}

TEST(CapacityReserve, RanksThePrioritiesInUse) {
  CapacityReserve Reserve;
  EXPECT_EQ(Reserve.waitingFlowsPerSlot(Start, 9), MaxWaitingFlowsPerSlot);
  Reserve.recordArrival(Start, 1);
  Reserve.recordArrival(Start, 2);
  Reserve.recordArrival(Start, 7);
  Reserve.recordArrival(Start, 9);
  EXPECT_EQ(Reserve.waitingFlowsPerSlot(Start, 1), 3U);
  EXPECT_EQ(Reserve.waitingFlowsPerSlot(Start, 2), 2U);
  EXPECT_EQ(Reserve.waitingFlowsPerSlot(Start, 7), 1U);
  EXPECT_EQ(Reserve.waitingFlowsPerSlot(Start, 9), 1U);
  // Nothing is reserved for a priority that is no longer in use.
  base::TimePoint Later = Start + PriorityMemory + milliseconds(1);
  EXPECT_EQ(Reserve.waitingFlowsPerSlot(Later, 2), MaxWaitingFlowsPerSlot);
}

packet::FlowId flowOf(uint32_t CallerIp, uint16_t Port) {
  return {{CallerIp, Port}, {0xC6120001, 443}};
}

// One caller opens 50 flows at once, 50 callers one each a little later. There
// is capacity for 60. Guards against a caller that takes it all.
TEST(NewFlowQueue, CallersTakeTurns) {
  for (bool CallersTakeTurns : {false, true}) {
    NewFlowQueue Queue(CallersTakeTurns);
    constexpr uint32_t Greedy = 1;
    constexpr uint16_t FlowCount = 50;
    for (uint16_t I = 0; I < FlowCount; ++I) {
      Queue.hold({flowOf(Greedy, I), "", Start, 0, seconds(1)});
      Queue.hold({flowOf(Greedy + 1U + I, 1), "", Start + milliseconds(1), 0,
                  seconds(1)});
    }
    int Capacity = 60;
    int OthersPlaced = 0;
    Queue.offerAll(Start + milliseconds(2), [&](const QueuedNewFlow &Item) {
      if (Capacity == 0) {
        return OfferResult::NoCapacity;
      }
      --Capacity;
      OthersPlaced += Item.Flow.Caller.Ip == Greedy ? 0 : 1;
      return OfferResult::Placed;
    });
    EXPECT_EQ(OthersPlaced, CallersTakeTurns ? FlowCount : 10);
  }
}

// A caller whose flows were placed just before waits for those without any.
TEST(NewFlowQueue, TurnsCountFlowsPlacedLately) {
  NewFlowQueue Queue(true);
  auto PlaceAll = [&](base::TimePoint Now) {
    std::vector<uint32_t> Callers;
    Queue.offerAll(Now, [&](const QueuedNewFlow &Item) {
      Callers.push_back(Item.Flow.Caller.Ip);
      return OfferResult::Placed;
    });
    return Callers;
  };
  Queue.hold({flowOf(1, 1), "", Start, 0, seconds(1)});
  PlaceAll(Start);
  Queue.hold({flowOf(1, 2), "", Start, 0, seconds(1)});
  Queue.hold({flowOf(2, 1), "", Start + milliseconds(5), 0, seconds(1)});
  EXPECT_EQ(PlaceAll(Start + milliseconds(9)), (std::vector<uint32_t>{2, 1}));
  base::TimePoint Later = Start + 3 * TurnWindow;
  Queue.hold({flowOf(1, 3), "", Later, 0, seconds(1)});
  Queue.hold({flowOf(2, 2), "", Later + milliseconds(1), 0, seconds(1)});
  EXPECT_EQ(PlaceAll(Later + milliseconds(2)), (std::vector<uint32_t>{1, 2}));
}

// All upstreams are cold for two seconds, as after a power failure, and accept
// ten flows per second from this balancer, to which 100 per second come.
struct ColdStartResult {
  int Placed = 0;
  int RefusedAtOnce = 0;
  int LeftWithoutAnswer = 0;
  int PatientRefused = 0;
};

ColdStartResult playColdStart(bool RefusesEarly) {
  constexpr base::Duration Step = milliseconds(50);
  constexpr base::Duration ImpatientTimeout = milliseconds(1500);
  constexpr base::Duration PatientTimeout = seconds(6);
  const base::TimePoint WarmAt = Start + seconds(2);
  ServiceCapacity Capacity{false, WarmAt, 10};
  NewFlowQueue Queue;
  ColdStartResult Result;
  auto IsPatient = [](const packet::FlowId &Flow) {
    return Flow.Caller.Port % 2 == 0;
  };
  uint16_t Port = 0;
  double Budget = 0;
  for (base::TimePoint Now = Start; Now < Start + seconds(5); Now += Step) {
    bool IsWarm = Now >= WarmAt;
    Capacity.HasWarmUpstream = IsWarm;
    for (int I = 0; I < 5; ++I) {
      Queue.hold({flowOf(1, ++Port), "", Now, 0, milliseconds(250)});
    }
    Budget = IsWarm ? 50 : Budget + 0.5;
    Queue.offerAll(Now, [&](const QueuedNewFlow &) {
      if (Budget < 1) {
        return OfferResult::NoCapacity;
      }
      --Budget;
      ++Result.Placed;
      return OfferResult::Placed;
    });
    size_t Position = 0;
    Queue.refuseIf(Now, [&](const QueuedNewFlow &Item) {
      base::Duration Timeout =
          IsPatient(Item.Flow) ? PatientTimeout : ImpatientTimeout;
      bool MustRefuse =
          RefusesEarly && !mayBePlacedInTime(Now, Capacity, Position++,
                                             Item.ArrivedAt + Timeout);
      Result.RefusedAtOnce += MustRefuse ? 1 : 0;
      Result.PatientRefused += MustRefuse && IsPatient(Item.Flow) ? 1 : 0;
      return MustRefuse;
    });
    Result.LeftWithoutAnswer += static_cast<int>(Queue.expire(Now));
  }
  return Result;
}

// Guards against callers that are left without an answer although it is known
// that they can't be served, and against refusing one that could be.
TEST(QueueForecast, ColdStartRefusesOnlyWhatCannotBeServed) {
  ColdStartResult Before = playColdStart(false);
  ColdStartResult After = playColdStart(true);
  std::printf("placed %d before, %d after; refused at once %d, %d; left "
              "without an answer %d, %d\n",
              Before.Placed, After.Placed, Before.RefusedAtOnce,
              After.RefusedAtOnce, Before.LeftWithoutAnswer,
              After.LeftWithoutAnswer);
  EXPECT_EQ(After.Placed, Before.Placed);
  EXPECT_GT(After.RefusedAtOnce, 0);
  EXPECT_LT(After.LeftWithoutAnswer, Before.LeftWithoutAnswer);
  // Their retries are served once the upstreams are warm.
  EXPECT_EQ(After.PatientRefused, 0);
}

TEST(QueueForecast, RefusesNothingWithoutKnowledge) {
  base::TimePoint GivesUpAt = Start + seconds(1);
  struct Case {
    const char *Description;
    ServiceCapacity Capacity;
    bool MayBePlaced;
  };
  const Case Cases[] = {
      {"nothing is known", {}, true},
      {"one is warm", {true, Start + seconds(2), 5}, true},
      {"warm in time", {false, Start + seconds(1), 5}, true},
      {"warm too late", {false, Start + seconds(2), 5}, false},
      {"cold capacity suffices", {false, Start + seconds(2), 11}, true},
  };
  for (const Case &Item : Cases) {
    EXPECT_EQ(mayBePlacedInTime(Start, Item.Capacity, 10, GivesUpAt),
              Item.MayBePlaced)
        << Item.Description;
  }
}

} // namespace
} // namespace bilberry::admission
