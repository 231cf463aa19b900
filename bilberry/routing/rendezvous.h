// Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998).
// Every process scores each member for a key and ranks the members by score, so
// all compute the same order without coordination. When a member joins or
// leaves, only the keys for which it ranks first move, about one in N. The hash
// is XXH3 of the key, seeded with the hash of the member's name.

#ifndef BILBERRY_ROUTING_RENDEZVOUS_H
#define BILBERRY_ROUTING_RENDEZVOUS_H

#include "bilberry/base/address.h"
#include "bilberry/base/ids.h"
#include "bilberry/members/member_table.h"

#include <string_view>
#include <vector>

namespace bilberry::routing {

/// Returns the hash of a member's name. All functions in this header are
/// thread-safe.
uint64_t memberHash(const base::MemberName &Name);

/// Returns the key of a flow: a hash of the service, the caller and its
/// connection id.
base::FlowKey flowKey(const base::ServiceName &Service,
                      const base::Address &Caller, uint64_t Connection);

/// Return the key that ranks members for a request or a shard, in the same key
/// space as flows.
base::FlowKey requestKey(base::RequestId Id);
base::FlowKey shardKey(const base::ServiceName &Service, uint32_t Shard);
/// Returns the key that ranks balancers for an agent, or for a duty that one
/// data centre has.
base::FlowKey dutyKey(std::string_view Name);

/// Returns a member's score for a key. MemberHash is memberHash() of its name.
uint64_t rendezvousScore(uint64_t MemberHash, const base::FlowKey &Key);

/// Returns the first-ranked member, or null if there is none. Takes time linear
/// in the number of members.
const members::HashedMember *
firstRanked(const std::vector<members::HashedMember> &Members,
            const base::FlowKey &Key);

/// Returns the first-ranked member for which Accepts returns true, or null.
template <typename Predicate>
const members::HashedMember *
firstRankedIf(const std::vector<members::HashedMember> &Members,
              const base::FlowKey &Key, Predicate Accepts) {
  const members::HashedMember *Best = nullptr;
  uint64_t BestScore = 0;
  for (const members::HashedMember &Member : Members) {
    if (!Accepts(Member.Value)) {
      continue;
    }
    uint64_t Score = rendezvousScore(Member.NameHash, Key);
    // Ties are broken by name, so that the result doesn't depend on the order
    // of the list.
    if (Best == nullptr || Score > BestScore ||
        (Score == BestScore && Member.Value.Name < Best->Value.Name)) {
      Best = &Member;
      BestScore = Score;
    }
  }
  return Best;
}

/// Returns the Count highest-ranked members, highest first.
std::vector<const members::HashedMember *>
topRanked(const std::vector<members::HashedMember> &Members,
          const base::FlowKey &Key, size_t Count);

} // namespace bilberry::routing

#endif
