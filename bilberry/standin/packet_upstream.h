// A simulated upstream at the packet level: the part of an HTTP server's TCP
// endpoint that matters to a packet forwarder. It acknowledges opening packets,
// answers packets that carry data, and returns packets of flows that it doesn't
// have. Performs no I/O.

#ifndef BILBERRY_STANDIN_PACKET_UPSTREAM_H
#define BILBERRY_STANDIN_PACKET_UPSTREAM_H

#include "bilberry/base/clock.h"
#include "bilberry/packet/packet.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace bilberry::standin {

/// How the upstream responds to one packet.
struct UpstreamReply {
  /// The packet is returned to the agent.
  bool IsBounced = false;
  /// The upstream sends a packet: a SYN-ACK or a response.
  bool HasAnswer = false;
  bool IsSyn = false;
  uint32_t Sequence = 0;
  uint16_t DataBytes = 0;
};

/// The flows of one upstream. Not thread-safe.
class PacketUpstream {
public:
  /// FirstSequence is the initial sequence number of each flow; different
  /// values distinguish the answers of two upstreams.
  explicit PacketUpstream(uint32_t FirstSequence)
      : FirstSequence(FirstSequence) {}

  /// Handles a packet from a caller.
  UpstreamReply handlePacket(base::TimePoint Now, const packet::Packet &Packet);
  /// Drops all flows and changes the initial sequence number, as after a
  /// restart.
  void restart() {
    this->Flows.clear();
    this->FirstSequence += 1000000;
  }
  /// Sets whether packets that open a flow are returned.
  void setRefusesNewFlows(bool Value) { this->RefusesNewFlows = Value; }

  /// True where the flow's handshake is complete.
  bool hasOpenFlow(const packet::FlowId &Flow) const {
    auto It = this->Flows.find(Flow);
    return It != this->Flows.end() && It->second.IsOpen;
  }
  /// When opening packets were received.
  const std::vector<base::TimePoint> &openingTimes() const {
    return this->OpeningTimes;
  }

private:
  struct Flow {
    uint32_t Sequence = 0;
    bool IsOpen = false;
  };

  uint32_t FirstSequence;
  bool RefusesNewFlows = false;
  std::map<packet::FlowId, Flow> Flows;
  std::vector<base::TimePoint> OpeningTimes;
};

} // namespace bilberry::standin

#endif
