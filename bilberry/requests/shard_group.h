// Manages this process's replicas of all shards of its service: ranks the
// members for each shard, detects holders that are gone, and limits the rate of
// hand-overs.

#ifndef BILBERRY_REQUESTS_SHARD_GROUP_H
#define BILBERRY_REQUESTS_SHARD_GROUP_H

#include "bilberry/members/member_table.h"
#include "bilberry/requests/shard_replica.h"
#include "bilberry/targets/targets.h"

#include <array>
#include <map>
#include <memory>
#include <vector>

namespace bilberry::requests {

/// How long a holder must be unknown, or announced with a later run, before it
/// counts as gone. One whose lease has expired counts as gone at once.
inline constexpr base::Duration UnknownHolderDelay = std::chrono::seconds(5);
/// How long the ranking must be unchanged before shards move to better-ranked
/// owners.
inline constexpr base::Duration RebalanceDelay = std::chrono::seconds(5);
/// Limit on concurrent hand-overs of a process that takes no new work.
inline constexpr size_t MaxConcurrentHandOvers = 4;
/// Limit on the members considered as holders of a shard.
inline constexpr size_t MaxCandidatesPerShard = 8;

/// State of the local agent and its tables when an event arrives. It is read
/// before the Requests lock is taken.
struct AgentContext {
  base::TimePoint Now;
  members::Member Self;
  std::shared_ptr<const members::ServiceView> View;
  std::shared_ptr<const targets::Targets> Document;
  /// The local data centre is in service and this agent takes new work.
  bool CanRunLocally = false;

  ShardHolder holder() const { return {this->Self.Name, this->Self.Run}; }
};

/// State of one holder in the member table.
struct HolderState {
  bool IsKnown = false;
  bool IsSilent = false;
  /// The run that the member announces.
  base::Incarnation Run = 0;
  members::MemberState State = members::MemberState::Cold;
  bool IsDataCentreOutOfService = false;
};
using HolderStates = std::map<base::MemberName, HolderState>;

/// The effects of an event on one shard's replica.
struct ShardEffects {
  uint32_t Shard = 0;
  ReplicaEffects Effects;
};

/// Not thread-safe.
class ShardGroup {
public:
  ShardGroup();

  ShardReplica &replica(uint32_t Shard) { return this->Replicas[Shard]; }
  const ShardReplica &replica(uint32_t Shard) const {
    return this->Replicas[Shard];
  }
  /// Reports that all records were read, in a listing started at ListingStart.
  void onRecordsListed(base::TimePoint ListingStart);
  ReplicaContext context(const AgentContext &Agent) const;

  /// Returns the names of all holders, to be looked up for tick.
  std::vector<base::MemberName> holderNames() const;
  /// Processes timeouts, takeovers and hand-overs of every shard.
  void tick(const AgentContext &Agent, const HolderStates &States,
            std::vector<ShardEffects> &Out);

  /// Stops all decisions in every shard, permanently. tick does nothing
  /// afterwards, so that the epochs remain those of the serialised state.
  void seal();
  size_t ownedCount(const ShardHolder &Self) const;
  /// The number of shards of which Self is the backup.
  size_t backupCount(const ShardHolder &Self) const;
  size_t tableEntryCount() const;

private:
  bool isGone(base::TimePoint Now, const ShardHolder &Holder,
              const HolderStates &States);
  void rankMembers(const AgentContext &Agent);
  ShardView shardView(const AgentContext &Agent, uint32_t Shard,
                      const HolderStates &States);
  bool mayHandOver(const AgentContext &Agent, uint32_t Shard) const;
  // Counts the shards with a hand-over or a swap in progress.
  size_t pendingHolderChanges() const;

  std::array<ShardReplica, ShardsPerService> Replicas;
  std::array<std::vector<ShardCandidate>, ShardsPerService> Ranked;
  /// The view from which Ranked was computed.
  std::shared_ptr<const members::ServiceView> RankingSource;
  base::TimePoint RankedSince;
  base::TimePoint LastListed;
  bool IsSealed = false;
  /// Since when each holder has been missing from the known members, or has
  /// been listed there under a later run.
  std::map<ShardHolder, base::TimePoint> UnconfirmedSince;
};

} // namespace bilberry::requests

#endif
