#include "bilberry/routing/flow_search.h"

namespace bilberry::routing {

FlowSearch *FlowSearches::find(const base::FlowKey &Key) {
  auto It = this->Searches.find(Key);
  return It == this->Searches.end() ? nullptr : &It->second;
}

FlowSearch &FlowSearches::start(base::TimePoint Now, const base::FlowKey &Key,
                                bool IsClaim) {
  FlowSearch &Search = this->Searches[Key];
  Search.IsClaim = IsClaim;
  Search.StartedAt = Now;
  return Search;
}

bool FlowSearches::queuePacket(FlowSearch &Search, StoredPacket Packet) {
  size_t Bytes = Packet.Payload.size();
  if (Search.QueuedPackets.size() >= MaxQueuedPacketsPerFlow ||
      this->QueuedBytes + Bytes > MaxQueuedBytes) {
    return false;
  }
  this->QueuedBytes += Bytes;
  Search.QueuedPackets.push_back(std::move(Packet));
  return true;
}

FlowSearch FlowSearches::finish(const base::FlowKey &Key) {
  auto Node = this->Searches.extract(Key);
  for (const StoredPacket &Packet : Node.mapped().QueuedPackets) {
    this->QueuedBytes -= Packet.Payload.size();
  }
  return std::move(Node.mapped());
}

std::vector<base::FlowKey>
FlowSearches::timedOutFlows(base::TimePoint Now) const {
  std::vector<base::FlowKey> Keys;
  for (const auto &[Key, Search] : this->Searches) {
    if (Now - Search.StartedAt >= QueryTimeout) {
      Keys.push_back(Key);
    }
  }
  return Keys;
}

void FlowSearches::clearHeldConnections() {
  for (auto &[Key, Search] : this->Searches) {
    Search.HoldsConnection = false;
  }
}

} // namespace bilberry::routing
