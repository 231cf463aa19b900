// All shards of our service as this process sees them: the replicas, who ranks
// where for each, which holders are gone, and how fast shards are handed over.

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

/// How long a holder must be unknown, or announced by a later run, before it
/// counts as gone. One whose lease has expired counts at once.
inline constexpr base::Duration UnknownHolderDelay = std::chrono::seconds(5);
/// How long a ranking must have stood before shards move to better owners.
inline constexpr base::Duration RebalanceDelay = std::chrono::seconds(5);
/// How many shards a process that must leave hands over at once.
inline constexpr size_t HandOversAtOnce = 4;
/// How many members are considered for holding a shard.
inline constexpr size_t CandidatesPerShard = 8;

/// What the tables say when an event comes; read before our lock is taken.
struct Surroundings {
  base::TimePoint Now;
  members::Member Self;
  std::shared_ptr<const members::ServiceView> View;
  std::shared_ptr<const targets::Targets> Document;
  /// Our data centre is in service, and we take new work.
  bool MayRunHere = false;

  ShardHolder holder() const { return {this->Self.Name, this->Self.Run}; }
};

/// What the member table says of one holder.
struct HolderState {
  bool IsKnown = false;
  bool IsSilent = false;
  /// The run that is announced.
  base::Incarnation Run = 0;
  members::MemberState State = members::MemberState::Cold;
  bool IsDataCentreOut = false;
};
using HolderStates = std::map<base::MemberName, HolderState>;

/// An effect of one shard's replica.
struct ShardEffects {
  uint32_t Shard = 0;
  ReplicaEffects Effects;
};

/// Not safe for two threads at once.
class ShardGroup {
public:
  ShardGroup();

  ShardReplica &replica(uint32_t Shard) { return this->Replicas[Shard]; }
  const ShardReplica &replica(uint32_t Shard) const {
    return this->Replicas[Shard];
  }
  /// Notes that all records were read, in a reading begun at that time.
  void onListed(base::TimePoint Began);
  ReplicaContext context(const Surroundings &Around) const;

  /// The names of all holders, to look up for tick.
  std::vector<base::MemberName> holderNames() const;
  /// Looks after every shard.
  void tick(const Surroundings &Around, const HolderStates &States,
            std::vector<ShardEffects> &Out);

  /// Stops deciding in every shard, for good: tick does nothing from then on,
  /// so that the epochs stay those of the state that is left behind.
  void seal();
  size_t owned(const ShardHolder &Self) const;
  size_t backedUp(const ShardHolder &Self) const;
  size_t records() const;

private:
  bool isGone(base::TimePoint Now, const ShardHolder &Holder,
              const HolderStates &States);
  void rankMembers(const Surroundings &Around);
  ShardView viewOf(const Surroundings &Around, uint32_t Shard,
                   const HolderStates &States);
  bool mayHandOver(const Surroundings &Around, uint32_t Shard) const;
  size_t handOvers() const;

  std::array<ShardReplica, ShardsPerService> Replicas;
  std::array<std::vector<ShardCandidate>, ShardsPerService> Ranked;
  /// What Ranked was made from.
  std::shared_ptr<const members::ServiceView> RankedView;
  base::TimePoint RankedSince;
  base::TimePoint LastListed;
  bool IsSealed = false;
  std::map<ShardHolder, base::TimePoint> DoubtedSince;
};

} // namespace bilberry::requests

#endif
