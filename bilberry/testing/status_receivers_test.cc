// Tests of the choice of balancers that get an agent's status.

#include "bilberry/agent/status_receivers.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace bilberry::agent {
namespace {

using std::chrono::seconds;

const base::TimePoint Start{seconds(100)};

base::Address addressOf(uint32_t Index) { return {0x0A010000 + Index, 7000}; }

// Balancer I is in data centre I modulo 3.
void recordAll(StatusReceivers &Receivers, base::TimePoint Now, uint32_t Count,
               uint32_t Except = UINT32_MAX) {
  for (uint32_t I = 0; I < Count; ++I) {
    if (I == Except) {
      continue;
    }
    Receivers.record(Now, addressOf(I),
                     {base::MemberName("balancer-" + std::to_string(I)),
                      1,
                      {},
                      base::DataCentreName("dc-" + std::to_string(I % 3)),
                      false});
  }
}

TEST(StatusReceivers, RelaysAreInOtherDataCentres) {
  struct Case {
    uint32_t Balancers;
    size_t Near;
    size_t Relays;
  };
  for (const Case &Item : {Case{0, 0, 0}, Case{1, 1, 0}, Case{3, 1, 2},
                           Case{6, 2, 4}, Case{90, 30, 4}}) {
    StatusReceivers Receivers(base::MemberName("agent"),
                              base::DataCentreName("dc-0"));
    recordAll(Receivers, Start, Item.Balancers);
    EXPECT_EQ(Receivers.nearBalancers(Start).size(), Item.Near);
    EXPECT_EQ(Receivers.balancersIn(Receivers.local()).size(), Item.Near);
    std::vector<base::Address> Relays = Receivers.relays(Start);
    EXPECT_EQ(Relays.size(), Item.Relays) << Item.Balancers;
    for (const base::Address &Relay : Relays) {
      EXPECT_NE(Receivers.dataCentreOf(Relay.Ip), Receivers.local());
    }
  }
}

TEST(StatusReceivers, SilentRelayIsReplaced) {
  StatusReceivers Receivers(base::MemberName("agent"),
                            base::DataCentreName("dc-0"));
  recordAll(Receivers, Start, 30);
  base::Address First = Receivers.relays(Start).front();
  base::TimePoint Later = Start + RelayExpiry + seconds(1);
  recordAll(Receivers, Later, 30, First.Ip - addressOf(0).Ip);
  std::vector<base::Address> Relays = Receivers.relays(Later);
  EXPECT_EQ(Relays.size(), 4U);
  EXPECT_EQ(std::ranges::count(Relays, First), 0);
}

// The work of passing statuses on is spread over the balancers.
TEST(StatusReceivers, AgentsChooseDifferentRelays) {
  constexpr int Agents = 60;
  std::map<base::Address, int> Load;
  for (int I = 0; I < Agents; ++I) {
    StatusReceivers Receivers(base::MemberName("agent-" + std::to_string(I)),
                              base::DataCentreName("dc-0"));
    recordAll(Receivers, Start, 30);
    for (const base::Address &Relay : Receivers.relays(Start)) {
      ++Load[Relay];
    }
  }
  EXPECT_EQ(Load.size(), 20U);
  for (const auto &[Relay, Count] : Load) {
    EXPECT_LE(Count, 3 * 2 * Agents / 10);
  }
}

// A balancer of an older version names no data centre and gets every status.
TEST(StatusReceivers, UnnamedDataCentreCountsAsLocal) {
  StatusReceivers Receivers(base::MemberName("agent"),
                            base::DataCentreName("dc-0"));
  EXPECT_TRUE(Receivers.record(Start, addressOf(1),
                               {base::MemberName("old"), 1, {}, {}, false}));
  EXPECT_EQ(Receivers.nearBalancers(Start).size(), 1U);
  EXPECT_FALSE(Receivers.record(Start, addressOf(1),
                                {base::MemberName("old"), 1, {}, {}, false}));
  Receivers.expire(Start + BalancerExpiry + seconds(1));
  EXPECT_TRUE(Receivers.balancersIn(Receivers.local()).empty());
}

} // namespace
} // namespace bilberry::agent
