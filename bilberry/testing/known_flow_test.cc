// Tests of the decision on a packet of a known flow.

#include "bilberry/routing/known_flow.h"

#include <gtest/gtest.h>

namespace bilberry::routing {
namespace {

using std::chrono::milliseconds;

struct ForwardCase {
  const char *Name;
  bool IsConfirmed;
  milliseconds SincePlacement;
  milliseconds StatusAge;
  bool IsHolderAsked;
  bool IsGone;
  bool MayStillServe;
  ForwardDecision Expected;
  bool IsFromSearch = false;
};

class ForwardDecisionTest : public ::testing::TestWithParam<ForwardCase> {};

// Guards against resets that rest on a placement alone.
TEST_P(ForwardDecisionTest, FollowsTheAgentsWord) {
  const ForwardCase &Case = GetParam();
  base::TimePoint Now = base::TimePoint() + std::chrono::hours(1);
  members::AgentView Holder;
  Holder.Status.Run = 1;
  Holder.LastStatusAt = Now - Case.StatusAge;
  Holder.IsGone = Case.IsGone;
  KnownFlow Flow;
  Flow.IsConfirmed = Case.IsConfirmed;
  Flow.IsHolderAsked = Case.IsHolderAsked;
  Flow.IsFromSearch = Case.IsFromSearch;
  Flow.PlacedAt = Now - Case.SincePlacement;
  Flow.ReportDueAt = Now - Case.SincePlacement + HolderReportTimeout;
  EXPECT_EQ(decideForward(Now, Flow, Holder, Case.MayStillServe),
            Case.Expected);
}

INSTANTIATE_TEST_SUITE_P(
    KnownFlow, ForwardDecisionTest,
    ::testing::Values(
        ForwardCase{"JustPlaced", false, milliseconds(3), milliseconds(100),
                    false, false, false, ForwardDecision::Send},
        ForwardCase{"ReportIsOverdue", false, milliseconds(1500),
                    milliseconds(100), false, false, false,
                    ForwardDecision::SendAndAsk},
        ForwardCase{"ReplyIsOverdue", false, milliseconds(1700),
                    milliseconds(100), true, false, false,
                    ForwardDecision::SendAndSearch},
        ForwardCase{"AssumedHolderIsSilent", false, milliseconds(3),
                    milliseconds(1200), false, false, false,
                    ForwardDecision::SendAndSearch},
        ForwardCase{"FoundBeforeItsStatus", false, milliseconds(300),
                    milliseconds(3000), false, false, false,
                    ForwardDecision::Send, true},
        ForwardCase{"FoundAndProbedForLong", false, milliseconds(1700),
                    milliseconds(100), false, false, false,
                    ForwardDecision::Send, true},
        ForwardCase{"FoundAndSilentSince", false, milliseconds(1200),
                    milliseconds(3000), false, false, false,
                    ForwardDecision::SendAndSearch, true},
        ForwardCase{"AssumedHolderIsGone", false, milliseconds(3),
                    milliseconds(5100), false, true, false,
                    ForwardDecision::Search},
        ForwardCase{"AssumedHolderIsOutOfReach", false, milliseconds(3),
                    milliseconds(5100), false, true, true,
                    ForwardDecision::SendAndSearch},
        ForwardCase{"Confirmed", true, milliseconds(9000), milliseconds(100),
                    false, false, false, ForwardDecision::Send},
        ForwardCase{"HolderIsSilent", true, milliseconds(9000),
                    milliseconds(1200), false, false, false,
                    ForwardDecision::Send},
        ForwardCase{"HolderIsGone", true, milliseconds(9000),
                    milliseconds(5100), false, true, false,
                    ForwardDecision::Reset},
        ForwardCase{"HolderIsOutOfReach", true, milliseconds(9000),
                    milliseconds(5100), false, true, true,
                    ForwardDecision::Send}),
    [](const auto &Info) { return std::string(Info.param.Name); });

} // namespace
} // namespace bilberry::routing
