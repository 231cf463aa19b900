// The limits by themselves, in tables.

#include "bilberry/admission/upstream_limits.h"

#include <gtest/gtest.h>

namespace bilberry::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration Fast = milliseconds(20);
constexpr base::Duration Slow = milliseconds(900);
constexpr uint32_t Floor = 2;
constexpr uint32_t Ceiling = 9;
constexpr uint32_t PerSlot = 10;

targets::UpstreamCapacity capacity() {
  targets::UpstreamCapacity Capacity;
  Capacity.Slots = Ceiling;
  Capacity.ColdSlots = Floor;
  Capacity.Connections = 40;
  Capacity.ColdConnections = 5;
  Capacity.CompletionsPerSlot = PerSlot;
  Capacity.LatencyBound = milliseconds(250);
  return Capacity;
}

struct UpstreamLimitsTest : testing::Test {
  UpstreamLimitsTest() { this->Limits.setCapacity(capacity()); }

  uint32_t limit() const { return this->Limits.status().SlotLimit; }

  /// Ends one request while all other slots are in use, Times times.
  void endAtFullUse(int Times, Completion How = Completion::Done,
                    base::Duration Took = Fast) {
    while (this->Limits.acquireSlot(this->Now)) {
    }
    for (; Times > 0; --Times) {
      this->Limits.releaseSlot(this->Now, How, Took);
      while (this->Limits.acquireSlot(this->Now)) {
      }
    }
  }

  void warmUp() {
    this->endAtFullUse(static_cast<int>((Ceiling - Floor + 1) * PerSlot));
    ASSERT_EQ(this->limit(), Ceiling);
  }

  base::TimePoint Now{std::chrono::hours(1)};
  UpstreamLimits Limits;
};

TEST_F(UpstreamLimitsTest, TakesNothingWhileTheUpstreamIsOutOfReach) {
  this->Limits.setReachable(false);
  EXPECT_FALSE(this->Limits.acquireSlot(this->Now));
  EXPECT_FALSE(this->Limits.acquireConnection(this->Now));
  this->Limits.setReachable(true);
  EXPECT_TRUE(this->Limits.acquireSlot(this->Now));
  EXPECT_TRUE(this->Limits.acquireConnection(this->Now));
}

TEST_F(UpstreamLimitsTest, NothingIsAdmittedBeforeTheTargetsAreKnown) {
  UpstreamLimits Unknown;
  EXPECT_FALSE(Unknown.acquireSlot(this->Now));
  EXPECT_FALSE(Unknown.acquireConnection(this->Now));
}

TEST_F(UpstreamLimitsTest, StartsAtTheFloorAndRisesByCompletions) {
  EXPECT_EQ(this->limit(), Floor);
  EXPECT_TRUE(this->Limits.status().IsCold);
  this->endAtFullUse(PerSlot - 1);
  EXPECT_EQ(this->limit(), Floor);
  this->endAtFullUse(1);
  EXPECT_EQ(this->limit(), Floor + 1);
  EXPECT_FALSE(this->Limits.status().IsCold);
  this->endAtFullUse(1000);
  EXPECT_EQ(this->limit(), Ceiling);
}

TEST_F(UpstreamLimitsTest, UnusedLimitDoesNotRise) {
  this->endAtFullUse(PerSlot * 3);
  uint32_t Before = this->limit();
  ASSERT_GT(Before, 3U);
  while (this->Limits.status().SlotsInUse > 0) {
    this->Limits.releaseSlot(this->Now, Completion::Neutral, Fast);
  }
  for (int Round = 0; Round < 1000; ++Round) {
    ASSERT_TRUE(this->Limits.acquireSlot(this->Now));
    this->Limits.releaseSlot(this->Now, Completion::Done, Fast);
  }
  EXPECT_EQ(this->limit(), Before);
}

