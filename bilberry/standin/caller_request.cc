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

CallerRequest::CallerRequest(const RequestPlan &Plan, base::RequestId Id,
                             base::TimePoint Now, uint32_t &NextMessageId)
    : Plan(Plan), Id(Id), NextMessageId(NextMessageId), Start(Now) {
  this->Body = serviceTag(Plan.Service) + std::to_string(Id.High) + "-" +
               std::to_string(Id.Low);
  this->begin(Now);
}

void CallerRequest::begin(base::TimePoint At) {
  ++this->Attempt;
  this->MessageId = this->NextMessageId++;
  this->Attempts[this->MessageId] = {};
  this->Chunks.clear();
  this->NextSend = At;
  this->Backoff = FirstResend;
}

void CallerRequest::onTick(base::TimePoint Now, std::vector<std::string> &Out) {
  if (this->isEnded()) {
    return;
  }
  base::TimePoint Deadline = this->Start + this->Plan.Deadline;
  if (Now >= Deadline + OutcomeGrace) {
    this->State = RequestState::None;
    return;
  }
  if (Now < this->NextSend || Now >= Deadline) {
    return;
  }
  this->NextSend = Now + this->Backoff;
  this->Backoff = std::min(this->Backoff * 2, LongestResend);
  Out.push_back(this->copy());
}

std::string CallerRequest::copy() const {
  return wire::requestPacketBytes(
      {this->Plan.Class, this->MessageId, this->Id, this->Attempt,
       this->Start + this->Plan.Deadline, this->Body});
}

void CallerRequest::note(uint32_t Message, bool IsAnswer) {
  Attempted &Entry = this->Attempts[Message];
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
  this->note(Chunk.MessageId, true);
  if (this->State == RequestState::Answered) {
    return;
  }
  this->Chunks[Chunk.Chunk] = Chunk.Body;
  if (this->Chunks.size() < Chunk.Chunks) {
    return;
  }
  std::string Whole;
  for (const auto &[Index, Part] : this->Chunks) {
    Whole += Part;
  }
  this->IsWrong = this->IsWrong || Whole != "done:" + this->Body;
  this->State = RequestState::Answered;
  this->Latency = Now - this->Start;
}

void CallerRequest::onRefusal(base::TimePoint Now,
                              const wire::Refusal &Refusal) {
  if (!this->Attempts.contains(Refusal.MessageId)) {
    this->IsWrong = true;
    return;
  }
  if (Refusal.IsNotRun) {
    this->note(Refusal.MessageId, false);
  }
  if (this->isEnded() || Refusal.MessageId != this->MessageId) {
    return;
  }
  this->Reason = Refusal.Reason;
  if (!Refusal.IsNotRun) {
    this->State = RequestState::Unknown;
    return;
  }
  base::TimePoint Again = Now + std::max(Refusal.RetryAfter, FirstResend);
  bool HasTime = Again < this->Start + this->Plan.Deadline;
  if (this->Attempt < this->Plan.MaxAttempts && HasTime) {
    this->begin(Again);
  } else {
    this->State = RequestState::NotRun;
  }
}

} // namespace bilberry::standin
