// The list of the agents that may hold flows, in a form that balancers compare.
//
// Each balancer keeps its own list, from the store, from the agents and from
// other balancers. A digest of fixed size shows whether two lists are equal,
// and the digests of buckets show where they differ, so that the traffic for
// the comparison doesn't grow with the fleet while nothing changes.

#ifndef BILBERRY_MEMBERS_AGENT_LIST_H
#define BILBERRY_MEMBERS_AGENT_LIST_H

#include "bilberry/base/clock.h"
#include "bilberry/members/agent_views.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace bilberry::members {

/// The number of buckets. One difference costs the hashes of one bucket: 56
/// agents of 3,600.
inline constexpr size_t AgentListBuckets = 64;

/// The bucket of an agent with this hash of its name (AgentView::NameHash).
inline size_t agentListBucket(uint64_t NameHash) {
  return static_cast<size_t>(NameHash >> 58U);
}

/// Returns a digest of the buckets' digests; never 0. Thread-safe.
uint64_t agentListDigest(std::span<const uint64_t> Buckets);

/// The agents that may hold flows (AgentViews::mayHoldFlows), without order.
struct AgentList {
  /// Hashes of names.
  std::vector<uint64_t> Agents;
  /// The sum of the hashes in each bucket.
  std::array<uint64_t, AgentListBuckets> Buckets{};
  /// agentListDigest() of Buckets.
  uint64_t Digest = agentListDigest(Buckets);
};

/// Builds the list. FlowLifetime is how long an open flow may be idle.
AgentList listAgents(const AgentViews &Agents, base::TimePoint Now,
                     base::Duration FlowLifetime);

} // namespace bilberry::members

#endif
