#include "bilberry/requests/shard_replica.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bilberry::requests {

/// How often a copy is offered to an owner that took over without one.
static constexpr int LateCopyTries = 10;

ShardHolder chooseBackup(const std::vector<ShardCandidate> &Ranked,
                         const ShardHolder &Owner) {
  auto Own = std::find_if(Ranked.begin(), Ranked.end(), [&](const auto &Each) {
    return Each.Holder == Owner;
  });
  base::DataCentreName Home;
  if (Own != Ranked.end()) {
    Home = Own->DataCentre;
  }
  const ShardCandidate *Best = nullptr;
  for (const ShardCandidate &Each : Ranked) {
    if (Each.Holder.Name == Owner.Name) {
      continue;
    }
    if (Each.DataCentre != Home) {
      return Each.Holder;
    }
    if (Best == nullptr) {
      Best = &Each;
    }
  }
  return Best == nullptr ? ShardHolder() : Best->Holder;
}

bool ShardReplica::isOwner(const ShardHolder &Self) const {
  return this->epoch() > 0 && this->Known.Record.Owner == Self;
}

bool ShardReplica::isBackup(const ShardHolder &Self) const {
  return this->epoch() > 0 && this->Known.Record.Backup == Self;
}

bool ShardReplica::isProven(const ReplicaContext &Context) const {
  return Context.Now <= Context.LastListed + RecordProofLimit;
}

bool ShardReplica::isDeciding(const ReplicaContext &Context) const {
  if (!this->isOwner(Context.Self) || this->isSealed()) {
    return false;
  }
  if (this->CompleteAt < this->epoch()) {
    return false;
  }
  if (this->Known.Record.Backup.Name.empty()) {
    return this->isProven(Context);
  }
  return this->ArmedAt == this->epoch();
}

bool ShardReplica::isWaitingOut(const ShardHolder &Self) const {
  return this->isOwner(Self) && this->CompleteAt < this->epoch();
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
  if (Record.Changed < this->Known.Changed) {
    return;
  }
  this->IsFrozen = false;
  this->SwapSent = false;
  if (Record.Changed == this->Known.Changed) {
    return;
  }
  bool WasWaiting = this->isWaitingOut(Context.Self) &&
                    Record.Record.Epoch == this->epoch() + 1 &&
                    Record.Record.Owner == Context.Self;
  if (!WasWaiting) {
    this->CompleteFrom.reset();
  }
  this->Previous = std::exchange(this->Known.Record, Record.Record);
  this->Known.Changed = Record.Changed;
  this->HandOver.reset();
  this->LateCopy.reset();
  this->carryCompleteness(Context);
  this->enterEpoch(Context, Out);
}

/// A holder of the epoch before has, in its table, every decision that was
/// acted on there: as owner it acted itself, as backup it recorded first.
void ShardReplica::carryCompleteness(const ReplicaContext &Context) {
  if (!this->isHolderOf(this->Known.Record, Context.Self)) {
    return;
  }
  bool IsFirst = this->epoch() == 1;
  bool IsNext = this->Previous.Epoch + 1 == this->epoch();
  bool Held = this->isHolderOf(this->Previous, Context.Self) &&
              this->CompleteAt == this->Previous.Epoch;
  if (IsFirst || (IsNext && Held)) {
    this->CompleteAt = std::max(this->CompleteAt, this->epoch());
  }
}

void ShardReplica::enterEpoch(const ReplicaContext &Context,
                              ReplicaEffects &Out) {
  if (!this->isOwner(Context.Self)) {
    this->voidProposals(Out);
    this->offerLateCopy(Context, Out);
    return;
  }
  if (this->CompleteAt < this->epoch()) {
    if (!this->CompleteFrom) {
      this->CompleteFrom = Context.Now + IncompleteOwnerWait;
    }
    Out.Note = "owner without a copy: waits until earlier requests expire";
    return;
  }
  this->CompleteFrom.reset();
  Out.Note = "owner";
  this->CopySentAt = Context.Now;
  if (this->Known.Record.Backup.Name.empty()) {
    this->sendProposals(Context, false, Out);
  } else {
    this->sendCopy(this->Known.Record.Backup, this->epoch(), Out);
  }
}

/// Precondition: we aren't the owner. Having read the record, we neither act
/// nor record in the epoch before any more.
void ShardReplica::offerLateCopy(const ReplicaContext &Context,
                                 ReplicaEffects &Out) {
  const ShardHolder &Owner = this->Known.Record.Owner;
  bool OwnerHeld =
      this->Previous.Owner == Owner || this->Previous.Backup == Owner;
  bool IsNext =
      this->Previous.Epoch > 0 && this->Previous.Epoch + 1 == this->epoch();
  bool WeHeld = this->isHolderOf(this->Previous, Context.Self) &&
                this->CompleteAt >= this->Previous.Epoch;
  if (OwnerHeld || !IsNext || !WeHeld) {
    return;
  }
  this->LateCopy = LateCopyState{Owner, LateCopyTries, Context.Now};
  this->sendCopy(Owner, this->epoch(), Out);
}

