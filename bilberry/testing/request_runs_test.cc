// Tests how an agent handles requests that other owners pass to it.

#include "bilberry/requests/shard_replica.h"
#include "bilberry/requests/upstream_runs.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace bilberry::requests {
namespace {

using std::chrono::seconds;

const base::TimePoint Start{std::chrono::hours(24)};
const ShardHolder Owner{base::MemberName("rounds-1"), 1};

wire::RunRequest request(uint64_t Number, uint32_t Attempt) {
  return {{0, Number},        Attempt, base::ClassName("check-off"),
          Start + seconds(5), "pot",   1};
}

template <typename Kind> long countOf(const board::AgentActions &Actions) {
  return std::count_if(Actions.begin(), Actions.end(), [](const auto &Each) {
    return std::holds_alternative<Kind>(Each);
  });
}

class UpstreamRunsTest : public testing::Test {
protected:
  UpstreamRunsTest() { this->Limits.setCapacity({1, 1, 1, 1, 10, seconds(1)}); }

  /// Offers a request and returns how many times it was started.
  long offerAndCountStarts(const wire::RunRequest &Message,
                           base::TimePoint Now = Start) {
    this->Out.clear();
    this->Runs.onRunRequest(Now, Owner, Message, true, this->Out);
    return countOf<board::RunOnUpstream>(this->Out);
  }
  void finish(uint64_t Number, uint32_t Attempt) {
    wire::RunResult Result{{0, Number},
                           Attempt,
                           wire::RunOutcome::Answered,
                           wire::RefusalReason::Overloaded,
                           "done"};
    std::optional<UpstreamRun> Run = this->Runs.finish(Start, Result);
    ASSERT_TRUE(Run);
    this->Runs.sendResultToOwner(*Run, Result, this->Out);
  }

  admission::UpstreamLimits Limits;
  UpstreamRuns Runs{Limits};
  board::AgentActions Out;
};

TEST_F(UpstreamRunsTest, RunsADuplicateOnceAndResendsItsResult) {
  EXPECT_EQ(this->offerAndCountStarts(request(1, 1)), 1);
  EXPECT_EQ(this->offerAndCountStarts(request(1, 1)), 0);
  this->finish(1, 1);
  EXPECT_EQ(this->offerAndCountStarts(request(1, 1)), 0);
  EXPECT_EQ(countOf<board::SendToPeer>(this->Out), 1);
  EXPECT_EQ(this->offerAndCountStarts(request(1, 2)), 0);
}

TEST_F(UpstreamRunsTest, NeverRunsARefusedRequestOnceASlotIsFree) {
  EXPECT_EQ(this->offerAndCountStarts(request(1, 1)), 1);
  EXPECT_EQ(this->offerAndCountStarts(request(2, 1)), 0); // No free slot.
  EXPECT_EQ(countOf<board::SendToPeer>(this->Out), 1);
  this->finish(1, 1);
  EXPECT_EQ(this->offerAndCountStarts(request(2, 1)), 0);
  EXPECT_EQ(countOf<board::SendToPeer>(this->Out), 1);
  EXPECT_EQ(this->offerAndCountStarts(request(2, 2)), 1);
}

TEST_F(UpstreamRunsTest, RefusesRequestsAtTheirDeadline) {
  EXPECT_EQ(this->offerAndCountStarts(request(1, 1), Start + seconds(5)), 0);
  EXPECT_EQ(countOf<board::SendToPeer>(this->Out), 1);
}

/// The replica is sealed for the next run while a swap is pending, and the swap
/// takes effect afterwards.
TEST(RetiredReplica, DecidesNothingInAnEpochOpenedByALateSwap) {
  const ShardHolder Self{base::MemberName("rounds-0"), 1};
  const ReplicaContext Context{Start, Self, Start};
  ReplicaEffects Effects;
  ShardReplica Replica(0);
  Replica.onRecord(Context, {0, {Self, {}, 1}, 1}, Effects);
  Replica.sealAllEpochs();
  Replica.onRecord(Context, {0, {Self, Owner, 2}, 2}, Effects);
  Replica.onShardCopyReply(Context, Owner, {0, 2, true}, Effects);
  wire::IntentEntry Entry{
      {0, 7}, 1, wire::RequestDecision::Run, Start + seconds(5)};
  Replica.propose(Context, Entry, Effects);
  Replica.onIntentReply(Context, Owner,
                        {0, 2, Entry.Id, 1, true, wire::RequestDecision::Run},
                        Effects);
  EXPECT_FALSE(Replica.canDecide(Context));
  EXPECT_TRUE(Effects.Committed.empty());
}

} // namespace
} // namespace bilberry::requests
