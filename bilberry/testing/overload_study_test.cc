// Twice the work that the slots can do, with an upstream slow and others gone:
// what the limits, the queue and the budget promise, and that it takes them.

#include "bilberry/standin/overload_study.h"

#include <gtest/gtest.h>

namespace bilberry::standin {
namespace {

StudyRule overload(uint32_t Slots, uint32_t ColdSlots) {
  StudyRule Rule;
  Rule.Slots = Slots;
  Rule.ColdSlots = ColdSlots;
  Rule.SlowUpstreams = 1;
  Rule.GoneUpstreams = 3;
  return Rule;
}

TEST(OverloadStudyTest, RemainingSlotsAreUsedWithinTheLimitsAndTheBudget) {
  for (uint32_t Seed : {1U, 2U, 3U}) {
    for (StudyRule Rule : {overload(9, 2), overload(2, 1)}) {
      Rule.Seed = Seed;
      StudyPolicy Policy = protectedPolicy();
      StudyResult Result = runOverloadStudy(Rule, Policy);
      EXPECT_GT(Result.goodput(), 0.9);
      EXPECT_LE(Result.MostAtOnce, Rule.Slots);
      EXPECT_LT(Result.WastedRuns, Result.Runs / 20);
      uint64_t Upstreams = Rule.Upstreams - Rule.GoneUpstreams;
      EXPECT_LE(Result.PassedOn,
                Result.Offered + Upstreams * Policy.Retry.Burst);
      EXPECT_GT(Result.Refused, 0U);
      EXPECT_LT(Result.MedianLatency, Rule.Deadline * 3 / 4);
    }
  }
}

TEST(OverloadStudyTest, WithoutLimitsOrDeadlinesNothingIsAnsweredInTime) {
  StudyRule Rule = overload(2, 1);
  Rule.WarmUp = std::chrono::seconds(3);
  Rule.Length = std::chrono::seconds(3);
  for (const StudyPolicy &Policy :
       {plainQueuePolicy(), unlimitedPolicy(), unlimitedRetryPolicy()}) {
    StudyResult Result = runOverloadStudy(Rule, Policy);
    EXPECT_GT(Result.Runs, 0U) << Policy.Name;
    EXPECT_LT(Result.goodput(), 0.1) << Policy.Name;
  }
}

TEST(OverloadStudyTest, OneSlowUpstreamCostsNothingWhileOthersHaveRoom) {
  StudyRule Rule;
  Rule.SlowUpstreams = 1;
  Rule.Load = 0.8;
  StudyResult Result = runOverloadStudy(Rule, protectedPolicy());
  EXPECT_LT(Result.Refused + Result.Expired, Result.Offered / 200);
  StudyResult Small = runOverloadStudy(Rule, smallBudgetPolicy());
  EXPECT_GT(Small.Refused, Small.Offered / 20);
}

TEST(OverloadStudyTest, IsTheSameInEveryRun) {
  StudyResult First = runOverloadStudy(overload(2, 1), protectedPolicy());
  StudyResult Second = runOverloadStudy(overload(2, 1), protectedPolicy());
  EXPECT_EQ(First.Answered, Second.Answered);
  EXPECT_EQ(First.PassedOn, Second.PassedOn);
}

} // namespace
} // namespace bilberry::standin
