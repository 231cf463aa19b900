#include "bilberry/standin/packet_upstream.h"

namespace bilberry::standin {

static constexpr uint16_t ResponseBytes = 300;

UpstreamReply PacketUpstream::handlePacket(base::TimePoint Now,
                                           const packet::Packet &Packet) {
  packet::FlowId Id = Packet.flowFromCaller();
  auto Known = this->Flows.find(Id);
  UpstreamReply Reply;
  if (Packet.opensFlow()) {
    this->OpeningTimes.push_back(Now);
    if (this->RefusesNewFlows) {
      Reply.IsBounced = true;
      return Reply;
    }
    if (Known == this->Flows.end()) {
      Known = this->Flows.emplace(Id, Flow{this->FirstSequence, false}).first;
    }
    Reply.HasAnswer = true;
    Reply.IsSyn = true;
    Reply.Sequence = Known->second.Sequence;
    return Reply;
  }
  bool IsKnownFlow = Known != this->Flows.end() &&
                     (Known->second.IsOpen ||
                      Packet.Acknowledged == Known->second.Sequence + 1);
  if (!IsKnownFlow) {
    Reply.IsBounced = true;
    return Reply;
  }
  Known->second.IsOpen = true;
  if (Packet.DataBytes > 0) {
    Reply.HasAnswer = true;
    Reply.Sequence = Known->second.Sequence + 1;
    Reply.DataBytes = ResponseBytes;
  }
  return Reply;
}

} // namespace bilberry::standin