TEST_F(UpstreamLimitsTest, LimitIsAtMostTwiceWhatWasUsedLately) {
  struct Case {
    const char *Name;
    base::Duration Quiet;
    uint32_t Held; // Throughout the quiet time.
    uint32_t Expected;
  };
  const Case Cases[] = {
      {"short pause", EvidenceLifetime / 2, 0, 9},
      {"idle", EvidenceLifetime * 2, 0, 2},
      {"little in use", EvidenceLifetime * 2, 3, 6},
      {"all in use", EvidenceLifetime * 2, 9, 9},
  };
  for (const Case &Item : Cases) {
    this->Limits.onUpstreamRestart(this->Now);
    this->Now += DecreaseWindow;
    this->warmUp();
    while (this->Limits.status().SlotsInUse > Item.Held) {
      this->Limits.releaseSlot(this->Now, Completion::Neutral, Fast);
    }
    this->Now += Item.Quiet;
    (void)this->Limits.acquireSlot(this->Now);
    EXPECT_EQ(this->limit(), Item.Expected) << Item.Name;
  }
}

TEST_F(UpstreamLimitsTest, WhatEachEventDoesToAWarmLimit) {
  struct Case {
    const char *Name;
    Completion How;
    base::Duration Took;
    base::Duration Pause; // Between the two events.
    uint32_t AfterOne;
    uint32_t AfterTwo;
  };
  const base::Duration Window = DecreaseWindow;
  const Case Cases[] = {
      {"done", Completion::Done, Fast, milliseconds(0), 9, 9},
      {"neutral", Completion::Neutral, Slow, milliseconds(0), 9, 9},
      {"timeout, window", Completion::Timeout, Slow, milliseconds(0), 4, 4},
      {"timeouts apart", Completion::Timeout, Slow, Window, 4, 2},
      {"latency jump", Completion::Done, Slow, milliseconds(0), 4, 4},
      {"latency jumps apart", Completion::Done, Slow, Window, 4, 2},
      {"shed where it bore it", Completion::Shed, Fast, milliseconds(0), 2, 2},
  };
  for (const Case &Item : Cases) {
    this->Limits.onUpstreamRestart(this->Now);
    this->Now += Window;
    this->warmUp();
    this->Limits.releaseSlot(this->Now, Item.How, Item.Took);
    EXPECT_EQ(this->limit(), Item.AfterOne) << Item.Name;
    this->Now += Item.Pause;
    this->Limits.releaseSlot(this->Now, Item.How, Item.Took);
    EXPECT_EQ(this->limit(), Item.AfterTwo) << Item.Name;
  }
}

TEST_F(UpstreamLimitsTest, ShedOfAProbeHalvesAndABurstFallsToTheFloor) {
  this->endAtFullUse(PerSlot * 4);
  ASSERT_EQ(this->limit(), 6U); // 5 is proven, 6 is being tried.
  this->Limits.releaseSlot(this->Now, Completion::Shed, Fast);
  EXPECT_EQ(this->limit(), 3U);
  EXPECT_EQ(this->Limits.status().FallsToFloor, 0U);
  this->Limits.releaseSlot(this->Now, Completion::Shed, Fast);
  EXPECT_EQ(this->limit(), Floor);
  EXPECT_EQ(this->Limits.status().FallsToFloor, 1U);
  EXPECT_EQ(this->Limits.status().Sheds, 2U);
}

TEST_F(UpstreamLimitsTest, ChangeStartsTheCountOfCompletionsAnew) {
  this->endAtFullUse(PerSlot * 4 + PerSlot - 1);
  this->Limits.releaseSlot(this->Now, Completion::Timeout, Slow);
  uint32_t Lowered = this->limit();
  this->endAtFullUse(PerSlot - 1);
  EXPECT_EQ(this->limit(), Lowered);
}

TEST_F(UpstreamLimitsTest, LostConnectionDropsWhatIsHeldAndFallsToTheFloor) {
  this->warmUp();
  this->Limits.adoptConnections(this->Now, 30);
  this->Limits.onUpstreamRestart(this->Now);
  LimitStatus Status = this->Limits.status();
  EXPECT_EQ(Status.SlotLimit, Floor);
  EXPECT_EQ(Status.SlotsInUse, 0U);
  EXPECT_EQ(Status.ConnectionLimit, 5U);
  EXPECT_EQ(Status.ConnectionsInUse, 0U);
}

