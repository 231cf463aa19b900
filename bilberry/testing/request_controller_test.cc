// Whole controllers: the plain path, each fault by name, and random schedules.

#include "bilberry/testing/request_cluster.h"

#include <gtest/gtest.h>

namespace bilberry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Long enough for every shard to be claimed and backed up.
constexpr base::Duration Settling = seconds(3);

bool isAnswer(const wire::RequestOutcome *Outcome) {
  return Outcome != nullptr && std::holds_alternative<wire::Answer>(*Outcome);
}

TEST(RequestController, EveryShardIsClaimedAndBackedUp) {
  RequestCluster Cluster(3, 1);
  Cluster.advance(Settling);
  for (uint32_t Shard = 0; Shard < requests::ShardsPerService; ++Shard) {
    EXPECT_LT(Cluster.ownerOf(Shard), 3U);
    EXPECT_LT(Cluster.backupOf(Shard), 3U);
    EXPECT_NE(Cluster.ownerOf(Shard), Cluster.backupOf(Shard));
    EXPECT_EQ(Cluster.epochOf(Shard), 1U);
  }
}

TEST(RequestController, RunsOnceWhicheverAgentsGetCopies) {
  RequestCluster Cluster(3, 2);
  Cluster.advance(Settling);
  base::TimePoint Deadline = Cluster.now() + seconds(5);
  for (uint32_t Shard = 0; Shard < requests::ShardsPerService; ++Shard) {
    for (size_t Node = 0; Node < 3; ++Node) {
      Cluster.send(Node, idIn(Shard, 1), 1, Deadline);
    }
    Cluster.advance(milliseconds(50));
  }
  Cluster.advance(seconds(1));
  for (uint32_t Shard = 0; Shard < requests::ShardsPerService; ++Shard) {
    EXPECT_EQ(Cluster.runs(idIn(Shard, 1)), 1);
    EXPECT_TRUE(isAnswer(Cluster.told(idIn(Shard, 1), 1)));
  }
  EXPECT_EQ(Cluster.violations(), "");
}

} // namespace
} // namespace bilberry::testing
