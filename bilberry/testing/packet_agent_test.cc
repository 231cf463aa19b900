// Tests of a single PacketAgent: which flows count as pending work, and which
// opening packets are admitted.

#include "bilberry/agent/packet_agent.h"
#include "bilberry/standin/single_route.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>

namespace bilberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Address Route = {0xC6120001, 8443};
const base::Address Balancer = {0x0A010001, 7001};
const base::Address Upstream = {0x0A010002, 8165};

class PacketAgentTest : public ::testing::Test {
protected:
  // LastSequence is that of the upstream's last heartbeat before the agent
  // started.
  explicit PacketAgentTest(uint64_t LastSequence = 0)
      : StateCache(standin::singleRouteFormat(Route)),
        Agent({base::MemberName("agent"),
               1,
               base::DataCentreName("dc"),
               {},
               {},
               base::ServiceName("rounds"),
               Upstream},
              {1.5, 5}, Clock.now(), StateCache) {
    this->StateCache.applyEvent({false, {"routes", "", 1, 0}});
    this->Report.Id = "upstream";
    this->Report.Service = base::ServiceName("rounds");
    this->Report.Address = Upstream;
    this->Report.DataCentre = base::DataCentreName("dc");
    this->Report.Slots = 2;
    this->Report.Sequence = LastSequence;
    this->sendHeartbeat();
  }

  void sendHeartbeat() {
    ++this->Report.Sequence;
    this->Agent.onReport(this->Clock.now(), this->Report, this->Out);
  }

