// Tests of PeerBalancers: which balancers follow the store, and what a balancer
// that has just started is sent.

#include "bilberry/routing/peer_balancers.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace bilberry::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::DataCentreName Here("here");

class PeerBalancersTest : public ::testing::Test {
protected:
  PeerBalancersTest()
      : Peers({base::MemberName("balancer-0"), 1, Here, {1, 1}}, Now, Agents) {}

  void receive(int Index, bool FollowsStore, base::Incarnation Run = 1,
               const base::DataCentreName &DataCentre = Here) {
    this->Peers.onMessage(
        this->Now, {2, static_cast<uint16_t>(Index)},
        {base::MemberName("balancer-" + std::to_string(Index)),
         Run,
         DataCentre,
         FollowsStore,
         {},
         {}},
        this->Out);
  }

  bool mustFollow() const { return this->Peers.mustFollowStore(this->Now); }

  size_t statusesSent() const {
    size_t Count = 0;
    for (const packet::SendMessage &Action : this->Out.Messages) {
      const auto &Message = std::get<wire::PassedStatuses>(Action.Message);
      EXPECT_LE(Message.Statuses.size(), wire::MaxStatusesPerMessage);
      Count += Message.Statuses.size();
    }
    return Count;
  }

  base::TimePoint Now{seconds(100)};
  members::AgentViews Agents{Here};
  packet::PacketActions Out;
  PeerBalancers Peers;
};

TEST_F(PeerBalancersTest, FollowsTheStoreUnlessEnoughBetterRankedOnesDo) {
  constexpr int PeerCount = 40;
  this->Now += FollowingGracePeriod;
  EXPECT_TRUE(this->mustFollow());
  for (int I = 1; I <= PeerCount; ++I) {
    this->receive(I, false);
  }
  EXPECT_TRUE(this->mustFollow()) << "nobody follows";
  for (int I = 1; I <= PeerCount; ++I) {
    this->receive(I, true, 1, base::DataCentreName("elsewhere"));
  }
  EXPECT_TRUE(this->mustFollow()) << "only those elsewhere follow";
  for (int I = 1; I <= PeerCount; ++I) {
    this->receive(I, true);
  }
  EXPECT_FALSE(this->mustFollow());
  this->Now += PeerTimeout + milliseconds(1);
  EXPECT_TRUE(this->mustFollow()) << "all are silent";
}

// However each balancer has heard of the others, at least two follow.
TEST_F(PeerBalancersTest, AtLeastTwoFollowTheStore) {
  constexpr int Count = 12;
  std::vector<PeerBalancers> All;
  All.reserve(Count);
  auto IdentityOf = [](int Index) {
    return PeerIdentity{base::MemberName("balancer-" + std::to_string(Index)),
                        1,
                        Here,
                        {2, static_cast<uint16_t>(Index)}};
  };
  for (int I = 0; I < Count; ++I) {
    All.emplace_back(IdentityOf(I), this->Now, this->Agents);
  }
  // Messages are lost between the pairs for which a bit is set.
  for (uint32_t LostPairs : {0U, 1U, 0x555U, 0xAAAU, 0xFFFU}) {
    for (int Round = 0; Round < 10; ++Round) {
      this->Now += milliseconds(500);
      std::vector<bool> Follows;
      Follows.reserve(Count);
      for (const PeerBalancers &Balancer : All) {
        Follows.push_back(Balancer.mustFollowStore(this->Now));
      }
      for (int To = 0; To < Count; ++To) {
        for (int From = 0; From < Count; ++From) {
          bool IsHeard = ((LostPairs >> ((To + From) % Count)) & 1U) == 0;
          if (From != To && IsHeard) {
            All[static_cast<size_t>(To)].onMessage(
                this->Now, {2, static_cast<uint16_t>(From)},
                {IdentityOf(From).Name,
                 1,
                 Here,
                 Follows[static_cast<size_t>(From)],
                 {},
                 {}},
                this->Out);
          }
        }
      }
      EXPECT_GE(std::ranges::count(Follows, true), 2) << LostPairs;
    }
  }
}

