#include "bilberry/routing/upstream_choice.h"

#include "bilberry/admission/opening_gate.h"

#include <algorithm>
#include <limits>

namespace bilberry::routing {

using members::AgentIndex;
using members::AgentView;

double upstreamLoad(const AgentView &View) {
  const wire::AgentStatus &Status = View.Status;
  double Waiting = Status.Working + View.SentSince;
  double Idle = Status.Flows > Status.Working
                    ? IdleFlowWeight * (Status.Flows - Status.Working)
                    : 0;
  bool IsCold = Status.Budget != std::numeric_limits<uint32_t>::max();
  return ((Waiting + Idle) / std::max<uint32_t>(1, Status.Slots)) +
         (IsCold ? ColdLoad : 0);
}

static bool hasRoom(const AgentView &View) {
  double Waiting = View.Status.Working + (SentWeight * View.SentSince);
  return Waiting < static_cast<double>(admission::MaxWaitingPerSlot) *
                       std::max<uint32_t>(1, View.Status.Slots);
}

static bool mayTake(const AgentView &View, const ChoiceRequest &Request) {
  return !View.IsGone && View.isHeard() &&
         View.Status.Service == Request.Service &&
         View.Status.Condition == wire::AgentCondition::InService &&
         View.Status.Budget > View.SentSince && hasRoom(View);
}

namespace {

struct Best {
  AgentIndex Index = members::NoAgent;
  double Load = std::numeric_limits<double>::max();
  uint64_t Tie = 0;

  void offer(AgentIndex Candidate, double CandidateLoad, uint64_t Hash) {
    bool IsBetter = CandidateLoad < this->Load ||
                    (CandidateLoad == this->Load && Hash > this->Tie);
    if (IsBetter) {
      *this = {Candidate, CandidateLoad, Hash};
    }
  }
};

} // namespace

AgentIndex chooseUpstream(const members::AgentViews &Agents,
                          const ChoiceRequest &Request) {
  Best Near;
  Best Far;
  // Those that haven't been heard of lately are the last resort.
  Best Silent;
  for (size_t I = 0; I < Agents.size(); ++I) {
    auto Index = static_cast<AgentIndex>(I);
    const AgentView &View = Agents.at(Index);
    if (!mayTake(View, Request) ||
        std::ranges::find(Request.Tried, Index) != Request.Tried.end()) {
      continue;
    }
    double Load = upstreamLoad(View);
    uint64_t Hash = (Request.FlowHash ^ (I + 1)) * 0x9E3779B97F4A7C15ULL;
    if (!View.isFresh(Request.Now)) {
      Silent.offer(Index, Load, Hash);
    } else if (View.Status.DataCentre == Request.DataCentre) {
      Near.offer(Index, Load, Hash);
    } else {
      Far.offer(Index, Load, Hash);
    }
  }
  bool IsFarBetter =
      Far.Index != members::NoAgent &&
      (Near.Index == members::NoAgent ||
       (Near.Load > BusyLoad && Far.Load + RemoteMargin < Near.Load));
  if (IsFarBetter) {
    return Far.Index;
  }
  return Near.Index != members::NoAgent ? Near.Index : Silent.Index;
}

} // namespace bilberry::routing
