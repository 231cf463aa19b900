// One process's replica of one shard, as owner, backup or neither. It contains
// the whole protocol that guarantees that a request runs at most once, and that
// a request reported as "not run" never runs. It is copyable so that a test can
// explore all reachable states of the protocol. It holds no request bodies and
// does not depend on an upstream.
//
// The protocol is primary-backup replication with epochs (Alsberg and Day,
// 1976); the epochs change by compare-and-swap in the store. It has three
// rules:
//
// 1. The owner acts on a decision only after the backup of its epoch has
//    recorded it. A backup that takes over first seals the epoch, so that it
//    records nothing more in it, and then makes itself the owner by
//    compare-and-swap.
// 2. A table is complete for an epoch if it holds every decision that may have
//    been acted on in earlier epochs. Only a complete owner decides, and only a
//    complete backup takes over. A table becomes complete by a copy from a
//    complete owner, or because the process held the shard in the previous
//    epoch. An owner that has sent a copy ahead of a swap decides nothing more
//    in its epoch. If the new owner held neither role in the previous epoch,
//    the live holders of that epoch send it a copy.
// 3. An owner that isn't complete (both holders were lost) decides nothing
//    until every request that may have been allowed to run before has expired.
//    To bound this time, a backup records nothing, and an owner without a
//    backup decides nothing, once its last full listing of the shard records
//    in the store is older than MaxListingAge: both may be disconnected from
//    the store while another process replaces them.

#ifndef BILBERRY_REQUESTS_SHARD_REPLICA_H
#define BILBERRY_REQUESTS_SHARD_REPLICA_H

#include "bilberry/board/agent_action.h"
#include "bilberry/requests/decision_table.h"
#include "bilberry/requests/shard_record.h"

#include <map>
#include <optional>
#include <vector>

namespace bilberry::requests {

/// How long a backup keeps recording without a full listing of the shard
/// records. Shorter outages of the store stop nothing. A shard that loses both
/// of its holders at once makes no decisions for this long.
inline constexpr base::Duration MaxListingAge = std::chrono::minutes(10);
/// Requests with a deadline further in the future are not served.
inline constexpr base::Duration MaxRequestDeadline = std::chrono::minutes(2);
/// How long an incomplete owner waits: the maximum listing age, the longest
/// deadline, and one clock skew each for the old owner, the new owner and the
/// expiry of the records.
inline constexpr base::Duration IncompleteOwnerWait =
    MaxListingAge + MaxRequestDeadline + 3 * base::MaxClockSkew;
/// Interval between resends of an unanswered intent or copy.
inline constexpr base::Duration PeerResendInterval =
    std::chrono::milliseconds(200);
/// How long a hand-over waits until its copy is accepted.
inline constexpr base::Duration HandOverTimeout = std::chrono::seconds(2);

/// A member that can hold the shard.
struct ShardCandidate {
  ShardHolder Holder;
  base::DataCentreName DataCentre;
};

/// State of the process that a replica needs for each event.
struct ReplicaContext {
  base::TimePoint Now;
  ShardHolder Self;
  /// When the last full listing of the records started.
  base::TimePoint LastListed;
};

/// State of the members that a replica needs in tick.
struct ShardView {
  /// Members that can hold the shard, best first.
  std::vector<ShardCandidate> Ranked;
  bool OwnerIsGone = false;
  bool BackupIsGone = false;
  /// The backup is draining, or its data centre is out of service.
  bool BackupIsLeaving = false;
  /// A hand-over is allowed to start now.
  bool MayHandOver = false;
};

/// Actions for the process after an event.
struct ReplicaEffects {
  struct Send {
    base::MemberName To;
    wire::PeerBody Body;
  };
  std::vector<Send> Sends;
  std::optional<board::CompareAndSwapShard> Swap;
  /// Decisions that the process may now act on.
  std::vector<wire::IntentEntry> Committed;
  /// Proposed decisions that will never be acted on.
  std::vector<wire::IntentEntry> Aborted;
  /// The reason for a change of holders, for the log; null if there was none.
  const char *ChangeReason = nullptr;
};

/// Copyable. Not thread-safe.
class ShardReplica {
public:
  ShardReplica() = default;
  explicit ShardReplica(uint32_t Shard) { this->Stored.Shard = Shard; }

