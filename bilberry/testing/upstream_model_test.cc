// Tests the behaviour of the upstream stand-in that other tests rely on.

#include "bilberry/standin/upstream_model.h"

#include <gtest/gtest.h>

namespace bilberry::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr LinkId Link = 1;
constexpr base::TimePoint Start{std::chrono::hours(1)};
constexpr base::Duration ServiceTime = milliseconds(20);
const base::FlowKey Key = {1, 2};

struct UpstreamModelTest : testing::Test {
  static UpstreamConfig config() {
    UpstreamConfig Config;
    Config.Service = base::ServiceName("rounds");
    Config.Capacity.Slots = 3;
    Config.Capacity.ColdSlots = 1;
    Config.Capacity.Connections = 4;
    Config.Capacity.ColdConnections = 1;
    Config.Capacity.CompletionsPerSlot = 2;
    Config.ServiceTime = ServiceTime;
    return Config;
  }

  UpstreamModelTest() : Model(config()) { this->Model.onLinkOpened(Link); }

  /// Sends a message and returns the first immediate reply, if any.
  std::optional<wire::FromUpstream> send(const wire::ToUpstream &Message) {
    UpstreamOutputs Out;
    this->Model.onMessage(this->Now, Link, Message, Out);
    if (Out.empty()) {
      return std::nullopt;
    }
    return Out.front().Message;
  }

  std::optional<wire::FromUpstream>
  sendRun(uint32_t MessageId, uint64_t Id,
          base::Duration TimeLeft = seconds(5)) {
    return this->send(wire::UpstreamRun{MessageId,
                                        base::ClassName("check-off"),
                                        {0, Id},
                                        this->Now + TimeLeft,
                                        "x"});
  }

  wire::UpstreamFlowEvent sendPacket(base::FlowKey Flow, uint64_t Sequence,
                                     uint8_t Flags = 0,
                                     std::string Body = "b") {
    auto Reply = this->send(
        wire::UpstreamFlowPacket{base::ClassName("watering-round"), Flow, Flags,
                                 Sequence, std::move(Body)});
    return std::get<wire::UpstreamFlowEvent>(Reply.value());
  }

  UpstreamOutputs advance(base::Duration Elapsed) {
    this->Now += Elapsed;
    UpstreamOutputs Out;
    this->Model.onTick(this->Now, Out);
    return Out;
  }

  static wire::UpstreamRefusal
  refusal(const std::optional<wire::FromUpstream> &Reply) {
    return std::get<wire::UpstreamRefused>(Reply.value()).Refusal;
  }

  base::TimePoint Now = Start;
  UpstreamModel Model;
};

TEST_F(UpstreamModelTest, SlotLimitGrowsWithCompletionsUntilReset) {
  const uint32_t ExpectedSlots[] = {1, 1, 2, 2, 3, 3, 3};
  for (uint32_t Completions = 0; Completions < std::size(ExpectedSlots);
       ++Completions) {
    EXPECT_EQ(this->Model.currentSlotLimit(), ExpectedSlots[Completions]);
    this->sendRun(Completions, Completions);
    EXPECT_EQ(this->advance(ServiceTime).size(), 1U);
  }
  this->Model.resetWarmup();
  EXPECT_EQ(this->Model.currentSlotLimit(), 1U);
}

TEST_F(UpstreamModelTest, RefusesWithReason) {
  EXPECT_EQ(refusal(this->sendRun(1, 1, seconds(0))),
            wire::UpstreamRefusal::DeadlinePassed);
  EXPECT_FALSE(this->sendRun(2, 2));
  EXPECT_EQ(this->Model.ledger().Overruns, 0U);
  EXPECT_EQ(refusal(this->sendRun(3, 3)), wire::UpstreamRefusal::Shed);
  EXPECT_EQ(this->Model.ledger().Overruns, 1U);
  UpstreamOutputs Out;
  this->Model.drain(Out);
  ASSERT_EQ(Out.size(), 1U);
  EXPECT_EQ(refusal(this->sendRun(4, 4)), wire::UpstreamRefusal::Draining);
  EXPECT_FALSE(this->Model.isIdle());
  this->advance(ServiceTime);
  EXPECT_TRUE(this->Model.isIdle());
  EXPECT_EQ(this->Model.ledger().TotalRuns, 1U);
  EXPECT_FALSE(this->Model.ledger().Runs.contains({0, 3}));
}

TEST_F(UpstreamModelTest, LedgerCountsEachRunOfOneId) {
  this->sendRun(1, 7);
  this->advance(ServiceTime);
  this->sendRun(2, 7);
  EXPECT_EQ(this->Model.ledger().Runs.at({0, 7}), 2U);
}

