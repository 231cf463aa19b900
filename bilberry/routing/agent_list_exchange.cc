#include "bilberry/routing/agent_list_exchange.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace bilberry::routing {

void AgentListExchange::update(base::TimePoint Now,
                               std::optional<base::TimePoint> StoreReadAt,
                               base::Duration FlowLifetime) {
  this->StoreReadAt = StoreReadAt;
  this->Own = members::listAgents(this->Agents, Now, FlowLifetime);
}

void AgentListExchange::recordDigest(base::TimePoint Now,
                                     const base::Address &From, uint64_t Digest,
                                     bool FollowsStore) {
  if (Digest == 0) {
    this->forget(From);
    return;
  }
  OtherList &Other = this->Others[From];
  Other.Digest = Digest;
  Other.FollowsStore = FollowsStore;
  Other.LastHeardAt = Now;
}

void AgentListExchange::onQuery(const base::Address &From,
                                const wire::AgentListQuery &Query,
                                packet::PacketActions &Out) const {
  if (Query.Buckets.size() != members::AgentListBuckets) {
    return;
  }
  wire::AgentListAnswer Answer{this->Self.Name,
                               this->Self.Run,
                               this->Self.DataCentre,
                               this->StoreReadAt.has_value(),
                               this->Own.Digest,
                               {},
                               true};
  // As many whole buckets as fit: the receiver may have part of a bucket, and
  // must get to the rest.
  std::array<size_t, members::AgentListBuckets> Sizes{};
  for (uint64_t Agent : this->Own.Agents) {
    ++Sizes[members::agentListBucket(Agent)];
  }
  std::array<bool, members::AgentListBuckets> IsListed{};
  size_t Listed = 0;
  for (size_t I = 0; I < Sizes.size(); ++I) {
    if (this->Own.Buckets[I] == Query.Buckets[I]) {
      continue;
    }
    IsListed[I] = Listed + Sizes[I] <= wire::MaxAgentsPerListAnswer;
    Listed += IsListed[I] ? Sizes[I] : 0;
    Answer.IsComplete = Answer.IsComplete && IsListed[I];
  }
  for (uint64_t Agent : this->Own.Agents) {
    if (IsListed[members::agentListBucket(Agent)]) {
      Answer.Agents.push_back(Agent);
    }
  }
  Out.Messages.push_back({{From}, std::move(Answer)});
}

void AgentListExchange::onAnswer(base::TimePoint Now, const base::Address &From,
                                 const wire::AgentListAnswer &Answer,
                                 packet::PacketActions &Out) {
  auto It = this->Others.find(From);
  if (It == this->Others.end() || Answer.AgentList == 0) {
    return;
  }
  this->recordDigest(Now, From, Answer.AgentList, Answer.FollowsStore);
  std::unordered_set<uint64_t> Listed(this->Own.Agents.begin(),
                                      this->Own.Agents.end());
  wire::StatusQuery Missing{this->Self.DataCentre, {}};
  for (uint64_t Agent : Answer.Agents) {
    if (!Listed.contains(Agent) &&
        Missing.Agents.size() < wire::MaxAgentsPerStatusQuery) {
      Missing.Agents.push_back(Agent);
    }
  }
  if (!Missing.Agents.empty()) {
    this->Counts.MissingAgents += Missing.Agents.size();
    Out.Events.push_back("event=agents-missing balancer=" + Answer.Name.text() +
                         " missing=" + std::to_string(Missing.Agents.size()) +
                         " listed=" + std::to_string(this->Own.Agents.size()));
    Out.Messages.push_back({{From}, std::move(Missing)});
    return;
  }
  if (Answer.IsComplete) {
    It->second.CoveredDigest = Answer.AgentList;
    It->second.CoveredBy = this->Own.Digest;
  }
}

bool AgentListExchange::isQueryDue(base::TimePoint Now,
                                   const OtherList &Other) const {
  bool IsConfirmationDue = Other.FollowsStore && !this->StoreReadAt &&
                           Other.LastHeardAt < this->ConfirmationSince;
  base::Duration SettleTime =
      Other.FollowsStore ? FollowerSettleTime : PeerSettleTime;
  return IsConfirmationDue ||
         (Other.DiffersSince && Now - *Other.DiffersSince >= SettleTime);
}

void AgentListExchange::onTick(base::TimePoint Now,
                               packet::PacketActions &Out) {
  using Entry = std::pair<const base::Address, OtherList>;
  std::vector<Entry *> Due;
  for (Entry &Known : this->Others) {
    OtherList &Other = Known.second;
    if (this->isCovered(Other)) {
      Other.DiffersSince.reset();
    } else if (!Other.DiffersSince) {
      Other.DiffersSince = Now;
    }
    if (this->isQueryDue(Now, Other)) {
      Due.push_back(&Known);
    }
  }
  if (Due.empty() || Now - this->LastQueryAt < ListQueryInterval) {
    return;
  }
  // Followers first, and among equals the one that was queried least recently.
  std::ranges::sort(Due, {}, [](const Entry *Known) {
    return std::pair(!Known->second.FollowsStore, Known->second.LastQueriedAt);
  });
  Due.resize(std::min(Due.size(), MaxListQueriesAtOnce));
  this->LastQueryAt = Now;
  std::vector<base::Address> Receivers;
  for (Entry *Known : Due) {
    ++(Known->second.DiffersSince ? this->Counts.Differences
                                  : this->Counts.Confirmations);
    Known->second.LastQueriedAt = Now;
    Receivers.push_back(Known->first);
  }
  Out.Messages.push_back(
      {std::move(Receivers), wire::AgentListQuery{this->Self.Name,
                                                  this->Self.Run,
                                                  this->Self.DataCentre,
                                                  {this->Own.Buckets.begin(),
                                                   this->Own.Buckets.end()}}});
}

std::optional<base::TimePoint>
AgentListExchange::confirmedAt(base::TimePoint Now) const {
  if (!this->coversOthers(Now)) {
    return std::nullopt;
  }
  if (this->StoreReadAt) {
    return this->StoreReadAt;
  }
  std::optional<base::TimePoint> Earliest;
  for (const auto &[Address, Other] : this->Others) {
    if (Other.FollowsStore) {
      Earliest = std::min(Earliest.value_or(Now), Other.LastHeardAt);
    }
  }
  return Earliest;
}

bool AgentListExchange::coversOthers(base::TimePoint Now) const {
  return std::ranges::all_of(this->Others, [&](const auto &Known) {
    return this->isCovered(Known.second) &&
           Now - Known.second.LastHeardAt <= MaxListEvidenceAge;
  });
}

} // namespace bilberry::routing
