#include "bilberry/routing/peer_balancers.h"

#include "bilberry/routing/rendezvous.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace bilberry::routing {

using members::AgentIndex;
using members::AgentView;

PeerBalancers::PeerBalancers(PeerIdentity Self, base::TimePoint StartedAt,
                             const members::AgentViews &Agents)
    : Self(std::move(Self)), StartedAt(StartedAt), Agents(Agents),
      Score(this->scoreOf(this->Self.Name)), Lists(this->Self, Agents),
      LastPassAt(StartedAt - PassInterval) {}

uint64_t PeerBalancers::scoreOf(const base::MemberName &Name) const {
  return rendezvousScore(memberHash(Name),
                         dutyKey(this->Self.DataCentre.text()));
}

void PeerBalancers::learn(base::TimePoint Now,
                          const std::vector<base::Address> &Addresses) {
  for (const base::Address &Control : Addresses) {
    if (Control != this->Self.Control) {
      this->Peers[Control].LastNamedAt = Now;
    }
  }
}

void PeerBalancers::passOn(AgentIndex Agent) {
  if (std::ranges::find(this->Pending, Agent) == this->Pending.end()) {
    this->Pending.push_back(Agent);
  }
}

void PeerBalancers::onMessage(base::TimePoint Now, const base::Address &From,
                              const wire::PassedStatuses &Message,
                              packet::PacketActions &Out) {
  if (Message.DataCentre != this->Self.DataCentre ||
      Message.Name == this->Self.Name) {
    return;
  }
  Peer &Known = this->Peers[From];
  bool IsNewRun = Known.Run != Message.Run;
  if (Known.Name != Message.Name) {
    Known.Name = Message.Name;
    Known.Score = this->scoreOf(Message.Name);
  }
  Known.Run = Message.Run;
  Known.FollowsStore = Message.FollowsStore;
  Known.LastMessageAt = Now;
  this->Lists.recordDigest(Now, From, Message.AgentList, Message.FollowsStore);
  if (!IsNewRun) {
    return;
  }
  Out.Events.push_back("event=peer-heard balancer=" + Message.Name.text() +
                       " run=" + std::to_string(Message.Run));
  std::vector<AgentIndex> All;
  for (size_t I = 0; I < this->Agents.size(); ++I) {
    auto Index = static_cast<AgentIndex>(I);
    if (this->Agents.at(Index).hasStatus()) {
      All.push_back(Index);
    }
  }
  this->send(Now, {From}, All, Out);
}

void PeerBalancers::send(base::TimePoint Now,
                         const std::vector<base::Address> &To,
                         const std::vector<AgentIndex> &AgentIndexes,
                         packet::PacketActions &Out) const {
  wire::PassedStatuses Message{this->Self.Name,
                               this->Self.Run,
                               this->Self.DataCentre,
                               this->View.IsCurrent,
                               {},
                               this->View.Documents,
                               this->Lists.digest()};
  size_t Next = 0;
  do {
    Message.Statuses.clear();
    while (Next < AgentIndexes.size() &&
           Message.Statuses.size() < wire::MaxStatusesPerMessage) {
      const AgentView &View = this->Agents.at(AgentIndexes[Next++]);
      auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
          Now - View.LastStatusAt);
      Message.Statuses.push_back(
          {View.Control,
           static_cast<uint32_t>(std::max<int64_t>(0, Age.count())),
           View.Status});
    }
    Out.Messages.push_back({To, Message});
  } while (Next < AgentIndexes.size());
}

bool PeerBalancers::isHeard(base::TimePoint Now,
                            const base::Address &From) const {
  auto It = this->Peers.find(From);
  return It != this->Peers.end() && It->second.isHeard(Now);
}

void PeerBalancers::onListQuery(const base::Address &From,
                                const wire::AgentListQuery &Query,
                                packet::PacketActions &Out) const {
  if (Query.DataCentre == this->Self.DataCentre) {
    this->Lists.onQuery(From, Query, Out);
  }
}

void PeerBalancers::onListAnswer(base::TimePoint Now, const base::Address &From,
                                 const wire::AgentListAnswer &Answer,
                                 packet::PacketActions &Out) {
  if (Answer.DataCentre == this->Self.DataCentre && this->isHeard(Now, From)) {
    this->Lists.onAnswer(Now, From, Answer, Out);
  }
}

void PeerBalancers::onStatusQuery(base::TimePoint Now,
                                  const base::Address &From,
                                  const wire::StatusQuery &Query,
                                  packet::PacketActions &Out) const {
  if (Query.DataCentre != this->Self.DataCentre ||
      Query.Agents.size() > wire::MaxAgentsPerStatusQuery) {
    return;
  }
  std::unordered_set<uint64_t> Wanted(Query.Agents.begin(), Query.Agents.end());
  std::vector<AgentIndex> Found;
  for (size_t I = 0; I < this->Agents.size(); ++I) {
    auto Index = static_cast<AgentIndex>(I);
    const AgentView &View = this->Agents.at(Index);
    if (View.hasStatus() && Wanted.contains(View.NameHash)) {
      Found.push_back(Index);
    }
  }
  if (!Found.empty()) {
    this->send(Now, {From}, Found, Out);
  }
}

void PeerBalancers::onTick(base::TimePoint Now, const StoreView &View,
                           base::Duration FlowLifetime,
                           packet::PacketActions &Out) {
  for (const auto &[Control, Known] : this->Peers) {
    if (!Known.isHeard(Now)) {
      this->Lists.forget(Control);
    }
  }
  this->Lists.update(Now,
                     View.IsCurrent ? std::optional(View.ReadAt) : std::nullopt,
                     FlowLifetime);
  this->Lists.onTick(Now, Out);
  bool HasNewDocuments =
      View.IsCurrent && wire::isNewer(View.Documents, this->View.Documents);
  this->View = View;
  base::Duration Interval = this->Lists.digest() != this->PassedDigest
                                ? ListNewsInterval
                                : PassInterval;
  if (Now - this->LastPassAt < Interval && !HasNewDocuments) {
    return;
  }
  this->LastPassAt = Now;
  this->PassedDigest = this->Lists.digest();
  std::erase_if(this->Peers, [&](const auto &Known) {
    return Now -
               std::max(Known.second.LastMessageAt, Known.second.LastNamedAt) >
           PeerExpiry;
  });
  std::vector<base::Address> Receivers;
  for (const auto &[Control, Known] : this->Peers) {
    Receivers.push_back(Control);
  }
  if (!Receivers.empty()) {
    this->send(Now, Receivers, this->Pending, Out);
  }
  this->Pending.clear();
}

bool PeerBalancers::mustFollowStore(base::TimePoint Now) const {
  if (Now - this->StartedAt < FollowingGracePeriod) {
    return true;
  }
  auto Better = std::ranges::count_if(this->Peers, [&](const auto &Known) {
    const Peer &Value = Known.second;
    bool IsBetter = std::pair(Value.Score, Value.Name) >
                    std::pair(this->Score, this->Self.Name);
    return IsBetter && Value.FollowsStore && Value.isHeard(Now);
  });
  return static_cast<size_t>(Better) < FollowersPerDataCentre;
}

size_t PeerBalancers::heard(base::TimePoint Now) const {
  return static_cast<size_t>(
      std::ranges::count_if(this->Peers, [&](const auto &Known) {
        return Known.second.isHeard(Now);
      }));
}

} // namespace bilberry::routing
