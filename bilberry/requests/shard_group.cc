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

void ShardGroup::onListed(base::TimePoint Began) {
  this->LastListed = std::max(this->LastListed, Began);
}

ReplicaContext ShardGroup::context(const Surroundings &Around) const {
  return {Around.Now, Around.holder(), this->LastListed};
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

/// Wrong answers cost a needless change of holders, never a wrong decision.
bool ShardGroup::isGone(base::TimePoint Now, const ShardHolder &Holder,
                        const HolderStates &States) {
  auto It = States.find(Holder.Name);
  bool IsKnown = It != States.end() && It->second.IsKnown;
  if (IsKnown && It->second.Run <= Holder.Run) {
    this->DoubtedSince.erase(Holder);
    return It->second.IsSilent ||
           It->second.State == members::MemberState::Leaving;
  }
  auto Doubt = this->DoubtedSince.emplace(Holder, Now).first;
  return Now >= Doubt->second + UnknownHolderDelay;
}

void ShardGroup::rankMembers(const Surroundings &Around) {
  if (this->RankedView == Around.View) {
    return;
  }
  this->RankedView = Around.View;
  bool HasChanged = false;
  for (uint32_t Shard = 0; Shard < ShardsPerService; ++Shard) {
    base::FlowKey Key = routing::shardKey(Around.Self.Service, Shard);
    std::vector<ShardCandidate> Next;
    for (const members::RankedMember *Each :
         routing::topRanked(Around.View->Placement, Key, CandidatesPerShard)) {
      const members::Member &Value = Each->Value;
      Next.push_back({{Value.Name, Value.Run}, Value.DataCentre});
    }
    bool SameFirst = !Next.empty() && !this->Ranked[Shard].empty() &&
                     Next[0].Holder == this->Ranked[Shard][0].Holder;
    HasChanged = HasChanged || !SameFirst;
    this->Ranked[Shard] = std::move(Next);
  }
  if (HasChanged) {
    this->RankedSince = Around.Now;
  }
}

size_t ShardGroup::handOvers() const {
  return static_cast<size_t>(std::count_if(
      this->Replicas.begin(), this->Replicas.end(), [](const auto &Each) {
        return Each.isHandingOver() || Each.isSwapping();
      }));
}

bool ShardGroup::mayHandOver(const Surroundings &Around, uint32_t Shard) const {
  if (!Around.MayRunHere) {
    return this->handOvers() < HandOversAtOnce;
  }
  const ShardReplica &Replica = this->Replicas[Shard];
  return !Replica.isWaitingOut(Around.holder()) && this->handOvers() == 0 &&
         Around.Now >= this->RankedSince + RebalanceDelay;
}

ShardView ShardGroup::viewOf(const Surroundings &Around, uint32_t Shard,
                             const HolderStates &States) {
  const ShardRecord &Record = this->Replicas[Shard].record().Record;
  ShardView View;
  View.Ranked = this->Ranked[Shard];
  if (Record.Epoch == 0) {
    return View;
  }
  View.OwnerIsGone = this->isGone(Around.Now, Record.Owner, States);
  if (!Record.Backup.Name.empty()) {
    View.BackupIsGone = this->isGone(Around.Now, Record.Backup, States);
  }
  auto It = States.find(Record.Backup.Name);
  if (It != States.end()) {
    // A later run of a backup has nothing to take up, unlike one of an owner.
    View.BackupIsGone |= It->second.Run > Record.Backup.Run;
    bool IsDraining = It->second.State == members::MemberState::Draining;
    View.BackupIsLeaving = IsDraining || It->second.IsDataCentreOut;
  }
  std::erase_if(View.Ranked, [&](const ShardCandidate &Each) {
    return (View.OwnerIsGone && Each.Holder == Record.Owner) ||
           (View.BackupIsGone && Each.Holder == Record.Backup);
  });
  View.MayHandOver = this->mayHandOver(Around, Shard);
  return View;
}

void ShardGroup::tick(const Surroundings &Around, const HolderStates &States,
                      std::vector<ShardEffects> &Out) {
  if (this->IsSealed) {
    return;
  }
  this->rankMembers(Around);
  ReplicaContext Context = this->context(Around);
  for (uint32_t Shard = 0; Shard < ShardsPerService; ++Shard) {
    ShardView View = this->viewOf(Around, Shard, States);
    ShardEffects Item{Shard, {}};
    this->Replicas[Shard].tick(Context, View, Item.Effects);
    Out.push_back(std::move(Item));
  }
}

void ShardGroup::seal() {
  this->IsSealed = true;
  for (ShardReplica &Each : this->Replicas) {
    Each.retire();
  }
}

size_t ShardGroup::owned(const ShardHolder &Self) const {
  return static_cast<size_t>(
      std::count_if(this->Replicas.begin(), this->Replicas.end(),
                    [&](const auto &Each) { return Each.isOwner(Self); }));
}

size_t ShardGroup::backedUp(const ShardHolder &Self) const {
  return static_cast<size_t>(
      std::count_if(this->Replicas.begin(), this->Replicas.end(),
                    [&](const auto &Each) { return Each.isBackup(Self); }));
}

size_t ShardGroup::records() const {
  size_t Count = 0;
  for (const ShardReplica &Each : this->Replicas) {
    Count += Each.table().size();
  }
  return Count;
}

} // namespace bilberry::requests
