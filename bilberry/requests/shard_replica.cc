#include "bilberry/requests/shard_replica.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bilberry::requests {

/// Limit on resends of a copy to an owner that took over without one.
static constexpr int MaxRecoveryCopySends = 10;

ShardHolder chooseBackup(const std::vector<ShardCandidate> &Ranked,
                         const ShardHolder &Owner) {
  auto OwnerEntry =
      std::find_if(Ranked.begin(), Ranked.end(),
                   [&](const auto &Each) { return Each.Holder == Owner; });
  base::DataCentreName OwnerDataCentre;
  if (OwnerEntry != Ranked.end()) {
    OwnerDataCentre = OwnerEntry->DataCentre;
  }
  const ShardCandidate *Fallback = nullptr;
  for (const ShardCandidate &Each : Ranked) {
    if (Each.Holder.Name == Owner.Name) {
      continue;
    }
    if (Each.DataCentre != OwnerDataCentre) {
      return Each.Holder;
    }
    if (Fallback == nullptr) {
      Fallback = &Each;
    }
  }
  return Fallback == nullptr ? ShardHolder() : Fallback->Holder;
}

bool ShardReplica::isOwner(const ShardHolder &Self) const {
  return this->epoch() > 0 && this->Stored.Record.Owner == Self;
}

bool ShardReplica::isBackup(const ShardHolder &Self) const {
  return this->epoch() > 0 && this->Stored.Record.Backup == Self;
}

bool ShardReplica::hasRecentListing(const ReplicaContext &Context) const {
  return Context.Now <= Context.LastListed + MaxListingAge;
}

bool ShardReplica::canDecide(const ReplicaContext &Context) const {
  if (!this->isOwner(Context.Self) || this->isSealed()) {
    return false;
  }
  if (this->CompleteEpoch < this->epoch()) {
    return false;
  }
  if (this->Stored.Record.Backup.Name.empty()) {
    return this->hasRecentListing(Context);
  }
  return this->BackupReadyEpoch == this->epoch();
}

bool ShardReplica::isAwaitingExpiry(const ShardHolder &Self) const {
  return this->isOwner(Self) && this->CompleteEpoch < this->epoch();
}

bool ShardReplica::isHolderOf(const ShardRecord &Record,
                              const ShardHolder &Self) const {
  if (Record.Owner == Self || Record.Backup == Self) {
    return true;
  }
  bool HasEarlierRun = !this->EarlierRun.Name.empty();
  return HasEarlierRun && (Record.Owner == this->EarlierRun ||
                           Record.Backup == this->EarlierRun);
}

void ShardReplica::onRecord(const ReplicaContext &Context,
                            const StoredShard &Record, ReplicaEffects &Out) {
  if (Record.ModRevision < this->Stored.ModRevision) {
    return;
  }
  this->NeedsRecordReread = false;
  this->IsSwapPending = false;
  if (Record.ModRevision == this->Stored.ModRevision) {
    return;
  }
  bool WasWaiting = this->isAwaitingExpiry(Context.Self) &&
                    Record.Record.Epoch == this->epoch() + 1 &&
                    Record.Record.Owner == Context.Self;
  if (!WasWaiting) {
    this->ExpiryWaitEnd.reset();
  }
  this->Previous = std::exchange(this->Stored.Record, Record.Record);
  this->Stored.ModRevision = Record.ModRevision;
  this->HandOver.reset();
  this->RecoveryCopy.reset();
  this->carryOverCompleteness(Context);
  this->enterEpoch(Context, Out);
}

/// A holder of the previous epoch has every decision that was acted on in it in
/// its table: an owner because it acted on them, a backup because it recorded
/// them first.
void ShardReplica::carryOverCompleteness(const ReplicaContext &Context) {
  if (!this->isHolderOf(this->Stored.Record, Context.Self)) {
    return;
  }
  bool IsFirstEpoch = this->epoch() == 1;
  bool IsNextEpoch = this->Previous.Epoch + 1 == this->epoch();
  bool SelfWasComplete = this->isHolderOf(this->Previous, Context.Self) &&
                         this->CompleteEpoch == this->Previous.Epoch;
  if (IsFirstEpoch || (IsNextEpoch && SelfWasComplete)) {
    this->CompleteEpoch = std::max(this->CompleteEpoch, this->epoch());
  }
}

