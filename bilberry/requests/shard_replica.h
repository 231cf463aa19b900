// One process's part in one shard: owner, backup or neither. This is the whole
// protocol that makes "at most once" and "not run" true, as a plain value that
// a search can copy; it holds no request bodies and knows no upstream.
//
// It is primary-backup replication with epochs (Alsberg and Day, 1976), the
// epochs kept by compare-and-swap in the store. Three rules carry it:
//
// 1. The owner acts on a decision only once the backup of its epoch has
//    recorded it. A backup that takes over first closes the epoch, so that it
//    records nothing more in it; then it swaps itself in.
// 2. A table is complete for an epoch when it holds every decision that may
//    have been acted on before. Only a complete owner decides and only a
//    complete backup takes over. Completeness comes from a copy by a complete
//    owner, or from having held the shard in the epoch before; an owner that
//    has sent a copy ahead of a swap decides nothing more in its epoch.
//    Holders that were passed over while they lived send the new owner a copy.
// 3. An owner that isn't complete (both holders lost) decides nothing until
//    every request that could have been let go before has expired. For this to
//    be a bounded time, a backup records nothing, and an owner without a
//    backup decides nothing, once its last full reading of the records is
//    older than RecordProofLimit: both may be cut off from the store while
//    another process swaps them out.

#ifndef BILBERRY_REQUESTS_SHARD_REPLICA_H
#define BILBERRY_REQUESTS_SHARD_REPLICA_H

#include "bilberry/board/agent_action.h"
#include "bilberry/requests/record_table.h"
#include "bilberry/requests/shard_record.h"

#include <map>
#include <optional>
#include <vector>

namespace bilberry::requests {

/// How long a backup goes on without a full reading of the shard records.
/// Outages of the store shorter than this stop nothing; a shard that loses
/// both its holders at once is frozen for as long.
inline constexpr base::Duration RecordProofLimit = std::chrono::minutes(10);
/// No request with a deadline further away than this is served.
inline constexpr base::Duration MaxRequestDeadline = std::chrono::minutes(2);
/// How long an incomplete owner waits: a proof, a deadline, and the clocks of
/// old owner, new owner and the records' expiry.
inline constexpr base::Duration IncompleteOwnerWait =
    RecordProofLimit + MaxRequestDeadline + 3 * base::MaxClockSkew;
/// How often an unanswered intent or copy is sent again.
inline constexpr base::Duration PeerResendInterval =
    std::chrono::milliseconds(200);
/// How long a hand-over waits for its copy to be accepted.
inline constexpr base::Duration HandOverTimeout = std::chrono::seconds(2);

/// A member that may hold the shard.
struct ShardCandidate {
  ShardHolder Holder;
  base::DataCentreName DataCentre;
};

/// What a replica needs to know of its process when a message comes.
struct ReplicaContext {
  base::TimePoint Now;
  ShardHolder Self;
  /// When the last full reading of the records was begun.
  base::TimePoint LastListed;
};

/// What it needs besides when it looks after the shard.
struct ShardView {
  /// Who may hold the shard, best first.
  std::vector<ShardCandidate> Ranked;
  bool OwnerIsGone = false;
  bool BackupIsGone = false;
  /// The backup is about to go, or may take no new work.
  bool BackupIsLeaving = false;
  /// A hand-over may begin now.
  bool MayHandOver = false;
};

/// What the process has to do after an event.
struct ReplicaEffects {
  struct Send {
    base::MemberName To;
    wire::PeerBody Body;
  };
  std::vector<Send> Sends;
  std::optional<board::SwapShard> Swap;
  /// Decisions that may now be acted on.
  std::vector<wire::IntentEntry> Decided;
  /// Decisions that were asked for and will never be acted on.
  std::vector<wire::IntentEntry> Voided;
  /// Why the holder changed, for the log.
  const char *Note = nullptr;
};

/// A plain value. Not safe for two threads at once.
class ShardReplica {
public:
  ShardReplica() = default;
  explicit ShardReplica(uint32_t Shard) { this->Known.Shard = Shard; }

  /// The store's record; older ones than known are ignored.
  void onRecord(const ReplicaContext &Context, const StoredShard &Record,
                ReplicaEffects &Out);
  /// Our swap failed, or its outcome is unknown. No other is tried until the
  /// record has been read again.
  void onSwapFailed();

  /// Asks for a decision. It comes back in Decided or Voided, maybe at once.
  /// A decision on the same request that is still open is replaced.
  void propose(const ReplicaContext &Context, const wire::IntentEntry &Entry,
               ReplicaEffects &Out);
  /// Forgets an open decision. Precondition: it won't be acted on.
  void withdraw(base::RequestId Id);

  void onIntent(const ReplicaContext &Context, const ShardHolder &From,
                const wire::Intent &Message, ReplicaEffects &Out);
  void onIntentReply(const ReplicaContext &Context, const ShardHolder &From,
                     const wire::IntentReply &Message, ReplicaEffects &Out);
  void onShardCopy(const ReplicaContext &Context, const ShardHolder &From,
                   const wire::ShardCopy &Message, ReplicaEffects &Out);
  void onShardCopyReply(const ReplicaContext &Context, const ShardHolder &From,
                        const wire::ShardCopyReply &Message,
                        ReplicaEffects &Out);

