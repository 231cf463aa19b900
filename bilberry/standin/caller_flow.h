// The caller's side of one flow: a stream that sends a packet each interval
// until it is closed, or an upload that sends its chunks as fast as a send
// window allows. Unacknowledged packets are retransmitted with backoff.
// Performs no I/O: takes time points and returns datagrams.

#ifndef BILBERRY_STANDIN_CALLER_FLOW_H
#define BILBERRY_STANDIN_CALLER_FLOW_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ids.h"
#include "bilberry/wire/caller_message.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberry::standin {

/// A flow that receives no acknowledgement for this long has failed.
inline constexpr base::Duration AcknowledgementTimeout =
    std::chrono::seconds(5);
/// An unacknowledged packet is retransmitted after this delay, which doubles
/// each time up to the maximum.
inline constexpr base::Duration InitialRetransmitDelay =
    std::chrono::milliseconds(200);
inline constexpr base::Duration MaxRetransmitDelay =
    std::chrono::milliseconds(1600);

/// The type of a flow and the size and rate of its packets.
struct FlowConfig {
  base::ClassName Class;
  base::ServiceName Service;
  /// Time between two packets of a stream; unused for an upload.
  base::Duration Interval{0};
  /// Number of packets in an upload; 0 for a stream.
  uint64_t Packets = 0;
  /// Length of each packet's body, not counting its tag.
  uint32_t BodyBytes = 0;
};

enum class FlowState : uint8_t {
  Opening,
  Open,
  /// The closing packet was queued for sending.
  Closing,
  /// Closed, and the upstream received every packet.
  Closed,
  /// Closed, but the upstream's packet or byte count differs from what was
  /// sent.
  ClosedPartly,
  Refused,
  Reset,
  /// No acknowledgement was received in time.
  TimedOut,
};
/// The name of the state. Never fails.
std::string_view flowStateText(FlowState State);

/// The state of one flow. Not thread-safe.
class CallerFlow {
public:
  CallerFlow(const FlowConfig &Config, uint64_t Connection,
             base::TimePoint Now);

  /// Appends the datagrams that are due to Out.
  void onTick(base::TimePoint Now, std::vector<std::string> &Out);
  /// Handles a packet received for this flow. Returns the time since the
  /// acknowledged packet was first sent, or 0 where no data packet is
  /// acknowledged.
  base::Duration onReply(base::TimePoint Now, const wire::FlowReply &Reply);
  /// Closes a stream with its next packet. An upload closes with its last
  /// chunk.
  void close() { this->IsCloseRequested = true; }

  FlowState state() const { return this->State; }
  /// True once the flow is in a final state.
  bool isEnded() const { return this->State >= FlowState::Closed; }
  /// True where the upstream accepted the flow.
  bool wasOpened() const { return this->WasOpened; }
  uint64_t connection() const { return this->Connection; }
  /// Why the flow was refused or reset, or how else it ended.
  const std::string &reason() const { return this->Reason; }
  uint64_t packetsSent() const { return this->LastSequence; }
  uint64_t pushesReceived() const { return this->Pushes; }

private:
  struct Unacknowledged {
    std::string Body;
    uint8_t Flags = 0;
    base::TimePoint FirstSentAt;
    base::TimePoint NextSendAt;
    base::Duration Backoff = InitialRetransmitDelay;
  };

  bool isUpload() const { return this->Config.Packets > 0; }
  void addDuePackets(base::TimePoint Now);
  void addPacket(base::TimePoint Now, uint8_t Flags);
  void sendDuePackets(base::TimePoint Now, std::vector<std::string> &Out);
  bool hasTimedOut(base::TimePoint Now) const;
  void end(FlowState EndState, const std::string &EndReason);

  FlowConfig Config;
  uint64_t Connection;
  FlowState State = FlowState::Opening;
  bool WasOpened = false;
  bool IsCloseRequested = false;
  std::string Reason;
  uint64_t LastSequence = 0;
  uint64_t Bytes = 0;
  uint64_t Pushes = 0;
  base::TimePoint NextPacketAt;
  base::TimePoint LastAcknowledgedAt;
  std::map<uint64_t, Unacknowledged> UnacknowledgedPackets;
};

} // namespace bilberry::standin

#endif
