#include "bilberry/members/agent_list.h"

namespace bilberry::members {

// FNV-1a on words of 64 bits, so that the result doesn't depend on the byte
// order of the machine.
uint64_t agentListDigest(std::span<const uint64_t> Buckets) {
  uint64_t Digest = 0xCBF29CE484222325ULL;
  for (uint64_t Bucket : Buckets) {
    Digest = (Digest ^ Bucket) * 0x100000001B3ULL;
    Digest ^= Digest >> 32U;
  }
  return Digest == 0 ? 1 : Digest;
}

AgentList listAgents(const AgentViews &Agents, base::TimePoint Now,
                     base::Duration FlowLifetime) {
  AgentList List;
  for (size_t I = 0; I < Agents.size(); ++I) {
    auto Index = static_cast<AgentIndex>(I);
    if (!Agents.mayHoldFlows(Now, Index, FlowLifetime)) {
      continue;
    }
    uint64_t NameHash = Agents.at(Index).NameHash;
    List.Agents.push_back(NameHash);
    List.Buckets[agentListBucket(NameHash)] += NameHash;
  }
  List.Digest = agentListDigest(List.Buckets);
  return List;
}

} // namespace bilberry::members
