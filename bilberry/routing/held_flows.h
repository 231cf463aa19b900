// Tracks the flows that an agent's upstream holds, inferred from the packets
// that the agent relays. The upstream is authoritative: if it returns a packet,
// it doesn't hold the flow.

#ifndef BILBERRY_ROUTING_HELD_FLOWS_H
#define BILBERRY_ROUTING_HELD_FLOWS_H

#include "bilberry/base/clock.h"
#include "bilberry/packet/packet.h"

#include <array>
#include <optional>
#include <unordered_map>

namespace bilberry::routing {

/// The stage of a flow, as inferred from its packets.
enum class FlowStage : uint8_t {
  /// The opening packet was delivered to the upstream.
  Opening,
  /// The caller has acknowledged the upstream's response, or the upstream has
  /// sent data.
  Open,
  /// Both ends have finished, or one has reset the flow. Retained for late
  /// packets.
  Ending,
  /// The upstream was probed and doesn't hold the flow. Retained so that it
  /// isn't probed again.
  Absent,
};

inline constexpr size_t FlowStageCount = 4;

/// The observed state of one flow.
struct HeldFlow {
  FlowStage Stage = FlowStage::Opening;
  /// The caller's last data awaits a response from the upstream.
  bool IsAwaitingResponse = false;
  /// The flow has been reported to the balancers.
  bool IsAnnounced = false;
  bool CallerHasFinished = false;
  bool UpstreamHasFinished = false;
  /// The upstream was sent a packet to determine whether it holds the flow, and
  /// has sent none on it.
  bool IsBeingProbed = false;
  /// When the first of the last packets was delivered that probe the upstream.
  base::TimePoint ProbedAt;
  /// The sequence number of the opening packet, if this agent relayed it.
  std::optional<uint32_t> OpeningSequence;
  /// The sequence number of the upstream's response to the opening packet, once
  /// received.
  std::optional<uint32_t> UpstreamSequence;
  /// The sequence number after the caller's last byte, once it has sent data.
  std::optional<uint32_t> CallerEndSequence;
  /// The caller's last acknowledgement number. The sequence number of a reset
  /// must be near it.
  uint32_t CallerAcknowledged = 0;
  /// The balancer that sent the last packet.
  base::Address Balancer;
  base::TimePoint OpenedAt;
  base::TimePoint LastPacketAt;
  /// When the upstream first sent a packet of the flow, if this agent has
  /// relayed one.
  std::optional<base::TimePoint> FirstUpstreamPacketAt;
  /// When the upstream last sent a packet of the flow; the epoch if this agent
  /// hasn't relayed one.
  base::TimePoint LastUpstreamPacketAt;
  /// When the caller last sent new data.
  base::TimePoint LastRequestAt;
};

/// How long a flow that doesn't complete its opening is retained. Callers give
/// up after 1.4 s.
inline constexpr base::Duration OpeningLifetime =
    std::chrono::milliseconds(1500);
/// How long an ended flow is retained for late packets. Longer than the longest
/// retransmission interval.
inline constexpr base::Duration EndingLifetime = std::chrono::seconds(4);
/// How long the result is retained that an upstream doesn't hold a flow.
inline constexpr base::Duration AbsentLifetime = std::chrono::seconds(30);
/// How far, in bytes, an acknowledgement may be past the upstream's initial
/// sequence number: 16 packets of 1,200 bytes in flight, with a margin.
inline constexpr uint32_t AcknowledgementWindow = 76800;

/// Flow table of one agent. Not thread-safe.
class HeldFlows {
public:
  using FlowMap = std::unordered_map<packet::FlowId, HeldFlow>;

  /// Returns the flow, or null.
  HeldFlow *find(const packet::FlowId &Flow) {
    auto It = this->Flows.find(Flow);
    return It == this->Flows.end() ? nullptr : &It->second;
  }
  /// Creates the flow in the given stage, replacing an existing entry. The
  /// reference is valid until the entry is erased.
  HeldFlow &start(base::TimePoint Now, const packet::FlowId &Flow,
                  FlowStage Stage);
  void erase(const packet::FlowId &Flow);
  /// Sets the stage. Flows are counted by stage, so HeldFlow::Stage must not be
  /// modified directly.
  void setStage(HeldFlow &Flow, FlowStage Stage);
  /// Sets whether the flow awaits a response.
  void setAwaitingResponse(HeldFlow &Flow, bool IsAwaitingResponse);
  /// Records data from the caller. A retransmission doesn't mark the flow as
  /// awaiting a response, because that may have been sent already.
  void recordCallerData(base::TimePoint Now, HeldFlow &Flow,
                        const packet::Packet &Packet);
  /// Records the end of one direction (FIN) or of both (reset), if the packet
  /// has such a flag. Called for every packet.
  void recordFinOrReset(HeldFlow &Flow, const packet::Packet &Packet,
                        bool ByCaller);

  /// Erases flows without a packet for longer than their stage's lifetime;
  /// IdleLifetime applies to open flows. Calls OnErased(FlowId, HeldFlow) for
  /// each.
  template <typename Handler>
  void expire(base::TimePoint Now, base::Duration IdleLifetime,
              Handler OnErased) {
    for (auto It = this->Flows.begin(); It != this->Flows.end();) {
      if (Now - It->second.LastPacketAt <=
          lifetime(It->second.Stage, IdleLifetime)) {
        ++It;
        continue;
      }
      this->removeFromCounts(It->second);
      OnErased(It->first, It->second);
      It = this->Flows.erase(It);
    }
  }

  const FlowMap &all() const { return this->Flows; }
  FlowMap &all() { return this->Flows; }
  size_t size() const { return this->Flows.size(); }
  /// Number of flows whose caller awaits a response.
  uint32_t flowsAwaitingResponse() const { return this->FlowsAwaitingResponse; }
  /// Number of flows in the given stage.
  uint32_t inStage(FlowStage Stage) const {
    return this->Stages[static_cast<size_t>(Stage)];
  }

private:
  static base::Duration lifetime(FlowStage Stage, base::Duration IdleLifetime);

  // Removes the flow from the counts by stage and of flows that await a
  // response.
  void removeFromCounts(HeldFlow &Flow);

  FlowMap Flows;
  uint32_t FlowsAwaitingResponse = 0;
  std::array<uint32_t, FlowStageCount> Stages{};
};

/// Returns true if the acknowledgement number is plausible for a flow whose
/// upstream started at the given sequence number.
inline bool acknowledges(uint32_t Acknowledged, uint32_t UpstreamSequence) {
  return Acknowledged - UpstreamSequence <= AcknowledgementWindow;
}

} // namespace bilberry::routing

#endif
