// Tests of a single HolderSearch: when it may conclude that no agent holds a
// flow.

#include "bilberry/routing/holder_search.h"

#include "bilberry/routing/packet_router.h"
#include "bilberry/standin/single_route.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace bilberry::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Address Route = {0xC6120001, 8443};

class HolderSearchTest : public ::testing::Test {
protected:
  HolderSearchTest() : Search(Agents, base::DataCentreName("dc")) {}

  void sendStatus(const char *Name) {
    wire::AgentStatus Status;
    Status.Name = base::MemberName(Name);
    Status.Run = 1;
    Status.DataCentre = base::DataCentreName("dc");
    Status.Condition = wire::AgentCondition::InService;
    Status.Flows = 1;
    bool IsNewRun = false;
    auto Port = static_cast<uint16_t>(static_cast<unsigned char>(Name[0]));
    Status.Data = {1, Port};
    this->Agents.applyStatus(this->Now, {2, Port}, Status, IsNewRun);
  }

  void tick(milliseconds Time) {
    this->Now += Time;
    this->Search.onTick(this->context(), this->Out);
    this->Search.flush(this->Now, this->Out);
  }

  void answerAbsent(const char *Name) {
    wire::HolderAnswer Answer;
    Answer.Name = base::MemberName(Name);
    Answer.Run = 1;
    Answer.Flows = {this->Flow};
    Answer.Presences = {wire::FlowPresence::Absent};
    this->Search.onAnswer(this->context(), Answer, this->Out);
  }

  SearchContext context() const {
    return {this->Now, this->Operators,
            this->IsListConfirmed ? std::optional(this->ListConfirmedAt)
                                  : std::nullopt,
            seconds(60)};
  }

  void receivePacket() {
    packet::Packet Packet;
    Packet.Source = this->Flow.Caller;
    Packet.Destination = this->Flow.Route;
    Packet.IsAck = true;
    this->Search.onUnknownFlowPacket(this->context(), Packet, this->Out);
  }

  base::TimePoint Now{seconds(100)};
  const packet::FlowId Flow{{0x64400001, 1000}, Route};
  targets::OperatorState Operators;
  members::AgentViews Agents;
  HolderSearch Search;
  packet::PacketActions Out;
  bool IsListConfirmed = true;
  // Later than any search unless a test sets it.
  base::TimePoint ListConfirmedAt{seconds(1000)};
};

// An agent that was taken to be gone is heard again while the others are being
// asked for the second time. It may hold the flow.
TEST_F(HolderSearchTest, AgentHeardDuringTheSearchIsAskedToo) {
  for (bool IsHeardAgain : {false, true}) {
    SCOPED_TRACE(IsHeardAgain);
    this->Out.clear();
    this->sendStatus("b");
    for (int I = 0; I < 200; ++I) {
      this->Now += milliseconds(50);
      this->Agents.tick(this->Now);
    }
    this->sendStatus("a");
    this->receivePacket();
    this->tick(milliseconds(20));
    this->answerAbsent("a");
    this->tick(milliseconds(200));
    EXPECT_TRUE(this->Out.Resets.empty());
    if (IsHeardAgain) {
      this->sendStatus("b");
    }
    this->answerAbsent("a");
    EXPECT_EQ(this->Out.Resets.empty(), IsHeardAgain);
    this->Search.cancel(this->Flow);
  }
}

// All known agents deny the flow, but the list of agents isn't known to be
// whole. Guards against resets on the word of agents that don't include the
// holder, and against resets that never come.
TEST_F(HolderSearchTest, ResetsOnlyOnceTheListWasWholeAfterTheSearchBegan) {
  struct Case {
    const char *Name;
    /// When the list was last known to be whole, from the search's begin;
    /// absent if it isn't known.
    std::optional<milliseconds> ConfirmedAt;
    /// When that becomes known.
    milliseconds KnownAfter;
    bool IsReset;
  };
  const Case Cases[] = {
      {"never", std::nullopt, milliseconds(0), false},
      {"before", milliseconds(-1), milliseconds(0), false},
      {"during", milliseconds(10), milliseconds(0), true},
      {"after the second round", milliseconds(600), milliseconds(600), true},
      {"too late", milliseconds(1600), milliseconds(1600), false},
  };
  for (const Case &Item : Cases) {
    SCOPED_TRACE(Item.Name);
    this->Out.clear();
    this->sendStatus("a");
    this->IsListConfirmed = false;
    base::TimePoint StartedAt = this->Now;
    this->ListConfirmedAt =
        StartedAt + Item.ConfirmedAt.value_or(milliseconds(0));
    this->receivePacket();
    uint64_t Unconfirmed = this->Search.counts().Unconfirmed;
    for (int I = 0; I < 40; ++I) {
      this->IsListConfirmed =
          Item.ConfirmedAt && this->Now - StartedAt >= Item.KnownAfter;
      this->tick(milliseconds(50));
      this->answerAbsent("a");
    }
    EXPECT_EQ(this->Out.Resets.size(), Item.IsReset ? 1U : 0U);
    bool WasWanted = this->Search.takeUnconfirmed() == StartedAt;
    EXPECT_EQ(WasWanted, Item.KnownAfter > milliseconds(0) || !Item.IsReset);
    EXPECT_EQ(this->Search.counts().Unconfirmed - Unconfirmed,
              WasWanted ? 1U : 0U);
    this->Search.cancel(this->Flow);
    this->Now += seconds(10);
  }
}

