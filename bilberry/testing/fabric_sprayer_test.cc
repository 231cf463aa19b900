// Tests how the simulated fabric selects a balancer for each packet.

#include "bilberry/standin/fabric_sprayer.h"

#include <gtest/gtest.h>
#include <map>

namespace bilberry::standin {
namespace {

const base::Address FirstBalancer = {1, 1};
const base::Address SecondBalancer = {1, 2};
const base::Address ThirdBalancer = {1, 3};

std::map<base::Address, int> countPacketsByBalancer(FabricSprayer &Sprayer,
                                                    int Packets) {
  std::map<base::Address, int> Counts;
  for (; Packets > 0; --Packets) {
    ++Counts[Sprayer.next().value()];
  }
  return Counts;
}

TEST(FabricSprayerTest, SpreadsPacketsEvenlyOverLiveBalancers) {
  FabricSprayer Sprayer({FirstBalancer, SecondBalancer, ThirdBalancer}, 7);
  for (const auto &[Balancer, Count] : countPacketsByBalancer(Sprayer, 3000)) {
    EXPECT_NEAR(Count, 1000, 150);
  }
  Sprayer.disableBalancer(SecondBalancer);
  EXPECT_FALSE(countPacketsByBalancer(Sprayer, 1000).contains(SecondBalancer));
  Sprayer.setBalancers({SecondBalancer, ThirdBalancer});
  EXPECT_EQ(countPacketsByBalancer(Sprayer, 100).at(ThirdBalancer), 100);
  Sprayer.enableBalancer(SecondBalancer);
  EXPECT_TRUE(countPacketsByBalancer(Sprayer, 100).contains(SecondBalancer));
  Sprayer.setBalancers({});
  EXPECT_FALSE(Sprayer.next());
}

} // namespace
} // namespace bilberry::standin
