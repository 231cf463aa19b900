// Tests of AgentListExchange: what it asks for, and when it takes its list of
// agents for whole.

#include "bilberry/routing/agent_list_exchange.h"

#include "bilberry/routing/rendezvous.h"

#include <gtest/gtest.h>
#include <string>

namespace bilberry::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::DataCentreName Here("here");
constexpr base::Address First = {2, 1};
constexpr base::Address Second = {2, 2};

wire::AgentStatus statusOf(const std::string &Name) {
  wire::AgentStatus Status;
  Status.Name = base::MemberName(Name);
  Status.Run = 1;
  Status.DataCentre = Here;
  Status.Condition = wire::AgentCondition::InService;
  return Status;
}

// A balancer with its agents; two of them exchange messages in the tests.
struct ListOwner {
  explicit ListOwner(uint16_t Number)
      : Lists({base::MemberName("balancer-" + std::to_string(Number)),
               1,
               Here,
               {2, Number}},
              Agents) {}

  void hear(base::TimePoint Now, const std::string &Name) {
    bool IsNewRun = false;
    this->Agents.applyStatus(Now, {3, 1}, statusOf(Name), IsNewRun);
  }
  void update(base::TimePoint Now, std::optional<base::TimePoint> StoreReadAt) {
    this->Lists.update(Now, StoreReadAt, seconds(60));
  }

  members::AgentViews Agents{Here};
  AgentListExchange Lists;
};

class AgentListExchangeTest : public ::testing::Test {
protected:
  // The messages of one type in Out.
  template <typename Message> std::vector<Message> sent() const {
    std::vector<Message> Found;
    for (const packet::SendMessage &Action : this->Out.Messages) {
      if (const auto *Sent = std::get_if<Message>(&Action.Message)) {
        Found.push_back(*Sent);
      }
    }
    return Found;
  }

  // Lets Asker query Asked, the balancer with this address, and returns the
  // statuses that it then asks for.
  std::vector<uint64_t> compare(ListOwner &Asker, const ListOwner &Asked,
                                const base::Address &From) {
    this->Out.clear();
    Asker.Lists.onTick(this->Now, this->Out);
    auto Queries = this->sent<wire::AgentListQuery>();
    if (Queries.empty()) {
      return {};
    }
    this->Out.clear();
    Asked.Lists.onQuery({9, 9}, Queries[0], this->Out);
    auto Answers = this->sent<wire::AgentListAnswer>();
    this->Out.clear();
    Asker.Lists.onAnswer(this->Now, From, Answers.at(0), this->Out);
    auto Wanted = this->sent<wire::StatusQuery>();
    return Wanted.empty() ? std::vector<uint64_t>() : Wanted[0].Agents;
  }

  base::TimePoint Now{seconds(100)};
  packet::PacketActions Out;
};

TEST_F(AgentListExchangeTest, DigestDependsOnTheListAlone) {
  ListOwner A(1);
  ListOwner B(2);
  A.hear(this->Now, "x");
  A.hear(this->Now, "y");
  B.hear(this->Now, "y");
  A.update(this->Now, std::nullopt);
  B.update(this->Now, std::nullopt);
  EXPECT_NE(A.Lists.digest(), B.Lists.digest());
  B.hear(this->Now, "x");
  B.update(this->Now, std::nullopt);
  EXPECT_EQ(A.Lists.digest(), B.Lists.digest());
  // An agent without an upstream and without flows isn't listed.
  wire::AgentStatus Empty = statusOf("z");
  Empty.Condition = wire::AgentCondition::NoUpstream;
  Empty.KnowsAllFlows = true;
  bool IsNewRun = false;
  B.Agents.applyStatus(this->Now, {3, 1}, Empty, IsNewRun);
  B.update(this->Now, std::nullopt);
  EXPECT_EQ(A.Lists.digest(), B.Lists.digest());
}

// A follower is asked soon, another balancer only if it still differs after
// that had time to ask a follower.
TEST_F(AgentListExchangeTest, AsksForWhatIsMissing) {
  for (bool IsFollower : {true, false}) {
    SCOPED_TRACE(IsFollower);
    ListOwner A(1);
    ListOwner B(2);
    for (int I = 0; I < 300; ++I) {
      B.hear(this->Now, "agent-" + std::to_string(I));
      if (I != 77) {
        A.hear(this->Now, "agent-" + std::to_string(I));
      }
    }
    A.update(this->Now, std::nullopt);
    B.update(this->Now, std::nullopt);
    A.Lists.recordDigest(this->Now, Second, B.Lists.digest(), IsFollower);
    EXPECT_TRUE(this->compare(A, B, Second).empty()) << "at once";
    this->Now += FollowerSettleTime;
    if (!IsFollower) {
      EXPECT_TRUE(this->compare(A, B, Second).empty());
      this->Now += PeerSettleTime;
    }
    EXPECT_EQ(this->compare(A, B, Second),
              std::vector{memberHash(base::MemberName("agent-77"))});
    EXPECT_FALSE(A.Lists.coversOthers(this->Now));
    A.hear(this->Now, "agent-77");
    A.update(this->Now, std::nullopt);
    EXPECT_TRUE(A.Lists.coversOthers(this->Now));
    this->Now += ListQueryInterval;
    EXPECT_TRUE(this->compare(A, B, Second).empty());
    this->Now += seconds(10);
  }
}

