#include "bilberry/standin/caller_flow.h"

#include "bilberry/standin/upstream_model.h"

#include <algorithm>
#include <utility>

namespace bilberry::standin {

// Packets of an upload that may be on their way at once.
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
  case FlowState::Silent:
    return "silent";
  }
  return "unknown";
}

CallerFlow::CallerFlow(const FlowPlan &Plan, uint64_t Connection,
                       base::TimePoint Now)
    : Plan(Plan), Connection(Connection), NextPacket(Now),
      LastAcknowledged(Now) {
  this->addPacket(Now, wire::FlowOpen);
}

void CallerFlow::onTick(base::TimePoint Now, std::vector<std::string> &Out) {
  if (this->isEnded()) {
    return;
  }
  if (this->isSilent(Now)) {
    this->end(FlowState::Silent, "no acknowledgement");
    return;
  }
  if (this->State == FlowState::Open) {
    this->addDuePackets(Now);
  }
  this->sendDue(Now, Out);
}

void CallerFlow::addDuePackets(base::TimePoint Now) {
  if (!this->isUpload()) {
    if (this->MustClose || Now >= this->NextPacket) {
      this->addPacket(Now, this->MustClose ? wire::FlowClose : 0);
    }
    return;
  }
  while (this->State == FlowState::Open &&
         this->Waiting.size() < UploadWindow) {
    bool IsLast = this->LastSequence + 1 >= this->Plan.Packets;
    this->addPacket(Now, IsLast ? wire::FlowClose : 0);
  }
}

void CallerFlow::addPacket(base::TimePoint Now, uint8_t Flags) {
  this->NextPacket = Now + this->Plan.Interval;
  uint64_t Sequence = ++this->LastSequence;
  Unacknowledged Packet;
  Packet.Body = serviceTag(this->Plan.Service) + std::to_string(Sequence) + ":";
  Packet.Body.append(this->Plan.BodyBytes, 'x');
  Packet.Flags = Flags;
  Packet.FirstSent = Now;
  Packet.NextSend = Now;
  this->Bytes += Packet.Body.size();
  this->Waiting.emplace(Sequence, std::move(Packet));
  if ((Flags & wire::FlowClose) != 0) {
    this->State = FlowState::Closing;
  }
}

void CallerFlow::sendDue(base::TimePoint Now, std::vector<std::string> &Out) {
  for (auto &[Sequence, Packet] : this->Waiting) {
    if (Packet.NextSend > Now) {
      continue;
    }
    Packet.NextSend = Now + Packet.Backoff;
    Packet.Backoff = std::min(Packet.Backoff * 2, LongestResend);
    Out.push_back(wire::flowPacketBytes({this->Plan.Class, this->Connection,
                                         Packet.Flags, Sequence, Packet.Body}));
  }
}

bool CallerFlow::isSilent(base::TimePoint Now) const {
  if (this->Waiting.empty()) {
    return false;
  }
  base::TimePoint Since =
      std::max(this->LastAcknowledged, this->Waiting.begin()->second.FirstSent);
  return Now - Since >= SilenceTimeout;
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
    bool IsWhole = Reply.Body == flowSummary(this->LastSequence, this->Bytes);
    this->end(IsWhole ? FlowState::Closed : FlowState::ClosedPartly,
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
  auto Packet = this->Waiting.find(Reply.Sequence);
  if (Packet == this->Waiting.end()) {
    return base::Duration(0);
  }
  this->LastAcknowledged = Now;
  base::Duration Took = Now - Packet->second.FirstSent;
  bool IsClosing = (Packet->second.Flags & wire::FlowClose) != 0;
  if (IsClosing) {
    // Only Closed ends it: this one is sent again until that comes.
    return base::Duration(0);
  }
  this->Waiting.erase(Packet);
  return Took;
}

void CallerFlow::end(FlowState How, const std::string &Why) {
  this->State = How;
  this->Reason = Why;
  this->Waiting.clear();
}

} // namespace bilberry::standin