  /// Handles the store's record. Records older than the known one are ignored.
  void onRecord(const ReplicaContext &Context, const StoredShard &Record,
                ReplicaEffects &Out);
  /// Reports that this replica's swap failed, or that its outcome is unknown.
  /// No other swap is issued until the record has been read again.
  void onSwapFailed();

  /// Proposes a decision. It is returned in Committed or Aborted, possibly by
  /// this call. An open proposal for the same request is replaced.
  void propose(const ReplicaContext &Context, const wire::IntentEntry &Entry,
               ReplicaEffects &Out);
  /// Removes an open proposal. Precondition: the decision won't be acted on.
  void removeProposal(base::RequestId Id);

  void onIntent(const ReplicaContext &Context, const ShardHolder &From,
                const wire::Intent &Message, ReplicaEffects &Out);
  void onIntentReply(const ReplicaContext &Context, const ShardHolder &From,
                     const wire::IntentReply &Message, ReplicaEffects &Out);
  void onShardCopy(const ReplicaContext &Context, const ShardHolder &From,
                   const wire::ShardCopy &Message, ReplicaEffects &Out);
  void onShardCopyReply(const ReplicaContext &Context, const ShardHolder &From,
                        const wire::ShardCopyReply &Message,
                        ReplicaEffects &Out);

  /// Processes resends, takeover, replacement of the backup and hand-over.
  void tick(const ReplicaContext &Context, const ShardView &View,
            ReplicaEffects &Out);

  /// Stops deciding and recording in the current epoch.
  void seal();
  /// Stops deciding and recording in every epoch, including one that a pending
  /// swap of this replica opens later. The next run of this process, to which
  /// the state is handed, relies on it.
  void sealAllEpochs();
  /// Restores the state of an earlier run of this process, which was sealed.
  /// Precondition: this replica is unused.
  void restoreState(const StoredShard &Record, uint64_t CompleteEpoch,
                    const std::vector<wire::IntentEntry> &Entries,
                    const ShardHolder &EarlierRun);

  const StoredShard &record() const { return this->Stored; }
  const DecisionTable &table() const { return this->Table; }
  /// The latest epoch for which the table is complete (rule 2 above).
  uint64_t completeEpoch() const { return this->CompleteEpoch; }
  bool isOwner(const ShardHolder &Self) const;
  bool isBackup(const ShardHolder &Self) const;
  /// Returns true if Self is the owner and may act on decisions in this epoch.
  bool canDecide(const ReplicaContext &Context) const;
  /// Returns true if Self is the owner, but neither held the shard before nor
  /// received a copy, and waits for earlier requests to expire.
  bool isAwaitingExpiry(const ShardHolder &Self) const;
  bool isHandingOver() const { return this->HandOver.has_value(); }
  /// Returns true while a swap of this replica has no known outcome.
  bool isSwapping() const { return this->IsSwapPending; }
  /// The record before the current one; epoch 0 if it isn't known.
  const ShardRecord &previous() const { return this->Previous; }
  size_t openProposals() const { return this->Proposals.size(); }
  /// Returns a digest of the whole state, which is equal for equal replicas.
  uint64_t fingerprint() const;

private:
  struct Proposal {
    wire::IntentEntry Entry;
    base::TimePoint SentAt;
  };
  struct HandOverState {
    ShardHolder To;
    ShardHolder NextBackup;
    base::TimePoint StartedAt;
    base::TimePoint SentAt;
  };
  /// A copy of the table sent to an owner that took over the shard without
  /// having received a copy.
  struct RecoveryCopyState {
    ShardHolder To;
    int SendsLeft = 0;
    base::TimePoint SentAt;
  };

