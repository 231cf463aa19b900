#include "bilberry/members/agent_views.h"

#include <algorithm>

namespace bilberry::members {

// Two calls of tick() further apart than this mean that this process stood
// still.
static constexpr base::Duration OwnPause = std::chrono::milliseconds(500);

AgentIndex AgentViews::add(const base::MemberName &Name) {
  if (AgentIndex Known = this->byName(Name); Known != NoAgent) {
    return Known;
  }
  if (this->Views.size() >= MaxAgents) {
    return NoAgent;
  }
  auto Index = static_cast<AgentIndex>(this->Views.size());
  this->Views.emplace_back().Name = Name;
  this->Names.emplace(Name, Index);
  return Index;
}

void AgentViews::place(AgentIndex Index, const base::Address &Data,
                       const base::Address &Control) {
  AgentView &View = this->Views[Index];
  if (View.Data != Data) {
    auto Old = this->ByData.find(View.Data);
    if (Old != this->ByData.end() && Old->second == Index) {
      this->ByData.erase(Old);
    }
  }
  View.Data = Data;
  View.Control = Control;
  // A machine's address may have been another agent's before.
  this->ByData[Data] = Index;
}

void AgentViews::takeAnnounced(base::TimePoint Now,
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
    // Its own statuses are newer than its announcement.
    if (!View.isHeard() || View.IsGone) {
      this->place(Index, Value.Data, Value.Control);
    }
    if (!View.IsAnnounced) {
      View.HeardAt =
          std::max(View.HeardAt, Now - GoneSilence + IntroductionTime);
      View.IsGone = false;
    }
  }
  for (size_t I = 0; I < this->Views.size(); ++I) {
    this->Views[I].IsAnnounced = Announced.contains(static_cast<AgentIndex>(I));
  }
}

AgentIndex AgentViews::takeStatus(base::TimePoint Now,
                                  const base::Address &From,
                                  const wire::AgentStatus &Status,
                                  bool &IsNewRun) {
  AgentIndex Index = this->add(Status.Name);
  if (Index == NoAgent) {
    return NoAgent;
  }
  AgentView &View = this->Views[Index];
  IsNewRun = View.Status.Run != Status.Run;
  this->place(Index, Status.Data, From);
  View.Status = Status;
  View.Status.Opened.clear();
  View.Status.Ended.clear();
  View.HeardAt = Now;
  View.IsGone = false;
  View.SentSince = 0;
  return Index;
}

std::vector<AgentIndex> AgentViews::tick(base::TimePoint Now) {
  std::vector<AgentIndex> NewlyGone;
  base::Duration Gap = Now - this->TickedAt;
  bool WasPaused = this->TickedAt != base::TimePoint() && Gap > OwnPause;
  this->TickedAt = Now;
  for (size_t I = 0; I < this->Views.size(); ++I) {
    AgentView &View = this->Views[I];
    bool WasGone = View.IsGone;
    if (WasPaused) {
      View.HeardAt += Gap;
    }
    base::Duration Silence = Now - View.HeardAt;
    bool HasLeft = View.Status.Condition == wire::AgentCondition::Stopping &&
                   !View.IsAnnounced && Silence > FreshStatus;
    base::Duration Limit = View.holdsNothing() ? EmptySilence : GoneSilence;
    View.IsGone = Silence > Limit || HasLeft;
    if (View.IsGone && !WasGone) {
      NewlyGone.push_back(static_cast<AgentIndex>(I));
    }
  }
  return NewlyGone;
}

AgentIndex AgentViews::byData(const base::Address &Data) const {
  auto It = this->ByData.find(Data);
  return It == this->ByData.end() ? NoAgent : It->second;
}

AgentIndex AgentViews::byName(const base::MemberName &Name) const {
  auto It = this->Names.find(Name);
  return It == this->Names.end() ? NoAgent : It->second;
}

} // namespace bilberry::members
