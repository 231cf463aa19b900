// Decisions of one agent that the network test leaves out: other services,
// data centres out of service, limits, timeouts and restarts.

#include "bilberry/standin/upstream_model.h"
#include "bilberry/testing/flow_network.h"

#include <gtest/gtest.h>

namespace bilberry::testing {
namespace {

using board::AgentActions;

// One agent, with two others that only its view knows.
struct Bench {
  Bench() {
    this->Targets.advance(flowTargets(1), "");
    this->Limits.setCapacity({2, 2, 2, 2, 10, std::chrono::seconds(1)});
    for (int Index = 0; Index < 3; ++Index) {
      this->Members.put(this->Now, flowAgent(Index));
    }
    this->tick(std::chrono::seconds(0));
    this->tick(routing::OpenSettleTime);
  }

  // The first connection whose ranking begins with that agent.
  uint64_t connectionOf(int Home) const {
    auto View = this->Members.view(Rounds);
    uint64_t Connection = 1;
    while (routing::firstRanked(View->Lookup, keyOf(Connection))->Value.Name !=
           flowAgent(Home).Name) {
      ++Connection;
    }
    return Connection;
  }
  static base::FlowKey keyOf(uint64_t Connection) {
    return routing::flowKey(Rounds, Caller, Connection);
  }

  AgentActions packet(uint64_t Connection, uint8_t Flags, uint8_t Hops = 0,
                      const base::ServiceName &Service = Rounds,
                      const base::ClassName &Class = WateringRound,
                      int Receiver = 0) {
    wire::FlowPacket Packet{Class, Connection, Flags, 7, "x"};
    wire::ForwardHeader Header;
    Header.Service = Service;
    Header.Caller = Caller;
    Header.Receiver = flowAgent(Receiver).Name;
    Header.Balancer = {0x7F000001, 6000};
    Header.Hops = Hops;
    AgentActions Out;
    this->Flows.onPacket(this->Now, Header, wire::flowPacketBytes(Packet),
                         Packet, Out);
    return Out;
  }
  AgentActions upstream(uint64_t Connection, wire::FlowEvent Event) {
    AgentActions Out;
    this->Flows.onUpstreamEvent(this->Now, {keyOf(Connection), Event, 7, "y"},
                                Out);
    return Out;
  }
  AgentActions answer(int From, uint64_t Connection,
                      wire::FlowKnowledge Knowledge) {
    AgentActions Out;
    this->Flows.onPeer(
        this->Now,
        {flowAgent(From), flowAgent(0).Name,
         wire::FlowQueryReply{keyOf(Connection), Knowledge,
                              Knowledge == wire::FlowKnowledge::Held
                                  ? flowAgent(From).Name
                                  : base::MemberName()}},
        Out);
    return Out;
  }
  AgentActions tick(base::Duration Step) {
    this->Now += Step;
    AgentActions Out;
    this->Flows.onTick(this->Now, Out);
    return Out;
  }
  uint64_t carriedConnection(size_t Skip = 0) {
    uint64_t Connection = this->connectionOf(0) + Skip;
    this->packet(Connection, wire::FlowOpen, 1);
    this->upstream(Connection, wire::FlowEvent::Opened);
    EXPECT_GE(this->Flows.carried(), 1U);
    return Connection;
  }