  uint64_t epoch() const { return this->Stored.Record.Epoch; }
  bool isSealed() const { return this->SealedThroughEpoch >= this->epoch(); }
  bool hasRecentListing(const ReplicaContext &Context) const;
  bool isHolderOf(const ShardRecord &Record, const ShardHolder &Self) const;
  /// Marks the table complete for the current epoch if Self holds the shard
  /// and either held it with a complete table in the previous epoch or this
  /// is the first epoch (rule 2 above).
  void carryOverCompleteness(const ReplicaContext &Context);
  void enterEpoch(const ReplicaContext &Context, ReplicaEffects &Out);
  void offerRecoveryCopy(const ReplicaContext &Context, ReplicaEffects &Out);
  bool mayAcceptCopy(const ReplicaContext &Context, const ShardHolder &From,
                     const wire::ShardCopy &Message) const;
  void abortProposals(ReplicaEffects &Out);
  void sendProposals(const ReplicaContext &Context, bool OnlyOverdue,
                     ReplicaEffects &Out);
  void commit(const wire::IntentEntry &Entry, ReplicaEffects &Out);
  void sendCopy(const ShardHolder &To, uint64_t Epoch, ReplicaEffects &Out);
  /// Issues a compare-and-swap of the stored record to one with these holders
  /// and a new epoch.
  void swap(const ShardHolder &Owner, const ShardHolder &Backup,
            const char *ChangeReason, ReplicaEffects &Out);
  void tickOwner(const ReplicaContext &Context, const ShardView &View,
                 ReplicaEffects &Out);
  void tickHandOver(const ReplicaContext &Context, ReplicaEffects &Out);
  void beginHandOver(const ReplicaContext &Context, const ShardView &View,
                     ReplicaEffects &Out);
  void tickBackup(const ReplicaContext &Context, const ShardView &View,
                  ReplicaEffects &Out);
  void resendCopies(const ReplicaContext &Context, ReplicaEffects &Out);
  void tickNonOwner(const ReplicaContext &Context, const ShardView &View,
                    ReplicaEffects &Out);

  StoredShard Stored;
  DecisionTable Table;
  std::map<base::RequestId, Proposal> Proposals;
  ShardRecord Previous;
  /// The run of this process whose state was restored, if any.
  ShardHolder EarlierRun;
  /// The latest epoch for which the table is complete (rule 2 above).
  uint64_t CompleteEpoch = 0;
  /// The last epoch in which this replica, as backup, records nothing more or,
  /// as owner, decides nothing more.
  uint64_t SealedThroughEpoch = 0;
  /// The last epoch whose backup has confirmed a complete table.
  uint64_t BackupReadyEpoch = 0;
  /// Epoch and sender of the copy that last replaced the table.
  uint64_t LastCopyEpoch = 0;
  ShardHolder LastCopySender;
  base::TimePoint BackupCopySentAt;
  /// When the wait of an incomplete owner ends (rule 3 above).
  std::optional<base::TimePoint> ExpiryWaitEnd;
  std::optional<HandOverState> HandOver;
  std::optional<RecoveryCopyState> RecoveryCopy;
  /// True while the outcome of an issued swap has not been reported.
  bool IsSwapPending = false;
  /// True if the last swap failed or its outcome is unknown, until the record
  /// has been read again.
  bool NeedsRecordReread = false;
};

/// Returns the best backup for a shard of that owner: the first-ranked member
/// in another data centre, so that losing one data centre never loses both
/// holders. If there is none, returns the first-ranked other member, or an
/// empty holder.
ShardHolder chooseBackup(const std::vector<ShardCandidate> &Ranked,
                         const ShardHolder &Owner);

} // namespace bilberry::requests

#endif
