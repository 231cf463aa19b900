#include "bilberry/balancer/probe_tracker.h"

#include <algorithm>
#include <set>

namespace bilberry::balancer {

std::vector<members::Member>
ProbeTracker::selectAgentsToProbe(const std::vector<members::Member> &Agents) {
  std::set<base::MemberName> Listed;
  for (const members::Member &Agent : Agents) {
    Listed.insert(Agent.Name);
  }
  std::erase_if(this->Unanswered,
                [&](const auto &Item) { return !Listed.contains(Item.first); });

  // Continue after the last agent probed, and wrap around.
  auto Start = std::find_if(Agents.begin(), Agents.end(),
                            [this](const members::Member &Agent) {
                              return Agent.Name > this->LastProbed;
                            });
  size_t Count = std::min(Agents.size(), MaxProbesPerCall);
  size_t Offset = static_cast<size_t>(Start - Agents.begin());
  std::vector<members::Member> Due;
  for (size_t I = 0; I < Count; ++I) {
    const members::Member &Agent = Agents[(Offset + I) % Agents.size()];
    Due.push_back(Agent);
    ++this->Unanswered[Agent.Name];
    this->LastProbed = Agent.Name;
  }
  return Due;
}

void ProbeTracker::onAnswer(const base::MemberName &Name) {
  auto It = this->Unanswered.find(Name);
  if (It != this->Unanswered.end()) {
    It->second = 0;
  }
}

bool ProbeTracker::isUnresponsive(const base::MemberName &Name) const {
  auto It = this->Unanswered.find(Name);
  return It != this->Unanswered.end() && It->second > MaxUnansweredProbes;
}

} // namespace bilberry::balancer
