// The fabric's choice of a balancer.

#include "bilberry/standin/fabric_sprayer.h"

#include <gtest/gtest.h>
#include <map>

namespace bilberry::standin {
namespace {

const base::Address First = {1, 1};
const base::Address Second = {1, 2};
const base::Address Third = {1, 3};

std::map<base::Address, int> spray(FabricSprayer &Sprayer, int Packets) {
  std::map<base::Address, int> Counts;
  for (; Packets > 0; --Packets) {
    ++Counts[Sprayer.next().value()];
  }
  return Counts;
}

TEST(FabricSprayerTest, EachLiveBalancerGetsItsShareAndOthersNothing) {
  FabricSprayer Sprayer({First, Second, Third}, 7);
  for (const auto &[Balancer, Count] : spray(Sprayer, 3000)) {
    EXPECT_NEAR(Count, 1000, 150);
  }
  Sprayer.cut(Second);
  EXPECT_FALSE(spray(Sprayer, 1000).contains(Second));
  Sprayer.setBalancers({Second, Third});
  EXPECT_EQ(spray(Sprayer, 100).at(Third), 100);
  Sprayer.restore(Second);
  EXPECT_TRUE(spray(Sprayer, 100).contains(Second));
  Sprayer.setBalancers({});
  EXPECT_FALSE(Sprayer.next());
}

} // namespace
} // namespace bilberry::standin
