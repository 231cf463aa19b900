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

/// One random fault, or the mending of one.
void disturb(RequestCluster &Cluster, std::mt19937 &Random, size_t Count) {
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
    Cluster.LostSwapAnswers = static_cast<int>(Random() % 8);
    return;
  case 11:
    Cluster.setState(Node, Random() % 2 == 0 ? members::MemberState::Draining
                                             : members::MemberState::InService);
    return;
  case 12:
    Cluster.cut(Random() % 2 == 0 ? std::set<size_t>{}
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

/// Sends copies of one request to several nodes, and a higher attempt of one
/// that was told "not run". The copies of one attempt have one deadline.
void sendCopies(RequestCluster &Cluster, std::mt19937 &Random, size_t Count,
                std::vector<OpenRequest> &Open) {
  if (Open.empty() || Random() % 3 == 0) {
    uint32_t Shard = static_cast<uint32_t>(Random() % 4);
    Open.push_back(
        {idIn(Shard, Open.size() + 1), 1, Cluster.now() + seconds(2)});
  }
  auto &[Id, Attempt, Deadline] =
      Open[Open.size() - 1 - Random() % std::min<size_t>(Open.size(), 8)];
  if (Cluster.wasToldNotRun(Id, Attempt)) {
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

TEST(RequestController, KeepsItsPromisesUnderRandomFaults) {
  size_t Answered = 0;
  for (unsigned Seed = 1; Seed <= 150; ++Seed) {
    std::mt19937 Random(Seed);
    size_t Count = 2 + Seed % 3;
    RequestCluster Cluster(Count, Seed, {5, 5, 10, milliseconds(40)});
    std::vector<OpenRequest> Open;
    Cluster.advance(Settling);
    for (int Step = 0; Step < 300; ++Step) {
      sendCopies(Cluster, Random, Count, Open);
      if (Random() % 8 == 0) {
        disturb(Cluster, Random, Count);
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
