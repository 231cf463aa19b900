// An upstream that takes packets, as a plain object: the part of an HTTP
// server's transport that matters to those who relay its packets. It answers
// opening packets, acknowledges and answers requests, and gives back what it
// doesn't hold.

#ifndef BILBERRY_STANDIN_PACKET_UPSTREAM_H
#define BILBERRY_STANDIN_PACKET_UPSTREAM_H

#include "bilberry/base/clock.h"
#include "bilberry/packet/packet.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace bilberry::standin {

/// What an upstream does with one packet.
struct UpstreamReply {
  /// The packet is given back.
  bool IsBounced = false;
  /// It answers: an opening packet's acknowledgement, or a response.
  bool HasAnswer = false;
  bool IsSyn = false;
  uint32_t Sequence = 0;
  uint16_t DataBytes = 0;
};

/// Not thread-safe.
class PacketUpstream {
public:
  /// FirstSequence tells the answers of two upstreams apart.
  explicit PacketUpstream(uint32_t FirstSequence)
      : FirstSequence(FirstSequence) {}

  /// Takes a caller's packet.
  UpstreamReply take(base::TimePoint Now, const packet::Packet &Packet);
  /// Loses all flows, as a restarted upstream.
  void restart() {
    this->Flows.clear();
    this->FirstSequence += 1000000;
  }
  /// Refuses new flows.
  void setFull(bool Value) { this->IsFull = Value; }

  /// True where the end of the flow's handshake has come.
  bool holds(const packet::FlowId &Flow) const {
    auto It = this->Flows.find(Flow);
    return It != this->Flows.end() && It->second.IsOpen;
  }
  /// When opening packets were taken.
  const std::vector<base::TimePoint> &openings() const {
    return this->Openings;
  }

private:
  struct Flow {
    uint32_t Sequence = 0;
    bool IsOpen = false;
  };

  uint32_t FirstSequence;
  bool IsFull = false;
  std::map<packet::FlowId, Flow> Flows;
  std::vector<base::TimePoint> Openings;
};

} // namespace bilberry::standin

#endif