TEST_F(PeerBalancersTest, ANewRunIsSentAllStatusesOnce) {
  constexpr int AgentCount = 20;
  for (int I = 0; I < AgentCount; ++I) {
    wire::AgentStatus Status;
    Status.Name = base::MemberName("agent-" + std::to_string(I));
    Status.Run = 1;
    Status.Data = {3, static_cast<uint16_t>(I)};
    bool IsNewRun = false;
    this->Agents.applyStatus(this->Now, {3, 1}, Status, IsNewRun);
  }
  struct Case {
    base::Incarnation Run;
    size_t Sent;
  };
  for (const Case &Item :
       {Case{1, AgentCount}, Case{1, 0}, Case{2, AgentCount}, Case{2, 0}}) {
    this->Out.clear();
    this->receive(1, false, Item.Run);
    EXPECT_EQ(this->statusesSent(), Item.Sent);
  }
}

TEST_F(PeerBalancersTest, PassesEachStatusOnOnceToAllThatItKnows) {
  wire::AgentStatus Status;
  Status.Name = base::MemberName("agent");
  Status.Run = 1;
  bool IsNewRun = false;
  members::AgentIndex Index =
      this->Agents.applyStatus(this->Now, {3, 1}, Status, IsNewRun);
  // This balancer's own address isn't one of another.
  this->Peers.learn(this->Now, {{1, 1}, {2, 1}, {2, 2}});
  this->Peers.passOn(Index);
  this->Peers.passOn(Index);
  this->Peers.onTick(this->Now, {true, {}, {}}, seconds(60), this->Out);
  ASSERT_EQ(this->Out.Messages.size(), 1U);
  EXPECT_EQ(this->Out.Messages[0].To.size(), 2U);
  EXPECT_EQ(this->statusesSent(), 1U);
  this->Out.clear();
  this->Peers.onTick(this->Now + PassInterval / 2, {true, {}, {}}, seconds(60),
                     this->Out);
  EXPECT_TRUE(this->Out.Messages.empty());
  this->Peers.onTick(this->Now + PassInterval, {true, {}, {}}, seconds(60),
                     this->Out);
  EXPECT_EQ(this->statusesSent(), 0U);
  EXPECT_EQ(this->Out.Messages.size(), 1U);
  this->Out.clear();
  this->Peers.onTick(this->Now + PeerExpiry + seconds(1), {true, {}, {}},
                     seconds(60), this->Out);
  EXPECT_TRUE(this->Out.Messages.empty());
}

// Guards against late changes after connections to the store went silent: the
// others wait for what a follower reports.
TEST_F(PeerBalancersTest, FollowerReportsNewDocumentsAtOnce) {
  this->Peers.learn(this->Now, {{2, 1}});
  this->Peers.onTick(this->Now, {true, {}, {1, {}}}, seconds(60), this->Out);
  struct Case {
    const char *Name;
    bool IsStoreCurrent;
    int64_t Changed;
    size_t Messages;
  };
  const Case Cases[] = {
      {"no change", true, 1, 0},
      {"change", true, 2, 1},
      {"reported before", true, 2, 0},
      {"not a follower", false, 3, 0},
  };
  for (const Case &Item : Cases) {
    this->Now += milliseconds(50);
    this->Out.clear();
    this->Peers.onTick(this->Now, {Item.IsStoreCurrent, {}, {Item.Changed, {}}},
                       seconds(60), this->Out);
    ASSERT_EQ(this->Out.Messages.size(), Item.Messages) << Item.Name;
    for (const packet::SendMessage &Action : this->Out.Messages) {
      EXPECT_EQ(
          std::get<wire::PassedStatuses>(Action.Message).Documents.Changed,
          Item.Changed);
    }
  }
}

} // namespace
} // namespace bilberry::routing