  /// Resends, takeover, replacement of the backup, hand-over.
  void tick(const ReplicaContext &Context, const ShardView &View,
            ReplicaEffects &Out);

  /// Decides and records nothing more in the present epoch.
  void seal();
  /// Does so in every epoch, also one that a swap of ours still opens: our
  /// state is about to be left with the next run, which counts on it.
  void retire();
  /// Goes on from the state of an earlier run of this process, which was
  /// sealed. Precondition: nothing has happened to this replica.
  void resume(const StoredShard &Record, uint64_t CompleteAt,
              const std::vector<wire::IntentEntry> &Entries,
              const ShardHolder &EarlierRun);

  const StoredShard &record() const { return this->Known; }
  const RecordTable &table() const { return this->Table; }
  uint64_t completeAt() const { return this->CompleteAt; }
  bool isOwner(const ShardHolder &Self) const;
  bool isBackup(const ShardHolder &Self) const;
  /// True where the owner may act on decisions in this epoch.
  bool isDeciding(const ReplicaContext &Context) const;
  /// True where we own it, but neither held it before nor got a copy.
  bool isWaitingOut(const ShardHolder &Self) const;
  bool isHandingOver() const { return this->HandOver.has_value(); }
  /// True while a swap of ours has no known outcome.
  bool isSwapping() const { return this->SwapSent; }
  /// The record before the present one; epoch 0 where it isn't known.
  const ShardRecord &previous() const { return this->Previous; }
  size_t openProposals() const { return this->Proposals.size(); }
  /// A digest of the whole state: equal replicas have equal ones.
  uint64_t fingerprint() const;

private:
  struct Proposal {
    wire::IntentEntry Entry;
    base::TimePoint SentAt;
  };
  struct HandOverState {
    ShardHolder To;
    ShardHolder NextBackup;
    base::TimePoint Began;
    base::TimePoint SentAt;
  };
  /// A copy to an owner that took the shard over without one.
  struct LateCopyState {
    ShardHolder To;
    int TriesLeft = 0;
    base::TimePoint SentAt;
  };

  uint64_t epoch() const { return this->Known.Record.Epoch; }
  bool isSealed() const { return this->ClosedUpTo >= this->epoch(); }
  bool isProven(const ReplicaContext &Context) const;
  bool isHolderOf(const ShardRecord &Record, const ShardHolder &Self) const;
  void carryCompleteness(const ReplicaContext &Context);
  void enterEpoch(const ReplicaContext &Context, ReplicaEffects &Out);
  void offerLateCopy(const ReplicaContext &Context, ReplicaEffects &Out);
  bool mayTakeCopy(const ReplicaContext &Context, const ShardHolder &From,
                   const wire::ShardCopy &Message) const;
  void voidProposals(ReplicaEffects &Out);
  void sendProposals(const ReplicaContext &Context, bool OnlyOverdue,
                     ReplicaEffects &Out);
  void confirm(const wire::IntentEntry &Entry, ReplicaEffects &Out);
  void sendCopy(const ShardHolder &To, uint64_t Epoch, ReplicaEffects &Out);
  void swap(const ShardHolder &Owner, const ShardHolder &Backup,
            const char *Note, ReplicaEffects &Out);
  void tickOwner(const ReplicaContext &Context, const ShardView &View,
                 ReplicaEffects &Out);
  void tickHandOver(const ReplicaContext &Context, ReplicaEffects &Out);
  void beginHandOver(const ReplicaContext &Context, const ShardView &View,
                     ReplicaEffects &Out);
  void tickBackup(const ReplicaContext &Context, const ShardView &View,
                  ReplicaEffects &Out);
  void resendCopies(const ReplicaContext &Context, ReplicaEffects &Out);
  void tickOther(const ReplicaContext &Context, const ShardView &View,
                 ReplicaEffects &Out);

  StoredShard Known;
  RecordTable Table;
  std::map<base::RequestId, Proposal> Proposals;
  ShardRecord Previous;
  /// The run of this process that the state was left by.
  ShardHolder EarlierRun;
  uint64_t CompleteAt = 0;
  /// As backup: records nothing in epochs up to this. As owner: decides
  /// nothing in them.
  uint64_t ClosedUpTo = 0;
  /// The epoch whose backup holds a complete table.
  uint64_t ArmedAt = 0;
  /// The copy that the table was last replaced by.
  uint64_t CopiedAt = 0;
  ShardHolder CopiedFrom;
  base::TimePoint CopySentAt;
  std::optional<base::TimePoint> CompleteFrom;
  std::optional<HandOverState> HandOver;
  std::optional<LateCopyState> LateCopy;
  bool SwapSent = false;
  /// The outcome of our last swap is unknown.
  bool IsFrozen = false;
};

/// The best backup for a shard of that owner: the first-ranked in another data
/// centre, so that losing one data centre never loses both holders; else the
/// first-ranked other; else none.
ShardHolder chooseBackup(const std::vector<ShardCandidate> &Ranked,
                         const ShardHolder &Owner);

} // namespace bilberry::requests

#endif
