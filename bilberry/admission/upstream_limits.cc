#include "bilberry/admission/upstream_limits.h"

namespace bilberry::admission {

void UpstreamLimits::setCapacity(const targets::UpstreamCapacity &Capacity) {
  LimitRule Rule;
  Rule.CompletionsPerStep = Capacity.CompletionsPerSlot;
  Rule.LatencyBound = Capacity.LatencyBound;
  std::lock_guard Lock(this->Mutex);
  Rule.Floor = Capacity.ColdSlots;
  Rule.Ceiling = Capacity.Slots;
  this->Slots.setRule(Rule);
  Rule.Floor = Capacity.ColdConnections;
  Rule.Ceiling = Capacity.Connections;
  this->Connections.setRule(Rule);
}

void UpstreamLimits::setReachable(bool Value) {
  std::lock_guard Lock(this->Mutex);
  this->IsReachable = Value;
}

bool UpstreamLimits::acquireSlot(base::TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  return this->IsReachable && this->Slots.acquire(Now);
}

void UpstreamLimits::releaseSlot(base::TimePoint Now, Completion Outcome,
                                 base::Duration Elapsed) {
  std::lock_guard Lock(this->Mutex);
  this->Slots.recordCompletion(Now, Outcome, Elapsed);
  this->Slots.release();
}

bool UpstreamLimits::acquireConnection(base::TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  return this->IsReachable && this->Connections.acquire(Now);
}

void UpstreamLimits::recordConnectionOutcome(base::TimePoint Now,
                                             Completion Outcome,
                                             base::Duration Elapsed) {
  std::lock_guard Lock(this->Mutex);
  this->Connections.recordCompletion(Now, Outcome, Elapsed);
  if (Outcome != Completion::Done) {
    this->Connections.release();
  }
}

void UpstreamLimits::recordFlowProgress(base::TimePoint Now,
                                        base::Duration Elapsed) {
  std::lock_guard Lock(this->Mutex);
  this->Connections.recordCompletion(Now, Completion::Done, Elapsed);
}

void UpstreamLimits::releaseConnection(base::TimePoint) {
  std::lock_guard Lock(this->Mutex);
  this->Connections.release();
}

void UpstreamLimits::restoreConnections(base::TimePoint Now, uint32_t Count) {
  std::lock_guard Lock(this->Mutex);
  this->Connections.acquireUnchecked(Now, Count);
}

void UpstreamLimits::onUpstreamRestart(base::TimePoint) {
  std::lock_guard Lock(this->Mutex);
  this->Slots.resetHeld();
  this->Slots.fallToFloor();
  this->Connections.resetHeld();
  this->Connections.fallToFloor();
}

void UpstreamLimits::onHealthReport(base::TimePoint Now, bool IsHealthy,
                                    double Load) {
  std::lock_guard Lock(this->Mutex);
  bool IsOverloaded = !IsHealthy || Load >= OverloadedLoad;
  if (IsOverloaded && !this->WasOverloaded) {
    this->Slots.decrease(Now);
    this->Connections.decrease(Now);
  }
  this->WasOverloaded = IsOverloaded;
}

bool UpstreamLimits::takeRetryToken(base::TimePoint) {
  std::lock_guard Lock(this->Mutex);
  return this->Retries.takeToken();
}

void UpstreamLimits::recordNewWork(base::TimePoint) {
  std::lock_guard Lock(this->Mutex);
  this->Retries.recordNewWork();
}

LimitStatus UpstreamLimits::status() const {
  std::lock_guard Lock(this->Mutex);
  LimitStatus Status;
  Status.SlotLimit = this->Slots.limit();
  Status.SlotsInUse = this->Slots.inUse();
  Status.ConnectionLimit = this->Connections.limit();
  Status.ConnectionsInUse = this->Connections.inUse();
  Status.IsCold = this->Slots.isAtFloor() && this->Connections.isAtFloor() &&
                  (this->Slots.canRise() || this->Connections.canRise());
  Status.Sheds = this->Slots.sheds() + this->Connections.sheds();
  Status.FallsToFloor =
      this->Slots.fallsToFloor() + this->Connections.fallsToFloor();
  return Status;
}

} // namespace bilberry::admission
