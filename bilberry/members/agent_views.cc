#include "bilberry/members/agent_views.h"

#include "bilberry/routing/rendezvous.h"

#include <algorithm>

namespace bilberry::members {

// A longer time between two calls of tick() means that this process was paused.
static constexpr base::Duration ProcessPauseThreshold =
    std::chrono::milliseconds(500);

AgentIndex AgentViews::add(const base::MemberName &Name) {
  if (AgentIndex Existing = this->findByName(Name); Existing != NoAgent) {
    return Existing;
  }
  if (this->Views.size() >= MaxAgents) {
    return NoAgent;
  }
  auto Index = static_cast<AgentIndex>(this->Views.size());
  AgentView &View = this->Views.emplace_back();
  View.Name = Name;
  View.NameHash = routing::memberHash(Name);
  this->IndexByName.emplace(Name, Index);
  return Index;
}

void AgentViews::setAddresses(AgentIndex Index, const base::Address &Data,
                              const base::Address &Control) {
  AgentView &View = this->Views[Index];
  if (View.Data != Data) {
    auto OldEntry = this->IndexByDataAddress.find(View.Data);
    if (OldEntry != this->IndexByDataAddress.end() &&
        OldEntry->second == Index) {
      this->IndexByDataAddress.erase(OldEntry);
    }
  }
  View.Data = Data;
  View.Control = Control;
  // The address may have belonged to another agent before.
  this->IndexByDataAddress[Data] = Index;
}

void AgentViews::applyAnnouncements(base::TimePoint Now,
                                    const std::vector<Member> &Members) {
  std::set<AgentIndex> Announced;
  for (const Member &Value : Members) {
    AgentIndex Index =
        Value.Role == MemberRole::Agent ? this->add(Value.Name) : NoAgent;
    if (Index == NoAgent) {
      continue;
    }
    Announced.insert(Index);
    AgentView &View = this->Views[Index];
    // Addresses from the agent's own status are newer than its announcement.
    if (!View.hasStatus() || View.IsGone) {
      this->setAddresses(Index, Value.Data, Value.Control);
    }
    if (!View.hasStatus()) {
      this->setDataCentre(Index, Value.DataCentre);
      this->setService(Index, Value.Service);
    }
    if (!View.IsAnnounced) {
      View.LastStatusAt =
          std::max(View.LastStatusAt, Now - AgentTimeout + FirstStatusTimeout);
      View.IsGone = false;
    }
  }
  for (size_t I = 0; I < this->Views.size(); ++I) {
    this->Views[I].IsAnnounced = Announced.contains(static_cast<AgentIndex>(I));
  }
}

AgentIndex AgentViews::applyStatus(base::TimePoint Now,
                                   const base::Address &From,
                                   const wire::AgentStatus &Status,
                                   bool &IsNewRun) {
  AgentIndex Index = this->add(Status.Name);
  if (Index == NoAgent) {
    return NoAgent;
  }
  AgentView &View = this->Views[Index];
  this->Arrivals += View.IsGone || !View.hasStatus() ? 1 : 0;
  IsNewRun = View.Status.Run != Status.Run;
  this->setService(Index, Status.Service);
  this->setDataCentre(Index, Status.DataCentre);
  this->setAddresses(Index, Status.Data, From);
  View.Status = Status;
  View.Status.Opened.clear();
  View.Status.Ended.clear();
  View.Status.NearBalancers.clear();
  View.Arrivals.record(Now, Status.AdmittedFlows);
  View.LastStatusAt = Now;
  View.IsGone = false;
  View.HasLostAddress = false;
  View.NewFlowsSinceStatus = 0;
  View.Placements = {};
  return Index;
}

// A status of another run than the known one is newer only if that one is
// silent: the run's number says nothing about the order, since it comes from a
// clock that may be set back.
AgentIndex AgentViews::applyPassedStatus(base::TimePoint Now,
                                         const wire::PassedStatus &Passed,
                                         bool &IsNewRun) {
  base::TimePoint ReceivedAt = Now - std::chrono::milliseconds(Passed.AgeMs);
  AgentIndex Known = this->findByName(Passed.Status.Name);
  if (Known != NoAgent && this->Views[Known].hasStatus()) {
    const AgentView &View = this->Views[Known];
    bool IsSameRun = View.Status.Run == Passed.Status.Run;
    bool IsNewer = IsSameRun && Passed.Status.Sequence != 0
                       ? Passed.Status.Sequence > View.Status.Sequence
                       : ReceivedAt > View.LastStatusAt + MaxStatusAge;
    if (!IsNewer) {
      return NoAgent;
    }
  }
  bool IsUnheardHere = Known != NoAgent && this->Views[Known].IsGone &&
                       this->Views[Known].hasStatus() &&
                       !this->Views[Known].IsFar;
  if (IsUnheardHere) {
    // This balancer has lost the path to the agent, or from it. The agent may
    // hold flows, but gets new ones only once it is heard here.
    ReceivedAt =
        std::min(ReceivedAt, Now - MaxStatusAge - std::chrono::milliseconds(1));
  }
  AgentIndex Index =
      this->applyStatus(ReceivedAt, Passed.Control, Passed.Status, IsNewRun);
  if (Index != NoAgent) {
    // An old status doesn't show that the agent is still there.
    this->Views[Index].IsGone = Now - ReceivedAt > AgentTimeout;
  }
  return Index;
}

void AgentViews::setDataCentre(AgentIndex Index,
                               const base::DataCentreName &Name) {
  this->Views[Index].DataCentre = Name;
  this->Views[Index].IsFar =
      !this->Local.empty() && !Name.empty() && Name != this->Local;
}

// An agent without an upstream reports no service; the id then stays.
void AgentViews::setService(AgentIndex Index, const base::ServiceName &Name) {
  AgentView &View = this->Views[Index];
  bool IsKnown = View.ReceiverId != 0 && View.Status.Service == Name;
  if (!Name.empty() && !IsKnown) {
    View.ReceiverId = packet::receiverId(View.Name, Name);
  }
}

std::vector<AgentIndex> AgentViews::tick(base::TimePoint Now) {
  std::vector<AgentIndex> NewlyGone;
  base::Duration SinceLastTick = Now - this->LastTickAt;
  bool WasPaused = this->LastTickAt != base::TimePoint() &&
                   SinceLastTick > ProcessPauseThreshold;
  this->LastTickAt = Now;
  this->Reachable.clear();
  for (size_t I = 0; I < this->Views.size(); ++I) {
    AgentView &View = this->Views[I];
    bool WasGone = View.IsGone;
    if (WasPaused) {
      View.LastStatusAt += SinceLastTick;
    }
    base::Duration SinceLastStatus = Now - View.LastStatusAt;
    bool HasStopped = View.Status.Condition == wire::AgentCondition::Stopping &&
                      !View.IsAnnounced && !View.hasRecentStatus(Now);
    base::Duration EmptyTimeout =
        View.IsFar ? EmptyFarAgentTimeout : EmptyAgentTimeout;
    base::Duration Timeout = View.hasNoFlows() ? EmptyTimeout : AgentTimeout;
    View.IsGone = SinceLastStatus > Timeout || HasStopped;
    if (View.IsGone && !WasGone) {
      NewlyGone.push_back(static_cast<AgentIndex>(I));
    }
    if (!View.IsGone && View.hasStatus()) {
      this->Reachable.insert(View.Status.DataCentre);
    }
  }
  return NewlyGone;
}

bool AgentViews::mayStillServe(base::TimePoint Now, AgentIndex Index,
                               base::Duration FlowLifetime) const {
  const AgentView &View = this->Views[Index];
  bool IsExpired = Now - View.LastStatusAt > FlowLifetime;
  bool IsKnown = View.hasStatus() || View.IsAnnounced;
  if (!View.IsGone || !IsKnown || IsExpired) {
    return false;
  }
  bool WasStopped = View.Status.Condition == wire::AgentCondition::Stopping &&
                    View.Status.Flows > 0;
  // Flows may have opened since the last status, unless it had no upstream.
  bool IsUnreachable = View.IsFar && !View.hasNoFlows() &&
                       !this->Reachable.contains(View.DataCentre);
  return WasStopped || IsUnreachable;
}

AgentIndex AgentViews::findByDataAddress(const base::Address &Data) const {
  auto It = this->IndexByDataAddress.find(Data);
  return It == this->IndexByDataAddress.end() ? NoAgent : It->second;
}

AgentIndex AgentViews::findByName(const base::MemberName &Name) const {
  auto It = this->IndexByName.find(Name);
  return It == this->IndexByName.end() ? NoAgent : It->second;
}

} // namespace bilberry::members
