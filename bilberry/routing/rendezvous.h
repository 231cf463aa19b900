// Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998).
// Every process scores each member for a key and ranks the members by score,
// so all agree on the order without talking. A member that joins or leaves
// takes or gives up only the keys for which it ranks first, about one in N.
// The hash is XXH3 of the key, seeded with the hash of the member's name.

#ifndef BILBERRY_ROUTING_RENDEZVOUS_H
#define BILBERRY_ROUTING_RENDEZVOUS_H

#include "bilberry/base/address.h"
#include "bilberry/base/ids.h"
#include "bilberry/members/member_table.h"

#include <vector>

namespace bilberry::routing {

/// The hash that stands for a member. Thread-safe, as all functions here.
uint64_t memberHash(const base::MemberName &Name);

/// The key of a flow: a hash of the service, the caller and its connection id.
base::FlowKey flowKey(const base::ServiceName &Service,
                      const base::Address &Caller, uint64_t Connection);

/// The key that ranks members for a request or a shard, in the same space.
base::FlowKey requestKey(base::RequestId Id);
base::FlowKey shardKey(const base::ServiceName &Service, uint32_t Shard);

/// A member's score for a key.
uint64_t rendezvousScore(uint64_t MemberHash, const base::FlowKey &Key);

/// The first-ranked member, or null where there is none. Linear in Members.
const members::RankedMember *
firstRanked(const std::vector<members::RankedMember> &Members,
            const base::FlowKey &Key);

/// The first-ranked of the members that Accepts is true of, or null.
template <typename Predicate>
const members::RankedMember *
firstRankedIf(const std::vector<members::RankedMember> &Members,
              const base::FlowKey &Key, Predicate Accepts) {
  const members::RankedMember *Best = nullptr;
  uint64_t BestScore = 0;
  for (const members::RankedMember &Member : Members) {
    if (!Accepts(Member.Value)) {
      continue;
    }
    uint64_t Score = rendezvousScore(Member.NameHash, Key);
    // Equal scores must not leave the choice to the list's order.
    if (Best == nullptr || Score > BestScore ||
        (Score == BestScore && Member.Value.Name < Best->Value.Name)) {
      Best = &Member;
      BestScore = Score;
    }
  }
  return Best;
}

/// The Count first-ranked members, best first.
std::vector<const members::RankedMember *>
topRanked(const std::vector<members::RankedMember> &Members,
          const base::FlowKey &Key, size_t Count);

} // namespace bilberry::routing

#endif
