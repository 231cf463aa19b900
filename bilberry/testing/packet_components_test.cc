// Unit tests of the components of packet forwarding: the upstream's heartbeats,
// the queue of opening packets, catching up with operator documents, the choice
// of an upstream, the view of agents and the settings.

#include "bilberry/admission/new_flow_queue.h"
#include "bilberry/members/agent_views.h"
#include "bilberry/members/upstream_record.h"
#include "bilberry/routing/upstream_choice.h"
#include "bilberry/settings/packet_settings.h"
#include "bilberry/targets/operator_watcher.h"

#include <gtest/gtest.h>
#include <limits>
#include <string>
#include <vector>

namespace bilberry {
namespace {

using members::HeartbeatOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint Start{std::chrono::hours(1)};

members::UpstreamHeartbeat report(const char *Id, int64_t StartedAt,
                                  uint64_t Sequence) {
  members::UpstreamHeartbeat Report;
  Report.Id = Id;
  Report.StartedAt = milliseconds(StartedAt);
  Report.Sequence = Sequence;
  return Report;
}

TEST(UpstreamRecord, ClassifiesHeartbeats) {
  struct Case {
    const char *Description;
    members::UpstreamHeartbeat Report;
    HeartbeatOutcome Outcome;
  };
  members::UpstreamRecord Record;
  const Case Cases[] = {
      {"first heartbeat", report("a", 100, 1), HeartbeatOutcome::NewRun},
      {"next heartbeat", report("a", 100, 2), HeartbeatOutcome::Known},
      {"delayed heartbeat", report("a", 100, 1), HeartbeatOutcome::Stale},
      {"repeated heartbeat", report("a", 100, 2), HeartbeatOutcome::Repeated},
      {"successor", report("b", 200, 1), HeartbeatOutcome::NewRun},
      {"delayed heartbeat of the predecessor", report("a", 100, 9),
       HeartbeatOutcome::Stale},
      {"same id, later start", report("b", 300, 1), HeartbeatOutcome::NewRun},
      {"same id, earlier start", report("b", 200, 5), HeartbeatOutcome::Stale},
  };
  for (const Case &Item : Cases) {
    EXPECT_EQ(Record.applyHeartbeat(Start, Item.Report), Item.Outcome)
        << Item.Description;
  }
}

TEST(UpstreamRecord, IgnoresHeartbeatsOfDepartedRun) {
  members::UpstreamRecord Record;
  Record.applyHeartbeat(Start, report("a", 100, 1));
  EXPECT_FALSE(Record.removeRun("b"));
  EXPECT_TRUE(Record.removeRun("a"));
  EXPECT_EQ(Record.applyHeartbeat(Start, report("a", 100, 2)),
            HeartbeatOutcome::Stale);
  EXPECT_FALSE(Record.currentRun());
  EXPECT_EQ(Record.applyHeartbeat(Start, report("b", 200, 1)),
            HeartbeatOutcome::NewRun);
}

// The clock was set back between two runs, so the successor's start time is
// before its predecessor's. It replaces the predecessor once that is silent.
TEST(UpstreamRecord, EarlierStartReplacesSilentRun) {
  members::UpstreamRecord Record;
  Record.applyHeartbeat(Start, report("a", 9000, 1));
  base::TimePoint Later = Start + members::HeartbeatTimeout + seconds(1);
  EXPECT_EQ(Record.applyHeartbeat(Later, report("b", 100, 1)),
            HeartbeatOutcome::Stale);
  EXPECT_EQ(Record.applyHeartbeat(Later, report("b", 100, 2)),
            HeartbeatOutcome::Stale);
  EXPECT_EQ(Record.applyHeartbeat(Later, report("b", 100, 3)),
            HeartbeatOutcome::NewRun);
}

// Guards against a draining upstream that gets new flows although its
// heartbeat was acknowledged: one that the record ignores must not be.
TEST(UpstreamRecord, DrainingIsAppliedOrNotAcknowledged) {
  struct Case {
    const char *Name;
    members::UpstreamHeartbeat Last;
    members::UpstreamHeartbeat Draining;
    bool IsAcknowledged;
  };
  const Case Cases[] = {
      {"next heartbeat", report("a", 100, 1), report("a", 100, 2), true},
      {"first heartbeat of a run", report("a", 100, 1), report("b", 200, 1),
       true},
      {"delayed heartbeat", report("a", 100, 5), report("a", 100, 4), false},
      {"same sequence number", report("a", 100, 5), report("a", 100, 5), false},
      {"earlier start", report("b", 200, 1), report("a", 100, 9), false},
      {"unknown start", report("b", 200, 1), report("a", 0, 9), false},
  };
  for (const Case &Item : Cases) {
    members::UpstreamRecord Record;
    Record.applyHeartbeat(Start, Item.Last);
    members::UpstreamHeartbeat Draining = Item.Draining;
    Draining.IsDraining = true;
    HeartbeatOutcome Outcome = Record.applyHeartbeat(Start, Draining);
    EXPECT_EQ(members::isApplied(Outcome), Item.IsAcknowledged) << Item.Name;
    EXPECT_EQ(Record.currentRun()->IsDraining, Item.IsAcknowledged)
        << Item.Name;
    bool IsRepeatAcknowledged =
        members::isApplied(Record.applyHeartbeat(Start, Draining));
    EXPECT_EQ(IsRepeatAcknowledged, Item.IsAcknowledged) << Item.Name;
  }
}

TEST(UpstreamRecord, DrainingIsNotReverted) {
  members::UpstreamRecord Record;
  members::UpstreamHeartbeat Report = report("a", 100, 1);
  Report.IsDraining = true;
  Record.applyHeartbeat(Start, Report);
  Record.applyHeartbeat(Start, report("a", 100, 2));
  EXPECT_TRUE(Record.currentRun()->IsDraining);
}

packet::FlowId flow(uint16_t Port) { return {{1, Port}, {2, 443}}; }

// Queues packets within and past their latency goal, of high and low priority.
TEST(NewFlowQueue, OffersFlowsWithinLatencyGoalFirst) {
  admission::NewFlowQueue Queue;
  base::Duration LatencyGoal = milliseconds(250);
  Queue.hold({flow(1), "late, important", Start, 0, LatencyGoal});
  Queue.hold({flow(2), "late", Start + milliseconds(10), 1, LatencyGoal});
  Queue.hold({flow(3), "fresh", Start + milliseconds(450), 1, LatencyGoal});
  Queue.hold(
      {flow(4), "fresh, important", Start + milliseconds(500), 0, LatencyGoal});
  Queue.hold(
      {flow(5), "fresh, earlier", Start + milliseconds(400), 1, LatencyGoal});
  std::vector<std::string> Order;
  Queue.offerAll(Start + milliseconds(600),
                 [&](admission::QueuedNewFlow &Held) {
                   Order.push_back(Held.Bytes);
                   return Order.size() > 3 ? admission::OfferResult::NoCapacity
                                           : admission::OfferResult::Placed;
                 });
  EXPECT_EQ(Order,
            (std::vector<std::string>{"fresh, important", "fresh, earlier",
                                      "fresh", "late, important", "late"}));
  EXPECT_EQ(Queue.size(), 2U);
  EXPECT_EQ(Queue.expire(Start + admission::MaxNewFlowQueueTime + seconds(1)),
            2U);
}

TEST(NewFlowQueue, RefusesFlowsWhenFull) {
  admission::NewFlowQueue Queue;
  for (size_t I = 0; I < admission::MaxQueuedNewFlows; ++I) {
    ASSERT_TRUE(Queue.hold({flow(static_cast<uint16_t>(I)), "", Start, 0, {}}));
  }
  EXPECT_FALSE(Queue.hold({flow(65000), "", Start, 0, {}}));
}

TEST(CatchUpPolicy, ReadsStoreThenAsksPeers) {
  using targets::CatchUpAction;
  targets::CatchUpPolicy CatchUpState;
  struct Case {
    milliseconds At;
    bool IsBehind;
    CatchUpAction Step;
  };
  const Case Cases[] = {
      {milliseconds(0), true, CatchUpAction::Nothing},
      {milliseconds(300), true, CatchUpAction::Nothing},
      {milliseconds(400), true, CatchUpAction::ReadStore},
      {milliseconds(500), true, CatchUpAction::Nothing},
      {milliseconds(900), true, CatchUpAction::AskPeer},
      {milliseconds(1000), true, CatchUpAction::Nothing},
      {milliseconds(1900), true, CatchUpAction::AskPeer},
      {milliseconds(1950), false, CatchUpAction::Nothing},
      {milliseconds(2000), true, CatchUpAction::Nothing},
      {milliseconds(2400), true, CatchUpAction::ReadStore},
  };
  for (const Case &Item : Cases) {
    EXPECT_EQ(CatchUpState.next(Start + Item.At, Item.IsBehind), Item.Step)
        << Item.At.count();
  }
}

wire::AgentStatus status(const char *Name, const char *DataCentre,
                         uint32_t WaitingFlows) {
  wire::AgentStatus Status;
  Status.Name = base::MemberName(Name);
  Status.Run = 1;
  Status.DataCentre = base::DataCentreName(DataCentre);
  Status.Service = base::ServiceName("rounds");
  Status.Data = {0x0A000001,
                 static_cast<uint16_t>(std::hash<std::string>()(Name))};
  Status.Condition = wire::AgentCondition::InService;
  Status.Slots = 2;
  Status.WaitingFlows = WaitingFlows;
  Status.RemainingNewFlows = std::numeric_limits<uint32_t>::max();
  return Status;
}

std::string chosenAgentName(const members::AgentViews &Agents,
                            base::TimePoint Now) {
  base::ServiceName Service("rounds");
  base::DataCentreName Near("near");
  routing::TriedAgents Tried;
  members::AgentIndex Index =
      routing::chooseUpstream(Agents, {Now, Service, Near, 7, Tried});
  return Index == members::NoAgent ? "none" : Agents.at(Index).Name.text();
}

TEST(UpstreamChoice, PrefersLocalDataCentreUntilItHasAQueue) {
  struct Case {
    const char *Description;
    uint32_t NearWorking;
    uint32_t FarWorking;
    const char *Chosen;
  };
  const Case Cases[] = {
      {"both idle", 0, 0, "near"},
      {"near busy without a queue", 2, 0, "near"},
      {"near has a queue, far idle", 5, 0, "far"},
      {"both have a queue", 5, 5, "near"},
      {"near full", 6, 5, "far"},
      {"both full", 6, 6, "none"},
  };
  for (const Case &Item : Cases) {
    members::AgentViews Agents;
    bool IsNew = false;
    Agents.applyStatus(Start, {1, 1}, status("near", "near", Item.NearWorking),
                       IsNew);
    Agents.applyStatus(Start, {2, 1}, status("far", "away", Item.FarWorking),
                       IsNew);
    EXPECT_EQ(chosenAgentName(Agents, Start), Item.Chosen) << Item.Description;
  }
}

TEST(AgentViews, SilentAgentIsGoneButOwnPauseIsIgnored) {
  members::AgentViews Agents;
  bool IsNew = false;
  members::AgentIndex Index =
      Agents.applyStatus(Start, {1, 1}, status("a", "near", 0), IsNew);
  for (int I = 0; I < 60; ++I) {
    Agents.tick(Start + (I * milliseconds(50)));
  }
  EXPECT_FALSE(Agents.at(Index).IsGone);
  // This process was paused for ten seconds.
  base::TimePoint Later = Start + seconds(13);
  Agents.tick(Later);
  EXPECT_FALSE(Agents.at(Index).IsGone);
  size_t NewlyGoneCount = 0;
  for (int I = 0; I < 60; ++I) {
    NewlyGoneCount += Agents.tick(Later + (I * milliseconds(50))).size();
  }
  EXPECT_TRUE(Agents.at(Index).IsGone);
  EXPECT_EQ(NewlyGoneCount, 1U);
  Agents.applyStatus(Later + seconds(4), {1, 1}, status("a", "near", 0), IsNew);
  EXPECT_FALSE(Agents.at(Index).IsGone);
}

// An agent that is silent may still have flows, unless its last status reported
// none.
TEST(AgentViews, AgentWithoutFlowsHasShorterTimeout) {
  struct Case {
    const char *Description;
    wire::AgentCondition Condition;
    uint32_t Flows;
    bool KnowsAllFlows;
    bool IsGone;
  };
  for (const Case &Item : {
           Case{"in service", wire::AgentCondition::InService, 0, true, false},
           Case{"no upstream", wire::AgentCondition::NoUpstream, 0, true, true},
           Case{"no upstream, flows unknown", wire::AgentCondition::NoUpstream,
                0, false, false},
           Case{"no upstream, one flow", wire::AgentCondition::NoUpstream, 1,
                true, false},
           Case{"draining", wire::AgentCondition::Draining, 0, true, false},
           Case{"stopping", wire::AgentCondition::Stopping, 0, true, true},
       }) {
    members::AgentViews Agents;
    bool IsNew = false;
    wire::AgentStatus Status = status("a", "near", 0);
    Status.Condition = Item.Condition;
    Status.Flows = Item.Flows;
    Status.KnowsAllFlows = Item.KnowsAllFlows;
    members::AgentIndex Index =
        Agents.applyStatus(Start, {1, 1}, Status, IsNew);
    std::vector<members::Member> Announced(1);
    Announced[0].Name = Status.Name;
    Announced[0].Role = members::MemberRole::Agent;
    Agents.applyAnnouncements(Start, Announced);
    for (int I = 0; I <= 40; ++I) {
      Agents.tick(Start + (I * milliseconds(50)));
    }
    EXPECT_EQ(Agents.at(Index).IsGone, Item.IsGone) << Item.Description;
  }
}

constexpr char AgentText[] = R"([process]
name = side-1
data-centre = mobile
stop-grace = 6.5
[listen]
ip = 10.1.0.12
callers = 10.1.0.12:8172
health = 10.1.0.12:8167
first-port = 7720
heartbeats = 10.1.0.12:8166
from-upstream = 10.1.0.12:8162
[upstream]
address = 10.1.0.12:8165
service = rounds
cold-factor = 1.5
cold-tolerance = 5
[store]
address = 10.200.1.7:8169
)";

TEST(PacketSettings, ParsesAgentSettings) {
  base::Findings Problems;
  settings::PacketSettings Value = settings::parsePacketSettings(
      AgentText, "a.ini", members::MemberRole::Agent, Problems);
  EXPECT_TRUE(Problems.empty()) << Problems.text();
  EXPECT_EQ(base::addressText(Value.messageAddress()), "10.1.0.12:7720");
  EXPECT_EQ(base::addressText(Value.forwardingAddress()), "10.1.0.12:7721");
  EXPECT_DOUBLE_EQ(Value.Cold.Factor, 1.5);
  EXPECT_EQ(Value.StopGrace, milliseconds(6500));
  EXPECT_EQ(Value.Cold.Tolerance, 5U);
}

// Without its settings, a deployment must behave as before.
TEST(PacketSettings, LoadOptionsAreOffByDefault) {
  base::Findings Problems;
  settings::PacketSettings Value = settings::parsePacketSettings(
      AgentText, "a.ini", members::MemberRole::Agent, Problems);
  EXPECT_FALSE(Value.DampsFlapping);
  EXPECT_FALSE(Value.Overload.ReservesByPriority);
  EXPECT_EQ(Value.Placement.Policy, routing::PlacementPolicy::LeastLoaded);
  EXPECT_FALSE(Value.Placement.WeighsByServiceTime);
}

TEST(PacketSettings, ParsesLoadOptions) {
  std::string Text = AgentText;
  Text += "[overload]\nreserve-by-priority = yes\n";
  base::Findings Problems;
  settings::PacketSettings Agent = settings::parsePacketSettings(
      Text, "a.ini", members::MemberRole::Agent, Problems);
  EXPECT_TRUE(Agent.Overload.ReservesByPriority);
  settings::PacketSettings Balancer = settings::parsePacketSettings(
      "[process]\nname = front-1\ndata-centre = mobile\n"
      "[listen]\nip = 10.1.0.12\ncallers = 10.1.0.12:8172\n"
      "health = 10.1.0.12:8167\nfirst-port = 7720\n"
      "[placement]\npolicy = even\nweigh-by-service-time = yes\n"
      "[overload]\nrefuse-early = yes\ncallers-take-turns = yes\n"
      "[store]\naddress = 10.200.1.7:8169\n",
      "b.ini", members::MemberRole::Balancer, Problems);
  EXPECT_TRUE(Problems.empty()) << Problems.text();
  EXPECT_EQ(Balancer.Placement.Policy, routing::PlacementPolicy::Even);
  EXPECT_TRUE(Balancer.Placement.WeighsByServiceTime);
  EXPECT_TRUE(Balancer.Overload.RefusesEarly);
  EXPECT_TRUE(Balancer.Overload.CallersTakeTurns);
}

TEST(PacketSettings, ReportsInvalidSettings) {
  struct Case {
    const char *From;
    const char *To;
    const char *Finding;
  };
  const Case Cases[] = {
      {"name = side-1", "name = Side 1", "name"},
      {"ip = 10.1.0.12\n", "ip = here\n", "IPv4"},
      {"first-port = 7720", "first-port = 0", "first-port"},
      {"first-port = 7720", "first-port = 65535", "first-port"},
      {"cold-factor = 1.5", "cold-factor = much", "cold-factor"},
      {"cold-factor = 1.5", "cold-factor = -1", "cold-factor"},
      {"heartbeats = 10.1.0.12:8166\n", "", "heartbeats"},
      {"[store]", "[shop]", "unknown section"},
      {"service = rounds", "servise = rounds", "servise"},
      {"[store]", "[placement]\npolicy = even\n[store]", "is for balancers"},
      {"[store]", "[overload]\nrefuse-early = yes\n[store]",
       "is for balancers"},
      {"[store]", "[overload]\nreserve-by-priority = maybe\n[store]",
       "reserve-by-priority"},
  };
  for (const Case &Item : Cases) {
    std::string Text = AgentText;
    Text.replace(Text.find(Item.From), std::string(Item.From).size(), Item.To);
    base::Findings Problems;
    settings::parsePacketSettings(Text, "a.ini", members::MemberRole::Agent,
                                  Problems);
    EXPECT_NE(Problems.text().find(Item.Finding), std::string::npos)
        << Item.To << "\n"
        << Problems.text();
  }
  base::Findings Problems;
  settings::parsePacketSettings(AgentText, "a.ini",
                                members::MemberRole::Balancer, Problems);
  EXPECT_NE(Problems.text().find("is for agents"), std::string::npos);
}

} // namespace
} // namespace bilberry
