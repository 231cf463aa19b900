// Unit tests of UpstreamLimits and RetryBudget.

#include "bilberry/admission/upstream_limits.h"

#include <gtest/gtest.h>

namespace bilberry::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration FastResponse = milliseconds(20);
constexpr base::Duration SlowResponse = milliseconds(900);
constexpr uint32_t Floor = 2;
constexpr uint32_t Ceiling = 9;
constexpr uint32_t CompletionsPerStep = 10;

targets::UpstreamCapacity capacity() {
  targets::UpstreamCapacity Capacity;
  Capacity.Slots = Ceiling;
  Capacity.ColdSlots = Floor;
  Capacity.Connections = 40;
  Capacity.ColdConnections = 5;
  Capacity.CompletionsPerSlot = CompletionsPerStep;
  Capacity.LatencyBound = milliseconds(250);
  return Capacity;
}

struct UpstreamLimitsTest : testing::Test {
  UpstreamLimitsTest() { this->Limits.setCapacity(capacity()); }

  uint32_t limit() const { return this->Limits.status().SlotLimit; }

  /// Ends one request while all other slots are in use, and repeats this
  /// Times times.
  void completeAtFullUse(int Times, Completion Outcome = Completion::Done,
                         base::Duration Elapsed = FastResponse) {
    while (this->Limits.acquireSlot(this->Now)) {
    }
    for (; Times > 0; --Times) {
      this->Limits.releaseSlot(this->Now, Outcome, Elapsed);
      while (this->Limits.acquireSlot(this->Now)) {
      }
    }
  }

  void warmUp() {
    this->completeAtFullUse(
        static_cast<int>((Ceiling - Floor + 1) * CompletionsPerStep));
    ASSERT_EQ(this->limit(), Ceiling);
  }

  base::TimePoint Now{std::chrono::hours(1)};
  UpstreamLimits Limits;
};

TEST_F(UpstreamLimitsTest, GrantsNothingWhileUnreachable) {
  this->Limits.setReachable(false);
  EXPECT_FALSE(this->Limits.acquireSlot(this->Now));
  EXPECT_FALSE(this->Limits.acquireConnection(this->Now));
  this->Limits.setReachable(true);
  EXPECT_TRUE(this->Limits.acquireSlot(this->Now));
  EXPECT_TRUE(this->Limits.acquireConnection(this->Now));
}

TEST_F(UpstreamLimitsTest, GrantsNothingBeforeSetCapacity) {
  UpstreamLimits Unconfigured;
  EXPECT_FALSE(Unconfigured.acquireSlot(this->Now));
  EXPECT_FALSE(Unconfigured.acquireConnection(this->Now));
}

TEST_F(UpstreamLimitsTest, StartsAtFloorAndRisesWithCompletions) {
  EXPECT_EQ(this->limit(), Floor);
  EXPECT_TRUE(this->Limits.status().IsCold);
  this->completeAtFullUse(CompletionsPerStep - 1);
  EXPECT_EQ(this->limit(), Floor);
  this->completeAtFullUse(1);
  EXPECT_EQ(this->limit(), Floor + 1);
  EXPECT_FALSE(this->Limits.status().IsCold);
  this->completeAtFullUse(1000);
  EXPECT_EQ(this->limit(), Ceiling);
}

TEST_F(UpstreamLimitsTest, UnusedLimitDoesNotRise) {
  this->completeAtFullUse(CompletionsPerStep * 3);
  uint32_t Before = this->limit();
  ASSERT_GT(Before, 3U);
  while (this->Limits.status().SlotsInUse > 0) {
    this->Limits.releaseSlot(this->Now, Completion::Neutral, FastResponse);
  }
  for (int Round = 0; Round < 1000; ++Round) {
    ASSERT_TRUE(this->Limits.acquireSlot(this->Now));
    this->Limits.releaseSlot(this->Now, Completion::Done, FastResponse);
  }
  EXPECT_EQ(this->limit(), Before);
}

TEST_F(UpstreamLimitsTest, LimitIsAtMostTwiceRecentPeakUse) {
  struct Case {
    const char *Name;
    base::Duration IdleTime;
    uint32_t Held; // Slots in use during the whole idle time.
    uint32_t Expected;
  };
  const Case Cases[] = {
      {"short pause", PeakUseInterval / 2, 0, 9},
      {"idle", PeakUseInterval * 2, 0, 2},
      {"partly in use", PeakUseInterval * 2, 3, 6},
      {"all in use", PeakUseInterval * 2, 9, 9},
  };
  for (const Case &Item : Cases) {
    this->Limits.onUpstreamRestart(this->Now);
    this->Now += DecreaseWindow;
    this->warmUp();
    while (this->Limits.status().SlotsInUse > Item.Held) {
      this->Limits.releaseSlot(this->Now, Completion::Neutral, FastResponse);
    }
    this->Now += Item.IdleTime;
    (void)this->Limits.acquireSlot(this->Now);
    EXPECT_EQ(this->limit(), Item.Expected) << Item.Name;
  }
}