void ShardReplica::enterEpoch(const ReplicaContext &Context,
                              ReplicaEffects &Out) {
  if (!this->isOwner(Context.Self)) {
    this->abortProposals(Out);
    this->offerRecoveryCopy(Context, Out);
    return;
  }
  if (this->CompleteEpoch < this->epoch()) {
    if (!this->ExpiryWaitEnd) {
      this->ExpiryWaitEnd = Context.Now + IncompleteOwnerWait;
    }
    Out.ChangeReason =
        "owner without a copy, waiting for earlier requests to expire";
    return;
  }
  this->ExpiryWaitEnd.reset();
  Out.ChangeReason = "owner";
  this->BackupCopySentAt = Context.Now;
  if (this->Stored.Record.Backup.Name.empty()) {
    this->sendProposals(Context, false, Out);
  } else {
    this->sendCopy(this->Stored.Record.Backup, this->epoch(), Out);
  }
}

/// Precondition: Self isn't the owner. Once this record is known, this replica
/// neither decides nor records anything in the previous epoch.
void ShardReplica::offerRecoveryCopy(const ReplicaContext &Context,
                                     ReplicaEffects &Out) {
  const ShardHolder &Owner = this->Stored.Record.Owner;
  bool OwnerHeldPreviousEpoch =
      this->Previous.Owner == Owner || this->Previous.Backup == Owner;
  bool IsNextEpoch =
      this->Previous.Epoch > 0 && this->Previous.Epoch + 1 == this->epoch();
  bool SelfHeldPreviousEpoch = this->isHolderOf(this->Previous, Context.Self) &&
                               this->CompleteEpoch >= this->Previous.Epoch;
  if (OwnerHeldPreviousEpoch || !IsNextEpoch || !SelfHeldPreviousEpoch) {
    return;
  }
  this->RecoveryCopy =
      RecoveryCopyState{Owner, MaxRecoveryCopySends, Context.Now};
  this->sendCopy(Owner, this->epoch(), Out);
}

void ShardReplica::onSwapFailed() {
  this->IsSwapPending = false;
  this->NeedsRecordReread = true;
}

void ShardReplica::abortProposals(ReplicaEffects &Out) {
  for (auto &[Id, Each] : this->Proposals) {
    Out.Aborted.push_back(Each.Entry);
  }
  this->Proposals.clear();
}

void ShardReplica::propose(const ReplicaContext &Context,
                           const wire::IntentEntry &Entry,
                           ReplicaEffects &Out) {
  if (!this->isOwner(Context.Self) || !this->Table.canRecord(Entry)) {
    Out.Aborted.push_back(Entry);
    return;
  }
  this->Proposals[Entry.Id] = {Entry, Context.Now};
  if (!this->canDecide(Context)) {
    return;
  }
  const ShardHolder &Backup = this->Stored.Record.Backup;
  if (Backup.Name.empty()) {
    this->commit(Entry, Out);
    return;
  }
  Out.Sends.push_back(
      {Backup.Name, wire::Intent{this->Stored.Shard, this->epoch(), Entry}});
}

void ShardReplica::removeProposal(base::RequestId Id) {
  this->Proposals.erase(Id);
}

void ShardReplica::sendProposals(const ReplicaContext &Context,
                                 bool OnlyOverdue, ReplicaEffects &Out) {
  if (!this->canDecide(Context)) {
    return;
  }
  std::vector<wire::IntentEntry> Due;
  for (auto &[Id, Each] : this->Proposals) {
    if (OnlyOverdue && Context.Now < Each.SentAt + PeerResendInterval) {
      continue;
    }
    Each.SentAt = Context.Now;
    Due.push_back(Each.Entry);
  }
  const ShardHolder &Backup = this->Stored.Record.Backup;
  for (const wire::IntentEntry &Entry : Due) {
    if (Backup.Name.empty()) {
      this->commit(Entry, Out);
    } else {
      Out.Sends.push_back({Backup.Name, wire::Intent{this->Stored.Shard,
                                                     this->epoch(), Entry}});
    }
  }
}

