// Tests of MemberTable: which members are in the lookup and placement lists.

#include "bilberry/members/member_table.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <random>

namespace bilberry::members {
namespace {

using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;

const base::TimePoint Start{std::chrono::hours(24)};
const base::ServiceName Rounds("rounds");
const base::ServiceName Photos("photos");

Member agent(const std::string &Name, MemberState State,
             const std::string &DataCentre = "mobile",
             const base::ServiceName &Service = Rounds) {
  Member Value;
  Value.Name = base::MemberName(Name);
  Value.Run = 5;
  Value.State = State;
  Value.DataCentre = base::DataCentreName(DataCentre);
  Value.Service = Service;
  return Value;
}

std::vector<std::string> names(const std::vector<HashedMember> &List) {
  std::vector<std::string> Names;
  Names.reserve(List.size());
  for (const HashedMember &Item : List) {
    Names.push_back(Item.Value.Name.text());
  }
  return Names;
}

TEST(MemberTable, ListsDependOnMemberState) {
  struct Case {
    MemberState State;
    bool IsSilent;
    bool IsPlaced;
  };
  const Case Cases[] = {
      {MemberState::Cold, false, true},
      {MemberState::InService, false, true},
      {MemberState::Draining, false, false},
      {MemberState::Leaving, false, false},
      {MemberState::Cold, true, false},
      {MemberState::InService, true, false},
  };
  for (const Case &Item : Cases) {
    MemberTable Table;
    Table.put(Start, agent("a", Item.State));
    if (Item.IsSilent) {
      Table.markSilent(Start, base::MemberName("a"));
    }
    auto View = Table.view(Rounds);
    EXPECT_THAT(names(View->Lookup), ElementsAre("a"));
    EXPECT_EQ(View->Placement.size(), Item.IsPlaced ? 1U : 0U)
        << stateText(Item.State) << " silent " << Item.IsSilent;
  }
}

TEST(MemberTable, SilentMemberStaysInLookupForTheGracePeriod) {
  MemberTable Table;
  const base::MemberName Name("a");
  Table.put(Start, agent("a", MemberState::InService));
  Table.markSilent(Start, Name);
  // A second call doesn't restart the grace period.
  Table.markSilent(Start + seconds(20), Name);
  EXPECT_TRUE(Table.isSilent(Name));
  Table.tick(Start + SilentGracePeriod);
  EXPECT_THAT(names(Table.view(Rounds)->Lookup), ElementsAre("a"));
  Table.tick(Start + SilentGracePeriod + base::Duration(1));
  EXPECT_THAT(Table.view(Rounds)->Lookup, IsEmpty());
  EXPECT_FALSE(Table.find(Name));
}

TEST(MemberTable, ReturningMemberIsPlacedAgain) {
  MemberTable Table;
  Table.put(Start, agent("a", MemberState::InService));
  Table.markSilent(Start, base::MemberName("a"));
  Table.put(Start + seconds(1), agent("a", MemberState::InService));
  EXPECT_FALSE(Table.isSilent(base::MemberName("a")));
  Table.tick(Start + SilentGracePeriod + seconds(2));
  EXPECT_THAT(names(Table.view(Rounds)->Placement), ElementsAre("a"));
}

TEST(MemberTable, OlderIncarnationIsIgnored) {
  MemberTable Table;
  Member Older = agent("a", MemberState::InService);
  Older.Run = 4;
  Table.put(Start, agent("a", MemberState::Draining));
  Table.markSilent(Start, base::MemberName("a"));
  Table.put(Start, Older);
  EXPECT_EQ(Table.find(base::MemberName("a"))->Run, 5U);
  EXPECT_TRUE(Table.isSilent(base::MemberName("a")));
}

TEST(MemberTable, MemberMovesBetweenServices) {
  MemberTable Table;
  Table.put(Start, agent("a", MemberState::Cold));
  Table.put(Start, agent("a", MemberState::Cold, "mobile", Photos));
  EXPECT_THAT(Table.view(Rounds)->Lookup, IsEmpty());
  EXPECT_THAT(names(Table.view(Photos)->Lookup), ElementsAre("a"));
}

TEST(MemberTable, BalancersAreInNoView) {
  MemberTable Table;
  Member Balancer = agent("b", MemberState::InService, "mobile", {});
  Balancer.Role = MemberRole::Balancer;
  Table.put(Start, Balancer);
  EXPECT_THAT(Table.view({})->Lookup, IsEmpty());
  EXPECT_EQ(Table.all().size(), 1U);
}

TEST(MemberTable, ViewsAreImmutable) {
  MemberTable Table;
  Table.put(Start, agent("a", MemberState::InService));
  auto View = Table.view(Rounds);
  Table.remove(base::MemberName("a"));
  EXPECT_NE(View->find(base::MemberName("a")), nullptr);
  EXPECT_EQ(Table.view(Rounds)->find(base::MemberName("a")), nullptr);
}

// The reference implementation: keeps all members and filters them for each
// view.
struct ReferenceTable {
  std::map<std::string, Member> Members;
  std::map<std::string, base::TimePoint> SilentSince;
  std::set<base::DataCentreName> OutOfService;