void ShardReplica::onSwapFailed() {
  this->SwapSent = false;
  this->IsFrozen = true;
}

void ShardReplica::voidProposals(ReplicaEffects &Out) {
  for (auto &[Id, Each] : this->Proposals) {
    Out.Voided.push_back(Each.Entry);
  }
  this->Proposals.clear();
}

void ShardReplica::propose(const ReplicaContext &Context,
                           const wire::IntentEntry &Entry,
                           ReplicaEffects &Out) {
  if (!this->isOwner(Context.Self) || !this->Table.mayFollow(Entry)) {
    Out.Voided.push_back(Entry);
    return;
  }
  this->Proposals[Entry.Id] = {Entry, Context.Now};
  if (!this->isDeciding(Context)) {
    return;
  }
  const ShardHolder &Backup = this->Known.Record.Backup;
  if (Backup.Name.empty()) {
    this->confirm(Entry, Out);
    return;
  }
  Out.Sends.push_back(
      {Backup.Name, wire::Intent{this->Known.Shard, this->epoch(), Entry}});
}

void ShardReplica::withdraw(base::RequestId Id) { this->Proposals.erase(Id); }

void ShardReplica::sendProposals(const ReplicaContext &Context,
                                 bool OnlyOverdue, ReplicaEffects &Out) {
  if (!this->isDeciding(Context)) {
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
  const ShardHolder &Backup = this->Known.Record.Backup;
  for (const wire::IntentEntry &Entry : Due) {
    if (Backup.Name.empty()) {
      this->confirm(Entry, Out);
    } else {
      Out.Sends.push_back(
          {Backup.Name, wire::Intent{this->Known.Shard, this->epoch(), Entry}});
    }
  }
}

void ShardReplica::confirm(const wire::IntentEntry &Entry,
                           ReplicaEffects &Out) {
  this->Proposals.erase(Entry.Id);
  if (this->Table.record(Entry)) {
    Out.Decided.push_back(Entry);
  } else {
    Out.Voided.push_back(Entry);
  }
}

void ShardReplica::onIntent(const ReplicaContext &Context,
                            const ShardHolder &From,
                            const wire::Intent &Message, ReplicaEffects &Out) {
  wire::IntentReply Reply{
      this->Known.Shard,     Message.Epoch, Message.Entry.Id,
      Message.Entry.Attempt, false,         Message.Entry.Decision};
  bool IsPast = Message.Epoch < this->epoch();
  bool IsOurs = Message.Epoch == this->epoch() &&
                this->isBackup(Context.Self) &&
                this->Known.Record.Owner == From;
  if (IsPast || (IsOurs && this->isSealed())) {
    Out.Sends.push_back({From.Name, Reply});
    return;
  }
  if (!IsOurs || this->CompleteAt < this->epoch() || !this->isProven(Context)) {
    return; // The owner sends it again.
  }
  if (!this->Table.record(Message.Entry)) {
    return; // A late copy: the owner has moved on from this decision.
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
                   this->Known.Record.Backup == From;
  if (!IsCurrent || !this->isDeciding(Context)) {
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
    this->confirm(Entry, Out);
  }
}

void ShardReplica::sendCopy(const ShardHolder &To, uint64_t Epoch,
                            ReplicaEffects &Out) {
  Out.Sends.push_back({To.Name, wire::ShardCopy{this->Known.Shard, Epoch,
                                                this->Table.entries()}});
}

/// A copy is good for us from the owner of its epoch where we are the backup,
/// and from a holder of the epoch before where we are to be, or are, an owner
/// that has decided nothing yet.
bool ShardReplica::mayTakeCopy(const ReplicaContext &Context,
                               const ShardHolder &From,
                               const wire::ShardCopy &Message) const {
  const ShardRecord &Record = this->Known.Record;
  if (Message.Epoch == Record.Epoch + 1) {
    return Record.Owner == From || Record.Backup == From;
  }
  if (Message.Epoch != Record.Epoch) {
    return false;
  }
  if (this->isBackup(Context.Self)) {
    return Record.Owner == From;
  }
  bool FromBefore =
      this->Previous.Epoch + 1 == Record.Epoch &&
      (this->Previous.Owner == From || this->Previous.Backup == From);
  return this->isWaitingOut(Context.Self) && FromBefore;
}

void ShardReplica::onShardCopy(const ReplicaContext &Context,
                               const ShardHolder &From,
                               const wire::ShardCopy &Message,
                               ReplicaEffects &Out) {
  if (Message.Epoch < this->epoch() || Message.Epoch <= this->ClosedUpTo) {
    Out.Sends.push_back(
        {From.Name,
         wire::ShardCopyReply{this->Known.Shard, Message.Epoch, false}});
    return;
  }
  bool IsRepeated = this->CopiedAt == Message.Epoch && this->CopiedFrom == From;
  if (!IsRepeated && !this->mayTakeCopy(Context, From, Message)) {
    return; // Sent again, when we may have read the record that it needs.
  }
  Out.Sends.push_back({From.Name, wire::ShardCopyReply{this->Known.Shard,
                                                       Message.Epoch, true}});
  if (IsRepeated) {
    return;
  }
  this->Table.assign(Message.Entries);
  this->CopiedAt = Message.Epoch;
  this->CopiedFrom = From;
  bool WasWaiting = this->isWaitingOut(Context.Self);
  this->CompleteAt = Message.Epoch;
  if (WasWaiting && Message.Epoch == this->epoch()) {
    this->enterEpoch(Context, Out);
  }
}

void ShardReplica::onShardCopyReply(const ReplicaContext &Context,
                                    const ShardHolder &From,
                                    const wire::ShardCopyReply &Message,
                                    ReplicaEffects &Out) {
  if (this->LateCopy && this->LateCopy->To == From) {
    this->LateCopy.reset();
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
    if (!this->SwapSent && !this->IsFrozen) {
      this->swap(From, this->HandOver->NextBackup, "handed over", Out);
    }
    return;
  }
  if (Message.Epoch != this->epoch() || this->Known.Record.Backup != From) {
    return;
  }
  if (!Message.Accepted) {
    this->seal();
    return;
  }
  this->ArmedAt = this->epoch();
  this->sendProposals(Context, false, Out);
}

void ShardReplica::swap(const ShardHolder &Owner, const ShardHolder &Backup,
                        const char *Note, ReplicaEffects &Out) {
  ShardRecord Next{Owner, Backup, this->epoch() + 1};
  Out.Swap = board::SwapShard{this->Known.Shard, Next, this->Known.Changed};
  Out.Note = Note;
  this->SwapSent = true;
}

namespace {

/// Mixes values into one digest (the finalizer of SplitMix64).
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
  All.add(this->Known.Record);
  All.add(static_cast<uint64_t>(this->Known.Changed));
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
  All.add(this->CopiedFrom);
  for (uint64_t Epoch :
       {this->CompleteAt, this->ClosedUpTo, this->ArmedAt, this->CopiedAt}) {
    All.add(Epoch);
  }
  All.add(this->CopySentAt);
  All.add(this->CompleteFrom.value_or(base::TimePoint()));
  if (this->HandOver) {
    All.add(this->HandOver->To);
    All.add(this->HandOver->NextBackup);
    All.add(this->HandOver->Began);
    All.add(this->HandOver->SentAt);
  }
  if (this->LateCopy) {
    All.add(this->LateCopy->To);
    All.add(static_cast<uint64_t>(this->LateCopy->TriesLeft));
  }
  All.add((this->SwapSent ? 1U : 0U) + (this->IsFrozen ? 2U : 0U));
  return All.sum();
}

void ShardReplica::seal() {
  this->ClosedUpTo = std::max(this->ClosedUpTo, this->epoch());
}

void ShardReplica::retire() {
  this->ClosedUpTo = std::numeric_limits<uint64_t>::max();
}

void ShardReplica::resume(const StoredShard &Record, uint64_t CompleteAt,
                          const std::vector<wire::IntentEntry> &Entries,
                          const ShardHolder &EarlierRun) {
  this->Known = Record;
  this->CompleteAt = CompleteAt;
  this->Table.assign(Entries);
  this->EarlierRun = EarlierRun;
  this->seal();
}

void ShardReplica::tick(const ReplicaContext &Context, const ShardView &View,
                        ReplicaEffects &Out) {
  this->Table.expire(Context.Now);
  if (this->CompleteFrom && Context.Now >= *this->CompleteFrom) {
    this->CompleteAt = this->epoch();
    this->enterEpoch(Context, Out);
  }
  this->resendCopies(Context, Out);
  this->sendProposals(Context, true, Out);
  if (this->SwapSent || this->IsFrozen) {
    return;
  }
  if (this->isOwner(Context.Self)) {
    this->tickOwner(Context, View, Out);
  } else {
    this->tickOther(Context, View, Out);
  }
}

void ShardReplica::resendCopies(const ReplicaContext &Context,
                                ReplicaEffects &Out) {
  if (this->LateCopy &&
      Context.Now >= this->LateCopy->SentAt + PeerResendInterval) {
    this->LateCopy->SentAt = Context.Now;
    this->sendCopy(this->LateCopy->To, this->epoch(), Out);
    if (--this->LateCopy->TriesLeft <= 0) {
      this->LateCopy.reset();
    }
  }
  bool IsArming = this->isOwner(Context.Self) && !this->isSealed() &&
                  this->CompleteAt >= this->epoch() &&
                  !this->Known.Record.Backup.Name.empty() &&
                  this->ArmedAt < this->epoch();
  if (IsArming && Context.Now >= this->CopySentAt + PeerResendInterval) {
    this->CopySentAt = Context.Now;
    this->sendCopy(this->Known.Record.Backup, this->epoch(), Out);
  }
}

void ShardReplica::tickOwner(const ReplicaContext &Context,
                             const ShardView &View, ReplicaEffects &Out) {
  if (this->HandOver) {
    this->tickHandOver(Context, Out);
    return;
  }
  bool HasHeir = !View.Ranked.empty() &&
                 View.Ranked.front().Holder.Name != Context.Self.Name;
  if (View.MayHandOver && HasHeir) {
    this->beginHandOver(Context, View, Out);
    return;
  }
  this->tickBackup(Context, View, Out);
}

void ShardReplica::beginHandOver(const ReplicaContext &Context,
                                 const ShardView &View, ReplicaEffects &Out) {
  const ShardHolder &To = View.Ranked.front().Holder;
  ShardHolder Backup = this->Known.Record.Backup;
  bool KeepsBackup = !Backup.Name.empty() && Backup.Name != To.Name &&
                     !View.BackupIsGone && !View.BackupIsLeaving;
  if (!KeepsBackup) {
    Backup = chooseBackup(View.Ranked, To);
  }
  this->seal();
  if (this->CompleteAt < this->epoch()) {
    this->swap(To, Backup, "handed over without a copy", Out);
    return;
  }
  this->HandOver = HandOverState{To, Backup, Context.Now, Context.Now};
  this->sendCopy(To, this->epoch() + 1, Out);
}

void ShardReplica::tickHandOver(const ReplicaContext &Context,
                                ReplicaEffects &Out) {
  if (Context.Now >= this->HandOver->Began + HandOverTimeout) {
    this->HandOver.reset();
    return; // The epoch is sealed: the next tick asks for a new one.
  }
  if (Context.Now >= this->HandOver->SentAt + PeerResendInterval) {
    this->HandOver->SentAt = Context.Now;
    this->sendCopy(this->HandOver->To, this->epoch() + 1, Out);
  }
}

void ShardReplica::tickBackup(const ReplicaContext &Context,
                              const ShardView &View, ReplicaEffects &Out) {
  const ShardHolder &Backup = this->Known.Record.Backup;
  bool IsUsable = !Backup.Name.empty() && !View.BackupIsGone;
  if (IsUsable && !View.BackupIsLeaving) {
    if (this->isSealed()) {
      this->swap(Context.Self, Backup, "new epoch for a refused one", Out);
    }
    return;
  }
  ShardHolder Next = chooseBackup(View.Ranked, Context.Self);
  if (Next != Backup || this->isSealed()) {
    this->swap(Context.Self, Next, "new backup", Out);
  }
}

void ShardReplica::tickOther(const ReplicaContext &Context,
                             const ShardView &View, ReplicaEffects &Out) {
  const ShardRecord &Record = this->Known.Record;
  bool IsFirst =
      !View.Ranked.empty() && View.Ranked.front().Holder == Context.Self;
  ShardHolder Next = chooseBackup(View.Ranked, Context.Self);
  if (this->epoch() == 0) {
    bool IsListed = Context.LastListed != base::TimePoint();
    if (IsFirst && IsListed) {
      this->swap(Context.Self, Next, "claimed", Out);
    }
    return;
  }
  bool HasEarlierRun = !this->EarlierRun.Name.empty();
  if (HasEarlierRun && Record.Owner == this->EarlierRun) {
    bool KeepsBackup = !View.BackupIsGone && !Record.Backup.Name.empty();
    this->swap(Context.Self, KeepsBackup ? Record.Backup : Next,
               "taken again after a restart", Out);
    return;
  }
  if (!View.OwnerIsGone) {
    return;
  }
  bool IsHeir = this->isBackup(Context.Self) ||
                (HasEarlierRun && Record.Backup == this->EarlierRun);
  if (IsHeir) {
    bool IsComplete = this->CompleteAt >= this->epoch();
    this->seal();
    this->swap(Context.Self, Next,
               IsComplete ? "taken over by the backup"
                          : "taken over without a copy",
               Out);
    return;
  }
  bool BackupIsLost = Record.Backup.Name.empty() || View.BackupIsGone;
  if (BackupIsLost && IsFirst) {
    this->swap(Context.Self, Next, "taken over without a copy", Out);
  }
}

} // namespace bilberry::requests