  // Passes a caller's packet to the agent. Returns the reason tag if the agent
  // returned the packet, None if it delivered it to the upstream, and NotHeld
  // if it dropped it.
  packet::HopTag sendCallerPacket(uint16_t Port, bool IsSyn, uint32_t Sequence,
                                  uint16_t DataBytes,
                                  uint32_t Acknowledged = 0) {
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

  void sendUpstreamPacket(uint16_t Port, bool IsSyn, uint32_t Sequence,
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

  // Advances the clock without a pause of the process.
  void passTime(base::Duration Time) {
    constexpr base::Duration Step = milliseconds(500);
    for (; Time > Step; Time -= Step) {
      this->Clock.advance(Step);
      this->Agent.onTick(this->Clock.now(), this->Out);
    }
    this->Clock.advance(Time);
  }

  // The upstream returns a packet of the flow as unknown.
  void returnCallerPacket(uint16_t Port) {
    packet::Packet Packet;
    Packet.Source = {0x64400001, Port};
    Packet.Destination = Route;
    Packet.IsAck = true;
    Packet.IsBounced = true;
    Packet.Sequence = 102;
    this->Agent.onUpstreamPacket(this->Clock.now(), Packet, this->Out);
  }

  // Opens a flow and completes one request on it.
  void completeRequest(uint16_t Port) {
    ASSERT_EQ(this->sendCallerPacket(Port, true, 1, 0), packet::HopTag::None);
    this->sendUpstreamPacket(Port, true, 1000, 0);
    ASSERT_EQ(this->sendCallerPacket(Port, false, 2, 100, 1001),
              packet::HopTag::None);
    this->sendUpstreamPacket(Port, false, 1001, 300);
  }

  base::ManualClock Clock;
  targets::OperatorStateCache StateCache;
  agent::PacketAgent Agent;
  members::UpstreamHeartbeat Report;
  packet::PacketActions Out;
};

// A caller may retransmit a request whose answer is in transit. The upstream
// has no work to do for it.
TEST_F(PacketAgentTest, RetransmittedRequestsAreNotPending) {
  for (uint16_t Port = 1; Port <= 20; ++Port) {
    this->completeRequest(Port);
    ASSERT_EQ(this->sendCallerPacket(Port, false, 2, 100, 1001),
              packet::HopTag::None);
  }
  EXPECT_EQ(this->sendCallerPacket(99, true, 1, 0), packet::HopTag::None);
}

TEST_F(PacketAgentTest, RefusesOpeningsWhenTooManyArePending) {
  for (uint16_t Port = 1; Port <= 6; ++Port) {
    ASSERT_EQ(this->sendCallerPacket(Port, true, 1, 0), packet::HopTag::None);
  }
  EXPECT_EQ(this->sendCallerPacket(7, true, 1, 0), packet::HopTag::Full);
}

// Opening packets that their callers have abandoned must not count against the
// upstream's capacity: it would stay idle while other flows are refused.
TEST_F(PacketAgentTest, AbandonedOpeningsAreNotPending) {
  for (uint16_t Port = 1; Port <= 6; ++Port) {
    ASSERT_EQ(this->sendCallerPacket(Port, true, 1, 0), packet::HopTag::None);
    this->sendUpstreamPacket(Port, true, 1000, 0);
  }
  this->Clock.advance(milliseconds(100));
  EXPECT_EQ(this->sendCallerPacket(7, true, 1, 0), packet::HopTag::None);
}

// An upstream that drains is about to leave with its machine. Its agent must
// keep relaying after a stop signal until the upstream has left and the flows
// that it still had are reset. Otherwise a stopped agent starts again soon.
TEST_F(PacketAgentTest, OutlastsADrainingUpstream) {
  for (bool IsDraining : {false, true}) {
    this->Report.IsDraining = IsDraining;
    this->sendHeartbeat();
    this->Agent.onStop(this->Clock.now(), this->Out);
    EXPECT_EQ(this->Agent.isReadyToExit(this->Clock.now()), !IsDraining);
  }
  this->Agent.onLeave(this->Clock.now(), this->Report.Id, this->Out);
  EXPECT_FALSE(this->Agent.isReadyToExit(this->Clock.now()));
  this->Clock.advance(agent::ResetDelayAfterLeave + milliseconds(100));
  this->Agent.onTick(this->Clock.now(), this->Out);
  EXPECT_TRUE(this->Agent.isReadyToExit(this->Clock.now()));
}

// Guards against one lost datagram that lets a balancer take a stopped agent,
// whose upstream serves, for one that is gone with its flows.
TEST_F(PacketAgentTest, TellsSeveralTimesThatItStops) {
  wire::BalancerHello Hello;
  Hello.Name = base::MemberName("balancer");
  Hello.Run = 1;
  this->Agent.onMessage(this->Clock.now(), Balancer, Hello, this->Out);
  this->sendCallerPacket(1, true, 100, 0);
  this->sendUpstreamPacket(1, true, 500, 0);
  this->sendCallerPacket(1, false, 101, 200, 501);
  this->Out.clear();
  this->Agent.onStop(this->Clock.now(), this->Out);
  int Ticks = 0;
  for (; !this->Agent.isReadyToExit(this->Clock.now()) && Ticks < 10; ++Ticks) {
    this->Clock.advance(milliseconds(50));
    this->Agent.onTick(this->Clock.now(), this->Out);
  }
  EXPECT_EQ(Ticks, agent::StopStatusCount - 1);
  auto Told = std::ranges::count_if(
      this->Out.Messages, [](const packet::SendMessage &Action) {
        const auto *Status = std::get_if<wire::AgentStatus>(&Action.Message);
        return Status && Status->Flows == 1 &&
               Status->Condition == wire::AgentCondition::Stopping;
      });
  EXPECT_EQ(Told, agent::StopStatusCount);
}

// An agent is stopped right after its start, before its upstream's first
// heartbeat. Guards against searches at all balancers that wait for an agent
// which has exited without saying whether it has an upstream.
TEST(StoppedAtStart, ExitsOnlyOnceItKnowsWhetherItHasAnUpstream) {
  for (bool HasUpstream : {false, true}) {
    SCOPED_TRACE(HasUpstream);
    base::ManualClock Clock;
    Clock.advance(seconds(100));
    targets::OperatorStateCache StateCache(standin::singleRouteFormat(Route));
    agent::PacketAgent Agent({base::MemberName("agent"),
                              1,
                              base::DataCentreName("dc"),
                              {},
                              {},
                              base::ServiceName("rounds"),
                              Upstream},
                             {1.5, 5}, Clock.now(), StateCache);
    packet::PacketActions Out;
    Agent.onStop(Clock.now(), Out);
    milliseconds ReadyAfter(0);
    for (; !Agent.isReadyToExit(Clock.now()); ReadyAfter += milliseconds(50)) {
      ASSERT_LT(ReadyAfter, seconds(4));
      Clock.advance(milliseconds(50));
      Agent.onTick(Clock.now(), Out);
      if (HasUpstream && ReadyAfter == milliseconds(1000)) {
        members::UpstreamHeartbeat Report;
        Report.Id = "upstream";
        Report.Service = base::ServiceName("rounds");
        Report.Address = Upstream;
        Report.DataCentre = base::DataCentreName("dc");
        Report.Sequence = 20;
        Agent.onReport(Clock.now(), Report, Out);
      }
    }
    EXPECT_EQ(ReadyAfter, milliseconds(HasUpstream ? 1050 : 2550));
  }
}

// Guards against resets of a live upstream's flows: a heartbeat of another
// process must not replace the upstream's run, however late its start.
TEST_F(PacketAgentTest, ForeignHeartbeatDoesNotResetFlows) {
  struct Case {
    const char *Name;
    const char *Service;
    base::Address Address;
    const char *DataCentre = "dc";
  };
  const Case Cases[] = {
      {"unknown service", "no-such-service", Upstream},
      {"service of another upstream", "photos", Upstream},
      {"address of another VM", "rounds", {Upstream.Ip + 1, Upstream.Port}},
      {"other port", "rounds", {Upstream.Ip, 1}},
      {"other data centre", "rounds", Upstream, "elsewhere"},
  };
  for (uint16_t Port = 1; Port <= 3; ++Port) {
    this->completeRequest(Port);
  }
  this->sendHeartbeat();
  for (const Case &Item : Cases) {
    members::UpstreamHeartbeat Foreign;
    Foreign.Id = "other";
    Foreign.Service = base::ServiceName(Item.Service);
    Foreign.Address = Item.Address;
    Foreign.DataCentre = base::DataCentreName(Item.DataCentre);
    Foreign.StartedAt = this->Report.StartedAt + std::chrono::hours(1);
    Foreign.Sequence = 1;
    this->Out.clear();
    EXPECT_EQ(this->Agent.onReport(this->Clock.now(), Foreign, this->Out),
              members::HeartbeatOutcome::Foreign)
        << Item.Name;
    EXPECT_TRUE(this->Out.Resets.empty()) << Item.Name;
    ++this->Report.Sequence;
    EXPECT_EQ(this->Agent.onReport(this->Clock.now(), this->Report, this->Out),
              members::HeartbeatOutcome::Known)
        << Item.Name;
  }
  EXPECT_EQ(this->Agent.counts().ForeignReports, std::size(Cases));
  EXPECT_EQ(this->sendCallerPacket(9, true, 1, 0), packet::HopTag::None);
}

// A leave message of a run that isn't the current one must not be acknowledged.
TEST_F(PacketAgentTest, LeaveOfAnotherRunIsNotAcknowledged) {
  EXPECT_FALSE(this->Agent.onLeave(this->Clock.now(), "other", this->Out));
  EXPECT_TRUE(this->Agent.upstream().currentRun().has_value());
  EXPECT_TRUE(
      this->Agent.onLeave(this->Clock.now(), this->Report.Id, this->Out));
  EXPECT_TRUE(this->Agent.onLeave(this->Clock.now(), "other", this->Out))
      << "nothing is sent to an upstream any more";
}

// Guards against a flood of new flows at an upstream that crashed and came back
// cold: until its first heartbeat, only its packets show the restart.
TEST_F(PacketAgentTest, RestartedUpstreamCountsAsColdUntilItsHeartbeat) {
  enum class Evidence : uint8_t {
    ReturnsOpenFlow,
    ReturnsIdleFlow,
    AnswersOpeningAfterSilence,
    AnswersOpenFlowAfterSilence,
  };
  struct Case {
    const char *Name;
    Evidence What;
    bool IsCold;
  };
  const Case Cases[] = {
      {"returns an open flow", Evidence::ReturnsOpenFlow, true},
      {"returns a flow past its idle timeout", Evidence::ReturnsIdleFlow,
       false},
      {"answers an opening packet after a silence",
       Evidence::AnswersOpeningAfterSilence, true},
      {"answers an open flow after a silence",
       Evidence::AnswersOpenFlowAfterSilence, false},
  };
  constexpr uint16_t ColdLimit = 5;
  uint16_t Port = 1;
  for (const Case &Item : Cases) {
    SCOPED_TRACE(Item.Name);
    this->completeRequest(Port);
    ASSERT_EQ(this->sendCallerPacket(Port + 1, true, 1, 0),
              packet::HopTag::None);
    this->passTime(Item.What == Evidence::ReturnsIdleFlow
                       ? agent::DefaultIdleTimeout
                       : admission::MaxResponseDelay + milliseconds(1));
    if (Item.What == Evidence::ReturnsIdleFlow) {
      this->sendHeartbeat();
    }
    switch (Item.What) {
    case Evidence::ReturnsOpenFlow:
    case Evidence::ReturnsIdleFlow:
      this->returnCallerPacket(Port);
      break;
    case Evidence::AnswersOpeningAfterSilence:
      this->sendUpstreamPacket(Port + 1, true, 1000, 0);
      break;
    case Evidence::AnswersOpenFlowAfterSilence:
      this->sendUpstreamPacket(Port, false, 1301, 300);
      break;
    }
    this->passTime(admission::ColdRateWindow);
    Port += 2;
    for (uint16_t I = 0; I < ColdLimit; ++I) {
      EXPECT_EQ(this->sendCallerPacket(Port++, true, 1, 0),
                packet::HopTag::None);
    }
    EXPECT_EQ(this->sendCallerPacket(Port++, true, 1, 0),
              Item.IsCold ? packet::HopTag::Cold : packet::HopTag::None);
    this->sendHeartbeat();
    this->passTime(seconds(2));
    this->sendHeartbeat();
    for (uint16_t I = 0; I <= ColdLimit; ++I) {
      EXPECT_EQ(this->sendCallerPacket(Port++, true, 1, 0),
                packet::HopTag::None)
          << "its heartbeat says that it is warm";
    }
    this->passTime(seconds(2));
    this->sendHeartbeat();
  }
  EXPECT_EQ(this->Agent.counts().SuspectedRestarts, 2U);
}

class FreeCapacityTest : public PacketAgentTest,
                         public ::testing::WithParamInterface<const char *> {};

// Balancers queue flows until an upstream has capacity. Those that placed flows
// here lately must learn of it at once, in whichever data centre they are.
TEST_P(FreeCapacityTest, IsAnnouncedAtOnce) {
  this->Agent.onMessage(this->Clock.now(), Balancer,
                        wire::BalancerHello{base::MemberName("b"),
                                            1,
                                            {},
                                            base::DataCentreName(GetParam()),
                                            false},
                        this->Out);
  for (uint16_t Port = 1; Port <= 6; ++Port) {
    ASSERT_EQ(this->sendCallerPacket(Port, true, 1, 0), packet::HopTag::None);
    this->sendUpstreamPacket(Port, true, 1000, 0);
    ASSERT_EQ(this->sendCallerPacket(Port, false, 2, 100, 1001),
              packet::HopTag::None);
  }
  ASSERT_EQ(this->sendCallerPacket(7, true, 1, 0), packet::HopTag::Full);
  this->Clock.advance(milliseconds(30));
  this->Out.clear();
  this->sendUpstreamPacket(1, false, 1001, 300);
  ASSERT_EQ(this->Out.Messages.size(), 1U);
  EXPECT_EQ(this->Out.Messages[0].To, std::vector{Balancer});
  const auto *Status =
      std::get_if<wire::AgentStatus>(&this->Out.Messages[0].Message);
  ASSERT_NE(Status, nullptr);
  EXPECT_EQ(Status->WaitingFlows, 5U);
}

INSTANTIATE_TEST_SUITE_P(PacketAgent, FreeCapacityTest,
                         ::testing::Values("dc", "elsewhere"));

// During a pause of the machine its upstream may have been replaced. After it,
// no new flow is admitted until the next heartbeat, however many packets are
// queued in the socket.
TEST_F(PacketAgentTest, NoOpeningIsAdmittedBetweenAPauseAndAHeartbeat) {
  this->Agent.onTick(this->Clock.now(), this->Out);
  this->Clock.advance(milliseconds(2500));
  EXPECT_EQ(this->sendCallerPacket(1, true, 1, 0), packet::HopTag::NoUpstream);
  this->Agent.onTick(this->Clock.now(), this->Out);
  EXPECT_EQ(this->sendCallerPacket(2, true, 1, 0), packet::HopTag::NoUpstream);
  this->Report.ColdLeft = milliseconds(1500);
  this->sendHeartbeat();
  int Admitted = 0;
  for (uint16_t Port = 10; Port < 40; ++Port) {
    Admitted += this->sendCallerPacket(Port, true, 1, 0) == packet::HopTag::None
                    ? 1
                    : 0;
  }
  EXPECT_EQ(Admitted, 5);
}

// An agent that was restarted while its upstream kept running, so that it has
// to probe the upstream.
class ProbingAgentTest : public PacketAgentTest {
protected:
  ProbingAgentTest() : PacketAgentTest(10) {
    this->Clock.advance(milliseconds(10));
  }

  wire::FlowPresence presence(uint16_t Port) {
    this->Out.clear();
    wire::HolderQuery Query;
    Query.Flows = {{{0x64400001, Port}, Route}};
    this->Agent.onMessage(this->Clock.now(), Balancer, Query, this->Out);
    return std::get<wire::HolderAnswer>(this->Out.Messages.back().Message)
        .Presences.front();
  }
};

// An upstream acknowledges every second packet only. Guards against an upload
// that stands still after a restart, because a single packet is delivered at a
// time until the upstream has answered.
TEST_F(ProbingAgentTest, PacketsThatFollowAProbeAreDelivered) {
  EXPECT_EQ(this->sendCallerPacket(1, false, 2, 1200), packet::HopTag::None);
  this->Clock.advance(milliseconds(1));
  EXPECT_EQ(this->sendCallerPacket(1, false, 1202, 1200),
            packet::HopTag::NotHeld);
  this->sendHeartbeat();
  this->Clock.advance(milliseconds(200));
  for (uint32_t I = 0; I < 16; ++I) {
    EXPECT_EQ(this->sendCallerPacket(1, false, 2 + (1200 * I), 1200),
              packet::HopTag::None);
  }
  EXPECT_EQ(this->presence(1), wire::FlowPresence::Unsure);
  this->sendUpstreamPacket(1, false, 5000, 0);
  EXPECT_EQ(this->presence(1), wire::FlowPresence::Held);
}

// Guards against flows that are reset because their packets were lost on the
// way to or from an upstream that doesn't hold them.
TEST_F(ProbingAgentTest, ProbedFlowIsNeverReset) {
  EXPECT_EQ(this->sendCallerPacket(1, false, 2, 100), packet::HopTag::None);
  this->sendHeartbeat();
  this->Clock.advance(milliseconds(200));
  EXPECT_EQ(this->sendCallerPacket(1, false, 2, 100), packet::HopTag::None);
  this->Out.clear();
  this->returnCallerPacket(1);
  EXPECT_TRUE(this->Out.Resets.empty());
  ASSERT_EQ(this->Out.Packets.size(), 1U);
  EXPECT_EQ(this->Out.Packets.front().Mark.Tag, packet::HopTag::NotHeld);
  EXPECT_EQ(this->presence(1), wire::FlowPresence::Absent);
}

// Guards against flows that wait for an upstream that is down or paused while
// another one holds them.
TEST_F(ProbingAgentTest, SilentUpstreamIsNotProbedAgain) {
  EXPECT_EQ(this->sendCallerPacket(1, false, 2, 100), packet::HopTag::None);
  this->Clock.advance(milliseconds(200));
  EXPECT_EQ(this->sendCallerPacket(1, false, 2, 100),
            packet::HopTag::Unanswered);
  EXPECT_EQ(this->presence(1), wire::FlowPresence::Unsure);
  this->passTime(milliseconds(3000));
  EXPECT_EQ(this->sendCallerPacket(2, false, 2, 100),
            packet::HopTag::NoUpstream);
  EXPECT_EQ(this->presence(2), wire::FlowPresence::Unsure);
}

// A caller's packet, as a balancer forwards it.
struct MisaddressedCase {
  const char *Name;
  packet::HopTag Tag;
  const char *Agent;
  const char *Service;
  bool IsReturned;
};

class MisaddressedTest
    : public PacketAgentTest,
      public ::testing::WithParamInterface<MisaddressedCase> {};

// A balancer may know an agent that had the address before. Guards against its
// packets that reach the upstream of another one: opening packets, packets of
// open flows and probes.
TEST_P(MisaddressedTest, PacketForAnotherAgentIsReturned) {
  const MisaddressedCase &Case = this->GetParam();
  packet::Packet Packet;
  Packet.Source = {0x64400001, 5000};
  Packet.Destination = Route;
  Packet.IsSyn = Case.Tag == packet::HopTag::Opening;
  Packet.IsAck = !Packet.IsSyn;
  Packet.DataBytes = 10;
  Packet.Mark = packet::markForAgent(
      Case.Tag, packet::receiverId(base::MemberName(Case.Agent),
                                   base::ServiceName(Case.Service)));
  this->Out.clear();
  this->Agent.onCallerPacket(this->Clock.now(), Balancer, Packet, this->Out);
  ASSERT_EQ(this->Out.Packets.size(), 1U);
  const packet::SendPacket &Sent = this->Out.Packets.front();
  EXPECT_EQ(Sent.Kind, Case.IsReturned ? packet::Receiver::Peer
                                       : packet::Receiver::Upstream);
  EXPECT_EQ(Sent.Mark.Tag, Case.IsReturned ? packet::HopTag::WrongAgent
                                           : packet::HopTag::None);
  EXPECT_EQ(this->Agent.counts().Misaddressed, Case.IsReturned ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Packets, MisaddressedTest,
    ::testing::Values(
        MisaddressedCase{"OwnOpening", packet::HopTag::Opening, "agent",
                         "rounds", false},
        MisaddressedCase{"OtherAgentsOpening", packet::HopTag::Opening,
                         "agent-2", "rounds", true},
        MisaddressedCase{"OtherServicesOpening", packet::HopTag::Opening,
                         "agent", "photos", true},
        MisaddressedCase{"OtherAgentsFlow", packet::HopTag::Holder, "agent-2",
                         "photos", true},
        MisaddressedCase{"OtherServicesFlow", packet::HopTag::Holder, "agent",
                         "photos", true},
        MisaddressedCase{"OtherAgentsProbe", packet::HopTag::Probe, "agent-2",
                         "rounds", true},
        MisaddressedCase{"OtherServicesProbe", packet::HopTag::Probe, "agent",
                         "photos", true}),
    [](const auto &Info) { return std::string(Info.param.Name); });

// Guards against new flows for an upstream whose address a server of another
// service uses, before the heartbeats of the upstream count as missing. A
// heartbeat with an unknown service shows nothing.
TEST_F(PacketAgentTest, NoOpeningIsAdmittedAfterAHeartbeatOfAnotherService) {
  members::UpstreamHeartbeat Other = this->Report;
  Other.Id = "other";
  Other.StartedAt = this->Report.StartedAt + milliseconds(1);
  Other.Service = base::ServiceName("no-such-service");
  this->Agent.onReport(this->Clock.now(), Other, this->Out);
  EXPECT_EQ(this->sendCallerPacket(1, true, 1, 0), packet::HopTag::None);
  this->Clock.advance(milliseconds(100));
  Other.Service = base::ServiceName("photos");
  this->Agent.onReport(this->Clock.now(), Other, this->Out);
  EXPECT_EQ(this->sendCallerPacket(2, true, 1, 0), packet::HopTag::NoUpstream);
  this->Clock.advance(milliseconds(100));
  this->sendHeartbeat();
  EXPECT_EQ(this->sendCallerPacket(3, true, 1, 0), packet::HopTag::None);
}

struct OpeningCase {
  const char *Name;
  bool IsDraining;
  bool IsOtherService;
  milliseconds ColdLeft;
  int Openings;
  packet::HopTag Last;
};

class OpeningTest : public PacketAgentTest,
                    public ::testing::WithParamInterface<OpeningCase> {};

TEST_P(OpeningTest, AdmitsOrReturnsWithAReason) {
  const OpeningCase &Case = this->GetParam();
  this->Clock.advance(milliseconds(2000));
  this->Report.IsDraining = Case.IsDraining;
  this->Report.ColdLeft = Case.ColdLeft;
  if (Case.IsOtherService) {
    this->Report.Service = base::ServiceName("photos");
  }
  this->sendHeartbeat();
  packet::HopTag Last = packet::HopTag::None;
  for (int I = 0; I < Case.Openings; ++I) {
    Last = this->sendCallerPacket(static_cast<uint16_t>(I + 1), true, 1, 0);
  }
  EXPECT_EQ(Last, Case.Last);
}

INSTANTIATE_TEST_SUITE_P(
    Openings, OpeningTest,
    ::testing::Values(OpeningCase{"Warm", false, false, milliseconds(0), 6,
                                  packet::HopTag::None},
                      OpeningCase{"Draining", true, false, milliseconds(0), 1,
                                  packet::HopTag::Draining},
                      OpeningCase{"OtherService", false, true, milliseconds(0),
                                  1, packet::HopTag::NoUpstream},
                      OpeningCase{"ColdWithin", false, false,
                                  milliseconds(1500), 5, packet::HopTag::None},
                      OpeningCase{"ColdBeyond", false, false,
                                  milliseconds(1500), 6, packet::HopTag::Cold}),
    [](const auto &Info) { return std::string(Info.param.Name); });

} // namespace
} // namespace bilberry