void ShardReplica::commit(const wire::IntentEntry &Entry, ReplicaEffects &Out) {
  this->Proposals.erase(Entry.Id);
  if (this->Table.record(Entry)) {
    Out.Committed.push_back(Entry);
  } else {
    Out.Aborted.push_back(Entry);
  }
}

void ShardReplica::onIntent(const ReplicaContext &Context,
                            const ShardHolder &From,
                            const wire::Intent &Message, ReplicaEffects &Out) {
  wire::IntentReply Reply{
      this->Stored.Shard,    Message.Epoch, Message.Entry.Id,
      Message.Entry.Attempt, false,         Message.Entry.Decision};
  bool IsOldEpoch = Message.Epoch < this->epoch();
  bool IsFromCurrentOwner = Message.Epoch == this->epoch() &&
                            this->isBackup(Context.Self) &&
                            this->Stored.Record.Owner == From;
  if (IsOldEpoch || (IsFromCurrentOwner && this->isSealed())) {
    Out.Sends.push_back({From.Name, Reply});
    return;
  }
  if (!IsFromCurrentOwner || this->CompleteEpoch < this->epoch() ||
      !this->hasRecentListing(Context)) {
    return; // The owner resends the intent.
  }
  if (!this->Table.record(Message.Entry)) {
    return; // A delayed duplicate of a superseded decision.
  }
  Reply.Recorded = true;
  Out.Sends.push_back({From.Name, Reply});
}

void ShardReplica::onIntentReply(const ReplicaContext &Context,
                                 const ShardHolder &From,
                                 const wire::IntentReply &Message,
                                 ReplicaEffects &Out) {
  bool IsCurrent = this->isOwner(Context.Self) &&
                   Message.Epoch == this->epoch() &&
                   this->Stored.Record.Backup == From;
  if (!IsCurrent || !this->canDecide(Context)) {
    return;
  }
  if (!Message.Recorded) {
    this->seal();
    return;
  }
  auto It = this->Proposals.find(Message.Id);
  if (It == this->Proposals.end()) {
    return;
  }
  wire::IntentEntry Entry = It->second.Entry;
  if (Entry.Attempt == Message.Attempt && Entry.Decision == Message.Decision) {
    this->commit(Entry, Out);
  }
}

void ShardReplica::sendCopy(const ShardHolder &To, uint64_t Epoch,
                            ReplicaEffects &Out) {
  Out.Sends.push_back({To.Name, wire::ShardCopy{this->Stored.Shard, Epoch,
                                                this->Table.entries()}});
}

/// Returns true if this replica can accept the copy: a backup from the owner of
/// the epoch; a future owner, or one that has decided nothing yet, from a
/// holder of the previous epoch.
bool ShardReplica::mayAcceptCopy(const ReplicaContext &Context,
                                 const ShardHolder &From,
                                 const wire::ShardCopy &Message) const {
  const ShardRecord &Record = this->Stored.Record;
  if (Message.Epoch == Record.Epoch + 1) {
    return Record.Owner == From || Record.Backup == From;
  }
  if (Message.Epoch != Record.Epoch) {
    return false;
  }
  if (this->isBackup(Context.Self)) {
    return Record.Owner == From;
  }
  bool IsFromPreviousHolder =
      this->Previous.Epoch + 1 == Record.Epoch &&
      (this->Previous.Owner == From || this->Previous.Backup == From);
  return this->isAwaitingExpiry(Context.Self) && IsFromPreviousHolder;
}

