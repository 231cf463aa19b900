// Tests of the overload simulation: twice the load that the slots can process,
// with a slow upstream and others gone. Goodput must stay high with the limits,
// the deadline queue and the retry budget, and must collapse without them.

#include "bilberry/standin/overload_study.h"

#include <gtest/gtest.h>

namespace bilberry::standin {
namespace {

StudyConfig overloadRule(uint32_t Slots, uint32_t ColdSlots) {
  StudyConfig Rule;
  Rule.Slots = Slots;
  Rule.ColdSlots = ColdSlots;
  Rule.SlowUpstreams = 1;
  Rule.RemovedUpstreams = 3;
  return Rule;
}

TEST(OverloadStudyTest, GoodputStaysHighWithinLimitsAndRetryBudget) {
  for (uint32_t Seed : {1U, 2U, 3U}) {
    for (StudyConfig Rule : {overloadRule(9, 2), overloadRule(2, 1)}) {
      Rule.Seed = Seed;
      StudyPolicy Policy = agentDefaultPolicy();
      StudyResult Result = runOverloadStudy(Rule, Policy);
      EXPECT_GT(Result.goodput(), 0.9);
      EXPECT_LE(Result.MaxConcurrentRequests, Rule.Slots);
      EXPECT_LT(Result.WastedRuns, Result.Runs / 20);
      uint64_t Upstreams = Rule.Upstreams - Rule.RemovedUpstreams;
      EXPECT_LE(Result.ForwardsAndRetries,
                Result.Offered + Upstreams * Policy.Retry.Burst);
      EXPECT_GT(Result.Refused, 0U);
      EXPECT_LT(Result.MedianLatency, Rule.Deadline * 3 / 4);
    }
  }
}

TEST(OverloadStudyTest, GoodputCollapsesWithoutLimitsOrDeadlines) {
  StudyConfig Rule = overloadRule(2, 1);
  Rule.WarmUp = std::chrono::seconds(3);
  Rule.Length = std::chrono::seconds(3);
  for (const StudyPolicy &Policy : {unboundedQueuePolicy(), unlimitedPolicy(),
                                    unlimitedPolicyWithRetries()}) {
    StudyResult Result = runOverloadStudy(Rule, Policy);
    EXPECT_GT(Result.Runs, 0U) << Policy.Name;
    EXPECT_LT(Result.goodput(), 0.1) << Policy.Name;
  }
}

TEST(OverloadStudyTest, SlowUpstreamCausesFewRefusalsWhileOthersHaveCapacity) {
  StudyConfig Rule;
  Rule.SlowUpstreams = 1;
  Rule.Load = 0.8;
  StudyResult Result = runOverloadStudy(Rule, agentDefaultPolicy());
  EXPECT_LT(Result.Refused + Result.Expired, Result.Offered / 200);
  StudyResult SmallBudgetResult =
      runOverloadStudy(Rule, smallRetryBudgetPolicy());
  EXPECT_GT(SmallBudgetResult.Refused, SmallBudgetResult.Offered / 20);
}

TEST(OverloadStudyTest, IsDeterministic) {
  StudyResult First =
      runOverloadStudy(overloadRule(2, 1), agentDefaultPolicy());
  StudyResult Second =
      runOverloadStudy(overloadRule(2, 1), agentDefaultPolicy());
  EXPECT_EQ(First.Answered, Second.Answered);
  EXPECT_EQ(First.ForwardsAndRetries, Second.ForwardsAndRetries);
}

} // namespace
} // namespace bilberry::standin
