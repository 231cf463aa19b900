#include "bilberry/routing/held_flows.h"

namespace bilberry::routing {

HeldFlow &HeldFlows::start(base::TimePoint Now, const packet::FlowId &Flow,
                           FlowStage Stage) {
  auto [It, IsNew] = this->Flows.try_emplace(Flow);
  if (!IsNew) {
    this->removeFromCounts(It->second);
    It->second = HeldFlow();
  }
  It->second.Stage = Stage;
  It->second.OpenedAt = Now;
  It->second.LastPacketAt = Now;
  ++this->Stages[static_cast<size_t>(Stage)];
  return It->second;
}

void HeldFlows::setStage(HeldFlow &Flow, FlowStage Stage) {
  --this->Stages[static_cast<size_t>(Flow.Stage)];
  ++this->Stages[static_cast<size_t>(Stage)];
  Flow.Stage = Stage;
}

void HeldFlows::removeFromCounts(HeldFlow &Flow) {
  this->setAwaitingResponse(Flow, false);
  --this->Stages[static_cast<size_t>(Flow.Stage)];
}

base::Duration HeldFlows::lifetime(FlowStage Stage,
                                   base::Duration IdleLifetime) {
  switch (Stage) {
  case FlowStage::Opening:
    return OpeningLifetime;
  case FlowStage::Open:
    return IdleLifetime;
  case FlowStage::Ending:
    return EndingLifetime;
  case FlowStage::Absent:
    return AbsentLifetime;
  }
  return IdleLifetime;
}

void HeldFlows::erase(const packet::FlowId &Flow) {
  auto It = this->Flows.find(Flow);
  if (It != this->Flows.end()) {
    this->removeFromCounts(It->second);
    this->Flows.erase(It);
  }
}

void HeldFlows::setAwaitingResponse(HeldFlow &Flow, bool IsAwaitingResponse) {
  if (Flow.IsAwaitingResponse != IsAwaitingResponse) {
    Flow.IsAwaitingResponse = IsAwaitingResponse;
    this->FlowsAwaitingResponse += IsAwaitingResponse ? 1 : -1;
  }
}

void HeldFlows::recordCallerData(base::TimePoint Now, HeldFlow &Flow,
                                 const packet::Packet &Packet) {
  uint32_t End = Packet.Sequence + Packet.DataBytes;
  bool IsNew = !Flow.CallerEndSequence ||
               static_cast<int32_t>(End - *Flow.CallerEndSequence) > 0;
  if (IsNew) {
    Flow.CallerEndSequence = End;
    Flow.LastRequestAt = Now;
    this->setAwaitingResponse(Flow, true);
  }
}

void HeldFlows::recordFinOrReset(HeldFlow &Flow, const packet::Packet &Packet,
                                 bool ByCaller) {
  if (Packet.IsFin) {
    (ByCaller ? Flow.CallerHasFinished : Flow.UpstreamHasFinished) = true;
  }
  bool HaveBothFinished = Flow.CallerHasFinished && Flow.UpstreamHasFinished;
  if (Packet.IsReset || HaveBothFinished) {
    this->setStage(Flow, FlowStage::Ending);
    this->setAwaitingResponse(Flow, false);
  }
}

} // namespace bilberry::routing
