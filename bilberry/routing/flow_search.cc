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
  Search.AskedAt = Now;
  return Search;
}

bool FlowSearches::park(FlowSearch &Search, KeptPacket Packet) {
  size_t Bytes = Packet.Payload.size();
  if (Search.Parked.size() >= MaxParkedPerFlow ||
      this->ParkedBytes + Bytes > MaxParkedBytes) {
    return false;
  }
  this->ParkedBytes += Bytes;
  Search.Parked.push_back(std::move(Packet));
  return true;
}

FlowSearch FlowSearches::take(const base::FlowKey &Key) {
  auto Node = this->Searches.extract(Key);
  for (const KeptPacket &Packet : Node.mapped().Parked) {
    this->ParkedBytes -= Packet.Payload.size();
  }
  return std::move(Node.mapped());
}

std::vector<base::FlowKey> FlowSearches::timedOut(base::TimePoint Now) const {
  std::vector<base::FlowKey> Keys;
  for (const auto &[Key, Search] : this->Searches) {
    if (Now - Search.AskedAt >= QueryTimeout) {
      Keys.push_back(Key);
    }
  }
  return Keys;
}

void FlowSearches::forgetConnections() {
  for (auto &[Key, Search] : this->Searches) {
    Search.HoldsConnection = false;
  }
}

} // namespace bilberry::routing
