#include "bilberry/routing/rendezvous.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <string>

namespace bilberry::routing {
namespace {

constexpr uint32_t MaxMembers = 6;
constexpr uint64_t KeysPerSet = 200;
constexpr uint64_t KeysForDistribution = 20000;

members::HashedMember rankedMember(uint32_t Index) {
  members::HashedMember Ranked;
  Ranked.Value.Name = base::MemberName("agent-" + std::to_string(Index));
  Ranked.NameHash = memberHash(Ranked.Value.Name);
  return Ranked;
}

std::vector<members::HashedMember> memberSet(uint32_t Bits) {
  std::vector<members::HashedMember> Members;
  for (uint32_t Index = 0; Index < MaxMembers; ++Index) {
    if ((Bits >> Index) & 1) {
      Members.push_back(rankedMember(Index));
    }
  }
  return Members;
}

base::FlowKey keyOf(uint64_t Connection) {
  return flowKey(base::ServiceName("rounds"), {0x7F000001, 4000}, Connection);
}

// Reference implementation: sorts all members by score.
std::vector<std::string>
sortedNames(const std::vector<members::HashedMember> &Members,
            const base::FlowKey &Key) {
  std::multimap<uint64_t, std::string, std::greater<>> Sorted;
  for (const members::HashedMember &Member : Members) {
    Sorted.emplace(rendezvousScore(memberHash(Member.Value.Name), Key),
                   Member.Value.Name.text());
  }
  std::vector<std::string> Names;
  Names.reserve(Sorted.size());
  for (const auto &[Score, Name] : Sorted) {
    Names.push_back(Name);
  }
  return Names;
}

std::vector<std::string>
namesOf(const std::vector<const members::HashedMember *> &Members) {
  std::vector<std::string> Names;
  Names.reserve(Members.size());
  for (const members::HashedMember *Member : Members) {
    Names.push_back(Member->Value.Name.text());
  }
  return Names;
}

TEST(Rendezvous, AgreesWithSortOverAllSmallMemberSets) {
  for (uint32_t Bits = 0; Bits < (1U << MaxMembers); ++Bits) {
    std::vector<members::HashedMember> Members = memberSet(Bits);
    std::vector<members::HashedMember> Reversed(Members.rbegin(),
                                                Members.rend());
    for (uint64_t Connection = 0; Connection < KeysPerSet; ++Connection) {
      base::FlowKey Key = keyOf(Connection);
      std::vector<std::string> Expected = sortedNames(Members, Key);
      ASSERT_EQ(namesOf(topRanked(Members, Key, MaxMembers)), Expected);
      ASSERT_EQ(namesOf(topRanked(Reversed, Key, MaxMembers)), Expected);
      size_t Two = std::min<size_t>(2, Expected.size());
      std::vector<std::string> FirstTwo(Expected.begin(),
                                        Expected.begin() + Two);
      ASSERT_EQ(namesOf(topRanked(Members, Key, 2)), FirstTwo);
      const members::HashedMember *First = firstRanked(Reversed, Key);
      ASSERT_EQ(First == nullptr, Expected.empty());
      if (First != nullptr) {
        ASSERT_EQ(First->Value.Name.text(), Expected.front());
      }
    }
  }
}

TEST(Rendezvous, JoinAndLeaveMoveOnlyTheMembersOwnKeys) {
  for (uint32_t Bits = 1; Bits < (1U << MaxMembers); ++Bits) {
    std::vector<members::HashedMember> All = memberSet(Bits);
    for (uint32_t Removed = 0; Removed < MaxMembers; ++Removed) {
      if (((Bits >> Removed) & 1) == 0) {
        continue;
      }
      std::vector<members::HashedMember> Rest =
          memberSet(Bits & ~(1U << Removed));
      std::string RemovedName = "agent-" + std::to_string(Removed);
      for (uint64_t Connection = 0; Connection < KeysPerSet; ++Connection) {
        base::FlowKey Key = keyOf(Connection);
        std::vector<std::string> Before =
            namesOf(topRanked(All, Key, MaxMembers));
        std::erase(Before, RemovedName);
        ASSERT_EQ(namesOf(topRanked(Rest, Key, MaxMembers)), Before);
      }
    }
  }
}

TEST(Rendezvous, SharesKeysEvenly) {
  std::vector<members::HashedMember> Members =
      memberSet((1U << MaxMembers) - 1);
  std::map<std::string, uint64_t> Shares;
  for (uint64_t Connection = 0; Connection < KeysForDistribution;
       ++Connection) {
    ++Shares[firstRanked(Members, keyOf(Connection))->Value.Name.text()];
  }
  ASSERT_EQ(Shares.size(), MaxMembers);
  uint64_t ExpectedShare = KeysForDistribution / MaxMembers;
  for (const auto &[Name, Share] : Shares) {
    EXPECT_GT(Share, ExpectedShare * 9 / 10) << Name;
    EXPECT_LT(Share, ExpectedShare * 11 / 10) << Name;
  }
}

TEST(Rendezvous, KeysDependOnEveryPart) {
  base::ServiceName Rounds("rounds");
  base::Address Caller{0x7F000001, 4000};
  std::set<base::FlowKey> Keys = {
      flowKey(Rounds, Caller, 1),
      flowKey(Rounds, Caller, 2),
      flowKey(base::ServiceName("photos"), Caller, 1),
      flowKey(Rounds, {0x7F000002, 4000}, 1),
      flowKey(Rounds, {0x7F000001, 4001}, 1),
      requestKey({1, 2}),
      requestKey({2, 1}),
      shardKey(Rounds, 1),
      shardKey(Rounds, 2),
      shardKey(base::ServiceName("photos"), 1),
  };
  EXPECT_EQ(Keys.size(), 10U);
}

} // namespace
} // namespace bilberry::routing
