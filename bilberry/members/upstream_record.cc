#include "bilberry/members/upstream_record.h"

namespace bilberry::members {

static bool sameRun(const UpstreamReport &A, const UpstreamReport &B) {
  return A.Id == B.Id && A.StartedAt == B.StartedAt;
}

ReportOutcome UpstreamRecord::take(base::TimePoint Now,
                                   const UpstreamReport &Report) {
  if (this->Last && sameRun(*this->Last, Report)) {
    if (Report.Sequence <= this->Last->Sequence) {
      return ReportOutcome::Stale;
    }
    this->accept(Now, Report);
    return ReportOutcome::Known;
  }
  bool HasLeft = this->Left && (sameRun(*this->Left, Report) ||
                                Report.StartedAt < this->Left->StartedAt);
  if ((HasLeft || this->isOlderRun(Report)) && !this->replaces(Now, Report)) {
    return ReportOutcome::Stale;
  }
  this->Last.reset();
  this->Left.reset();
  this->RivalReports = 0;
  this->accept(Now, Report);
  return ReportOutcome::NewRun;
}

bool UpstreamRecord::isOlderRun(const UpstreamReport &Report) const {
  return this->Last && Report.StartedAt <= this->Last->StartedAt;
}

// Counts the heartbeats in a row of a run that ought to be over.
bool UpstreamRecord::replaces(base::TimePoint Now,
                              const UpstreamReport &Report) {
  bool IsNext = this->RivalReports > 0 && sameRun(this->Rival, Report) &&
                Report.Sequence > this->Rival.Sequence;
  this->RivalReports = IsNext ? this->RivalReports + 1 : 1;
  this->Rival = Report;
  return !this->isHeard(Now) && this->RivalReports >= ReportsToReplace;
}

void UpstreamRecord::accept(base::TimePoint Now, const UpstreamReport &Report) {
  // A run that drains stays so: late words of a proxy don't bring it back.
  bool IsDraining = Report.IsDraining || (this->Last && this->Last->IsDraining);
  this->Last = Report;
  this->Last->IsDraining = IsDraining;
  this->HeardAt = Now;
  this->ColdUntil = Now + Report.ColdLeft;
}

bool UpstreamRecord::leave(const std::string &Id) {
  if (!this->Last || this->Last->Id != Id) {
    return false;
  }
  this->Left = this->Last;
  this->Last.reset();
  return true;
}

} // namespace bilberry::members
