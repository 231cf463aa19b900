#include "bilberry/admission/new_flow_queue.h"

#include <algorithm>
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

std::vector<packet::FlowId> NewFlowQueue::placementOrder(base::TimePoint Now) {
  struct Rank {
    bool IsLate;
    uint32_t Priority;
    // The flows of the same caller that go first.
    uint32_t Turn;
    base::TimePoint ArrivedAt;
    packet::FlowId Flow;

    auto operator<=>(const Rank &) const = default;
  };
  std::vector<Rank> Ranks;
  Ranks.reserve(this->Held.size());
  for (const auto &[Flow, Opening] : this->Held) {
    bool IsLate = Now - Opening.ArrivedAt > Opening.LatencyTarget;
    Ranks.push_back({IsLate, Opening.Priority, 0, Opening.ArrivedAt, Flow});
  }
  std::ranges::sort(Ranks);
  if (this->CallersTakeTurns) {
    std::unordered_map<uint32_t, uint32_t> Seen;
    for (Rank &Item : Ranks) {
      uint32_t Caller = Item.Flow.Caller.Ip;
      Item.Turn = Seen[Caller]++ + this->Turns.placed(Now, Caller);
    }
    std::ranges::sort(Ranks);
  }
  std::vector<packet::FlowId> Flows;
  Flows.reserve(Ranks.size());
  for (const Rank &Item : Ranks) {
    Flows.push_back(Item.Flow);
  }
  return Flows;
}

} // namespace bilberry::admission
