#include "bilberry/members/upstream_record.h"

namespace bilberry::members {

static bool isSameRun(const UpstreamReport &A, const UpstreamReport &B) {
  return A.Id == B.Id && A.StartedAt == B.StartedAt;
}

ReportOutcome UpstreamRecord::take(base::TimePoint Now,
                                   const UpstreamReport &Report) {
  if (this->CurrentRun && isSameRun(*this->CurrentRun, Report)) {
    if (Report.Sequence <= this->CurrentRun->Sequence) {
      return ReportOutcome::Stale;
    }
    this->applyToCurrentRun(Now, Report);
    return ReportOutcome::Known;
  }
  bool IsDeparted =
      this->DepartedRun && (isSameRun(*this->DepartedRun, Report) ||
                            Report.StartedAt < this->DepartedRun->StartedAt);
  if ((IsDeparted || this->isOlderRun(Report)) &&
      !this->replacesCurrentRun(Now, Report)) {
    return ReportOutcome::Stale;
  }
  this->CurrentRun.reset();
  this->DepartedRun.reset();
  this->OtherRunHeartbeats = 0;
  this->applyToCurrentRun(Now, Report);
  return ReportOutcome::NewRun;
}

bool UpstreamRecord::isOlderRun(const UpstreamReport &Report) const {
  return this->CurrentRun && Report.StartedAt <= this->CurrentRun->StartedAt;
}

// Counts the consecutive heartbeats of a run that started earlier than the
// current one or has left. True once it replaces the current run.
bool UpstreamRecord::replacesCurrentRun(base::TimePoint Now,
                                        const UpstreamReport &Report) {
  bool IsConsecutive = this->OtherRunHeartbeats > 0 &&
                       isSameRun(this->OtherRun, Report) &&
                       Report.Sequence > this->OtherRun.Sequence;
  this->OtherRunHeartbeats = IsConsecutive ? this->OtherRunHeartbeats + 1 : 1;
  this->OtherRun = Report;
  return !this->isResponsive(Now) &&
         this->OtherRunHeartbeats >= HeartbeatsToReplaceRun;
}

void UpstreamRecord::applyToCurrentRun(base::TimePoint Now,
                                       const UpstreamReport &Report) {
  // Draining is final for a run: a late message from a proxy doesn't revert it.
  bool IsDraining =
      Report.IsDraining || (this->CurrentRun && this->CurrentRun->IsDraining);
  this->CurrentRun = Report;
  this->CurrentRun->IsDraining = IsDraining;
  this->LastHeartbeatAt = Now;
  this->ColdUntil = Now + Report.ColdLeft;
}

bool UpstreamRecord::leave(const std::string &Id) {
  if (!this->CurrentRun || this->CurrentRun->Id != Id) {
    return false;
  }
  this->DepartedRun = this->CurrentRun;
  this->CurrentRun.reset();
  return true;
}

} // namespace bilberry::members