void ShardReplica::onShardCopy(const ReplicaContext &Context,
                               const ShardHolder &From,
                               const wire::ShardCopy &Message,
                               ReplicaEffects &Out) {
  if (Message.Epoch < this->epoch() ||
      Message.Epoch <= this->SealedThroughEpoch) {
    Out.Sends.push_back(
        {From.Name,
         wire::ShardCopyReply{this->Stored.Shard, Message.Epoch, false}});
    return;
  }
  bool IsRepeated =
      this->LastCopyEpoch == Message.Epoch && this->LastCopySender == From;
  if (!IsRepeated && !this->mayAcceptCopy(Context, From, Message)) {
    return; // The sender resends it; the record may be known by then.
  }
  Out.Sends.push_back({From.Name, wire::ShardCopyReply{this->Stored.Shard,
                                                       Message.Epoch, true}});
  if (IsRepeated) {
    return;
  }
  this->Table.assign(Message.Entries);
  this->LastCopyEpoch = Message.Epoch;
  this->LastCopySender = From;
  bool WasWaiting = this->isAwaitingExpiry(Context.Self);
  this->CompleteEpoch = Message.Epoch;
  if (WasWaiting && Message.Epoch == this->epoch()) {
    this->enterEpoch(Context, Out);
  }
}

void ShardReplica::onShardCopyReply(const ReplicaContext &Context,
                                    const ShardHolder &From,
                                    const wire::ShardCopyReply &Message,
                                    ReplicaEffects &Out) {
  if (this->RecoveryCopy && this->RecoveryCopy->To == From) {
    this->RecoveryCopy.reset();
    return;
  }
  if (!this->isOwner(Context.Self)) {
    return;
  }
  if (this->HandOver && this->HandOver->To == From &&
      Message.Epoch == this->epoch() + 1) {
    if (!Message.Accepted) {
      this->HandOver.reset();
      return;
    }
    if (!this->IsSwapPending && !this->NeedsRecordReread) {
      this->swap(From, this->HandOver->NextBackup, "handed over", Out);
    }
    return;
  }
  if (Message.Epoch != this->epoch() || this->Stored.Record.Backup != From) {
    return;
  }
  if (!Message.Accepted) {
    this->seal();
    return;
  }
  this->BackupReadyEpoch = this->epoch();
  this->sendProposals(Context, false, Out);
}

void ShardReplica::swap(const ShardHolder &Owner, const ShardHolder &Backup,
                        const char *ChangeReason, ReplicaEffects &Out) {
  ShardRecord Next{Owner, Backup, this->epoch() + 1};
  Out.Swap = board::CompareAndSwapShard{this->Stored.Shard, Next,
                                        this->Stored.ModRevision};
  Out.ChangeReason = ChangeReason;
  this->IsSwapPending = true;
}

namespace {

/// Computes a digest of several values (the finalizer of SplitMix64).
class Digest {
public:
  void add(uint64_t Value) {
    uint64_t Mixed = this->Sum ^ (Value + 0x9E3779B97F4A7C15ULL);
    Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    Mixed = (Mixed ^ (Mixed >> 27)) * 0x94D049BB133111EBULL;
    this->Sum = Mixed ^ (Mixed >> 31);
  }
  void add(base::TimePoint Value) {
    this->add(static_cast<uint64_t>(Value.time_since_epoch().count()));
  }
  void add(const ShardHolder &Value) {
    this->add(std::hash<base::MemberName>()(Value.Name));
    this->add(Value.Run);
  }
  void add(const ShardRecord &Value) {
    this->add(Value.Owner);
    this->add(Value.Backup);
    this->add(Value.Epoch);
  }
  void add(const wire::IntentEntry &Value) {
    this->add(Value.Id.High);
    this->add(Value.Id.Low);
    this->add(Value.Attempt * 2 + static_cast<uint64_t>(Value.Decision));
    this->add(Value.Deadline);
  }
  uint64_t sum() const { return this->Sum; }

private:
  uint64_t Sum = 0;
};

} // namespace

