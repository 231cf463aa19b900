// Shows why requests use shards with epochs instead of arbiters chosen by the
// ranking. With write-once intents at a majority of the three first-ranked
// members, two views that differ by one member can have majorities without a
// common member, so two agents could both be allowed to run one request.

#include "bilberry/routing/rendezvous.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>

namespace bilberry::routing {
namespace {

constexpr size_t ArbiterCount = 3;
constexpr uint64_t KeyCount = 2000;

std::vector<members::HashedMember> makeView(size_t Count) {
  std::vector<members::HashedMember> View(Count);
  for (size_t Index = 0; Index < Count; ++Index) {
    base::MemberName Name("rounds-" + std::to_string(Index));
    View[Index].Value.Name = Name;
    View[Index].NameHash = memberHash(Name);
  }
  return View;
}

std::vector<base::MemberName>
arbitersOf(const std::vector<members::HashedMember> &View, uint64_t Number) {
  std::vector<base::MemberName> Names;
  base::FlowKey Key = requestKey({Number, ~Number});
  for (const members::HashedMember *Each : topRanked(View, Key, ArbiterCount)) {
    Names.push_back(Each->Value.Name);
  }
  return Names;
}

/// Returns true if some majority of one list has no member in common with some
/// majority of the other. A majority of three is all but one of them.
bool haveDisjointMajorities(const std::vector<base::MemberName> &Left,
                            const std::vector<base::MemberName> &Right) {
  for (size_t LeftOmitted = 0; LeftOmitted < ArbiterCount; ++LeftOmitted) {
    for (size_t RightOmitted = 0; RightOmitted < ArbiterCount; ++RightOmitted) {
      bool Intersects = false;
      for (size_t Index = 0; Index < ArbiterCount * ArbiterCount; ++Index) {
        size_t L = Index / ArbiterCount;
        size_t R = Index % ArbiterCount;
        Intersects = Intersects || (L != LeftOmitted && R != RightOmitted &&
                                    Left[L] == Right[R]);
      }
      if (!Intersects) {
        return true;
      }
    }
  }
  return false;
}

uint64_t countKeysWithDisjointMajorities(size_t LeftCount, size_t RightCount) {
  std::vector<members::HashedMember> Left = makeView(LeftCount);
  std::vector<members::HashedMember> Right = makeView(RightCount);
  uint64_t Count = 0;
  for (uint64_t Number = 0; Number < KeyCount; ++Number) {
    bool AreDisjoint = haveDisjointMajorities(arbitersOf(Left, Number),
                                              arbitersOf(Right, Number));
    Count += AreDisjoint ? 1 : 0;
  }
  return Count;
}

TEST(RequestArbiters, ViewsDifferingByOneMemberCanHaveDisjointMajorities) {
  EXPECT_EQ(countKeysWithDisjointMajorities(7, 7), 0U);
  uint64_t OneJoin = countKeysWithDisjointMajorities(7, 8);
  uint64_t TwoJoins = countKeysWithDisjointMajorities(7, 9);
  EXPECT_GT(OneJoin, KeyCount / 4);
  EXPECT_GT(TwoJoins, OneJoin);
  std::printf("of %d keys, one join: %d, two joins: %d can have two disjoint "
              "majorities\n",
              static_cast<int>(KeyCount), static_cast<int>(OneJoin),
              static_cast<int>(TwoJoins));
}

} // namespace
} // namespace bilberry::routing
