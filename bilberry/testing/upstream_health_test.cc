// Tests of slow upstreams and of those that alternate between up and down.

#include "bilberry/admission/flap_damping.h"
#include "bilberry/admission/service_time_meter.h"
#include "bilberry/routing/upstream_choice.h"
#include "bilberry/routing/upstream_health.h"

#include <gtest/gtest.h>

namespace bilberry::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint Start(std::chrono::hours(24));
const base::ServiceName Rounds("rounds");
const base::DataCentreName Near("near");

class UpstreamHealthTest : public ::testing::Test {
protected:
  // One agent for each service time, in microseconds.
  void setServiceTimes(const std::vector<uint32_t> &Times) {
    for (size_t I = 0; I < Times.size(); ++I) {
      this->setStatus(I, Times[I], false);
    }
    this->Now += HealthInterval;
    this->LogLines = this->Health.update(this->Now, this->Agents);
  }
  void setStatus(size_t Index, uint32_t ServiceTimeUs, bool IsUnstable) {
    wire::AgentStatus Status;
    Status.Name = base::MemberName("a" + std::to_string(Index));
    Status.Run = 1;
    Status.DataCentre = Near;
    Status.Service = Rounds;
    Status.Data = {1, static_cast<uint16_t>(Index + 1)};
    Status.Condition = wire::AgentCondition::InService;
    Status.Slots = 4;
    Status.RemainingNewFlows = std::numeric_limits<uint32_t>::max();
    Status.ServiceTimeUs = ServiceTimeUs;
    Status.IsUnstable = IsUnstable;
    bool IsNewRun = false;
    this->Agents.applyStatus(this->Now, Status.Data, Status, IsNewRun);
  }
  members::AgentIndex choose() {
    return chooseUpstream(this->Agents,
                          {this->Now, Rounds, Near, 7, this->Tried});
  }

  base::TimePoint Now = Start;
  members::AgentViews Agents{Near};
  UpstreamHealth Health;
  TriedAgents Tried;
  std::vector<std::string> LogLines;
};

TEST_F(UpstreamHealthTest, SlowUpstreamCountsForFewerSlots) {
  this->setServiceTimes({20000, 25000, 18000, 100000, 22000});
  EXPECT_NEAR(this->Agents.at(3).slots(), 4 * 0.22, 0.01);
  EXPECT_DOUBLE_EQ(this->Agents.at(1).slots(), 4);
  EXPECT_EQ(this->Health.slowUpstreams(), 1U);
  ASSERT_EQ(this->LogLines.size(), 1U);
  EXPECT_EQ(this->LogLines[0], "event=upstream-slow agent=a3 factor=4.5");
  // It is used again once it is as fast as the others.
  this->setServiceTimes({20000, 25000, 18000, 21000, 22000});
  EXPECT_DOUBLE_EQ(this->Agents.at(3).slots(), 4);
  EXPECT_EQ(this->LogLines.size(), 1U);
}

// Guards against a service without capacity because all of it is slow, and
// against an upstream that is never tried again.
TEST_F(UpstreamHealthTest, ComparesWithTheMedianOnly) {
  this->setServiceTimes({100000, 120000, 110000, 130000});
  EXPECT_EQ(this->Health.slowUpstreams(), 0U);
  this->setServiceTimes({20000, 20000, 20000, 9000000});
  EXPECT_DOUBLE_EQ(this->Agents.at(3).slots(), 4 * MinSlotShare);
  EXPECT_NE(this->choose(), 3);
  this->Tried = {0, 1, 2};
  EXPECT_EQ(this->choose(), 3);
}

TEST_F(UpstreamHealthTest, IgnoresTwoUpstreamsAndUnknownTimes) {
  this->setServiceTimes({20000, 900000, 0, 0});
  EXPECT_EQ(this->Health.slowUpstreams(), 0U);
}

TEST_F(UpstreamHealthTest, UnstableUpstreamIsUsedOnlyIfThereIsNoOther) {
  this->setStatus(0, 0, true);
  this->setStatus(1, 0, false);
  EXPECT_EQ(this->choose(), 1);
  this->Tried = {1};
  EXPECT_EQ(this->choose(), 0);
}

// An upstream that is down and up by turns, with a period of 1.4 s for 7 s.
TEST(FlapDamping, AlternatingUpstreamBecomesUnstableAndRecovers) {
  admission::FlapDamping Damping;
  base::TimePoint Now = Start;
  int UnstableCycles = 0;
  for (int Cycle = 0; Cycle < 5; ++Cycle) {
    Damping.recordFailure(Now += milliseconds(700));
    Damping.recordFailure(Now += milliseconds(700));
    UnstableCycles += Damping.update(Now) ? 1 : 0;
  }
  // Flows are kept away after the second crash.
  EXPECT_EQ(UnstableCycles, 4);
  EXPECT_TRUE(Damping.update(Now + seconds(2)));
  EXPECT_FALSE(Damping.update(Now + seconds(20)));
}

TEST(FlapDamping, SingleCrashDoesNotMakeAnUpstreamUnstable) {
  admission::FlapDamping Damping;
  Damping.recordFailure(Start);
  Damping.recordFailure(Start + seconds(1));
  EXPECT_FALSE(Damping.update(Start + seconds(1)));
  // Another one a minute later.
  Damping.recordFailure(Start + seconds(60));
  Damping.recordFailure(Start + seconds(61));
  EXPECT_FALSE(Damping.update(Start + seconds(61)));
}

TEST(ServiceTimeMeter, FollowsAChangeWithinSeconds) {
  admission::ServiceTimeMeter Meter;
  EXPECT_EQ(Meter.expected(Start, 9, 2), base::Duration(0));
  base::TimePoint Now = Start;
  for (int I = 0; I < 100; ++I) {
    Meter.record(Now += milliseconds(50), milliseconds(20));
  }
  EXPECT_EQ(std::chrono::round<milliseconds>(Meter.expected(Now, 0, 2)),
            milliseconds(20));
  for (int I = 0; I < 40; ++I) {
    Meter.record(Now += milliseconds(50), milliseconds(100));
  }
  EXPECT_GT(Meter.expected(Now, 0, 2), milliseconds(80));
}

// An upstream answers a few requests quickly and the others never. Guards
// against counting it as fast.
TEST(ServiceTimeMeter, UnansweredRequestsRaiseTheExpectedTime) {
  admission::ServiceTimeMeter Meter;
  base::TimePoint Now = Start;
  for (int I = 0; I < 30; ++I) {
    Meter.record(Now += milliseconds(200), milliseconds(20));
  }
  EXPECT_GT(Meter.expected(Now, 6, 2), milliseconds(1000));
}

} // namespace
} // namespace bilberry::routing
