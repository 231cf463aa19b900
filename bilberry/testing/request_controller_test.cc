// Tests complete controllers without faults and under random sequences of
// faults.

#include "bilberry/testing/request_cluster.h"

#include <gtest/gtest.h>

namespace bilberry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Enough time for every shard to be claimed and backed up.
constexpr base::Duration SettlingTime = seconds(3);

bool isAnswer(const wire::RequestOutcome *Outcome) {
  return Outcome != nullptr && std::holds_alternative<wire::Answer>(*Outcome);
}

TEST(RequestController, EveryShardIsClaimedAndBackedUp) {
  RequestCluster Cluster(3, 1);
  Cluster.advance(SettlingTime);
  for (uint32_t Shard = 0; Shard < requests::ShardsPerService; ++Shard) {
    EXPECT_LT(Cluster.ownerOf(Shard), 3U);
    EXPECT_LT(Cluster.backupOf(Shard), 3U);
    EXPECT_NE(Cluster.ownerOf(Shard), Cluster.backupOf(Shard));
    EXPECT_EQ(Cluster.epochOf(Shard), 1U);
  }
}

TEST(RequestController, RunsOnceWhicheverAgentsGetCopies) {
  RequestCluster Cluster(3, 2);
  Cluster.advance(SettlingTime);
  base::TimePoint Deadline = Cluster.now() + seconds(5);
  for (uint32_t Shard = 0; Shard < requests::ShardsPerService; ++Shard) {
    for (size_t Node = 0; Node < 3; ++Node) {
      Cluster.send(Node, requestIdInShard(Shard, 1), 1, Deadline);
    }
    Cluster.advance(milliseconds(50));
  }
  Cluster.advance(seconds(1));
  for (uint32_t Shard = 0; Shard < requests::ShardsPerService; ++Shard) {
    EXPECT_EQ(Cluster.runCount(requestIdInShard(Shard, 1)), 1);
    EXPECT_TRUE(isAnswer(Cluster.firstOutcome(requestIdInShard(Shard, 1), 1)));
  }
  EXPECT_EQ(Cluster.violations(), "");
}

/// Injects one random fault, or repairs one.
void injectRandomFault(RequestCluster &Cluster, std::mt19937 &Random,
                       size_t Count) {
  size_t Node = Random() % Count;
  size_t Other = Random() % Count;
  switch (Random() % 14) {
  case 0:
    Cluster.kill(Node);
    return;
  case 1:
  case 2:
    if (!Cluster.isUp(Node)) {
      Cluster.start(Node);
    }
    return;
  case 3:
    Cluster.pause(Node);
    return;
  case 4:
  case 5:
    Cluster.resume(Node);
    return;
  case 6:
    Cluster.setSilent(Node, Other, true);
    return;
  case 7:
  case 8:
    Cluster.setSilent(Node, Other, false);
    return;
  case 9:
    Cluster.IsStoreDown = !Cluster.IsStoreDown;
    return;
  case 10:
    Cluster.LostSwapReplies = static_cast<int>(Random() % 8);
    return;
  case 11:
    Cluster.setState(Node, Random() % 2 == 0 ? members::MemberState::Draining
                                             : members::MemberState::InService);
    return;
  case 12:
    Cluster.isolate(Random() % 2 == 0 ? std::set<size_t>{}
                                      : std::set<size_t>{Node, Other});
    return;
  default:
    if (Cluster.isUp(Node)) {
      std::string State = Cluster.controller(Node).snapshot();
      Cluster.start(Node, State);
    }
    return;
  }
}

struct OpenRequest {
  base::RequestId Id;
  uint32_t Attempt = 1;
  base::TimePoint Deadline;
};

/// Sends copies of one request to several nodes, with a higher attempt if the
/// last one was reported as "not run". All copies of one attempt have the same
/// deadline.
void sendCopies(RequestCluster &Cluster, std::mt19937 &Random, size_t Count,
                std::vector<OpenRequest> &Open) {
  if (Open.empty() || Random() % 3 == 0) {
    uint32_t Shard = static_cast<uint32_t>(Random() % 4);
    Open.push_back({requestIdInShard(Shard, Open.size() + 1), 1,
                    Cluster.now() + seconds(2)});
  }
  auto &[Id, Attempt, Deadline] =
      Open[Open.size() - 1 - Random() % std::min<size_t>(Open.size(), 8)];
  if (Cluster.wasReportedNotRun(Id, Attempt)) {
    ++Attempt;
    Deadline = Cluster.now() + seconds(2);
  }
  for (unsigned Copies = 1 + Random() % 3; Copies > 0; --Copies) {
    Cluster.send(Random() % Count, Id, Attempt, Deadline);
  }
  if (Random() % 16 == 0) {
    Cluster.cancel(Random() % Count, Id, Attempt);
  }
}

TEST(RequestController, KeepsGuaranteesUnderRandomFaults) {
  size_t Answered = 0;
  for (unsigned Seed = 1; Seed <= 150; ++Seed) {
    std::mt19937 Random(Seed);
    size_t Count = 2 + Seed % 3;
    RequestCluster Cluster(Count, Seed, {5, 5, 10, milliseconds(40)});
    std::vector<OpenRequest> Open;
    Cluster.advance(SettlingTime);
    for (int Step = 0; Step < 300; ++Step) {
      sendCopies(Cluster, Random, Count, Open);
      if (Random() % 8 == 0) {
        injectRandomFault(Cluster, Random, Count);
      }
      Cluster.advance(milliseconds(10) * (1 + Random() % 20));
    }
    ASSERT_EQ(Cluster.violations(), "") << "seed " << Seed;
    Answered += Cluster.totals().Answered;
  }
  EXPECT_GT(Answered, 1000U);
}

} // namespace
} // namespace bilberry::testing
