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

std::vector<std::string> names(const std::vector<RankedMember> &List) {
  std::vector<std::string> Names;
  Names.reserve(List.size());
  for (const RankedMember &Item : List) {
    Names.push_back(Item.Value.Name.text());
  }
  return Names;
}

TEST(MemberTable, StateDecidesTheLists) {
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
  // A second report doesn't start the period anew.
  Table.markSilent(Start + seconds(20), Name);
  EXPECT_TRUE(Table.isSilent(Name));
  Table.tick(Start + SilentGrace);
  EXPECT_THAT(names(Table.view(Rounds)->Lookup), ElementsAre("a"));
  Table.tick(Start + SilentGrace + base::Duration(1));
  EXPECT_THAT(Table.view(Rounds)->Lookup, IsEmpty());
  EXPECT_FALSE(Table.find(Name));
}

TEST(MemberTable, ReturningMemberIsPlacedAgain) {
  MemberTable Table;
  Table.put(Start, agent("a", MemberState::InService));
  Table.markSilent(Start, base::MemberName("a"));
  Table.put(Start + seconds(1), agent("a", MemberState::InService));
  EXPECT_FALSE(Table.isSilent(base::MemberName("a")));
  Table.tick(Start + SilentGrace + seconds(2));
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

TEST(MemberTable, EarlierViewStaysAsItWas) {
  MemberTable Table;
  Table.put(Start, agent("a", MemberState::InService));
  auto View = Table.view(Rounds);
  Table.remove(base::MemberName("a"));
  EXPECT_NE(View->find(base::MemberName("a")), nullptr);
  EXPECT_EQ(Table.view(Rounds)->find(base::MemberName("a")), nullptr);
}

// The slow, obvious table: keeps every fact and filters anew for each view.
struct NaiveTable {
  std::map<std::string, Member> Members;
  std::map<std::string, base::TimePoint> Silent;
  std::set<base::DataCentreName> Out;

  std::vector<std::string> list(const base::ServiceName &Service,
                                bool ForPlacement) const {
    std::vector<std::string> Names;
    for (const auto &[Name, Value] : this->Members) {
      bool Skip =
          ForPlacement && (!takesNewWork(Value) || this->Silent.contains(Name));
      if (Value.Service == Service && !this->Out.contains(Value.DataCentre) &&
          !Skip) {
        Names.push_back(Name);
      }
    }
    return Names;
  }
};

TEST(MemberTable, AgreesWithANaiveTable) {
  std::mt19937 Random(20261204); // Fixed: the same steps every run.
  MemberTable Table;
  NaiveTable Naive;
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
      if (!Naive.Members.contains(Name) ||
          Naive.Members[Name].Run <= Value.Run) {
        Naive.Members[Name] = Value;
        Naive.Silent.erase(Name);
      }
      break;
    }
    case 2:
      Table.markSilent(Now, base::MemberName(Name));
      if (Naive.Members.contains(Name)) {
        Naive.Silent.try_emplace(Name, Now);
      }
      break;
    case 3:
      Table.remove(base::MemberName(Name));
      Naive.Members.erase(Name);
      Naive.Silent.erase(Name);
      break;
    case 4:
      Naive.Out.clear();
      if (Random() % 2) {
        Naive.Out.insert(base::DataCentreName("jackson"));
      }
      Table.setOutOfService(Naive.Out);
      break;
    default:
      Table.tick(Now);
      std::erase_if(Naive.Silent, [&](const auto &Item) {
        bool IsOver = Now - Item.second > SilentGrace;
        if (IsOver) {
          Naive.Members.erase(Item.first);
        }
        return IsOver;
      });
    }
    for (const base::ServiceName &Service : {Rounds, Photos}) {
      auto View = Table.view(Service);
      ASSERT_EQ(names(View->Lookup), Naive.list(Service, false)) << Step;
      ASSERT_EQ(names(View->Placement), Naive.list(Service, true)) << Step;
    }
  }
}

} // namespace
} // namespace bilberry::members
