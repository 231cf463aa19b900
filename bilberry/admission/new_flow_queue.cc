#include "bilberry/admission/new_flow_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bilberry::admission {

bool NewFlowQueue::hold(QueuedNewFlow Opening) {
  if (this->Held.size() >= MaxQueuedNewFlows) {
    return false;
  }
  packet::FlowId Flow = Opening.Flow;
  this->Held.insert_or_assign(Flow, std::move(Opening));
  return true;
}

size_t NewFlowQueue::expire(base::TimePoint Now) {
  return std::erase_if(this->Held, [&](const auto &Entry) {
    return Now - Entry.second.ArrivedAt > MaxNewFlowQueueTime;
  });
}

std::vector<packet::FlowId>
NewFlowQueue::placementOrder(base::TimePoint Now) const {
  using Rank = std::tuple<bool, uint32_t, base::TimePoint, packet::FlowId>;
  std::vector<Rank> Ranks;
  Ranks.reserve(this->Held.size());
  for (const auto &[Flow, Opening] : this->Held) {
    bool IsLate = Now - Opening.ArrivedAt > Opening.LatencyTarget;
    Ranks.emplace_back(IsLate, Opening.Priority, Opening.ArrivedAt, Flow);
  }
  std::ranges::sort(Ranks);
  std::vector<packet::FlowId> Flows;
  Flows.reserve(Ranks.size());
  for (const Rank &Item : Ranks) {
    Flows.push_back(std::get<packet::FlowId>(Item));
  }
  return Flows;
}

} // namespace bilberry::admission
