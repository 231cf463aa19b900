// Simulates a fleet of upstreams and their agents under overload, in simulated
// time and deterministic for a seed. The agents use the project's concurrency
// limits, deadline queue and retry budget; alternative policies show the effect
// of each of these.
//
// A simulated upstream sheds no load: it divides its slots among all requests
// that it was given, so each request takes longer the more there are. This is
// how a service without limits collapses under overload.

#ifndef BILBERRY_STANDIN_OVERLOAD_STUDY_H
#define BILBERRY_STANDIN_OVERLOAD_STUDY_H

#include "bilberry/admission/retry_budget.h"
#include "bilberry/base/clock.h"

#include <cstdint>
#include <string_view>

namespace bilberry::standin {

/// The fleet and the load of a simulation.
struct StudyConfig {
  uint32_t Upstreams = 9;
  /// Number of upstreams whose requests take SlowFactor times as long.
  uint32_t SlowUpstreams = 0;
  uint32_t SlowFactor = 6;
  /// Number of upstreams that are removed from the fleet, as all agents know.
  uint32_t RemovedUpstreams = 0;
  uint32_t Slots = 9;
  uint32_t ColdSlots = 2;
  /// Offered load, as a multiple of the capacity of all upstreams when healthy
  /// and none removed.
  double Load = 2.0;
  base::Duration ServiceTime = std::chrono::milliseconds(50);
  base::Duration LatencyBound = std::chrono::milliseconds(250);
  /// An answer is useful only within this time.
  base::Duration Deadline = std::chrono::milliseconds(500);
  base::Duration WarmUp = std::chrono::seconds(5);
  /// Length of the measured interval, after the warm-up.
  base::Duration Length = std::chrono::seconds(10);
  uint32_t Seed = 1;
};

/// The admission and retry behaviour of the agents and callers.
struct StudyPolicy {
  std::string_view Name;
  /// Requests beyond the concurrency limit are queued or refused; otherwise all
  /// are admitted.
  bool HasLimits = true;
  /// The queue refuses requests that can't finish in time; otherwise it is
  /// unbounded and accepts everything.
  bool ShedsByDeadline = true;
  admission::RetryRule Retry;
  /// The most other agents that a request may be forwarded to.
  uint32_t MaxHops = 3;
  /// A caller without an answer sends another copy after this time; 0 disables
  /// this.
  base::Duration CallerRetry{0};
};

/// Concurrency limits, deadline queue and retry budget with the agents'
/// defaults.
StudyPolicy agentDefaultPolicy();
/// The same, but with a retry budget of one retry for ten new requests.
StudyPolicy smallRetryBudgetPolicy();
/// The same, but every refused request is forwarded, limited only by MaxHops.
StudyPolicy unlimitedForwardingPolicy();
/// Concurrency limits, but an unbounded queue that ignores deadlines.
StudyPolicy unboundedQueuePolicy();
/// No limits: every request starts at once.
StudyPolicy unlimitedPolicy();
/// The same, and callers send copies until they have an answer or the deadline
/// passes.
StudyPolicy unlimitedPolicyWithRetries();

/// What was counted after the warm-up.
struct StudyResult {
  uint64_t Offered = 0;
  /// The number of requests that the remaining upstreams could serve in the
  /// measured interval, at full capacity.
  double CapacityInRequests = 0;
  /// Requests answered before the deadline.
  uint64_t Answered = 0;
  /// Requests refused on arrival, as not run.
  uint64_t Refused = 0;
  /// Requests that were queued and then refused as not run.
  uint64_t Expired = 0;
  /// Executions that began, and those that finished after the deadline or after
  /// another execution of the same request.
  uint64_t Runs = 0;
  uint64_t WastedRuns = 0;
  /// Requests forwarded to another agent after a refusal, and copies sent by
  /// callers.
  uint64_t ForwardsAndRetries = 0;
  /// The most requests that one upstream executed at the same time.
  uint64_t MaxConcurrentRequests = 0;
  base::Duration MedianLatency{0};

  /// Requests answered in time, as a share of the fleet's capacity.
  double goodput() const {
    return static_cast<double>(this->Answered) / this->CapacityInRequests;
  }
};

/// Simulates one policy. Thread-safe: keeps no state.
StudyResult runOverloadStudy(const StudyConfig &Config,
                             const StudyPolicy &Policy);

} // namespace bilberry::standin

#endif
