// One flow as a caller sees it: a stream that sends a packet each interval
// until it is told to end, or an upload that sends its chunks as fast as a
// window allows. Packets that aren't acknowledged are sent again with backoff.
// A pure object: time points in, datagrams out.

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

/// A flow without an acknowledgement for this long is broken.
inline constexpr base::Duration SilenceTimeout = std::chrono::seconds(5);
/// A packet is sent again after this, then after twice as long, and so on.
inline constexpr base::Duration FirstResend = std::chrono::milliseconds(200);
inline constexpr base::Duration LongestResend = std::chrono::milliseconds(1600);

/// What kind of flow.
struct FlowPlan {
  base::ClassName Class;
  base::ServiceName Service;
  /// Between two packets of a stream; unused for an upload.
  base::Duration Interval{0};
  /// How many packets an upload has; 0 for a stream.
  uint64_t Packets = 0;
  /// Length of each packet's body, beyond its tag.
  uint32_t BodyBytes = 0;
};

enum class FlowState : uint8_t {
  Opening,
  Open,
  /// The closing packet was sent.
  Closing,
  /// Closed, and the upstream has all of it.
  Closed,
  /// Closed, but the upstream says that it has something else.
  ClosedPartly,
  Refused,
  Reset,
  /// No acknowledgement came.
  Silent,
};
/// The state as a word. Never fails.
std::string_view flowStateText(FlowState State);

/// Not safe for two threads at once.
class CallerFlow {
public:
  CallerFlow(const FlowPlan &Plan, uint64_t Connection, base::TimePoint Now);

  /// Appends the datagrams that are due.
  void onTick(base::TimePoint Now, std::vector<std::string> &Out);
  /// A packet for this flow has come. Gives how long the packet that it
  /// acknowledges took, from when it was first sent; 0 where it acknowledges
  /// none.
  base::Duration onReply(base::TimePoint Now, const wire::FlowReply &Reply);
  /// Ends a stream with its next packet. An upload ends by itself.
  void close() { this->MustClose = true; }

  FlowState state() const { return this->State; }
  /// True once nothing more will come of it.
  bool isEnded() const { return this->State >= FlowState::Closed; }
  /// True where the upstream had taken it.
  bool wasOpened() const { return this->WasOpened; }
  uint64_t connection() const { return this->Connection; }
  /// Why it was refused or reset.
  const std::string &reason() const { return this->Reason; }
  uint64_t packetsSent() const { return this->LastSequence; }
  uint64_t pushesReceived() const { return this->Pushes; }

private:
  struct Unacknowledged {
    std::string Body;
    uint8_t Flags = 0;
    base::TimePoint FirstSent;
    base::TimePoint NextSend;
    base::Duration Backoff = FirstResend;
  };

  bool isUpload() const { return this->Plan.Packets > 0; }
  void addDuePackets(base::TimePoint Now);
  void addPacket(base::TimePoint Now, uint8_t Flags);
  void sendDue(base::TimePoint Now, std::vector<std::string> &Out);
  bool isSilent(base::TimePoint Now) const;
  void end(FlowState How, const std::string &Why);

  FlowPlan Plan;
  uint64_t Connection;
  FlowState State = FlowState::Opening;
  bool WasOpened = false;
  bool MustClose = false;
  std::string Reason;
  uint64_t LastSequence = 0;
  uint64_t Bytes = 0;
  uint64_t Pushes = 0;
  base::TimePoint NextPacket;
  base::TimePoint LastAcknowledged;
  std::map<uint64_t, Unacknowledged> Waiting;
};

} // namespace bilberry::standin

#endif
