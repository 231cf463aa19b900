#include "bilberry/routing/known_flow.h"

namespace bilberry::routing {

ForwardDecision decideForward(base::TimePoint Now, const KnownFlow &Flow,
                              const members::AgentView &Holder,
                              bool MayStillServe) {
  bool HasEnded = Holder.IsGone && !MayStillServe;
  if (Flow.IsConfirmed) {
    return HasEnded ? ForwardDecision::Reset : ForwardDecision::Send;
  }
  if (HasEnded) {
    return ForwardDecision::Search;
  }
  bool IsOverdue = Now >= Flow.ReportDueAt;
  if (!Holder.hasRecentStatus(Now) || (IsOverdue && Flow.IsHolderAsked)) {
    return ForwardDecision::SendAndSearch;
  }
  return IsOverdue ? ForwardDecision::SendAndAsk : ForwardDecision::Send;
}

bool isHolderInDoubt(base::TimePoint Now, const KnownFlow &Flow,
                     const members::AgentView &Holder) {
  return !Flow.IsConfirmed && !Holder.hasRecentStatus(Now);
}

} // namespace bilberry::routing
