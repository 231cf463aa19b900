#include "bilberry/standin/caller_flow.h"

#include "bilberry/standin/upstream_model.h"

#include <algorithm>
#include <utility>

namespace bilberry::standin {

// The most unacknowledged packets of an upload.
static constexpr size_t UploadWindow = 16;

std::string_view flowStateText(FlowState State) {
  switch (State) {
  case FlowState::Opening:
    return "opening";
  case FlowState::Open:
    return "open";
  case FlowState::Closing:
    return "closing";
  case FlowState::Closed:
    return "closed";
  case FlowState::ClosedPartly:
    return "closed-partly";
  case FlowState::Refused:
    return "refused";
  case FlowState::Reset:
    return "reset";
  case FlowState::TimedOut:
    return "silent";
  }
  return "unknown";
}

CallerFlow::CallerFlow(const FlowConfig &Config, uint64_t Connection,
                       base::TimePoint Now)
    : Config(Config), Connection(Connection), NextPacketAt(Now),
      LastAcknowledgedAt(Now) {
  this->addPacket(Now, wire::FlowOpenFlag);
}

void CallerFlow::onTick(base::TimePoint Now, std::vector<std::string> &Out) {
  if (this->isEnded()) {
    return;
  }
  if (this->hasTimedOut(Now)) {
    this->end(FlowState::TimedOut, "no acknowledgement");
    return;
  }
  if (this->State == FlowState::Open) {
    this->addDuePackets(Now);
  }
  this->sendDuePackets(Now, Out);
}

void CallerFlow::addDuePackets(base::TimePoint Now) {
  if (!this->isUpload()) {
    if (this->IsCloseRequested || Now >= this->NextPacketAt) {
      this->addPacket(Now, this->IsCloseRequested ? wire::FlowCloseFlag : 0);
    }
    return;
  }
  while (this->State == FlowState::Open &&
         this->UnacknowledgedPackets.size() < UploadWindow) {
    bool IsLast = this->LastSequence + 1 >= this->Config.Packets;
    this->addPacket(Now, IsLast ? wire::FlowCloseFlag : 0);
  }
}

void CallerFlow::addPacket(base::TimePoint Now, uint8_t Flags) {
  this->NextPacketAt = Now + this->Config.Interval;
  uint64_t Sequence = ++this->LastSequence;
  Unacknowledged Packet;
  Packet.Body =
      serviceTag(this->Config.Service) + std::to_string(Sequence) + ":";
  Packet.Body.append(this->Config.BodyBytes, 'x');
  Packet.Flags = Flags;
  Packet.FirstSentAt = Now;
  Packet.NextSendAt = Now;
  this->Bytes += Packet.Body.size();
  this->UnacknowledgedPackets.emplace(Sequence, std::move(Packet));
  if ((Flags & wire::FlowCloseFlag) != 0) {
    this->State = FlowState::Closing;
  }
}

void CallerFlow::sendDuePackets(base::TimePoint Now,
                                std::vector<std::string> &Out) {
  for (auto &[Sequence, Packet] : this->UnacknowledgedPackets) {
    if (Packet.NextSendAt > Now) {
      continue;
    }
    Packet.NextSendAt = Now + Packet.Backoff;
    Packet.Backoff = std::min(Packet.Backoff * 2, MaxRetransmitDelay);
    Out.push_back(wire::flowPacketBytes({this->Config.Class, this->Connection,
                                         Packet.Flags, Sequence, Packet.Body}));
  }
}

bool CallerFlow::hasTimedOut(base::TimePoint Now) const {
  if (this->UnacknowledgedPackets.empty()) {
    return false;
  }
  base::TimePoint Since =
      std::max(this->LastAcknowledgedAt,
               this->UnacknowledgedPackets.begin()->second.FirstSentAt);
  return Now - Since >= AcknowledgementTimeout;
}

base::Duration CallerFlow::onReply(base::TimePoint Now,
                                   const wire::FlowReply &Reply) {
  if (this->isEnded()) {
    return base::Duration(0);
  }
  switch (Reply.Event) {
  case wire::FlowEvent::Refused:
    this->end(FlowState::Refused, Reply.Body);
    return base::Duration(0);
  case wire::FlowEvent::Reset:
    this->end(FlowState::Reset, Reply.Body);
    return base::Duration(0);
  case wire::FlowEvent::Closed: {
    bool IsComplete =
        Reply.Body == flowSummary(this->LastSequence, this->Bytes);
    this->end(IsComplete ? FlowState::Closed : FlowState::ClosedPartly,
              Reply.Body);
    return base::Duration(0);
  }
  case wire::FlowEvent::Opened:
    this->WasOpened = true;
    if (this->State == FlowState::Opening) {
      this->State = FlowState::Open;
    }
    break;
  case wire::FlowEvent::Data:
    this->Pushes += Reply.Sequence < FirstSequence ? 1 : 0;
    break;
  }
  auto Packet = this->UnacknowledgedPackets.find(Reply.Sequence);
  if (Packet == this->UnacknowledgedPackets.end()) {
    return base::Duration(0);
  }
  this->LastAcknowledgedAt = Now;
  base::Duration Latency = Now - Packet->second.FirstSentAt;
  bool IsClosing = (Packet->second.Flags & wire::FlowCloseFlag) != 0;
  if (IsClosing) {
    // The closing packet is retransmitted until the Closed event arrives.
    return base::Duration(0);
  }
  this->UnacknowledgedPackets.erase(Packet);
  return Latency;
}

void CallerFlow::end(FlowState EndState, const std::string &EndReason) {
  this->State = EndState;
  this->Reason = EndReason;
  this->UnacknowledgedPackets.clear();
}

} // namespace bilberry::standin