TEST_F(UpstreamLimitsTest, EventsOnAWarmLimit) {
  struct Case {
    const char *Name;
    Completion Outcome;
    base::Duration Elapsed;
    base::Duration Pause; // Between the two events.
    uint32_t AfterOne;
    uint32_t AfterTwo;
  };
  const base::Duration Window = DecreaseWindow;
  const Case Cases[] = {
      {"done", Completion::Done, FastResponse, milliseconds(0), 9, 9},
      {"neutral", Completion::Neutral, SlowResponse, milliseconds(0), 9, 9},
      {"timeouts in one window", Completion::Timeout, SlowResponse,
       milliseconds(0), 4, 4},
      {"timeouts apart", Completion::Timeout, SlowResponse, Window, 4, 2},
      {"latency jump", Completion::Done, SlowResponse, milliseconds(0), 4, 4},
      {"latency jumps apart", Completion::Done, SlowResponse, Window, 4, 2},
      {"shed at a proven level", Completion::Shed, FastResponse,
       milliseconds(0), 2, 2},
  };
  for (const Case &Item : Cases) {
    this->Limits.onUpstreamRestart(this->Now);
    this->Now += Window;
    this->warmUp();
    this->Limits.releaseSlot(this->Now, Item.Outcome, Item.Elapsed);
    EXPECT_EQ(this->limit(), Item.AfterOne) << Item.Name;
    this->Now += Item.Pause;
    this->Limits.releaseSlot(this->Now, Item.Outcome, Item.Elapsed);
    EXPECT_EQ(this->limit(), Item.AfterTwo) << Item.Name;
  }
}

TEST_F(UpstreamLimitsTest, ShedOfProbeHalvesAndBurstFallsToFloor) {
  this->completeAtFullUse(CompletionsPerStep * 4);
  ASSERT_EQ(this->limit(), 6U); // 5 is proven, 6 is a probe.
  this->Limits.releaseSlot(this->Now, Completion::Shed, FastResponse);
  EXPECT_EQ(this->limit(), 3U);
  EXPECT_EQ(this->Limits.status().FallsToFloor, 0U);
  this->Limits.releaseSlot(this->Now, Completion::Shed, FastResponse);
  EXPECT_EQ(this->limit(), Floor);
  EXPECT_EQ(this->Limits.status().FallsToFloor, 1U);
  EXPECT_EQ(this->Limits.status().Sheds, 2U);
}

TEST_F(UpstreamLimitsTest, DecreaseResetsCompletionCount) {
  this->completeAtFullUse(CompletionsPerStep * 4 + CompletionsPerStep - 1);
  this->Limits.releaseSlot(this->Now, Completion::Timeout, SlowResponse);
  uint32_t Lowered = this->limit();
  this->completeAtFullUse(CompletionsPerStep - 1);
  EXPECT_EQ(this->limit(), Lowered);
}

TEST_F(UpstreamLimitsTest, LostConnectionResetsHeldAndFallsToFloor) {
  this->warmUp();
  this->Limits.restoreConnections(this->Now, 30);
  this->Limits.onUpstreamRestart(this->Now);
  LimitStatus Status = this->Limits.status();
  EXPECT_EQ(Status.SlotLimit, Floor);
  EXPECT_EQ(Status.SlotsInUse, 0U);
  EXPECT_EQ(Status.ConnectionLimit, 5U);
  EXPECT_EQ(Status.ConnectionsInUse, 0U);
}

TEST_F(UpstreamLimitsTest, HealthReportsNeverRaiseLimit) {
  struct Case {
    bool IsHealthy;
    double Load;
    uint32_t Expected;
  };
  const Case Cases[] = {{true, 0.0, 9},  {true, -5.0, 9}, {false, 0.0, 4},
                        {false, 0.0, 4}, {true, 0.0, 4},  {true, 7.0, 2},
                        {true, 0.0, 2}};
  this->warmUp();
  for (const Case &Item : Cases) {
    this->Limits.onHealthReport(this->Now, Item.IsHealthy, Item.Load);
    EXPECT_EQ(this->limit(), Item.Expected);
    this->Now += DecreaseWindow;
  }
}

