// Why requests have shards with epochs, not arbiters from the ranking: with
// write-once intents at the three first-ranked members, majority of three, two
// views that differ by one member can each find a majority that the other's
// doesn't meet, so two agents could both be allowed to run one request.

#include "bilberry/routing/rendezvous.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>

namespace bilberry::routing {
namespace {

constexpr size_t Arbiters = 3;
constexpr uint64_t Keys = 2000;

std::vector<members::RankedMember> viewOf(size_t Count) {
  std::vector<members::RankedMember> View(Count);
  for (size_t Place = 0; Place < Count; ++Place) {
    base::MemberName Name("rounds-" + std::to_string(Place));
    View[Place].Value.Name = Name;
    View[Place].NameHash = memberHash(Name);
  }
  return View;
}

std::vector<base::MemberName>
arbitersOf(const std::vector<members::RankedMember> &View, uint64_t Number) {
  std::vector<base::MemberName> Names;
  base::FlowKey Key = requestKey({Number, ~Number});
  for (const members::RankedMember *Each : topRanked(View, Key, Arbiters)) {
    Names.push_back(Each->Value.Name);
  }
  return Names;
}

/// Tries every majority of one list against every majority of the other. A
/// majority of three is all but one of them.
bool mayMiss(const std::vector<base::MemberName> &Left,
             const std::vector<base::MemberName> &Right) {
  for (size_t LeftOut = 0; LeftOut < Arbiters; ++LeftOut) {
    for (size_t RightOut = 0; RightOut < Arbiters; ++RightOut) {
      bool Meets = false;
      for (size_t Place = 0; Place < Arbiters * Arbiters; ++Place) {
        size_t L = Place / Arbiters;
        size_t R = Place % Arbiters;
        Meets = Meets || (L != LeftOut && R != RightOut && Left[L] == Right[R]);
      }
      if (!Meets) {
        return true;
      }
    }
  }
  return false;
}

uint64_t keysThatMayMiss(size_t LeftCount, size_t RightCount) {
  std::vector<members::RankedMember> Left = viewOf(LeftCount);
  std::vector<members::RankedMember> Right = viewOf(RightCount);
  uint64_t Count = 0;
  for (uint64_t Number = 0; Number < Keys; ++Number) {
    bool May = mayMiss(arbitersOf(Left, Number), arbitersOf(Right, Number));
    Count += May ? 1 : 0;
  }
  return Count;
}

TEST(RequestArbiters, ViewsThatDifferByOneMemberMayShareNoMajority) {
  EXPECT_EQ(keysThatMayMiss(7, 7), 0U);
  uint64_t OneJoin = keysThatMayMiss(7, 8);
  uint64_t TwoJoins = keysThatMayMiss(7, 9);
  EXPECT_GT(OneJoin, Keys / 4);
  EXPECT_GT(TwoJoins, OneJoin);
  std::printf("of %d keys, one join: %d, two joins: %d may have two majorities "
              "that don't meet\n",
              static_cast<int>(Keys), static_cast<int>(OneJoin),
              static_cast<int>(TwoJoins));
}

} // namespace
} // namespace bilberry::routing
