#include "bilberry/routing/known_flow.h"

namespace bilberry::routing {

// True if the assumed holder hasn't been heard for longer than a status takes.
// Its reply to a search counts, too: after a restart, a balancer may not have
// its status yet.
static bool isSilent(base::TimePoint Now, const KnownFlow &Flow,
                     const members::AgentView &Holder) {
  base::Duration MaxAge =
      Holder.IsFar ? members::MaxFarStatusAge : members::MaxStatusAge;
  bool HasJustReplied = Flow.IsFromSearch && Now - Flow.PlacedAt <= MaxAge;
  return !HasJustReplied && !Holder.hasRecentStatus(Now);
}

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
  bool IsOverdue = !Flow.IsFromSearch && Now >= Flow.ReportDueAt;
  if (isSilent(Now, Flow, Holder) || (IsOverdue && Flow.IsHolderAsked)) {
    return ForwardDecision::SendAndSearch;
  }
  return IsOverdue ? ForwardDecision::SendAndAsk : ForwardDecision::Send;
}

bool isHolderInDoubt(base::TimePoint Now, const KnownFlow &Flow,
                     const members::AgentView &Holder) {
  return !Flow.IsConfirmed && isSilent(Now, Flow, Holder);
}

} // namespace bilberry::routing