  std::vector<std::string> listNames(const base::ServiceName &Service,
                                     bool ForPlacement) const {
    std::vector<std::string> Names;
    for (const auto &[Name, Value] : this->Members) {
      bool Skip = ForPlacement &&
                  (!takesNewWork(Value) || this->SilentSince.contains(Name));
      if (Value.Service == Service &&
          !this->OutOfService.contains(Value.DataCentre) && !Skip) {
        Names.push_back(Name);
      }
    }
    return Names;
  }
};

TEST(MemberTable, MatchesReferenceTable) {
  std::mt19937 Random(
      20261204); // A fixed seed, so that each run makes the same steps.
  MemberTable Table;
  ReferenceTable Reference;
  base::TimePoint Now = Start;
  for (int Step = 0; Step < 5000; ++Step) {
    Now += seconds(Random() % 4);
    std::string Name(1, static_cast<char>('a' + Random() % 6));
    switch (Random() % 6) {
    case 0:
    case 1: {
      Member Value = agent(Name, static_cast<MemberState>(Random() % 4),
                           Random() % 2 ? "mobile" : "jackson",
                           Random() % 2 ? Rounds : Photos);
      Value.Run = Random() % 3;
      Table.put(Now, Value);
      if (!Reference.Members.contains(Name) ||
          Reference.Members[Name].Run <= Value.Run) {
        Reference.Members[Name] = Value;
        Reference.SilentSince.erase(Name);
      }
      break;
    }
    case 2:
      Table.markSilent(Now, base::MemberName(Name));
      if (Reference.Members.contains(Name)) {
        Reference.SilentSince.try_emplace(Name, Now);
      }
      break;
    case 3:
      Table.remove(base::MemberName(Name));
      Reference.Members.erase(Name);
      Reference.SilentSince.erase(Name);
      break;
    case 4:
      Reference.OutOfService.clear();
      if (Random() % 2) {
        Reference.OutOfService.insert(base::DataCentreName("jackson"));
      }
      Table.setOutOfService(Reference.OutOfService);
      break;
    default:
      Table.tick(Now);
      std::erase_if(Reference.SilentSince, [&](const auto &Item) {
        bool IsOver = Now - Item.second > SilentGracePeriod;
        if (IsOver) {
          Reference.Members.erase(Item.first);
        }
        return IsOver;
      });
    }
    for (const base::ServiceName &Service : {Rounds, Photos}) {
      auto View = Table.view(Service);
      ASSERT_EQ(names(View->Lookup), Reference.listNames(Service, false))
          << Step;
      ASSERT_EQ(names(View->Placement), Reference.listNames(Service, true))
          << Step;
    }
  }
}

} // namespace
} // namespace bilberry::members
