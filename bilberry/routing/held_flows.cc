#include "bilberry/routing/held_flows.h"

namespace bilberry::routing {

HeldFlow &HeldFlows::start(base::TimePoint Now, const packet::FlowId &Flow,
                           FlowStage Stage) {
  HeldFlow &Entry = this->Flows[Flow];
  this->setWorking(Entry, false);
  Entry = HeldFlow();
  Entry.Stage = Stage;
  Entry.OpenedAt = Now;
  Entry.LastPacket = Now;
  return Entry;
}

base::Duration HeldFlows::life(FlowStage Stage, base::Duration IdleLife) {
  switch (Stage) {
  case FlowStage::Opening:
    return OpeningLife;
  case FlowStage::Open:
    return IdleLife;
  case FlowStage::Ending:
    return EndingLife;
  case FlowStage::Absent:
    return AbsentLife;
  }
  return IdleLife;
}

void HeldFlows::erase(const packet::FlowId &Flow) {
  auto It = this->Flows.find(Flow);
  if (It != this->Flows.end()) {
    this->setWorking(It->second, false);
    this->Flows.erase(It);
  }
}

void HeldFlows::setWorking(HeldFlow &Flow, bool IsWorking) {
  if (Flow.IsWorking != IsWorking) {
    Flow.IsWorking = IsWorking;
    this->Working += IsWorking ? 1 : -1;
  }
}

void HeldFlows::noteEnd(HeldFlow &Flow, const packet::Packet &Packet,
                        bool ByCaller) {
  if (Packet.IsFin) {
    (ByCaller ? Flow.CallerIsDone : Flow.UpstreamIsDone) = true;
  }
  bool IsOver = Flow.CallerIsDone && Flow.UpstreamIsDone;
  if (Packet.IsReset || IsOver) {
    Flow.Stage = FlowStage::Ending;
    this->setWorking(Flow, false);
  }
}

} // namespace bilberry::routing
