// Tests of FlowController on one agent, for cases that flow_network_test.cc
// doesn't cover: other services, data centres out of service, limits, timeouts
// and restarts.

#include "bilberry/standin/upstream_model.h"
#include "bilberry/testing/flow_network.h"

#include <gtest/gtest.h>

namespace bilberry::testing {
namespace {

using board::AgentActions;

// One agent, and two others that exist only in its member table.
struct ControllerFixture {
  ControllerFixture() {
    this->Targets.advance(flowTargets(1), "");
    this->Limits.setCapacity({2, 2, 2, 2, 10, std::chrono::seconds(1)});
    for (int Index = 0; Index < 3; ++Index) {
      this->Members.put(this->Now, flowAgent(Index));
    }
    this->tick(std::chrono::seconds(0));
    this->tick(routing::OpenSettleTime);
  }

  // Returns the lowest connection id whose home is the given agent.
  uint64_t connectionWithHome(int Home) const {
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

  AgentActions sendPacket(uint64_t Connection, uint8_t Flags, uint8_t Hops = 0,
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
  AgentActions upstreamEvent(uint64_t Connection, wire::FlowEvent Event) {
    AgentActions Out;
    this->Flows.onUpstreamEvent(this->Now, {keyOf(Connection), Event, 7, "y"},
                                Out);
    return Out;
  }
  AgentActions queryReply(int From, uint64_t Connection,
                          wire::FlowLookupResult LookupResult) {
    AgentActions Out;
    this->Flows.onPeer(
        this->Now,
        {flowAgent(From), flowAgent(0).Name,
         wire::FlowQueryReply{keyOf(Connection), LookupResult,
                              LookupResult == wire::FlowLookupResult::Held
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
    uint64_t Connection = this->connectionWithHome(0) + Skip;
    this->sendPacket(Connection, wire::FlowOpenFlag, 1);
    this->upstreamEvent(Connection, wire::FlowEvent::Opened);
    EXPECT_GE(this->Flows.carriedFlowCount(), 1U);
    return Connection;
  }

  base::TimePoint Now{std::chrono::hours(24)};
  board::LocalMember Self{flowAgent(0)};
  targets::TargetTable Targets;
  members::MemberTable Members;
  admission::UpstreamLimits Limits;
  routing::FlowController Flows{Self, Targets, Members, Limits};
};

template <typename Action>
std::vector<Action> actionsOfType(const AgentActions &Out) {
  std::vector<Action> Found;
  for (const board::AgentAction &Each : Out) {
    if (const auto *Wanted = std::get_if<Action>(&Each)) {
      Found.push_back(*Wanted);
    }
  }
  return Found;
}

// Returns the events of the replies to the caller, in order.
std::vector<wire::FlowEvent> replies(const AgentActions &Out) {
  std::vector<wire::FlowEvent> Events;
  for (const board::ReplyToFlow &Reply :
       actionsOfType<board::ReplyToFlow>(Out)) {
    Events.push_back(Reply.Reply.Event);
  }
  return Events;
}

using Events = std::vector<wire::FlowEvent>;

TEST(FlowController, DropsMisaddressedPackets) {
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
  for (const Case &Current : Cases) {
    SCOPED_TRACE(Current.What);
    ControllerFixture Setup;
    AgentActions Out =
        Setup.sendPacket(Setup.connectionWithHome(0), wire::FlowOpenFlag, 0,
                         Current.Service, Current.Class, Current.Receiver);
    EXPECT_EQ(Out.size(), 1U);
    EXPECT_EQ(actionsOfType<board::LogDecision>(Out).size(), 1U);
    EXPECT_EQ(Setup.Flows.counts().WrongReceiver, Current.WrongReceiver);
    EXPECT_EQ(Setup.Flows.counts().WrongService, Current.WrongService);
    EXPECT_EQ(Setup.Limits.status().ConnectionsInUse, 0U);
  }
}

TEST(FlowController, DuplicateOpeningPacketsUseOneConnection) {
  ControllerFixture Setup;
  uint64_t Connection = Setup.connectionWithHome(0);
  for (int Copy = 0; Copy < 3; ++Copy) {
    AgentActions Out = Setup.sendPacket(Connection, wire::FlowOpenFlag);
    EXPECT_EQ(actionsOfType<board::DeliverPacket>(Out).size(), 1U);
  }
  EXPECT_EQ(Setup.Limits.status().ConnectionsInUse, 1U);
  EXPECT_EQ(Setup.Flows.counts().Opened, 1U);
}

TEST(FlowController, ClosedFlowsAnswerLatePackets) {
  ControllerFixture Setup;
  uint64_t Connection = Setup.carriedConnection();
  EXPECT_EQ(actionsOfType<board::DeliverPacket>(
                Setup.sendPacket(Connection, wire::FlowCloseFlag))
                .size(),
            1U);
  EXPECT_EQ(replies(Setup.upstreamEvent(Connection, wire::FlowEvent::Closed)),
            Events{wire::FlowEvent::Closed});
  EXPECT_EQ(Setup.Limits.status().ConnectionsInUse, 0U);
  for (uint8_t Flags : {wire::FlowCloseFlag, wire::FlowOpenFlag, uint8_t{0}}) {
    AgentActions Late = Setup.sendPacket(Connection, Flags);
    EXPECT_EQ(replies(Late), Events{wire::FlowEvent::Closed});
    EXPECT_TRUE(actionsOfType<board::DeliverPacket>(Late).empty());
  }
  EXPECT_EQ(Setup.Flows.carriedFlowCount(), 0U);
}

TEST(FlowController, ResetsOnlyAfterEveryMemberReportsUnknown) {
  struct Case {
    const char *What;
    std::vector<std::pair<int, wire::FlowLookupResult>> Answers;
    base::Duration Wait;
    Events Expected;
    size_t Forwarded;
  };
  constexpr auto No = wire::FlowLookupResult::Unknown;
  constexpr auto Held = wire::FlowLookupResult::Held;
  const base::Duration Short = routing::QueryTimeout / 2;
  const Case Cases[] = {
      {"all reply unknown",
       {{1, No}, {2, No}},
       Short,
       {wire::FlowEvent::Reset},
       0},
      {"one replies unknown twice", {{1, No}, {1, No}}, Short, {}, 0},
      {"one doesn't reply", {{1, No}}, routing::QueryTimeout, {}, 0},
      {"one holds the flow", {{1, No}, {2, Held}}, Short, {}, 2},
      {"one holds the flow, the other doesn't reply",
       {{2, Held}},
       Short,
       {},
       2},
  };
  for (const Case &Current : Cases) {
    SCOPED_TRACE(Current.What);
    ControllerFixture Setup;
    EXPECT_EQ(actionsOfType<board::SendToPeer>(Setup.sendPacket(5, 0)).size(),
              2U);
    EXPECT_TRUE(
        actionsOfType<board::SendToPeer>(Setup.sendPacket(5, 0)).empty());
    AgentActions Out;
    for (const auto &[From, LookupResult] : Current.Answers) {
      AgentActions More = Setup.queryReply(From, 5, LookupResult);
      Out.insert(Out.end(), More.begin(), More.end());
    }
    AgentActions More = Setup.tick(Current.Wait);
    Out.insert(Out.end(), More.begin(), More.end());
    EXPECT_EQ(replies(Out), Current.Expected);
    EXPECT_EQ(actionsOfType<board::ForwardPacket>(Out).size(),
              Current.Forwarded);
    if (Current.Wait == routing::QueryTimeout) {
      // The next packet starts another search.
      EXPECT_EQ(actionsOfType<board::SendToPeer>(Setup.sendPacket(5, 0)).size(),
                2U);
    }
  }
}

// When a data centre is taken out of service, its agents may learn of it later
// than this agent. Their flows must be reset by them, with the correct reason,
// and not by this agent as unknown.
TEST(FlowController, LeavesFlowsOfDataCentreOutOfServiceToHolder) {
  ControllerFixture Setup;
  Setup.Targets.advance(flowTargets(2, {flowAgent(1).DataCentre}), "");
  Setup.Members.setOutOfService({flowAgent(1).DataCentre});
  EXPECT_EQ(actionsOfType<board::SendToPeer>(Setup.sendPacket(5, 0)).size(),
            1U);
  EXPECT_TRUE(
      replies(Setup.queryReply(2, 5, wire::FlowLookupResult::Unknown)).empty());
  Setup.tick(routing::OpenSettleTime);
  EXPECT_EQ(actionsOfType<board::SendToPeer>(Setup.sendPacket(5, 0)).size(),
            1U);
  EXPECT_EQ(replies(Setup.queryReply(2, 5, wire::FlowLookupResult::Unknown)),
            Events{wire::FlowEvent::Reset});
}

TEST(FlowController, QueuesBoundedNumberOfPackets) {
  ControllerFixture Setup;
  for (size_t Packet = 0; Packet < 3 * routing::MaxQueuedPacketsPerFlow;
       ++Packet) {
    Setup.sendPacket(5, 0);
  }
  AgentActions Out = Setup.queryReply(1, 5, wire::FlowLookupResult::Held);
  EXPECT_EQ(actionsOfType<board::ForwardPacket>(Out).size(),
            routing::MaxQueuedPacketsPerFlow);
}

TEST(FlowController, FullAgentPassesOnOrRefuses) {
  ControllerFixture Setup;
  while (Setup.Limits.acquireConnection(Setup.Now)) {
  }
  uint64_t Connection = Setup.connectionWithHome(0);
  for (int Copy = 0; Copy < 2; ++Copy) {
    AgentActions Out = Setup.sendPacket(Connection, wire::FlowOpenFlag);
    ASSERT_EQ(actionsOfType<board::ForwardPacket>(Out).size(), 1U);
    EXPECT_EQ(actionsOfType<board::ForwardPacket>(Out)[0].Header.Hops, 1);
    EXPECT_EQ(actionsOfType<board::ForwardPacket>(Out)[0].Header.Receiver,
              routing::topRanked(Setup.Members.view(Rounds)->Placement,
                                 ControllerFixture::keyOf(Connection), 2)[1]
                  ->Value.Name);
  }
  EXPECT_EQ(Setup.Flows.counts().PassedOn, 1U);
  uint64_t Last = 1;
  while (routing::topRanked(Setup.Members.view(Rounds)->Placement,
                            ControllerFixture::keyOf(Last), 3)[2]
             ->Value.Name != flowAgent(0).Name) {
    ++Last;
  }
  EXPECT_EQ(replies(Setup.sendPacket(Last, wire::FlowOpenFlag, 2)),
            Events{wire::FlowEvent::Refused});
}

TEST(FlowController, PassingOnStaysWithinTheRetryBudget) {
  ControllerFixture Setup;
  while (Setup.Limits.takeRetryToken(Setup.Now)) {
  }
  while (Setup.Limits.acquireConnection(Setup.Now)) {
  }
  // A packet passed on by another agent is not new work and earns no token.
  constexpr uint8_t Hops = 1;
  AgentActions Out =
      Setup.sendPacket(Setup.connectionWithHome(0), wire::FlowOpenFlag, Hops);
  EXPECT_EQ(replies(Out), Events{wire::FlowEvent::Refused});
  // A draining agent passes on packets regardless of the retry budget.
  Setup.Self.setState(members::MemberState::Draining);
  Out = Setup.sendPacket(Setup.connectionWithHome(0), wire::FlowOpenFlag);
  EXPECT_EQ(actionsOfType<board::ForwardPacket>(Out).size(), 1U);
}

TEST(FlowController, ShedFlowGoesToTheNextMember) {
  ControllerFixture Setup;
  uint64_t Connection = Setup.connectionWithHome(0);
  Setup.sendPacket(Connection, wire::FlowOpenFlag);
  AgentActions Out = Setup.upstreamEvent(Connection, wire::FlowEvent::Refused);
  EXPECT_EQ(actionsOfType<board::ForwardPacket>(Out).size(), 1U);
  EXPECT_TRUE(replies(Out).empty());
  EXPECT_EQ(Setup.Limits.status().ConnectionsInUse, 0U);
  EXPECT_EQ(Setup.Flows.carriedFlowCount(), 0U);
}

// Delivers an agent's actions to its upstream, and the upstream's events back
// to the agent.
void exchangeWithUpstream(ControllerFixture &Setup,
                          standin::UpstreamModel &Upstream,
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

// Guards against overload after a data centre is taken out of service and
// returned to service: flows aborted by the agent must not stay open at the
// upstream, or later flows exceed its capacity.
TEST(FlowController, AbortedFlowsAreClosedAtUpstream) {
  ControllerFixture Setup;
  standin::UpstreamConfig Rule;
  Rule.Service = Rounds;
  Rule.Capacity = {2, 2, 2, 2, 10, std::chrono::seconds(1)};
  standin::UpstreamModel Upstream(Rule);
  Upstream.onLinkOpened(1);
  Setup.Limits.setReachable(true);
  for (uint64_t Round = 0; Round < 3; ++Round) {
    uint64_t First = Setup.connectionWithHome(0) + (1000 * Round);
    exchangeWithUpstream(Setup, Upstream,
                         Setup.sendPacket(First, wire::FlowOpenFlag, 1));
    exchangeWithUpstream(Setup, Upstream,
                         Setup.sendPacket(First + 1, wire::FlowOpenFlag, 1));
    EXPECT_EQ(Setup.Flows.carriedFlowCount(), 2U);
    Setup.Targets.advance(
        flowTargets(2 + (2 * Round), {flowAgent(0).DataCentre}), "");
    Setup.Members.setOutOfService({flowAgent(0).DataCentre});
    exchangeWithUpstream(Setup, Upstream, Setup.tick(std::chrono::seconds(1)));
    EXPECT_EQ(Upstream.flowsOpen(), 0U);
    Setup.Targets.advance(flowTargets(3 + (2 * Round)), "");
    Setup.Members.setOutOfService({});
    // The first tick detects the changed view; flows are claimed until
    // OpenSettleTime has passed.
    Setup.tick(std::chrono::seconds(0));
    Setup.tick(routing::OpenSettleTime);
  }
  EXPECT_EQ(Upstream.ledger().Overruns, 0U);
}

TEST(FlowController, DataCentreOutOfServiceResetsAndPassesOn) {
  ControllerFixture Setup;
  uint64_t Carried = Setup.carriedConnection();
  uint64_t Other = Setup.carriedConnection(1);
  Setup.Targets.advance(flowTargets(2, {flowAgent(0).DataCentre}), "");
  Setup.Members.setOutOfService({flowAgent(0).DataCentre});
  AgentActions Out = Setup.sendPacket(Carried, 0);
  EXPECT_EQ(replies(Out), Events{wire::FlowEvent::Reset});
  EXPECT_TRUE(actionsOfType<board::DeliverPacket>(Out).empty());
  ASSERT_EQ(actionsOfType<board::NotifyBalancer>(Out).size(), 1U);
  EXPECT_TRUE(std::holds_alternative<wire::MemberNotice>(
      actionsOfType<board::NotifyBalancer>(Out)[0].Message));
  EXPECT_EQ(replies(Setup.tick(std::chrono::milliseconds(1))),
            Events{wire::FlowEvent::Reset});
  EXPECT_EQ(Setup.Flows.carriedFlowCount(), 0U);
  EXPECT_EQ(Setup.Limits.status().ConnectionsInUse, 0U);
  Out = Setup.sendPacket(Other + 100, wire::FlowOpenFlag);
  EXPECT_EQ(actionsOfType<board::ForwardPacket>(Out).size(), 1U);
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
      {"busy, draining, within longest flow", true, true, Minute, 599, false},
      {"busy, draining, over longest flow", true, true, Minute, 601, true},
      {"idle", true, false, routing::IdleTimeout, 1, true},
      {"opening, not answered", false, false, routing::OpenTimeout, 1, true},
  };
  for (const Case &Current : Cases) {
    SCOPED_TRACE(Current.What);
    ControllerFixture Setup;
    uint64_t Connection = Setup.connectionWithHome(0);
    Setup.sendPacket(Connection, wire::FlowOpenFlag);
    if (Current.IsOpened) {
      Setup.upstreamEvent(Connection, wire::FlowEvent::Opened);
    }
    if (Current.IsDraining) {
      Setup.Self.setState(members::MemberState::Draining);
    }
    for (int Step = 0; Step < Current.Steps; ++Step) {
      Setup.tick(Current.Step);
      if (Current.Step < routing::IdleTimeout && Current.IsOpened) {
        Setup.upstreamEvent(Connection, wire::FlowEvent::Data);
      }
    }
    EXPECT_EQ(Setup.Flows.carriedFlowCount(), Current.Ends ? 0U : 1U);
    EXPECT_EQ(Setup.Flows.counts().Reset, Current.Ends ? 1U : 0U);
    EXPECT_EQ(Setup.Limits.status().ConnectionsInUse, Current.Ends ? 0U : 1U);
  }
}

TEST(FlowController, UnansweredOpeningLowersTheLimit) {
  ControllerFixture Setup;
  Setup.Limits.setCapacity({10, 10, 2, 2, 1, std::chrono::seconds(1)});
  for (uint64_t Connection = 1; Connection <= 4; ++Connection) {
    Setup.sendPacket(Connection, wire::FlowOpenFlag, 1);
    Setup.upstreamEvent(Connection, wire::FlowEvent::Opened);
  }
  uint32_t Before = Setup.Limits.status().ConnectionLimit;
  Setup.sendPacket(5, wire::FlowOpenFlag, 1);
  Setup.tick(routing::OpenTimeout);
  EXPECT_LT(Setup.Limits.status().ConnectionLimit, Before);
}

TEST(FlowController, LostUpstreamResetsEachFlowOnce) {
  ControllerFixture Setup;
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

TEST(FlowController, RestoresOnlyCompleteSnapshots) {
  ControllerFixture Old;
  uint64_t Connection = Old.carriedConnection();
  std::string State = Old.Flows.snapshot();
  ControllerFixture New;
  uint64_t Kept = New.carriedConnection(1);
  for (size_t Length = 0; Length < State.size(); ++Length) {
    ASSERT_FALSE(New.Flows.restore(New.Now, State.substr(0, Length)));
  }
  EXPECT_EQ(actionsOfType<board::DeliverPacket>(New.sendPacket(Kept, 0)).size(),
            1U);
  ControllerFixture Next;
  ASSERT_TRUE(Next.Flows.restore(Next.Now, State));
  EXPECT_EQ(actionsOfType<board::DeliverPacket>(Next.sendPacket(Connection, 0))
                .size(),
            1U);
  EXPECT_EQ(Next.Limits.status().ConnectionsInUse, 1U);
}

} // namespace
} // namespace bilberry::testing
