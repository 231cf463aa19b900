// The flows that an agent's upstream holds, as far as the packets that pass
// the agent tell. The upstream itself is the authority: what it gives back it
// doesn't hold.

#ifndef BILBERRY_ROUTING_HELD_FLOWS_H
#define BILBERRY_ROUTING_HELD_FLOWS_H

#include "bilberry/base/clock.h"
#include "bilberry/packet/packet.h"

#include <array>
#include <optional>
#include <unordered_map>

namespace bilberry::routing {

enum class FlowStage : uint8_t {
  /// The upstream was given the opening packet.
  Opening,
  /// The caller has acknowledged the upstream's answer, or the upstream has
  /// sent data.
  Open,
  /// Both ends have finished, or one has reset it. Kept for late packets.
  Ending,
  /// The upstream was asked and doesn't hold it. Kept, so that it isn't asked
  /// again.
  Absent,
};

inline constexpr size_t FlowStages = 4;

struct HeldFlow {
  FlowStage Stage = FlowStage::Opening;
  /// The caller's last data waits for an answer.
  bool IsWorking = false;
  /// The balancers have been told.
  bool IsPublished = false;
  bool CallerIsDone = false;
  bool UpstreamIsDone = false;
  /// The upstream was given a packet to find out whether it holds the flow.
  bool IsProbe = false;
  /// The sequence number of its opening packet, where that passed here.
  std::optional<uint32_t> OpeningSequence;
  /// The sequence number of the upstream's answer to that, once it came.
  std::optional<uint32_t> UpstreamSequence;
  /// The sequence number after the caller's last byte, once it has sent any.
  std::optional<uint32_t> CallerEnd;
  /// The caller's last acknowledgement; a reset must lie near it.
  uint32_t CallerAcknowledged = 0;
  /// The balancer that sent the last packet.
  base::Address Balancer;
  base::TimePoint OpenedAt;
  base::TimePoint LastPacket;
};

/// How long an opening that nobody completes is kept: callers give up after
/// 1.4 s.
inline constexpr base::Duration OpeningLife = std::chrono::milliseconds(1500);
/// How long an ended flow is kept for late packets: longer than the longest
/// interval between two retransmissions.
inline constexpr base::Duration EndingLife = std::chrono::seconds(4);
/// How long an upstream's word that it doesn't hold a flow is kept.
inline constexpr base::Duration AbsentLife = std::chrono::seconds(30);
/// How far an acknowledgement may lie beyond the upstream's first sequence
/// number: 16 packets of 1,200 bytes in flight, with room.
inline constexpr uint32_t AcknowledgementWindow = 76800;

/// Not thread-safe.
class HeldFlows {
public:
  using Map = std::unordered_map<packet::FlowId, HeldFlow>;

  HeldFlow *find(const packet::FlowId &Flow) {
    auto It = this->Flows.find(Flow);
    return It == this->Flows.end() ? nullptr : &It->second;
  }
  /// The flow, made anew in that stage.
  HeldFlow &start(base::TimePoint Now, const packet::FlowId &Flow,
                  FlowStage Stage);
  void erase(const packet::FlowId &Flow);
  /// Sets the stage. Stages are counted, so nothing else may change one.
  void setStage(HeldFlow &Flow, FlowStage Stage);
  /// Sets whether the flow waits for an answer.
  void setWorking(HeldFlow &Flow, bool IsWorking);
  /// Notes data from the caller. A repeated packet asks for nothing new, and
  /// its answer may have been given.
  void noteCallerData(HeldFlow &Flow, const packet::Packet &Packet);
  /// Notes the end of one direction, or of both.
  void noteEnd(HeldFlow &Flow, const packet::Packet &Packet, bool ByCaller);

  /// Erases what has been silent for too long; IdleLife is for open flows.
  /// Calls OnErased(FlowId, HeldFlow) for each.
  template <typename Handler>
  void expire(base::TimePoint Now, base::Duration IdleLife, Handler OnErased) {
    for (auto It = this->Flows.begin(); It != this->Flows.end();) {
      if (Now - It->second.LastPacket <= life(It->second.Stage, IdleLife)) {
        ++It;
        continue;
      }
      this->forget(It->second);
      OnErased(It->first, It->second);
      It = this->Flows.erase(It);
    }
  }

  const Map &all() const { return this->Flows; }
  Map &all() { return this->Flows; }
  size_t size() const { return this->Flows.size(); }
  /// Flows whose caller waits for an answer.
  uint32_t working() const { return this->Working; }
  /// Flows in that stage.
  uint32_t inStage(FlowStage Stage) const {
    return this->Stages[static_cast<size_t>(Stage)];
  }

private:
  static base::Duration life(FlowStage Stage, base::Duration IdleLife);

  // Takes the flow out of the counts.
  void forget(HeldFlow &Flow);

  Map Flows;
  uint32_t Working = 0;
  std::array<uint32_t, FlowStages> Stages{};
};

/// True where a caller's acknowledgement can be of a flow whose upstream began
/// at that sequence number.
inline bool acknowledges(uint32_t Acknowledged, uint32_t UpstreamSequence) {
  return Acknowledged - UpstreamSequence <= AcknowledgementWindow;
}

} // namespace bilberry::routing

#endif
