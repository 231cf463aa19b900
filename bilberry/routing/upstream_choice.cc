#include "bilberry/routing/upstream_choice.h"

#include "bilberry/admission/new_flow_admission.h"

#include <algorithm>
#include <limits>

namespace bilberry::routing {

using members::AgentIndex;
using members::AgentView;

double upstreamLoad(const AgentView &View) {
  const wire::AgentStatus &Status = View.Status;
  double Waiting = Status.WaitingFlows + View.NewFlowsSinceStatus;
  double Idle = Status.Flows > Status.WaitingFlows
                    ? IdleFlowWeight * (Status.Flows - Status.WaitingFlows)
                    : 0;
  bool IsCold =
      Status.RemainingNewFlows != std::numeric_limits<uint32_t>::max();
  return ((Waiting + Idle) / std::max<uint32_t>(1, Status.Slots)) +
         (IsCold ? ColdLoadPenalty : 0);
}

static bool hasCapacity(const AgentView &View) {
  double Waiting = View.Status.WaitingFlows +
                   (UnreportedFlowWeight * View.NewFlowsSinceStatus);
  return Waiting < static_cast<double>(admission::MaxWaitingFlowsPerSlot) *
                       std::max<uint32_t>(1, View.Status.Slots);
}

static bool isEligible(const AgentView &View, const ChoiceRequest &Request) {
  return !View.IsGone && View.hasStatus() &&
         View.Status.Service == Request.Service &&
         View.Status.Condition == wire::AgentCondition::InService &&
         View.Status.RemainingNewFlows > View.NewFlowsSinceStatus &&
         hasCapacity(View);
}

namespace {

struct BestCandidate {
  AgentIndex Index = members::NoAgent;
  double Load = std::numeric_limits<double>::max();
  uint64_t TieBreaker = 0;

  void consider(AgentIndex Candidate, double CandidateLoad, uint64_t Hash) {
    bool IsBetter = CandidateLoad < this->Load ||
                    (CandidateLoad == this->Load && Hash > this->TieBreaker);
    if (IsBetter) {
      *this = {Candidate, CandidateLoad, Hash};
    }
  }
};

} // namespace

AgentIndex chooseUpstream(const members::AgentViews &Agents,
                          const ChoiceRequest &Request) {
  BestCandidate Local;
  BestCandidate Remote;
  // Agents without a recent status are used only if there is no other.
  BestCandidate Silent;
  for (size_t I = 0; I < Agents.size(); ++I) {
    auto Index = static_cast<AgentIndex>(I);
    const AgentView &View = Agents.at(Index);
    if (!isEligible(View, Request) ||
        std::ranges::find(Request.Tried, Index) != Request.Tried.end()) {
      continue;
    }
    double Load = upstreamLoad(View);
    uint64_t Hash = (Request.FlowHash ^ (I + 1)) * 0x9E3779B97F4A7C15ULL;
    if (!View.hasRecentStatus(Request.Now)) {
      Silent.consider(Index, Load, Hash);
    } else if (View.Status.DataCentre == Request.DataCentre) {
      Local.consider(Index, Load, Hash);
    } else {
      Remote.consider(Index, Load, Hash);
    }
  }
  bool IsRemoteBetter = Remote.Index != members::NoAgent &&
                        (Local.Index == members::NoAgent ||
                         (Local.Load > BusyLoadThreshold &&
                          Remote.Load + RemoteLoadMargin < Local.Load));
  if (IsRemoteBetter) {
    return Remote.Index;
  }
  return Local.Index != members::NoAgent ? Local.Index : Silent.Index;
}

} // namespace bilberry::routing
