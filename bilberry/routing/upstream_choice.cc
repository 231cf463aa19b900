#include "bilberry/routing/upstream_choice.h"

#include "bilberry/admission/new_flow_admission.h"
#include "bilberry/routing/load_forecast.h"

#include <algorithm>
#include <limits>

namespace bilberry::routing {

using members::AgentIndex;
using members::AgentView;

// The load per slot of an upstream with this many waiting flows.
static double loadOf(const AgentView &View, double Waiting) {
  const wire::AgentStatus &Status = View.Status;
  double Idle = Status.Flows > Status.WaitingFlows
                    ? IdleFlowWeight * (Status.Flows - Status.WaitingFlows)
                    : 0;
  bool IsCold =
      Status.RemainingNewFlows != std::numeric_limits<uint32_t>::max();
  // An idle upstream that is slow must not look like one that is fast.
  double Slowness = 1 - View.SlotShare;
  return ((Waiting + Idle + Slowness) / View.slots()) +
         (IsCold ? ColdLoadPenalty : 0);
}

double upstreamLoad(const AgentView &View) {
  return loadOf(View, View.Status.WaitingFlows + View.NewFlowsSinceStatus);
}

double expectedWaitingFlows(base::TimePoint Now, const AgentView &View) {
  base::Duration ServiceTime = View.serviceTime();
  return (View.Status.WaitingFlows *
          members::remainingShare(Now - View.LastStatusAt, ServiceTime)) +
         View.Placements.count(Now, ServiceTime);
}

void recordPlacement(base::TimePoint Now, AgentView &View, uint32_t Count) {
  View.NewFlowsSinceStatus += Count;
  View.Placements.add(Now, Count, View.serviceTime());
}

static bool hasCapacity(const AgentView &View, const ChoiceRequest &Request) {
  double Waiting = Request.Policy == PlacementPolicy::Even
                       ? expectedWaitingFlows(Request.Now, View)
                       : View.Status.WaitingFlows +
                             (UnreportedFlowWeight * View.NewFlowsSinceStatus);
  // At least one flow, so that a slow upstream is tried.
  return Waiting <
         std::max(1.0, admission::MaxWaitingFlowsPerSlot * View.slots());
}

static bool isEligible(const AgentView &View, const ChoiceRequest &Request) {
  return !View.IsGone && View.hasStatus() && !View.HasLostAddress &&
         View.Status.Service == Request.Service &&
         View.Status.Condition == wire::AgentCondition::InService &&
         View.Status.RemainingNewFlows > View.NewFlowsSinceStatus &&
         hasCapacity(View, Request);
}

double expectedArrivals(const AgentView &View, size_t Balancers) {
  if (View.Status.AdmittedFlows == 0) {
    return static_cast<double>(View.NewFlowsSinceStatus * Balancers);
  }
  base::Duration Time = View.IsFar ? FarStatusAge : LocalStatusAge;
  if (View.serviceTime() > base::Duration(0)) {
    Time = std::min(Time, View.serviceTime());
  }
  return View.Arrivals.perSecond() *
         std::chrono::duration<double>(Time).count();
}

namespace {

// The eligible agents of one group, such as those of this data centre.
class CandidateGroup {
public:
  void add(AgentIndex Index, const AgentView &View,
           const ChoiceRequest &Request) {
    bool IsEven = Request.Policy == PlacementPolicy::Even;
    double Load = IsEven ? loadOf(View, expectedWaitingFlows(Request.Now, View))
                         : upstreamLoad(View);
    uint64_t Hash =
        (Request.FlowHash ^ (uint64_t{Index} + 1)) * 0x9E3779B97F4A7C15ULL;
    bool IsBetter = Load < this->LowestLoad ||
                    (Load == this->LowestLoad && Hash > this->TieBreaker);
    if (IsBetter) {
      this->LeastLoaded = Index;
      this->LowestLoad = Load;
      this->TieBreaker = Hash;
    }
    if (IsEven) {
      this->All.push_back({Index, Load, View.slots()});
      this->Arrivals += expectedArrivals(View, Request.Balancers);
    }
  }

  bool isEmpty() const { return this->LeastLoaded == members::NoAgent; }
  double lowestLoad() const { return this->LowestLoad; }
  AgentIndex choose(const ChoiceRequest &Request) const {
    return Request.Policy == PlacementPolicy::Even
               ? drawCandidate(this->All, this->Arrivals, Request.FlowHash)
               : this->LeastLoaded;
  }

private:
  AgentIndex LeastLoaded = members::NoAgent;
  double LowestLoad = std::numeric_limits<double>::max();
  uint64_t TieBreaker = 0;
  // For PlacementPolicy::Even.
  std::vector<Candidate> All;
  double Arrivals = 0;
};

} // namespace

AgentIndex chooseUpstream(const members::AgentViews &Agents,
                          const ChoiceRequest &Request) {
  CandidateGroup Local;
  CandidateGroup Remote;
  // Unstable upstreams are used only if there is no other, and agents without a
  // recent status only if there is neither.
  CandidateGroup Unstable;
  CandidateGroup Silent;
  for (size_t I = 0; I < Agents.size(); ++I) {
    auto Index = static_cast<AgentIndex>(I);
    const AgentView &View = Agents.at(Index);
    if (!isEligible(View, Request) ||
        std::ranges::find(Request.Tried, Index) != Request.Tried.end()) {
      continue;
    }
    if (!View.hasRecentStatus(Request.Now)) {
      Silent.add(Index, View, Request);
    } else if (View.Status.IsUnstable) {
      Unstable.add(Index, View, Request);
    } else if (View.Status.DataCentre == Request.DataCentre) {
      Local.add(Index, View, Request);
    } else {
      Remote.add(Index, View, Request);
    }
  }
  bool IsRemoteBetter =
      !Remote.isEmpty() &&
      (Local.isEmpty() ||
       (Local.lowestLoad() > BusyLoadThreshold &&
        Remote.lowestLoad() + RemoteLoadMargin < Local.lowestLoad()));
  if (IsRemoteBetter) {
    return Remote.choose(Request);
  }
  if (!Local.isEmpty()) {
    return Local.choose(Request);
  }
  return (Unstable.isEmpty() ? Silent : Unstable).choose(Request);
}

} // namespace bilberry::routing
