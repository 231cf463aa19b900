// Prints the results of the overload study as tables: the effect of the
// concurrency limits, the queue and the retry budget at twice the capacity with
// slow and failed upstreams, and the effect of the retry budget's size at
// ordinary load. Time is simulated and the seed fixed, so that every run prints
// the same figures.

#include "bilberry/standin/overload_study.h"

#include <cstdio>
#include <string>

using namespace bilberry;
using namespace bilberry::standin;

static double percent(double Part, double Whole) {
  return Whole == 0 ? 0 : 100 * Part / Whole;
}

static void printHeader() {
  std::printf("%-34s %8s %8s %8s %8s %8s %8s %6s %7s\n", "policy", "goodput",
              "answered", "refused", "expired", "passed", "wasted", "peak",
              "median");
}

// Prints goodput in percent of the answers that were possible, and the other
// request counts in percent of the requests offered.
static void printRow(std::string_view Name, const StudyResult &Result) {
  auto Offered = static_cast<double>(Result.Offered);
  auto Share = [&](uint64_t Part) {
    return percent(static_cast<double>(Part), Offered);
  };
  auto Median = std::chrono::duration<double, std::milli>(Result.MedianLatency);
  std::printf("%-34.*s %7.1f%% %7.1f%% %7.1f%% %7.1f%% %7.1f%% %7.1f%% %6llu "
              "%4.0f ms\n",
              static_cast<int>(Name.size()), Name.data(),
              100 * Result.goodput(), Share(Result.Answered),
              Share(Result.Refused), Share(Result.Expired),
              Share(Result.ForwardsAndRetries), Share(Result.WastedRuns),
              static_cast<unsigned long long>(Result.MaxConcurrentRequests),
              Median.count());
}

static void printOverload(uint32_t Slots, uint32_t ColdSlots) {
  StudyConfig Rule;
  Rule.Slots = Slots;
  Rule.ColdSlots = ColdSlots;
  Rule.SlowUpstreams = 1;
  Rule.RemovedUpstreams = 3;
  std::printf("\n9 upstreams of %u slots, 1 slow, 3 down, load %.1f\n", Slots,
              Rule.Load);
  printHeader();
  for (const StudyPolicy &Policy :
       {agentDefaultPolicy(), smallRetryBudgetPolicy(),
        unlimitedForwardingPolicy(), unboundedQueuePolicy(), unlimitedPolicy(),
        unlimitedPolicyWithRetries()}) {
    printRow(Policy.Name, runOverloadStudy(Rule, Policy));
  }
}

static void printBudgets(uint32_t Slots, uint32_t ColdSlots,
                         uint32_t SlowUpstreamCount, double Load) {
  StudyConfig Rule;
  Rule.Slots = Slots;
  Rule.ColdSlots = ColdSlots;
  Rule.SlowUpstreams = SlowUpstreamCount;
  Rule.Load = Load;
  std::printf("\n9 upstreams of %u slots, %u slow, load %.1f, by new "
              "requests per retry token\n",
              Slots, SlowUpstreamCount, Load);
  printHeader();
  for (uint32_t NewRequestsPerToken : {20U, 10U, 5U, 2U, 1U}) {
    StudyPolicy Policy = agentDefaultPolicy();
    Policy.Retry.NewWorkPerToken = NewRequestsPerToken;
    std::string Name = "1 in " + std::to_string(NewRequestsPerToken);
    printRow(Name, runOverloadStudy(Rule, Policy));
  }
}

int main() {
  printOverload(9, 2);
  printOverload(2, 1);
  for (double Load : {0.5, 0.8}) {
    for (uint32_t SlowUpstreamCount : {0U, 1U}) {
      printBudgets(2, 1, SlowUpstreamCount, Load);
      printBudgets(9, 2, SlowUpstreamCount, Load);
    }
  }
  return 0;
}
