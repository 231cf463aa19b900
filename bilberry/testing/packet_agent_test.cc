// One agent by itself: what it counts as work, and what it lets through.

#include "bilberry/agent/packet_agent.h"
#include "bilberry/standin/one_route.h"

#include <gtest/gtest.h>
#include <string>

namespace bilberry {
namespace {

using std::chrono::milliseconds;

const base::Address Route = {0xC6120001, 8443};
const base::Address Balancer = {0x0A010001, 7001};

class PacketAgentTest : public ::testing::Test {
protected:
  PacketAgentTest()
      : Board(standin::oneRouteFormat(Route)),
        Agent(
            {base::MemberName("agent"), 1, base::DataCentreName("dc"), {}, {}},
            {1.5, 5}, Clock.now(), Board) {
    this->Board.takeEvent({false, {"routes", "", 1, 0}});
    this->Report.Id = "upstream";
    this->Report.Service = base::ServiceName("rounds");
    this->Report.Slots = 2;
    this->beat();
  }

  void beat() {
    ++this->Report.Sequence;
    this->Agent.onReport(this->Clock.now(), this->Report, this->Out);
  }

  // What the agent does with the caller's packet: the tag of one that it gave
  // back, None of one that it let through.
  packet::HopTag send(uint16_t Port, bool IsSyn, uint32_t Sequence,
                      uint16_t DataBytes, uint32_t Acknowledged = 0) {
    packet::Packet Packet;
    Packet.Source = {0x64400001, Port};
    Packet.Destination = Route;
    Packet.IsSyn = IsSyn;
    Packet.IsAck = !IsSyn;
    Packet.Sequence = Sequence;
    Packet.Acknowledged = Acknowledged;
    Packet.DataBytes = DataBytes;
    this->Out.clear();
    this->Agent.onCallerPacket(this->Clock.now(), Balancer, Packet, this->Out);
    if (this->Out.Packets.empty()) {
      return packet::HopTag::NotHeld;
    }
    return this->Out.Packets.back().Mark.Tag;
  }

  void answer(uint16_t Port, bool IsSyn, uint32_t Sequence,
              uint16_t DataBytes) {
    packet::Packet Packet;
    Packet.Source = Route;
    Packet.Destination = {0x64400001, Port};
    Packet.IsSyn = IsSyn;
    Packet.IsAck = true;
    Packet.Sequence = Sequence;
    Packet.DataBytes = DataBytes;
    this->Agent.onUpstreamPacket(this->Clock.now(), Packet, this->Out);
  }

  // A flow whose request was answered.
  void serve(uint16_t Port) {
    ASSERT_EQ(this->send(Port, true, 1, 0), packet::HopTag::None);
    this->answer(Port, true, 1000, 0);
    ASSERT_EQ(this->send(Port, false, 2, 100, 1001), packet::HopTag::None);
    this->answer(Port, false, 1001, 300);
  }