TEST_F(UpstreamModelTest, CancelledRequestDoesNotFinish) {
  this->sendRun(1, 1);
  EXPECT_EQ(refusal(this->send(wire::UpstreamCancel{1})),
            wire::UpstreamRefusal::Failed);
  EXPECT_FALSE(this->send(wire::UpstreamCancel{1}));
  EXPECT_TRUE(this->advance(ServiceTime).empty());
}

TEST_F(UpstreamModelTest, DropsAnswerOfLostLink) {
  this->sendRun(1, 1);
  this->Model.onLinkLost(Link);
  EXPECT_TRUE(this->advance(ServiceTime).empty());
  EXPECT_EQ(this->Model.ledger().Done, 1U);
}

TEST_F(UpstreamModelTest, ClosesFlowAfterAllPacketsArrive) {
  using wire::FlowEvent;
  EXPECT_EQ(this->sendPacket(Key, 1, wire::FlowOpenFlag).Event,
            FlowEvent::Opened);
  EXPECT_EQ(this->sendPacket(Key, 4, wire::FlowCloseFlag).Event,
            FlowEvent::Data);
  EXPECT_EQ(this->sendPacket(Key, 3).Event, FlowEvent::Data);
  EXPECT_EQ(this->sendPacket(Key, 3).Event, FlowEvent::Data);
  wire::UpstreamFlowEvent Last = this->sendPacket(Key, 2);
  EXPECT_EQ(Last.Event, FlowEvent::Closed);
  EXPECT_EQ(Last.Body, flowSummary(4, 4));
  EXPECT_EQ(this->Model.flowsOpen(), 0U);
  EXPECT_EQ(this->sendPacket(Key, 4, wire::FlowCloseFlag).Event,
            FlowEvent::Closed);
}

TEST_F(UpstreamModelTest, RefusesFlowsAboveConnectionLimit) {
  using wire::FlowEvent;
  EXPECT_EQ(this->sendPacket({9, 9}, 2).Event, FlowEvent::Reset);
  EXPECT_EQ(this->sendPacket(Key, 1, wire::FlowOpenFlag).Event,
            FlowEvent::Opened);
  wire::UpstreamFlowEvent Refused =
      this->sendPacket({3, 4}, 1, wire::FlowOpenFlag);
  EXPECT_EQ(Refused.Event, FlowEvent::Refused);
  EXPECT_EQ(Refused.Body, "shed");
  EXPECT_EQ(this->Model.ledger().Overruns, 1U);
  EXPECT_EQ(this->sendPacket(Key, 2).Event, FlowEvent::Data);
  EXPECT_EQ(this->sendPacket({3, 4}, 1, wire::FlowOpenFlag).Event,
            FlowEvent::Opened);
}

TEST_F(UpstreamModelTest, PushesToOpenFlows) {
  UpstreamConfig Config = config();
  Config.PushInterval = milliseconds(500);
  this->Model = UpstreamModel(Config);
  this->Model.onLinkOpened(Link);
  this->sendPacket(Key, 1, wire::FlowOpenFlag);
  EXPECT_EQ(this->Model.nextDue(), this->Now + Config.PushInterval);
  EXPECT_TRUE(this->advance(milliseconds(499)).empty());
  UpstreamOutputs Out = this->advance(milliseconds(1));
  ASSERT_EQ(Out.size(), 1U);
  const auto &Push = std::get<wire::UpstreamFlowEvent>(Out[0].Message);
  EXPECT_EQ(Push.Sequence, 0U);
  EXPECT_EQ(Push.Body, "push:1");
}

TEST_F(UpstreamModelTest, ReportsStaleAndOverriddenHealth) {
  UpstreamConfig Config = config();
  Config.HealthLag = seconds(1);
  this->Model = UpstreamModel(Config);
  auto Load = [&] {
    auto Reply = this->send(wire::UpstreamHealthQuery{1});
    return std::get<wire::UpstreamHealth>(Reply.value()).Load;
  };
  EXPECT_EQ(Load(), 0.0);
  this->sendRun(2, 2);
  EXPECT_EQ(Load(), 0.0);
  this->Now += Config.HealthLag;
  EXPECT_EQ(Load(), 1.0);
  this->Model.overrideHealth("healthy", 0.25);
  EXPECT_EQ(Load(), 0.25);
}

TEST_F(UpstreamModelTest, CountsBodiesThatNameAnotherService) {
  this->sendPacket(Key, 1, wire::FlowOpenFlag,
                   serviceTag(base::ServiceName("rounds")));
  this->sendPacket(Key, 2, 0, "untagged");
  EXPECT_EQ(this->Model.ledger().WrongService, 0U);
  this->sendPacket(Key, 3, 0, serviceTag(base::ServiceName("round")));
  EXPECT_EQ(this->Model.ledger().WrongService, 1U);
  EXPECT_EQ(this->Model.arrivalsSince(this->Now), 3U);
  EXPECT_EQ(this->Model.arrivalsSince(this->Now + seconds(1)), 0U);
}

} // namespace
} // namespace bilberry::standin