// Guards against resets that wait for a balancer that lacks agents.
TEST_F(AgentListExchangeTest, CoversABalancerThatLacksAgents) {
  ListOwner A(1);
  ListOwner B(2);
  A.hear(this->Now, "x");
  A.hear(this->Now, "y");
  B.hear(this->Now, "y");
  A.update(this->Now, this->Now);
  B.update(this->Now, std::nullopt);
  A.Lists.recordDigest(this->Now, Second, B.Lists.digest(), false);
  (void)this->compare(A, B, Second);
  EXPECT_FALSE(A.Lists.coversOthers(this->Now));
  this->Now += PeerSettleTime;
  EXPECT_TRUE(this->compare(A, B, Second).empty());
  EXPECT_TRUE(A.Lists.coversOthers(this->Now));
  // Either list may change.
  B.hear(this->Now, "z");
  B.update(this->Now, std::nullopt);
  A.Lists.recordDigest(this->Now, Second, B.Lists.digest(), false);
  EXPECT_FALSE(A.Lists.coversOthers(this->Now));
}

// Guards against lists that exceed a datagram.
TEST_F(AgentListExchangeTest, LongDifferencesAreResolvedInSteps) {
  constexpr size_t Count = 3600;
  ListOwner A(1);
  ListOwner B(2);
  for (size_t I = 0; I < Count; ++I) {
    B.hear(this->Now, "agent-" + std::to_string(I));
  }
  B.update(this->Now, std::nullopt);
  A.update(this->Now, std::nullopt);
  A.Lists.recordDigest(this->Now, Second, B.Lists.digest(), true);
  (void)this->compare(A, B, Second);
  this->Now += FollowerSettleTime;
  int Steps = 0;
  while (!A.Lists.coversOthers(this->Now) && Steps < 1000) {
    for (uint64_t Hash : this->compare(A, B, Second)) {
      for (size_t I = 0; I < B.Agents.size(); ++I) {
        const auto &View = B.Agents.at(static_cast<members::AgentIndex>(I));
        if (View.NameHash == Hash) {
          A.hear(this->Now, View.Name.text());
        }
      }
    }
    A.update(this->Now, std::nullopt);
    this->Now += ListQueryInterval;
    A.Lists.recordDigest(this->Now, Second, B.Lists.digest(), true);
    ++Steps;
  }
  EXPECT_LE(static_cast<size_t>(Steps),
            2 * Count / wire::MaxAgentsPerStatusQuery);
}

TEST_F(AgentListExchangeTest, TellsSinceWhenTheListIsWhole) {
  enum class Peer : uint8_t { None, Older, Equal, Differs };
  struct Case {
    const char *Name;
    bool FollowsStore;
    Peer Follower;
    Peer Other;
    std::optional<milliseconds> ConfirmedAt;
  };
  // Messages are 300 ms old, or 1.5 s if they are too old, and the store was
  // read 100 ms ago.
  const Case Cases[] = {
      {"nobody follows", false, Peer::None, Peer::Equal, std::nullopt},
      {"alone", true, Peer::None, Peer::None, milliseconds(-100)},
      {"not alone", true, Peer::None, Peer::Equal, milliseconds(-100)},
      {"another differs", true, Peer::None, Peer::Differs, std::nullopt},
      {"another follows", false, Peer::Equal, Peer::None, milliseconds(-300)},
      {"both follow", true, Peer::Equal, Peer::None, milliseconds(-100)},
      {"follower differs", false, Peer::Differs, Peer::Equal, std::nullopt},
      {"other differs", false, Peer::Equal, Peer::Differs, std::nullopt},
      {"follower silent", false, Peer::Older, Peer::Equal, std::nullopt},
      {"other silent", true, Peer::Equal, Peer::Older, std::nullopt},
  };
  for (const Case &Item : Cases) {
    SCOPED_TRACE(Item.Name);
    ListOwner A(1);
    A.hear(this->Now, "x");
    A.update(this->Now, Item.FollowsStore
                            ? std::optional(this->Now - milliseconds(100))
                            : std::nullopt);
    auto Record = [&](const base::Address &From, Peer Kind, bool IsFollower) {
      if (Kind != Peer::None) {
        A.Lists.recordDigest(
            this->Now - milliseconds(Kind == Peer::Older ? 1500 : 300), From,
            A.Lists.digest() + (Kind == Peer::Differs ? 1 : 0), IsFollower);
      }
    };
    Record(First, Item.Follower, true);
    Record(Second, Item.Other, false);
    std::optional<base::TimePoint> Expected;
    if (Item.ConfirmedAt) {
      Expected = this->Now + *Item.ConfirmedAt;
    }
    EXPECT_EQ(A.Lists.confirmedAt(this->Now), Expected);
  }
}

// A search that has found nothing needs a follower's word from after its begin.
TEST_F(AgentListExchangeTest, AsksFollowersForAConfirmation) {
  ListOwner A(1);
  A.update(this->Now, std::nullopt);
  A.Lists.recordDigest(this->Now, First, A.Lists.digest(), true);
  A.Lists.recordDigest(this->Now, Second, A.Lists.digest(), false);
  this->Now += milliseconds(200);
  A.Lists.requestConfirmation(this->Now);
  A.Lists.onTick(this->Now, this->Out);
  ASSERT_EQ(this->Out.Messages.size(), 1U);
  EXPECT_EQ(this->Out.Messages[0].To, std::vector{First});
  this->Out.clear();
  this->Now += ListQueryInterval;
  A.Lists.recordDigest(this->Now, First, A.Lists.digest(), true);
  A.Lists.onTick(this->Now, this->Out);
  EXPECT_TRUE(this->Out.Messages.empty());
  EXPECT_EQ(A.Lists.confirmedAt(this->Now), this->Now);
}

} // namespace
} // namespace bilberry::routing
