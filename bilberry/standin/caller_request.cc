#include "bilberry/standin/caller_request.h"

#include "bilberry/standin/caller_flow.h"
#include "bilberry/standin/upstream_model.h"

#include <algorithm>

namespace bilberry::standin {

std::string_view requestStateText(RequestState State) {
  switch (State) {
  case RequestState::Waiting:
    return "waiting";
  case RequestState::Answered:
    return "answered";
  case RequestState::NotRun:
    return "not-run";
  case RequestState::Unknown:
    return "unknown";
  case RequestState::None:
    return "no-outcome";
  }
  return "invalid";
}

CallerRequest::CallerRequest(const RequestConfig &Config, base::RequestId Id,
                             base::TimePoint Now, uint32_t &NextMessageId)
    : Config(Config), Id(Id), NextMessageId(NextMessageId), StartedAt(Now) {
  this->Body = serviceTag(Config.Service) + std::to_string(Id.High) + "-" +
               std::to_string(Id.Low);
  this->startAttempt(Now);
}

void CallerRequest::startAttempt(base::TimePoint SendAt) {
  ++this->Attempt;
  this->MessageId = this->NextMessageId++;
  this->Attempts[this->MessageId] = {};
  this->Chunks.clear();
  this->NextSendAt = SendAt;
  this->Backoff = InitialRetransmitDelay;
}

void CallerRequest::onTick(base::TimePoint Now, std::vector<std::string> &Out) {
  if (this->isEnded()) {
    return;
  }
  base::TimePoint Deadline = this->StartedAt + this->Config.Deadline;
  if (Now >= Deadline + OutcomeGracePeriod) {
    this->State = RequestState::None;
    return;
  }
  if (Now < this->NextSendAt || Now >= Deadline) {
    return;
  }
  this->NextSendAt = Now + this->Backoff;
  this->Backoff = std::min(this->Backoff * 2, MaxRetransmitDelay);
  Out.push_back(this->packetBytes());
}

std::string CallerRequest::packetBytes() const {
  return wire::requestPacketBytes(
      {this->Config.Class, this->MessageId, this->Id, this->Attempt,
       this->StartedAt + this->Config.Deadline, this->Body});
}

void CallerRequest::recordOutcome(uint32_t Message, bool IsAnswer) {
  AttemptOutcome &Entry = this->Attempts[Message];
  Entry.IsAnswered = Entry.IsAnswered || IsAnswer;
  Entry.IsNotRun = Entry.IsNotRun || !IsAnswer;
  if (Entry.IsAnswered && Entry.IsNotRun) {
    this->IsContradicted = true;
  }
}

void CallerRequest::onAnswer(base::TimePoint Now,
                             const wire::AnswerChunk &Chunk) {
  if (!this->Attempts.contains(Chunk.MessageId)) {
    this->IsWrong = true;
    return;
  }
  this->recordOutcome(Chunk.MessageId, true);
  if (this->State == RequestState::Answered) {
    return;
  }
  this->Chunks[Chunk.Chunk] = Chunk.Body;
  if (this->Chunks.size() < Chunk.Chunks) {
    return;
  }
  std::string FullBody;
  for (const auto &[Index, Part] : this->Chunks) {
    FullBody += Part;
  }
  this->IsWrong = this->IsWrong || FullBody != "done:" + this->Body;
  this->State = RequestState::Answered;
  this->Latency = Now - this->StartedAt;
}

void CallerRequest::onRefusal(base::TimePoint Now,
                              const wire::Refusal &Refusal) {
  if (!this->Attempts.contains(Refusal.MessageId)) {
    this->IsWrong = true;
    return;
  }
  if (Refusal.IsNotRun) {
    this->recordOutcome(Refusal.MessageId, false);
  }
  if (this->isEnded() || Refusal.MessageId != this->MessageId) {
    return;
  }
  this->Reason = Refusal.Reason;
  if (!Refusal.IsNotRun) {
    this->State = RequestState::Unknown;
    return;
  }
  base::TimePoint RetryAt =
      Now + std::max(Refusal.RetryAfter, InitialRetransmitDelay);
  bool HasTime = RetryAt < this->StartedAt + this->Config.Deadline;
  if (this->Attempt < this->Config.MaxAttempts && HasTime) {
    this->startAttempt(RetryAt);
  } else {
    this->State = RequestState::NotRun;
  }
}

} // namespace bilberry::standin
