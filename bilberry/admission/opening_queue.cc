#include "bilberry/admission/opening_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bilberry::admission {

bool OpeningQueue::hold(HeldOpening Opening) {
  if (this->Held.size() >= MaxHeldOpenings) {
    return false;
  }
  packet::FlowId Flow = Opening.Flow;
  this->Held.insert_or_assign(Flow, std::move(Opening));
  return true;
}

size_t OpeningQueue::expire(base::TimePoint Now) {
  return std::erase_if(this->Held, [&](const auto &Known) {
    return Now - Known.second.ArrivedAt > OpeningPatience;
  });
}

std::vector<packet::FlowId> OpeningQueue::order(base::TimePoint Now) const {
  using Rank = std::tuple<bool, uint32_t, base::TimePoint, packet::FlowId>;
  std::vector<Rank> Ranks;
  Ranks.reserve(this->Held.size());
  for (const auto &[Flow, Opening] : this->Held) {
    bool IsLate = Now - Opening.ArrivedAt > Opening.Aim;
    Ranks.emplace_back(IsLate, Opening.Priority, Opening.ArrivedAt, Flow);
  }
  std::ranges::sort(Ranks);
  std::vector<packet::FlowId> Flows;
  Flows.reserve(Ranks.size());
  for (const Rank &Each : Ranks) {
    Flows.push_back(std::get<packet::FlowId>(Each));
  }
  return Flows;
}

} // namespace bilberry::admission
