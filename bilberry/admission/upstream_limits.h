// Concurrency limits of an agent's upstream. The limit for slots starts at the
// cold floor and rises only on completions that were measured within the
// latency bound. It halves on a shed, a timeout or a latency jump. It falls to
// the floor when the upstream may have restarted: its connection was lost, it
// sheds in a burst, or it sheds at a level that it sustained before
// (working_limit.h). Connections follow the same rule; their completions are
// opened flows and acknowledged packets, since long flows would otherwise give
// no evidence of spare capacity. Health and load reports may lower a limit but
// never raise it. The algorithm is additive increase, multiplicative decrease
// (Chiu and Jain, 1989) with slow restart.

#ifndef BILBERRY_ADMISSION_UPSTREAM_LIMITS_H
#define BILBERRY_ADMISSION_UPSTREAM_LIMITS_H

#include "bilberry/admission/retry_budget.h"
#include "bilberry/admission/working_limit.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/ranked_mutex.h"
#include "bilberry/targets/targets.h"

namespace bilberry::admission {

/// A snapshot of the limits for status output and metrics.
struct LimitStatus {
  uint32_t SlotLimit = 0;
  uint32_t SlotsInUse = 0;
  uint32_t ConnectionLimit = 0;
  uint32_t ConnectionsInUse = 0;
  bool IsCold = true;
  uint64_t Sheds = 0;
  uint64_t FallsToFloor = 0;
};

/// A health report with at least this load counts as overload.
inline constexpr double OverloadedLoad = 1.0;

/// The slot limit, connection limit and retry budget of one upstream.
/// Thread-safe: one mutex of rank Limits.
class UpstreamLimits {
public:
  /// No slot or connection is granted before setCapacity().
  explicit UpstreamLimits(const RetryRule &Rule = RetryRule())
      : Retries(Rule) {}

  /// Sets the capacity from the targets. A ceiling below the current use
  /// revokes nothing; new work is refused until enough has ended.
  void setCapacity(const targets::UpstreamCapacity &Capacity);

  /// While the upstream is unreachable, no slot or connection is granted;
  /// those in use stay in use. Initially true.
  void setReachable(bool Value);

  /// Acquires a slot for a request. Returns false if none is free.
  bool acquireSlot(base::TimePoint Now);
  /// Releases a slot. Precondition: one is held. Elapsed is used for Done only.
  void releaseSlot(base::TimePoint Now, Completion Outcome,
                   base::Duration Elapsed);

  /// Acquires a connection for a new flow. Returns false if none is free.
  bool acquireConnection(base::TimePoint Now);
  /// Records that the upstream has accepted (Done) or refused (Shed) a new
  /// flow. The connection stays held after Done and is released otherwise.
  void recordConnectionOutcome(base::TimePoint Now, Completion Outcome,
                               base::Duration Elapsed);
  /// Records that the upstream has acknowledged a packet of an open flow,
  /// which is evidence that it sustains its current connections.
  void recordFlowProgress(base::TimePoint Now, base::Duration Elapsed);
  /// Releases the connection of a flow that has ended.
  void releaseConnection(base::TimePoint Now);
  /// Acquires connections regardless of the limit, for flows restored after a
  /// restart.
  void restoreConnections(base::TimePoint Now, uint32_t Count);

  /// Handles a lost or re-established connection to the upstream: everything
  /// held is dropped and the limits fall to the cold floor. Callers must not
  /// release what they acquired before.
  void onUpstreamRestart(base::TimePoint Now);
  /// Handles a health report of the upstream, which may lower the limits but
  /// never raises them. Only a transition to overload lowers them, so that an
  /// endpoint that always reports overload can't keep a working upstream at
  /// the floor.
  void onHealthReport(base::TimePoint Now, bool IsHealthy, double Load);

  /// Takes a token for forwarding one item (retry_budget.h). Returns false if
  /// none is left.
  bool takeRetryToken(base::TimePoint Now);
  /// Records a new item, which adds to the retry budget.
  void recordNewWork(base::TimePoint Now);

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