uint64_t ShardReplica::fingerprint() const {
  Digest All;
  All.add(this->Stored.Record);
  All.add(static_cast<uint64_t>(this->Stored.ModRevision));
  for (const wire::IntentEntry &Entry : this->Table.entries()) {
    All.add(Entry);
  }
  for (const auto &[Id, Each] : this->Proposals) {
    All.add(Each.Entry);
    All.add(Each.SentAt);
  }
  All.add(this->Table.size() * 64 + this->Proposals.size());
  All.add(this->Previous);
  All.add(this->EarlierRun);
  All.add(this->LastCopySender);
  for (uint64_t Epoch : {this->CompleteEpoch, this->SealedThroughEpoch,
                         this->BackupReadyEpoch, this->LastCopyEpoch}) {
    All.add(Epoch);
  }
  All.add(this->BackupCopySentAt);
  All.add(this->ExpiryWaitEnd.value_or(base::TimePoint()));
  if (this->HandOver) {
    All.add(this->HandOver->To);
    All.add(this->HandOver->NextBackup);
    All.add(this->HandOver->StartedAt);
    All.add(this->HandOver->SentAt);
  }
  if (this->RecoveryCopy) {
    All.add(this->RecoveryCopy->To);
    All.add(static_cast<uint64_t>(this->RecoveryCopy->SendsLeft));
  }
  All.add((this->IsSwapPending ? 1U : 0U) +
          (this->NeedsRecordReread ? 2U : 0U));
  return All.sum();
}

void ShardReplica::seal() {
  this->SealedThroughEpoch = std::max(this->SealedThroughEpoch, this->epoch());
}

void ShardReplica::sealAllEpochs() {
  this->SealedThroughEpoch = std::numeric_limits<uint64_t>::max();
}

void ShardReplica::restoreState(const StoredShard &Record,
                                uint64_t CompleteEpoch,
                                const std::vector<wire::IntentEntry> &Entries,
                                const ShardHolder &EarlierRun) {
  this->Stored = Record;
  this->CompleteEpoch = CompleteEpoch;
  this->Table.assign(Entries);
  this->EarlierRun = EarlierRun;
  this->seal();
}

void ShardReplica::tick(const ReplicaContext &Context, const ShardView &View,
                        ReplicaEffects &Out) {
  this->Table.expire(Context.Now);
  if (this->ExpiryWaitEnd && Context.Now >= *this->ExpiryWaitEnd) {
    this->CompleteEpoch = this->epoch();
    this->enterEpoch(Context, Out);
  }
  this->resendCopies(Context, Out);
  this->sendProposals(Context, true, Out);
  if (this->IsSwapPending || this->NeedsRecordReread) {
    return;
  }
  if (this->isOwner(Context.Self)) {
    this->tickOwner(Context, View, Out);
  } else {
    this->tickNonOwner(Context, View, Out);
  }
}

void ShardReplica::resendCopies(const ReplicaContext &Context,
                                ReplicaEffects &Out) {
  if (this->RecoveryCopy &&
      Context.Now >= this->RecoveryCopy->SentAt + PeerResendInterval) {
    this->RecoveryCopy->SentAt = Context.Now;
    this->sendCopy(this->RecoveryCopy->To, this->epoch(), Out);
    if (--this->RecoveryCopy->SendsLeft <= 0) {
      this->RecoveryCopy.reset();
    }
  }
  bool NeedsBackupCopy = this->isOwner(Context.Self) && !this->isSealed() &&
                         this->CompleteEpoch >= this->epoch() &&
                         !this->Stored.Record.Backup.Name.empty() &&
                         this->BackupReadyEpoch < this->epoch();
  if (NeedsBackupCopy &&
      Context.Now >= this->BackupCopySentAt + PeerResendInterval) {
    this->BackupCopySentAt = Context.Now;
    this->sendCopy(this->Stored.Record.Backup, this->epoch(), Out);
  }
}

void ShardReplica::tickOwner(const ReplicaContext &Context,
                             const ShardView &View, ReplicaEffects &Out) {
  if (this->HandOver) {
    this->tickHandOver(Context, Out);
    return;
  }
  bool HasPreferredOwner = !View.Ranked.empty() &&
                           View.Ranked.front().Holder.Name != Context.Self.Name;
  if (View.MayHandOver && HasPreferredOwner) {
    this->beginHandOver(Context, View, Out);
    return;
  }
  this->tickBackup(Context, View, Out);
}