class PacketRouterHello : public ::testing::Test {
protected:
  // Announces an agent in the given data centre to the router.
  void announceAgent(const char *DataCentre) {
    members::Member Agent;
    Agent.Name = base::MemberName("agent");
    Agent.DataCentre = base::DataCentreName(DataCentre);
    Agent.Control = {2, 2};
    this->Router.applyAnnouncements(this->Now, {Agent});
  }

  targets::OperatorStateCache StateCache{standin::singleRouteFormat(Route)};
  base::TimePoint Now{seconds(100)};
  PacketRouter Router{{base::MemberName("balancer"),
                       1,
                       base::DataCentreName("here"),
                       {},
                       {9, 9},
                       1000},
                      Now,
                      StateCache};
};

// Guards against resets by a balancer that was paused, on what it knew before:
// agents may have started meanwhile, and what it reads first may be old.
TEST_F(PacketRouterHello, PausedBalancerResetsNothingUntilItHasCaughtUp) {
  packet::PacketActions Out;
  wire::AgentStatus Status;
  Status.Name = base::MemberName("agent");
  Status.Run = 1;
  Status.DataCentre = base::DataCentreName("here");
  Status.Condition = wire::AgentCondition::InService;
  packet::Packet Packet;
  Packet.Source = {0x64400001, 1000};
  Packet.Destination = Route;
  Packet.IsAck = true;
  // Runs for a time in which the agent denies the flow. Returns when the flow
  // was reset.
  auto Run = [&](milliseconds Time) {
    std::optional<base::TimePoint> ResetAt;
    for (base::TimePoint End = this->Now + Time; this->Now < End;) {
      this->Now += milliseconds(50);
      this->announceAgent("here");
      this->Router.onMessage(this->Now, {2, 2}, Status, Out);
      this->Router.onTick(this->Now, true, Out);
      this->Router.onCallerPacket(this->Now, Packet, Out);
      this->Router.flush(this->Now, Out);
      this->Router.onMessage(this->Now, {2, 2},
                             wire::HolderAnswer{Status.Name,
                                                1,
                                                {Packet.flowFromCaller()},
                                                {wire::FlowPresence::Absent}},
                             Out);
      if (!Out.Resets.empty() && !ResetAt) {
        ResetAt = this->Now;
      }
      Out.clear();
    }
    return ResetAt;
  };
  EXPECT_TRUE(Run(seconds(3)));
  this->Now += seconds(5);
  base::TimePoint ResumedAt = this->Now;
  std::optional<base::TimePoint> ResetAt = Run(seconds(3));
  ASSERT_TRUE(ResetAt);
  EXPECT_GE(*ResetAt - ResumedAt, AgentDiscoveryTime);
}

// Messages to and from an agent may be lost for seconds while a link is
// overloaded. A balancer must go on asking an announced agent for its status:
// it resets the flows of an agent that it doesn't know.
TEST_F(PacketRouterHello, AnnouncedAgentIsAskedUntilItIsHeard) {
  packet::PacketActions Out;
  for (int I = 0; I < 200; ++I) {
    this->Now += milliseconds(50);
    this->announceAgent("elsewhere");
    this->Router.onTick(this->Now, true, Out);
  }
  auto Hellos = std::ranges::count_if(
      Out.Messages, [](const packet::SendMessage &Action) {
        return std::holds_alternative<wire::BalancerHello>(Action.Message);
      });
  EXPECT_GE(Hellos, 9);
}

// Guards against late changes after connections to the store went silent: the
// agents of its data centre rely on a follower.
TEST_F(PacketRouterHello, FollowerAnnouncesDocumentsAtOnce) {
  this->announceAgent("here");
  struct Case {
    const char *Name;
    bool IsStoreCurrent;
    store::StoreRevision Revision;
    size_t Hellos;
  };
  const Case Cases[] = {
      {"first hello", true, 1, 1},     {"no change", true, 1, 0},
      {"change", true, 2, 1},          {"announced before", true, 2, 0},
      {"not a follower", false, 3, 0},
  };
  for (const Case &Item : Cases) {
    this->Now += milliseconds(50);
    this->StateCache.applyEvent({false, {"routes", "", Item.Revision, 0}});
    packet::PacketActions Out;
    this->Router.onTick(this->Now, Item.IsStoreCurrent, Out);
    size_t Hellos = 0;
    for (const packet::SendMessage &Action : Out.Messages) {
      if (const auto *Hello =
              std::get_if<wire::BalancerHello>(&Action.Message)) {
        ++Hellos;
        EXPECT_EQ(Hello->Documents.Changed, Item.Revision) << Item.Name;
        EXPECT_EQ(Hello->FollowsStore, Item.IsStoreCurrent) << Item.Name;
      }
    }
    EXPECT_EQ(Hellos, Item.Hellos) << Item.Name;
  }
}

} // namespace
} // namespace bilberry::routing