  base::PausedClock Clock;
  targets::OperatorBoard Board;
  agent::PacketAgent Agent;
  members::UpstreamReport Report;
  packet::PacketActions Out;
};

// A caller repeats a request whose answer is under way: nothing waits.
TEST_F(PacketAgentTest, RepeatedRequestsAreNoWork) {
  for (uint16_t Port = 1; Port <= 20; ++Port) {
    this->serve(Port);
    ASSERT_EQ(this->send(Port, false, 2, 100, 1001), packet::HopTag::None);
  }
  EXPECT_EQ(this->send(99, true, 1, 0), packet::HopTag::None);
}

TEST_F(PacketAgentTest, RefusesWhereTooManyWait) {
  for (uint16_t Port = 1; Port <= 6; ++Port) {
    ASSERT_EQ(this->send(Port, true, 1, 0), packet::HopTag::None);
  }
  EXPECT_EQ(this->send(7, true, 1, 0), packet::HopTag::Full);
}

// Callers that gave up while their opening packets waited must not fill the
// upstream's room: it would stay idle while others are refused.
TEST_F(PacketAgentTest, OpeningsWithoutCallersAreNoWork) {
  for (uint16_t Port = 1; Port <= 6; ++Port) {
    ASSERT_EQ(this->send(Port, true, 1, 0), packet::HopTag::None);
    this->answer(Port, true, 1000, 0);
  }
  this->Clock.advance(milliseconds(100));
  EXPECT_EQ(this->send(7, true, 1, 0), packet::HopTag::None);
}

TEST_F(PacketAgentTest, TellsOfRoomAtOnce) {
  this->Agent.onMessage(this->Clock.now(), Balancer,
                        wire::BalancerHello{base::MemberName("b"), 1, {}},
                        this->Out);
  for (uint16_t Port = 1; Port <= 6; ++Port) {
    ASSERT_EQ(this->send(Port, true, 1, 0), packet::HopTag::None);
    this->answer(Port, true, 1000, 0);
    ASSERT_EQ(this->send(Port, false, 2, 100, 1001), packet::HopTag::None);
  }
  ASSERT_EQ(this->send(7, true, 1, 0), packet::HopTag::Full);
  this->Clock.advance(milliseconds(30));
  this->Out.clear();
  this->answer(1, false, 1001, 300);
  ASSERT_EQ(this->Out.Messages.size(), 1U);
  const auto *Status =
      std::get_if<wire::AgentStatus>(&this->Out.Messages[0].Message);
  ASSERT_NE(Status, nullptr);
  EXPECT_EQ(Status->Working, 5U);
}

// A machine that froze may find its upstream replaced: nothing new until the
// next heartbeat, however full its socket is.
TEST_F(PacketAgentTest, AfterAPauseOpeningsWaitForAHeartbeat) {
  this->Agent.onTick(this->Clock.now(), this->Out);
  this->Clock.advance(milliseconds(2500));
  EXPECT_EQ(this->send(1, true, 1, 0), packet::HopTag::NoUpstream);
  this->Agent.onTick(this->Clock.now(), this->Out);
  EXPECT_EQ(this->send(2, true, 1, 0), packet::HopTag::NoUpstream);
  this->Report.ColdLeft = milliseconds(1500);
  this->beat();
  int Taken = 0;
  for (uint16_t Port = 10; Port < 40; ++Port) {
    Taken += this->send(Port, true, 1, 0) == packet::HopTag::None ? 1 : 0;
  }
  EXPECT_EQ(Taken, 5);
}

struct GateCase {
  const char *Name;
  bool IsDraining;
  bool IsOtherService;
  milliseconds ColdLeft;
  int Openings;
  packet::HopTag Last;
};

class GateTest : public PacketAgentTest,
                 public ::testing::WithParamInterface<GateCase> {};

TEST_P(GateTest, LetsThrough) {
  const GateCase &Case = this->GetParam();
  this->Clock.advance(milliseconds(2000));
  this->Report.IsDraining = Case.IsDraining;
  this->Report.ColdLeft = Case.ColdLeft;
  if (Case.IsOtherService) {
    this->Report.Service = base::ServiceName("photos");
  }
  this->beat();
  packet::HopTag Last = packet::HopTag::None;
  for (int I = 0; I < Case.Openings; ++I) {
    Last = this->send(static_cast<uint16_t>(I + 1), true, 1, 0);
  }
  EXPECT_EQ(Last, Case.Last);
}

INSTANTIATE_TEST_SUITE_P(
    Openings, GateTest,
    ::testing::Values(GateCase{"Warm", false, false, milliseconds(0), 6,
                               packet::HopTag::None},
                      GateCase{"Draining", true, false, milliseconds(0), 1,
                               packet::HopTag::Draining},
                      GateCase{"OtherService", false, true, milliseconds(0), 1,
                               packet::HopTag::NoUpstream},
                      GateCase{"ColdWithin", false, false, milliseconds(1500),
                               5, packet::HopTag::None},
                      GateCase{"ColdBeyond", false, false, milliseconds(1500),
                               6, packet::HopTag::Cold}),
    [](const auto &Info) { return std::string(Info.param.Name); });

} // namespace
} // namespace bilberry
