#include "bilberry/members/upstream_record.h"

namespace bilberry::members {

static bool isSameRun(const UpstreamHeartbeat &A, const UpstreamHeartbeat &B) {
  return A.Id == B.Id && A.StartedAt == B.StartedAt;
}

HeartbeatOutcome
UpstreamRecord::applyHeartbeat(base::TimePoint Now,
                               const UpstreamHeartbeat &Heartbeat) {
  if (this->CurrentRun && isSameRun(*this->CurrentRun, Heartbeat)) {
    if (Heartbeat.Sequence <= this->CurrentRun->Sequence) {
      bool IsRepeated = Heartbeat.Sequence == this->CurrentRun->Sequence &&
                        (this->CurrentRun->IsDraining || !Heartbeat.IsDraining);
      return IsRepeated ? HeartbeatOutcome::Repeated : HeartbeatOutcome::Stale;
    }
    this->applyToCurrentRun(Now, Heartbeat);
    return HeartbeatOutcome::Known;
  }
  bool IsDeparted =
      this->DepartedRun && (isSameRun(*this->DepartedRun, Heartbeat) ||
                            Heartbeat.StartedAt < this->DepartedRun->StartedAt);
  if ((IsDeparted || this->isOlderRun(Heartbeat)) &&
      !this->replacesCurrentRun(Now, Heartbeat)) {
    return HeartbeatOutcome::Stale;
  }
  this->CurrentRun.reset();
  this->DepartedRun.reset();
  this->CandidateHeartbeats = 0;
  this->applyToCurrentRun(Now, Heartbeat);
  return HeartbeatOutcome::NewRun;
}

bool UpstreamRecord::isOlderRun(const UpstreamHeartbeat &Heartbeat) const {
  return this->CurrentRun && Heartbeat.StartedAt <= this->CurrentRun->StartedAt;
}

// Counts the consecutive heartbeats of a run that started earlier than the
// current one or has left. True once it replaces the current run.
bool UpstreamRecord::replacesCurrentRun(base::TimePoint Now,
                                        const UpstreamHeartbeat &Heartbeat) {
  bool IsConsecutive = this->CandidateHeartbeats > 0 &&
                       isSameRun(this->ReplacementCandidate, Heartbeat) &&
                       Heartbeat.Sequence > this->ReplacementCandidate.Sequence;
  this->CandidateHeartbeats = IsConsecutive ? this->CandidateHeartbeats + 1 : 1;
  this->ReplacementCandidate = Heartbeat;
  return !this->isResponsive(Now) &&
         this->CandidateHeartbeats >= HeartbeatsToReplaceRun;
}

void UpstreamRecord::applyToCurrentRun(base::TimePoint Now,
                                       const UpstreamHeartbeat &Heartbeat) {
  // Draining is final for a run: a late heartbeat, for example one delayed by a
  // proxy on its way here, doesn't revert it.
  bool IsDraining = Heartbeat.IsDraining ||
                    (this->CurrentRun && this->CurrentRun->IsDraining);
  this->CurrentRun = Heartbeat;
  this->CurrentRun->IsDraining = IsDraining;
  this->LastHeartbeatAt = Now;
  this->ColdUntil = Now + Heartbeat.ColdLeft;
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
