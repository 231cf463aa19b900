#include "bilberry/members/upstream_record.h"

namespace bilberry::members {

static bool isSameRun(const UpstreamHeartbeat &A, const UpstreamHeartbeat &B) {
  return A.Id == B.Id && A.StartedAt == B.StartedAt;
}

HeartbeatOutcome
UpstreamRecord::applyHeartbeat(base::TimePoint Now,
                               const UpstreamHeartbeat &Report) {
  if (this->CurrentRun && isSameRun(*this->CurrentRun, Report)) {
    if (Report.Sequence <= this->CurrentRun->Sequence) {
      return HeartbeatOutcome::Stale;
    }
    this->applyToCurrentRun(Now, Report);
    return HeartbeatOutcome::Known;
  }
  bool IsDeparted =
      this->DepartedRun && (isSameRun(*this->DepartedRun, Report) ||
                            Report.StartedAt < this->DepartedRun->StartedAt);
  if ((IsDeparted || this->isOlderRun(Report)) &&
      !this->replacesCurrentRun(Now, Report)) {
    return HeartbeatOutcome::Stale;
  }
  this->CurrentRun.reset();
  this->DepartedRun.reset();
  this->OtherRunHeartbeats = 0;
  this->applyToCurrentRun(Now, Report);
  return HeartbeatOutcome::NewRun;
}

bool UpstreamRecord::isOlderRun(const UpstreamHeartbeat &Report) const {
  return this->CurrentRun && Report.StartedAt <= this->CurrentRun->StartedAt;
}

// Counts the consecutive heartbeats of a run that started earlier than the
// current one or has left. True once it replaces the current run.
bool UpstreamRecord::replacesCurrentRun(base::TimePoint Now,
                                        const UpstreamHeartbeat &Report) {
  bool IsConsecutive = this->OtherRunHeartbeats > 0 &&
                       isSameRun(this->OtherRun, Report) &&
                       Report.Sequence > this->OtherRun.Sequence;
  this->OtherRunHeartbeats = IsConsecutive ? this->OtherRunHeartbeats + 1 : 1;
  this->OtherRun = Report;
  return !this->isResponsive(Now) &&
         this->OtherRunHeartbeats >= HeartbeatsToReplaceRun;
}

void UpstreamRecord::applyToCurrentRun(base::TimePoint Now,
                                       const UpstreamHeartbeat &Report) {
  // Draining is final for a run: a late message from a proxy doesn't revert it.
  bool IsDraining =
      Report.IsDraining || (this->CurrentRun && this->CurrentRun->IsDraining);
  this->CurrentRun = Report;
  this->CurrentRun->IsDraining = IsDraining;
  this->LastHeartbeatAt = Now;
  this->ColdUntil = Now + Report.ColdLeft;
}

bool UpstreamRecord::removeRun(const std::string &Id) {
  if (!this->CurrentRun || this->CurrentRun->Id != Id) {
    return false;
  }
  this->DepartedRun = this->CurrentRun;
  this->CurrentRun.reset();
  return true;
}

} // namespace bilberry::members