TEST_F(UpstreamLimitsTest, PermanentOverloadReportsDoNotKeepLimitAtFloor) {
  this->warmUp();
  this->Limits.onHealthReport(this->Now, false, 9.0);
  for (int Round = 0; Round < 100; ++Round) {
    this->Now += DecreaseWindow;
    this->Limits.onHealthReport(this->Now, false, 9.0);
    this->completeAtFullUse(CompletionsPerStep);
  }
  EXPECT_EQ(this->limit(), Ceiling);
}

TEST_F(UpstreamLimitsTest, LowerCeilingRevokesNothingButStopsNewWork) {
  this->warmUp();
  targets::UpstreamCapacity Lower = capacity();
  Lower.Slots = 3;
  this->Limits.setCapacity(Lower);
  EXPECT_EQ(this->limit(), 3U);
  EXPECT_EQ(this->Limits.status().SlotsInUse, Ceiling);
  for (uint32_t Held = Ceiling; Held > 3; --Held) {
    EXPECT_FALSE(this->Limits.acquireSlot(this->Now));
    this->Limits.releaseSlot(this->Now, Completion::Neutral, FastResponse);
  }
  EXPECT_FALSE(this->Limits.acquireSlot(this->Now));
  this->Limits.setCapacity(capacity());
  EXPECT_EQ(this->limit(), 3U); // A raised ceiling doesn't raise the limit.
}

TEST_F(UpstreamLimitsTest, FloorIsNeverAboveTheCeiling) {
  targets::UpstreamCapacity FloorAboveCeiling = capacity();
  FloorAboveCeiling.Slots = 1;
  FloorAboveCeiling.ColdSlots = 5;
  FloorAboveCeiling.CompletionsPerSlot = 0;
  UpstreamLimits Limits;
  Limits.setCapacity(FloorAboveCeiling);
  EXPECT_EQ(Limits.status().SlotLimit, 1U);
}

TEST_F(UpstreamLimitsTest, ConnectionLimitRisesWithOpenedFlowsAndPackets) {
  for (int Count = 0; Count < 5; ++Count) {
    ASSERT_TRUE(this->Limits.acquireConnection(this->Now));
  }
  EXPECT_FALSE(this->Limits.acquireConnection(this->Now));
  for (int Count = 0; Count < 5; ++Count) {
    this->Limits.recordConnectionOutcome(this->Now, Completion::Done,
                                         FastResponse);
  }
  EXPECT_EQ(this->Limits.status().ConnectionsInUse, 5U);
  EXPECT_FALSE(this->Limits.acquireConnection(this->Now));
  for (int Count = 0; Count < 5; ++Count) {
    this->Limits.recordFlowProgress(this->Now, FastResponse);
  }
  EXPECT_TRUE(this->Limits.acquireConnection(this->Now));
  this->Limits.recordConnectionOutcome(this->Now, Completion::Neutral,
                                       FastResponse);
  EXPECT_EQ(this->Limits.status().ConnectionsInUse, 5U);
  this->Limits.releaseConnection(this->Now);
  EXPECT_EQ(this->Limits.status().ConnectionsInUse, 4U);
}

TEST(RetryBudgetTest, ForwardingIsBoundedByNewWork) {
  for (RetryRule Rule : {RetryRule(), RetryRule{10, 5}, RetryRule{3, 1}}) {
    RetryBudget Budget(Rule);
    uint32_t Forwarded = 0;
    uint32_t NewItems = 0;
    while (NewItems < 9000) {
      ++NewItems;
      Budget.recordNewWork();
      while (Forwarded <= 2 * 9000 && Budget.takeToken()) {
        ++Forwarded;
      }
      ASSERT_LE(Forwarded, NewItems / Rule.NewWorkPerToken + Rule.Burst);
    }
    // Only the tokens earned while the bucket was full are lost.
    EXPECT_GE(Forwarded, NewItems / Rule.NewWorkPerToken + Rule.Burst - 1);
  }
}

TEST(RetryBudgetTest, IdleTimeEarnsNoMoreThanBurst) {
  RetryRule Rule{10, 5};
  RetryBudget Budget(Rule);
  for (int NewItems = 0; NewItems < 1000; ++NewItems) {
    Budget.recordNewWork();
  }
  uint32_t Forwarded = 0;
  while (Forwarded <= Rule.Burst && Budget.takeToken()) {
    ++Forwarded;
  }
  EXPECT_EQ(Forwarded, Rule.Burst);
}

} // namespace
} // namespace bilberry::admission
