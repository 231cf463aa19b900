// What our upstream gets at once. The working limit for slots starts at the
// cold floor and rises only on completions that we saw inside the latency
// bound; it halves on a shed, a timeout or a latency jump, and falls to the
// floor when the upstream may have restarted: its connection was lost, it
// sheds in a burst, or it sheds at a level that it has borne before
// (working_limit.h). Connections follow the same rule; their completions are
// opened flows and acknowledged packets, since long flows would otherwise
// never show that the upstream bears more. Health and load reports may lower a
// limit, never raise it. The rule is additive increase, multiplicative decrease
// (Chiu and Jain, 1989) with slow restart.

#ifndef BILBERRY_ADMISSION_UPSTREAM_LIMITS_H
#define BILBERRY_ADMISSION_UPSTREAM_LIMITS_H

#include "bilberry/admission/retry_budget.h"
#include "bilberry/admission/working_limit.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/ranked_mutex.h"
#include "bilberry/targets/targets.h"

namespace bilberry::admission {

/// What status and metrics tell.
struct LimitStatus {
  uint32_t SlotLimit = 0;
  uint32_t SlotsInUse = 0;
  uint32_t ConnectionLimit = 0;
  uint32_t ConnectionsInUse = 0;
  bool IsCold = true;
  uint64_t Sheds = 0;
  uint64_t FallsToFloor = 0;
};

/// From this load on, a health report counts as one of overload.
inline constexpr double OverloadedLoad = 1.0;

/// Thread-safe: one mutex of rank Limits.
class UpstreamLimits {
public:
  /// Nothing is admitted before setCapacity().
  explicit UpstreamLimits(const RetryRule &Rule = RetryRule())
      : Retries(Rule) {}

  /// Sets what the targets allow. A ceiling below what is held cuts nothing;
  /// it only stops new work until enough has ended.
  void setCapacity(const targets::UpstreamCapacity &Capacity);

  /// While the upstream can't be reached, nothing new is taken. What is held
  /// stays held. True at the start.
  void setReachable(bool Value);

  /// Takes a slot for a request. False where none is free.
  bool acquireSlot(base::TimePoint Now);
  /// Gives a slot back. Precondition: one is held. Took counts for Done.
  void releaseSlot(base::TimePoint Now, Completion How, base::Duration Took);

  /// Takes a connection for a new flow. False where none is free.
  bool acquireConnection(base::TimePoint Now);
  /// The upstream has taken (Done) or refused (Shed) a new flow. The
  /// connection stays held after Done and is given back otherwise.
  void connectionSettled(base::TimePoint Now, Completion How,
                         base::Duration Took);
  /// The upstream has acknowledged a packet of an open flow: it bears the
  /// connections that it has.
  void flowProgressed(base::TimePoint Now, base::Duration Took);
  /// Gives back the connection of a flow that has ended.
  void releaseConnection(base::TimePoint Now);
  /// Takes connections without asking, for flows restored after a restart.
  void adoptConnections(base::TimePoint Now, uint32_t Count);

  /// The upstream's connection was lost or made anew: nothing is held, and
  /// the limits fall to the cold floor. Don't release what was held before.
  void onUpstreamRestart(base::TimePoint Now);
  /// Its own report; may lower the limits, never raise them. Only a change
  /// for the worse lowers them, so that an endpoint that always complains
  /// can't hold an upstream that works at the floor.
  void onHealthReport(base::TimePoint Now, bool IsHealthy, double Load);

  /// Takes a token for passing work on. Fresh work earns them.
  bool takeRetryToken(base::TimePoint Now);
  void noteFreshWork(base::TimePoint Now);

  LimitStatus status() const;

private:
  mutable base::RankedMutex Mutex{base::LockRank::Limits};
  WorkingLimit Slots;
  WorkingLimit Connections;
  RetryBudget Retries;
  bool WasOverloaded = false;
  bool IsReachable = true;
};

} // namespace bilberry::admission

#endif
