#include "bilberry/agent/status_receivers.h"

#include "bilberry/routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace bilberry::agent {

StatusReceivers::StatusReceivers(const base::MemberName &Agent,
                                 base::DataCentreName DataCentre)
    : AgentKey(routing::dutyKey(Agent.text())),
      DataCentre(std::move(DataCentre)) {}

bool StatusReceivers::record(base::TimePoint Now, const base::Address &From,
                             const wire::BalancerHello &Hello) {
  Balancer &Known = this->Balancers[From];
  bool IsNewRun = Known.Run != Hello.Run;
  base::TimePoint LastOpeningAt = Known.LastOpeningAt;
  Known = {Hello.Run,
           Hello.DataCentre.empty() ? this->DataCentre : Hello.DataCentre,
           Now,
           routing::memberHash(Hello.Name),
           LastOpeningAt,
           Hello.FollowsStore};
  return IsNewRun;
}

void StatusReceivers::recordOpening(base::TimePoint Now, uint32_t Ip) {
  auto It = this->Balancers.lower_bound({Ip, 0});
  if (It != this->Balancers.end() && It->first.Ip == Ip) {
    It->second.LastOpeningAt = Now;
  }
}

std::vector<base::Address>
StatusReceivers::farPlacers(base::TimePoint Now) const {
  std::vector<base::Address> Found;
  for (const auto &[Address, Known] : this->Balancers) {
    if (this->isFarPlacer(Now, Known)) {
      Found.push_back(Address);
    }
  }
  return Found;
}

bool StatusReceivers::isFarPlacer(base::TimePoint Now,
                                  const Balancer &Known) const {
  return Known.DataCentre != this->DataCentre &&
         Known.LastOpeningAt != base::TimePoint() &&
         Now - Known.LastOpeningAt <= PlacementMemory;
}

void StatusReceivers::expire(base::TimePoint Now) {
  std::erase_if(this->Balancers, [&](const auto &Known) {
    return Now - Known.second.LastMessageAt > BalancerExpiry;
  });
}

const base::DataCentreName &StatusReceivers::dataCentreOf(uint32_t Ip) const {
  auto It = this->Balancers.lower_bound({Ip, 0});
  bool IsKnown = It != this->Balancers.end() && It->first.Ip == Ip;
  return IsKnown ? It->second.DataCentre : this->DataCentre;
}

std::vector<base::Address>
StatusReceivers::balancersIn(const base::DataCentreName &Name) const {
  std::vector<base::Address> Found;
  for (const auto &[Address, Known] : this->Balancers) {
    if (Known.DataCentre == Name) {
      Found.push_back(Address);
    }
  }
  return Found;
}

std::vector<base::Address>
StatusReceivers::nearBalancers(base::TimePoint Now) const {
  std::vector<base::Address> Found;
  for (const auto &[Address, Known] : this->Balancers) {
    if (Known.DataCentre == this->DataCentre &&
        Now - Known.LastMessageAt <= NearBalancerExpiry) {
      Found.push_back(Address);
    }
  }
  return Found;
}

bool StatusReceivers::hasFollower(base::TimePoint Now) const {
  return std::ranges::any_of(this->Balancers, [&](const auto &Known) {
    return Known.second.FollowsStore &&
           Known.second.DataCentre == this->DataCentre &&
           Now - Known.second.LastMessageAt <= FollowerTimeout;
  });
}

std::vector<base::Address> StatusReceivers::relays(base::TimePoint Now) const {
  using Ranked = std::pair<uint64_t, base::Address>;
  std::map<base::DataCentreName, std::vector<Ranked>> ByDataCentre;
  for (const auto &[Address, Known] : this->Balancers) {
    if (Known.DataCentre == this->DataCentre ||
        Now - Known.LastMessageAt > RelayExpiry) {
      continue;
    }
    ByDataCentre[Known.DataCentre].emplace_back(
        routing::rendezvousScore(Known.NameHash, this->AgentKey), Address);
  }
  std::vector<base::Address> Chosen;
  for (auto &[Name, Candidates] : ByDataCentre) {
    std::ranges::sort(Candidates, std::greater());
    Candidates.resize(std::min(Candidates.size(), RelaysPerDataCentre));
    for (const auto &[Score, Address] : Candidates) {
      if (!this->isFarPlacer(Now, this->Balancers.at(Address))) {
        Chosen.push_back(Address);
      }
    }
  }
  return Chosen;
}

} // namespace bilberry::agent