TEST_F(UpstreamLimitsTest, HealthAndLoadNeverRaise) {
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

TEST_F(UpstreamLimitsTest, EndpointThatAlwaysComplainsDoesNotHoldItAtTheFloor) {
  this->warmUp();
  this->Limits.onHealthReport(this->Now, false, 9.0);
  for (int Round = 0; Round < 100; ++Round) {
    this->Now += DecreaseWindow;
    this->Limits.onHealthReport(this->Now, false, 9.0);
    this->endAtFullUse(PerSlot);
  }
  EXPECT_EQ(this->limit(), Ceiling);
}

TEST_F(UpstreamLimitsTest, LowerCeilingCutsNothingButStopsNewWork) {
  this->warmUp();
  targets::UpstreamCapacity Lower = capacity();
  Lower.Slots = 3;
  this->Limits.setCapacity(Lower);
  EXPECT_EQ(this->limit(), 3U);
  EXPECT_EQ(this->Limits.status().SlotsInUse, Ceiling);
  for (uint32_t Held = Ceiling; Held > 3; --Held) {
    EXPECT_FALSE(this->Limits.acquireSlot(this->Now));
    this->Limits.releaseSlot(this->Now, Completion::Neutral, Fast);
  }
  EXPECT_FALSE(this->Limits.acquireSlot(this->Now));
  this->Limits.setCapacity(capacity());
  EXPECT_EQ(this->limit(), 3U); // A raised ceiling raises nothing.
}

TEST_F(UpstreamLimitsTest, FloorIsNeverAboveTheCeiling) {
  targets::UpstreamCapacity Odd = capacity();
  Odd.Slots = 1;
  Odd.ColdSlots = 5;
  Odd.CompletionsPerSlot = 0;
  UpstreamLimits Limits;
  Limits.setCapacity(Odd);
  EXPECT_EQ(Limits.status().SlotLimit, 1U);
}

TEST_F(UpstreamLimitsTest, ConnectionsRiseByOpenedFlowsAndTheirPackets) {
  for (int Count = 0; Count < 5; ++Count) {
    ASSERT_TRUE(this->Limits.acquireConnection(this->Now));
  }
  EXPECT_FALSE(this->Limits.acquireConnection(this->Now));
  for (int Count = 0; Count < 5; ++Count) {
    this->Limits.connectionSettled(this->Now, Completion::Done, Fast);
  }
  EXPECT_EQ(this->Limits.status().ConnectionsInUse, 5U);
  EXPECT_FALSE(this->Limits.acquireConnection(this->Now));
  for (int Count = 0; Count < 5; ++Count) {
    this->Limits.flowProgressed(this->Now, Fast);
  }
  EXPECT_TRUE(this->Limits.acquireConnection(this->Now));
  this->Limits.connectionSettled(this->Now, Completion::Neutral, Fast);
  EXPECT_EQ(this->Limits.status().ConnectionsInUse, 5U);
  this->Limits.releaseConnection(this->Now);
  EXPECT_EQ(this->Limits.status().ConnectionsInUse, 4U);
}

TEST(RetryBudgetTest, PassingOnStaysWithinAFractionOfFreshWork) {
  for (RetryRule Rule : {RetryRule(), RetryRule{10, 5}, RetryRule{3, 1}}) {
    RetryBudget Budget(Rule);
    uint32_t Passed = 0;
    uint32_t Fresh = 0;
    while (Fresh < 9000) {
      ++Fresh;
      Budget.noteFreshWork();
      while (Passed <= 2 * 9000 && Budget.take()) {
        ++Passed;
      }
      ASSERT_LE(Passed, Fresh / Rule.FreshWorkPerToken + Rule.Burst);
    }
    // All but what came while the bucket was full could be used.
    EXPECT_GE(Passed, Fresh / Rule.FreshWorkPerToken + Rule.Burst - 1);
  }
}

TEST(RetryBudgetTest, QuietTimesEarnNoMoreThanTheBurst) {
  RetryRule Rule{10, 5};
  RetryBudget Budget(Rule);
  for (int Fresh = 0; Fresh < 1000; ++Fresh) {
    Budget.noteFreshWork();
  }
  uint32_t Passed = 0;
  while (Passed <= Rule.Burst && Budget.take()) {
    ++Passed;
  }
  EXPECT_EQ(Passed, Rule.Burst);
}

} // namespace
} // namespace bilberry::admission