void ShardReplica::beginHandOver(const ReplicaContext &Context,
                                 const ShardView &View, ReplicaEffects &Out) {
  const ShardHolder &To = View.Ranked.front().Holder;
  ShardHolder Backup = this->Stored.Record.Backup;
  bool KeepsBackup = !Backup.Name.empty() && Backup.Name != To.Name &&
                     !View.BackupIsGone && !View.BackupIsLeaving;
  if (!KeepsBackup) {
    Backup = chooseBackup(View.Ranked, To);
  }
  this->seal();
  if (this->CompleteEpoch < this->epoch()) {
    this->swap(To, Backup, "handed over without a copy", Out);
    return;
  }
  this->HandOver = HandOverState{To, Backup, Context.Now, Context.Now};
  this->sendCopy(To, this->epoch() + 1, Out);
}

void ShardReplica::tickHandOver(const ReplicaContext &Context,
                                ReplicaEffects &Out) {
  if (Context.Now >= this->HandOver->StartedAt + HandOverTimeout) {
    this->HandOver.reset();
    return; // The epoch is sealed; the next tick starts a new one.
  }
  if (Context.Now >= this->HandOver->SentAt + PeerResendInterval) {
    this->HandOver->SentAt = Context.Now;
    this->sendCopy(this->HandOver->To, this->epoch() + 1, Out);
  }
}

void ShardReplica::tickBackup(const ReplicaContext &Context,
                              const ShardView &View, ReplicaEffects &Out) {
  const ShardHolder &Backup = this->Stored.Record.Backup;
  bool IsUsable = !Backup.Name.empty() && !View.BackupIsGone;
  if (IsUsable && !View.BackupIsLeaving) {
    if (this->isSealed()) {
      this->swap(Context.Self, Backup,
                 "new epoch after the backup rejected the last one", Out);
    }
    return;
  }
  ShardHolder NextBackup = chooseBackup(View.Ranked, Context.Self);
  if (NextBackup != Backup || this->isSealed()) {
    this->swap(Context.Self, NextBackup, "new backup", Out);
  }
}

void ShardReplica::tickNonOwner(const ReplicaContext &Context,
                                const ShardView &View, ReplicaEffects &Out) {
  const ShardRecord &Record = this->Stored.Record;
  bool IsTopRanked =
      !View.Ranked.empty() && View.Ranked.front().Holder == Context.Self;
  ShardHolder NextBackup = chooseBackup(View.Ranked, Context.Self);
  if (this->epoch() == 0) {
    bool IsListed = Context.LastListed != base::TimePoint();
    if (IsTopRanked && IsListed) {
      this->swap(Context.Self, NextBackup, "claimed", Out);
    }
    return;
  }
  bool HasEarlierRun = !this->EarlierRun.Name.empty();
  if (HasEarlierRun && Record.Owner == this->EarlierRun) {
    bool KeepsBackup = !View.BackupIsGone && !Record.Backup.Name.empty();
    this->swap(Context.Self, KeepsBackup ? Record.Backup : NextBackup,
               "reclaimed after a restart", Out);
    return;
  }
  if (!View.OwnerIsGone) {
    return;
  }
  bool IsSuccessor = this->isBackup(Context.Self) ||
                     (HasEarlierRun && Record.Backup == this->EarlierRun);
  if (IsSuccessor) {
    bool IsComplete = this->CompleteEpoch >= this->epoch();
    this->seal();
    this->swap(Context.Self, NextBackup,
               IsComplete ? "taken over by the backup"
                          : "taken over without a copy",
               Out);
    return;
  }
  bool BackupIsLost = Record.Backup.Name.empty() || View.BackupIsGone;
  if (BackupIsLost && IsTopRanked) {
    this->swap(Context.Self, NextBackup, "taken over without a copy", Out);
  }
}

} // namespace bilberry::requests
