#include "bilberry/requests/shard_group.h"

#include "bilberry/routing/rendezvous.h"

#include <algorithm>
#include <set>

namespace bilberry::requests {

ShardGroup::ShardGroup() {
  for (uint32_t Shard = 0; Shard < ShardsPerService; ++Shard) {
    this->Replicas[Shard] = ShardReplica(Shard);
  }
}

void ShardGroup::onRecordsListed(base::TimePoint ListingStart) {
  this->LastListed = std::max(this->LastListed, ListingStart);
}

ReplicaContext ShardGroup::context(const AgentContext &Agent) const {
  return {Agent.Now, Agent.holder(), this->LastListed};
}

std::vector<base::MemberName> ShardGroup::holderNames() const {
  std::set<base::MemberName> Names;
  for (const ShardReplica &Each : this->Replicas) {
    const ShardRecord &Record = Each.record().Record;
    Names.insert(Record.Owner.Name);
    Names.insert(Record.Backup.Name);
  }
  Names.erase(base::MemberName());
  return {Names.begin(), Names.end()};
}

/// A wrong result causes a needless change of holders, never a wrong decision
/// on a request.
bool ShardGroup::isGone(base::TimePoint Now, const ShardHolder &Holder,
                        const HolderStates &States) {
  auto It = States.find(Holder.Name);
  bool IsKnown = It != States.end() && It->second.IsKnown;
  if (IsKnown && It->second.Run <= Holder.Run) {
    this->UnconfirmedSince.erase(Holder);
    return It->second.IsSilent ||
           It->second.State == members::MemberState::Leaving;
  }
  auto FirstUnconfirmed = this->UnconfirmedSince.emplace(Holder, Now).first;
  return Now >= FirstUnconfirmed->second + UnknownHolderDelay;
}

void ShardGroup::rankMembers(const AgentContext &Agent) {
  if (this->RankingSource == Agent.View) {
    return;
  }
  this->RankingSource = Agent.View;
  bool HasChanged = false;
  for (uint32_t Shard = 0; Shard < ShardsPerService; ++Shard) {
    base::FlowKey Key = routing::shardKey(Agent.Self.Service, Shard);
    std::vector<ShardCandidate> Next;
    for (const members::HashedMember *Each : routing::topRanked(
             Agent.View->Placement, Key, MaxCandidatesPerShard)) {
      const members::Member &Value = Each->Value;
      Next.push_back({{Value.Name, Value.Run}, Value.DataCentre});
    }
    bool IsFirstUnchanged = !Next.empty() && !this->Ranked[Shard].empty() &&
                            Next[0].Holder == this->Ranked[Shard][0].Holder;
    HasChanged = HasChanged || !IsFirstUnchanged;
    this->Ranked[Shard] = std::move(Next);
  }
  if (HasChanged) {
    this->RankedSince = Agent.Now;
  }
}

size_t ShardGroup::pendingHolderChanges() const {
  return static_cast<size_t>(std::count_if(
      this->Replicas.begin(), this->Replicas.end(), [](const auto &Each) {
        return Each.isHandingOver() || Each.isSwapping();
      }));
}

bool ShardGroup::mayHandOver(const AgentContext &Agent, uint32_t Shard) const {
  if (!Agent.CanRunLocally) {
    return this->pendingHolderChanges() < MaxConcurrentHandOvers;
  }
  const ShardReplica &Replica = this->Replicas[Shard];
  return !Replica.isAwaitingExpiry(Agent.holder()) &&
         this->pendingHolderChanges() == 0 &&
         Agent.Now >= this->RankedSince + RebalanceDelay;
}

ShardView ShardGroup::shardView(const AgentContext &Agent, uint32_t Shard,
                                const HolderStates &States) {
  const ShardRecord &Record = this->Replicas[Shard].record().Record;
  ShardView View;
  View.Ranked = this->Ranked[Shard];
  if (Record.Epoch == 0) {
    return View;
  }
  View.OwnerIsGone = this->isGone(Agent.Now, Record.Owner, States);
  if (!Record.Backup.Name.empty()) {
    View.BackupIsGone = this->isGone(Agent.Now, Record.Backup, States);
  }
  auto It = States.find(Record.Backup.Name);
  if (It != States.end()) {
    // A later run of a backup doesn't get its role back, unlike a later run of
    // an owner, which reclaims the shard.
    View.BackupIsGone |= It->second.Run > Record.Backup.Run;
    bool IsDraining = It->second.State == members::MemberState::Draining;
    View.BackupIsLeaving = IsDraining || It->second.IsDataCentreOutOfService;
  }
  std::erase_if(View.Ranked, [&](const ShardCandidate &Each) {
    return (View.OwnerIsGone && Each.Holder == Record.Owner) ||
           (View.BackupIsGone && Each.Holder == Record.Backup);
  });
  View.MayHandOver = this->mayHandOver(Agent, Shard);
  return View;
}

void ShardGroup::tick(const AgentContext &Agent, const HolderStates &States,
                      std::vector<ShardEffects> &Out) {
  if (this->IsSealed) {
    return;
  }
  this->rankMembers(Agent);
  ReplicaContext Context = this->context(Agent);
  for (uint32_t Shard = 0; Shard < ShardsPerService; ++Shard) {
    ShardView View = this->shardView(Agent, Shard, States);
    ShardEffects Item{Shard, {}};
    this->Replicas[Shard].tick(Context, View, Item.Effects);
    Out.push_back(std::move(Item));
  }
}

void ShardGroup::seal() {
  this->IsSealed = true;
  for (ShardReplica &Each : this->Replicas) {
    Each.sealAllEpochs();
  }
}

size_t ShardGroup::ownedCount(const ShardHolder &Self) const {
  return static_cast<size_t>(
      std::count_if(this->Replicas.begin(), this->Replicas.end(),
                    [&](const auto &Each) { return Each.isOwner(Self); }));
}

size_t ShardGroup::backupCount(const ShardHolder &Self) const {
  return static_cast<size_t>(
      std::count_if(this->Replicas.begin(), this->Replicas.end(),
                    [&](const auto &Each) { return Each.isBackup(Self); }));
}

size_t ShardGroup::tableEntryCount() const {
  size_t Count = 0;
  for (const ShardReplica &Each : this->Replicas) {
    Count += Each.table().size();
  }
  return Count;
}

} // namespace bilberry::requests
