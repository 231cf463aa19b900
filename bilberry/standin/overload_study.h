// What comes of work that is more than the upstreams can do: a fleet of
// upstreams and their agents in simulated time, deterministic for a seed. The
// agents use the limits, the queue and the retry budget as they are; other
// policies in their place show what these are worth.
//
// An upstream of this study sheds nothing: it shares its slots among all that
// it was given, so that each piece of work takes longer the more there is.
// This is how a service without limits falls over.

#ifndef BILBERRY_STANDIN_OVERLOAD_STUDY_H
#define BILBERRY_STANDIN_OVERLOAD_STUDY_H

#include "bilberry/admission/retry_budget.h"
#include "bilberry/base/clock.h"

#include <cstdint>
#include <string_view>

namespace bilberry::standin {

/// The fleet and the load.
struct StudyRule {
  uint32_t Upstreams = 9;
  /// These work SlowFactor times slower.
  uint32_t SlowUpstreams = 0;
  uint32_t SlowFactor = 6;
  /// These are gone, and everyone knows.
  uint32_t GoneUpstreams = 0;
  uint32_t Slots = 9;
  uint32_t ColdSlots = 2;
  /// Work offered, in shares of what all upstreams could do in good health.
  double Load = 2.0;
  base::Duration ServiceTime = std::chrono::milliseconds(50);
  base::Duration LatencyBound = std::chrono::milliseconds(250);
  /// Within this an answer is of use.
  base::Duration Deadline = std::chrono::milliseconds(500);
  base::Duration WarmUp = std::chrono::seconds(5);
  /// What is counted, after the warm-up.
  base::Duration Length = std::chrono::seconds(10);
  uint32_t Seed = 1;
};

/// What the agents and callers do.
struct StudyPolicy {
  std::string_view Name;
  /// Work beyond the limit waits or is refused; otherwise all is let through.
  bool HasLimits = true;
  /// The queue refuses what can't end in time; otherwise it takes everything.
  bool ShedsByDeadline = true;
  admission::RetryRule Retry;
  /// How many other agents may be asked for one request.
  uint32_t MaxHops = 3;
  /// A caller without an answer sends another copy after this; 0 for never.
  base::Duration CallerRetry{0};
};

/// Limits, deadline queue and retry budget, as the agents have them.
StudyPolicy protectedPolicy();
/// The same, but only one in ten is passed on.
StudyPolicy smallBudgetPolicy();
/// The same, but every refusal is passed on as far as hops go.
StudyPolicy passEverythingPolicy();
/// Limits, but a queue that takes everything.
StudyPolicy plainQueuePolicy();
/// Everything is let through at once.
StudyPolicy unlimitedPolicy();
/// The same, and callers send copies until they are answered.
StudyPolicy unlimitedRetryPolicy();

/// What came of the requests that began after the warm-up.
struct StudyResult {
  uint64_t Offered = 0;
  /// What the remaining upstreams could do in that time.
  double Possible = 0;
  /// Answered before the deadline.
  uint64_t Answered = 0;
  /// Refused at once, as not run.
  uint64_t Refused = 0;
  /// Waited, and were then refused as not run.
  uint64_t Expired = 0;
  /// Pieces of work that began, and those whose answer was of no more use.
  uint64_t Runs = 0;
  uint64_t WastedRuns = 0;
  /// Copies that went on to another agent.
  uint64_t PassedOn = 0;
  /// The most that one upstream had at once.
  uint64_t MostAtOnce = 0;
  base::Duration MedianLatency{0};

  double goodput() const {
    return static_cast<double>(this->Answered) / this->Possible;
  }
};

/// Runs one policy. Thread-safe: keeps no state.
StudyResult runOverloadStudy(const StudyRule &Rule, const StudyPolicy &Policy);

} // namespace bilberry::standin

#endif