  base::TimePoint Now{std::chrono::hours(24)};
  board::LocalMember Self{flowAgent(0)};
  targets::TargetTable Targets;
  members::MemberTable Members;
  admission::UpstreamLimits Limits;
  routing::FlowController Flows{Self, Targets, Members, Limits};
};

template <typename Action> std::vector<Action> all(const AgentActions &Out) {
  std::vector<Action> Found;
  for (const board::AgentAction &Each : Out) {
    if (const auto *Wanted = std::get_if<Action>(&Each)) {
      Found.push_back(*Wanted);
    }
  }
  return Found;
}

// The events of the replies to the caller, in order.
std::vector<wire::FlowEvent> replies(const AgentActions &Out) {
  std::vector<wire::FlowEvent> Events;
  for (const board::ReplyToFlow &Reply : all<board::ReplyToFlow>(Out)) {
    Events.push_back(Reply.Reply.Event);
  }
  return Events;
}

using Events = std::vector<wire::FlowEvent>;

TEST(FlowController, DropsWhatIsMeantForOthers) {
  struct Case {
    const char *What;
    base::ServiceName Service;
    base::ClassName Class;
    int Receiver;
    uint64_t WrongReceiver;
    uint64_t WrongService;
  };
  const Case Cases[] = {
      {"another receiver", Rounds, WateringRound, 1, 1, 0},
      {"another service", Photos, SoilPhoto, 0, 0, 1},
      {"our service, another's class", Rounds, SoilPhoto, 0, 0, 1},
      {"another service, our class", Photos, WateringRound, 0, 0, 1},
      {"an unknown class", Rounds, base::ClassName("none"), 0, 0, 1},
  };
  for (const Case &Tried : Cases) {
    SCOPED_TRACE(Tried.What);
    Bench Setup;
    AgentActions Out = Setup.packet(Setup.connectionOf(0), wire::FlowOpen, 0,
                                    Tried.Service, Tried.Class, Tried.Receiver);
    EXPECT_EQ(Out.size(), 1U);
    EXPECT_EQ(all<board::LogDecision>(Out).size(), 1U);
    EXPECT_EQ(Setup.Flows.counts().WrongReceiver, Tried.WrongReceiver);
    EXPECT_EQ(Setup.Flows.counts().WrongService, Tried.WrongService);
    EXPECT_EQ(Setup.Limits.status().ConnectionsInUse, 0U);
  }
}

TEST(FlowController, CopiesOfAnOpeningPacketTakeOneConnection) {
  Bench Setup;
  uint64_t Connection = Setup.connectionOf(0);
  for (int Copy = 0; Copy < 3; ++Copy) {
    AgentActions Out = Setup.packet(Connection, wire::FlowOpen);
    EXPECT_EQ(all<board::DeliverPacket>(Out).size(), 1U);
  }
  EXPECT_EQ(Setup.Limits.status().ConnectionsInUse, 1U);
  EXPECT_EQ(Setup.Flows.counts().Opened, 1U);
}

TEST(FlowController, ClosedFlowsAnswerLateCopies) {
  Bench Setup;
  uint64_t Connection = Setup.carriedConnection();
  EXPECT_EQ(all<board::DeliverPacket>(Setup.packet(Connection, wire::FlowClose))
                .size(),
            1U);
  EXPECT_EQ(replies(Setup.upstream(Connection, wire::FlowEvent::Closed)),
            Events{wire::FlowEvent::Closed});
  EXPECT_EQ(Setup.Limits.status().ConnectionsInUse, 0U);
  for (uint8_t Flags : {wire::FlowClose, wire::FlowOpen, uint8_t{0}}) {
    AgentActions Late = Setup.packet(Connection, Flags);
    EXPECT_EQ(replies(Late), Events{wire::FlowEvent::Closed});
    EXPECT_TRUE(all<board::DeliverPacket>(Late).empty());
  }
  EXPECT_EQ(Setup.Flows.carried(), 0U);
}

TEST(FlowController, ResetsOnlyWhenEveryMemberHasDenied) {
  struct Case {
    const char *What;
    std::vector<std::pair<int, wire::FlowKnowledge>> Answers;
    base::Duration Wait;
    Events Expected;
    size_t Forwarded;
  };
  constexpr auto No = wire::FlowKnowledge::Unknown;
  constexpr auto Held = wire::FlowKnowledge::Held;
  const base::Duration Short = routing::QueryTimeout / 2;
  const Case Cases[] = {
      {"all deny", {{1, No}, {2, No}}, Short, {wire::FlowEvent::Reset}, 0},
      {"one denies twice", {{1, No}, {1, No}}, Short, {}, 0},
      {"one is silent", {{1, No}}, routing::QueryTimeout, {}, 0},
      {"one holds it", {{1, No}, {2, Held}}, Short, {}, 2},
      {"one holds it, the other is silent", {{2, Held}}, Short, {}, 2},
  };
  for (const Case &Tried : Cases) {
    SCOPED_TRACE(Tried.What);
    Bench Setup;
    EXPECT_EQ(all<board::SendPeer>(Setup.packet(5, 0)).size(), 2U);
    EXPECT_TRUE(all<board::SendPeer>(Setup.packet(5, 0)).empty());
    AgentActions Out;
    for (const auto &[From, Knowledge] : Tried.Answers) {
      AgentActions More = Setup.answer(From, 5, Knowledge);
      Out.insert(Out.end(), More.begin(), More.end());
    }
    AgentActions More = Setup.tick(Tried.Wait);
    Out.insert(Out.end(), More.begin(), More.end());
    EXPECT_EQ(replies(Out), Tried.Expected);
    EXPECT_EQ(all<board::ForwardPacket>(Out).size(), Tried.Forwarded);
    if (Tried.Wait == routing::QueryTimeout) {
      // Asks again on the next packet.
      EXPECT_EQ(all<board::SendPeer>(Setup.packet(5, 0)).size(), 2U);
    }
  }
}

// A data centre goes out, and the agents there end their flows a moment later
// than we know of it. Their flows are theirs to end, with the true reason.
TEST(FlowController, LeavesFlowsOfADataCentreThatGoesOutToTheirHolder) {
  Bench Setup;
  Setup.Targets.advance(flowTargets(2, {flowAgent(1).DataCentre}), "");
  Setup.Members.setOutOfService({flowAgent(1).DataCentre});
  EXPECT_EQ(all<board::SendPeer>(Setup.packet(5, 0)).size(), 1U);
  EXPECT_TRUE(
      replies(Setup.answer(2, 5, wire::FlowKnowledge::Unknown)).empty());
  Setup.tick(routing::OpenSettleTime);
  EXPECT_EQ(all<board::SendPeer>(Setup.packet(5, 0)).size(), 1U);
  EXPECT_EQ(replies(Setup.answer(2, 5, wire::FlowKnowledge::Unknown)),
            Events{wire::FlowEvent::Reset});
}

TEST(FlowController, ParksABoundedNumberOfPackets) {
  Bench Setup;
  for (size_t Packet = 0; Packet < 3 * routing::MaxParkedPerFlow; ++Packet) {
    Setup.packet(5, 0);
  }
  AgentActions Out = Setup.answer(1, 5, wire::FlowKnowledge::Held);
  EXPECT_EQ(all<board::ForwardPacket>(Out).size(), routing::MaxParkedPerFlow);
}

TEST(FlowController, FullAgentPassesOnAndRefusesAtTheEnd) {
  Bench Setup;
  while (Setup.Limits.acquireConnection(Setup.Now)) {
  }
  uint64_t Connection = Setup.connectionOf(0);
  for (int Copy = 0; Copy < 2; ++Copy) {
    AgentActions Out = Setup.packet(Connection, wire::FlowOpen);
    ASSERT_EQ(all<board::ForwardPacket>(Out).size(), 1U);
    EXPECT_EQ(all<board::ForwardPacket>(Out)[0].Header.Hops, 1);
    EXPECT_EQ(all<board::ForwardPacket>(Out)[0].Header.Receiver,
              routing::topRanked(Setup.Members.view(Rounds)->Placement,
                                 Bench::keyOf(Connection), 2)[1]
                  ->Value.Name);
  }
  EXPECT_EQ(Setup.Flows.counts().PassedOn, 1U);
  uint64_t Last = 1;
  while (routing::topRanked(Setup.Members.view(Rounds)->Placement,
                            Bench::keyOf(Last), 3)[2]
             ->Value.Name != flowAgent(0).Name) {
    ++Last;
  }
  EXPECT_EQ(replies(Setup.packet(Last, wire::FlowOpen, 2)),
            Events{wire::FlowEvent::Refused});
}

TEST(FlowController, PassingOnStaysWithinTheRetryBudget) {
  Bench Setup;
  while (Setup.Limits.takeRetryToken(Setup.Now)) {
  }
  while (Setup.Limits.acquireConnection(Setup.Now)) {
  }
  // Passed on to us, so it is no fresh work and earns no token.
  constexpr uint8_t Hops = 1;
  AgentActions Out = Setup.packet(Setup.connectionOf(0), wire::FlowOpen, Hops);
  EXPECT_EQ(replies(Out), Events{wire::FlowEvent::Refused});
  // A draining agent passes on all the same.
  Setup.Self.setState(members::MemberState::Draining);
  Out = Setup.packet(Setup.connectionOf(0), wire::FlowOpen);
  EXPECT_EQ(all<board::ForwardPacket>(Out).size(), 1U);
}

TEST(FlowController, ShedFlowGoesToTheNextMember) {
  Bench Setup;
  uint64_t Connection = Setup.connectionOf(0);
  Setup.packet(Connection, wire::FlowOpen);
  AgentActions Out = Setup.upstream(Connection, wire::FlowEvent::Refused);
  EXPECT_EQ(all<board::ForwardPacket>(Out).size(), 1U);
  EXPECT_TRUE(replies(Out).empty());
  EXPECT_EQ(Setup.Limits.status().ConnectionsInUse, 0U);
  EXPECT_EQ(Setup.Flows.carried(), 0U);
}

// Hands an agent's actions to its upstream, and the answers back.
void exchange(Bench &Setup, standin::UpstreamModel &Upstream,
              const AgentActions &Actions) {
  constexpr standin::LinkId Link = 1;
  standin::UpstreamOutputs Answers;
  for (const board::AgentAction &Action : Actions) {
    if (const auto *Deliver = std::get_if<board::DeliverPacket>(&Action)) {
      Upstream.onMessage(Setup.Now, Link, Deliver->Packet, Answers);
    } else if (const auto *Abort =
                   std::get_if<board::AbortOnUpstream>(&Action)) {
      Upstream.onMessage(Setup.Now, Link, wire::UpstreamFlowAbort{Abort->Key},
                         Answers);
    }
  }
  for (const standin::UpstreamOutput &Answer : Answers) {
    AgentActions Ignored;
    Setup.Flows.onUpstreamEvent(
        Setup.Now, std::get<wire::UpstreamFlowEvent>(Answer.Message), Ignored);
  }
}

// A data centre goes out and in again: the flows that were given up must not
// stay open at the upstream, or those that come next are more than it bears.
TEST(FlowController, FlowsGivenUpLeaveTheUpstream) {
  Bench Setup;
  standin::UpstreamRule Rule;
  Rule.Service = Rounds;
  Rule.Capacity = {2, 2, 2, 2, 10, std::chrono::seconds(1)};
  standin::UpstreamModel Upstream(Rule);
  Upstream.onLink(1);
  Setup.Limits.setReachable(true);
  for (uint64_t Round = 0; Round < 3; ++Round) {
    uint64_t First = Setup.connectionOf(0) + (1000 * Round);
    exchange(Setup, Upstream, Setup.packet(First, wire::FlowOpen, 1));
    exchange(Setup, Upstream, Setup.packet(First + 1, wire::FlowOpen, 1));
    EXPECT_EQ(Setup.Flows.carried(), 2U);
    Setup.Targets.advance(
        flowTargets(2 + (2 * Round), {flowAgent(0).DataCentre}), "");
    Setup.Members.setOutOfService({flowAgent(0).DataCentre});
    exchange(Setup, Upstream, Setup.tick(std::chrono::seconds(1)));
    EXPECT_EQ(Upstream.flowsOpen(), 0U);
    Setup.Targets.advance(flowTargets(3 + (2 * Round)), "");
    Setup.Members.setOutOfService({});
    // The view's change is noted first; flows are claimed until it settles.
    Setup.tick(std::chrono::seconds(0));
    Setup.tick(routing::OpenSettleTime);
  }
  EXPECT_EQ(Upstream.ledger().Overruns, 0U);
}

TEST(FlowController, DataCentreOutOfServiceResetsAndPassesOn) {
  Bench Setup;
  uint64_t Carried = Setup.carriedConnection();
  uint64_t Other = Setup.carriedConnection(1);
  Setup.Targets.advance(flowTargets(2, {flowAgent(0).DataCentre}), "");
  Setup.Members.setOutOfService({flowAgent(0).DataCentre});
  AgentActions Out = Setup.packet(Carried, 0);
  EXPECT_EQ(replies(Out), Events{wire::FlowEvent::Reset});
  EXPECT_TRUE(all<board::DeliverPacket>(Out).empty());
  ASSERT_EQ(all<board::HintBalancer>(Out).size(), 1U);
  EXPECT_TRUE(std::holds_alternative<wire::MemberNotice>(
      all<board::HintBalancer>(Out)[0].Message));
  EXPECT_EQ(replies(Setup.tick(std::chrono::milliseconds(1))),
            Events{wire::FlowEvent::Reset});
  EXPECT_EQ(Setup.Flows.carried(), 0U);
  EXPECT_EQ(Setup.Limits.status().ConnectionsInUse, 0U);
  Out = Setup.packet(Other + 100, wire::FlowOpen);
  EXPECT_EQ(all<board::ForwardPacket>(Out).size(), 1U);
}

TEST(FlowController, FlowsEndWhenTheyAreOverdue) {
  struct Case {
    const char *What;
    bool IsOpened;
    bool IsDraining;
    base::Duration Step;
    int Steps;
    bool Ends;
  };
  const base::Duration Minute = std::chrono::minutes(1);
  const Case Cases[] = {
      {"busy, in service", true, false, Minute, 605, false},
      {"busy, draining, within its time", true, true, Minute, 599, false},
      {"busy, draining, past its time", true, true, Minute, 601, true},
      {"idle", true, false, routing::IdleTimeout, 1, true},
      {"opening, not answered", false, false, routing::OpenTimeout, 1, true},
  };
  for (const Case &Tried : Cases) {
    SCOPED_TRACE(Tried.What);
    Bench Setup;
    uint64_t Connection = Setup.connectionOf(0);
    Setup.packet(Connection, wire::FlowOpen);
    if (Tried.IsOpened) {
      Setup.upstream(Connection, wire::FlowEvent::Opened);
    }
    if (Tried.IsDraining) {
      Setup.Self.setState(members::MemberState::Draining);
    }
    for (int Step = 0; Step < Tried.Steps; ++Step) {
      Setup.tick(Tried.Step);
      if (Tried.Step < routing::IdleTimeout && Tried.IsOpened) {
        Setup.upstream(Connection, wire::FlowEvent::Data);
      }
    }
    EXPECT_EQ(Setup.Flows.carried(), Tried.Ends ? 0U : 1U);
    EXPECT_EQ(Setup.Flows.counts().Reset, Tried.Ends ? 1U : 0U);
    EXPECT_EQ(Setup.Limits.status().ConnectionsInUse, Tried.Ends ? 0U : 1U);
  }
}

TEST(FlowController, UnansweredOpeningLowersTheLimit) {
  Bench Setup;
  Setup.Limits.setCapacity({10, 10, 2, 2, 1, std::chrono::seconds(1)});
  for (uint64_t Connection = 1; Connection <= 4; ++Connection) {
    Setup.packet(Connection, wire::FlowOpen, 1);
    Setup.upstream(Connection, wire::FlowEvent::Opened);
  }
  uint32_t Before = Setup.Limits.status().ConnectionLimit;
  Setup.packet(5, wire::FlowOpen, 1);
  Setup.tick(routing::OpenTimeout);
  EXPECT_LT(Setup.Limits.status().ConnectionLimit, Before);
}

TEST(FlowController, LostUpstreamResetsEachFlowOnce) {
  Bench Setup;
  Setup.carriedConnection();
  Setup.carriedConnection(1);
  Setup.Limits.onUpstreamRestart(Setup.Now);
  AgentActions Out;
  Setup.Flows.onUpstreamLost(Setup.Now, Out);
  EXPECT_EQ(replies(Out), Events(2, wire::FlowEvent::Reset));
  EXPECT_EQ(Setup.Limits.status().ConnectionsInUse, 0U);
  Out.clear();
  Setup.Flows.onUpstreamLost(Setup.Now, Out);
  EXPECT_TRUE(Out.empty());
}

TEST(FlowController, SnapshotIsWholeOrRefused) {
  Bench Old;
  uint64_t Connection = Old.carriedConnection();
  std::string State = Old.Flows.snapshot();
  Bench New;
  uint64_t Kept = New.carriedConnection(1);
  for (size_t Length = 0; Length < State.size(); ++Length) {
    ASSERT_FALSE(New.Flows.restore(New.Now, State.substr(0, Length)));
  }
  EXPECT_EQ(all<board::DeliverPacket>(New.packet(Kept, 0)).size(), 1U);
  Bench Next;
  ASSERT_TRUE(Next.Flows.restore(Next.Now, State));
  EXPECT_EQ(all<board::DeliverPacket>(Next.packet(Connection, 0)).size(), 1U);
  EXPECT_EQ(Next.Limits.status().ConnectionsInUse, 1U);
}

} // namespace
} // namespace bilberry::testing
