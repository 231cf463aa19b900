#include "bilberry/admission/restart_detector.h"

#include <algorithm>

namespace bilberry::admission {

void RestartDetector::recordOpening(base::TimePoint Now,
                                    const packet::FlowId &Flow) {
  std::erase_if(this->Unanswered, [&](const Opening &Entry) {
    return Entry.Flow == Flow || Now - Entry.SentAt > UnansweredOpeningLifetime;
  });
  if (this->Unanswered.size() >= MaxUnansweredOpenings) {
    this->Unanswered.pop_front();
  }
  this->Unanswered.push_back({Flow, Now});
}

UpstreamEvidence
RestartDetector::recordOpeningAnswer(base::TimePoint Now,
                                     const packet::FlowId &Flow) {
  auto Answered = std::ranges::find(this->Unanswered, Flow, &Opening::Flow);
  if (Answered == this->Unanswered.end()) {
    return UpstreamEvidence::Inconclusive;
  }
  base::TimePoint SentAt = Answered->SentAt;
  this->Unanswered.erase(Answered);
  auto IsSkipped = [&](const Opening &Entry) {
    return SentAt - Entry.SentAt > OpeningOrderTolerance &&
           Now - Entry.SentAt <= UnansweredOpeningLifetime;
  };
  auto First = std::ranges::find_if(this->Unanswered, IsSkipped);
  if (First == this->Unanswered.end()) {
    return UpstreamEvidence::Inconclusive;
  }
  // A further loss while a restart is suspected says nothing about the first.
  if (!this->IsRestartSuspected) {
    this->SkippedSince = First->SentAt;
  }
  std::erase_if(this->Unanswered, IsSkipped);
  return UpstreamEvidence::SkippedOpening;
}

SuspicionChange
RestartDetector::recordPacket(UpstreamEvidence Evidence, bool IsAfterSilence,
                              std::optional<base::TimePoint> HeldSince) {
  bool WasSuspected = this->IsRestartSuspected;
  switch (Evidence) {
  case UpstreamEvidence::HoldsFlow:
    if (this->IsRefutable && HeldSince && *HeldSince < this->SkippedSince) {
      this->IsRestartSuspected = false;
    }
    break;
  case UpstreamEvidence::SkippedOpening:
    this->IsRefutable = !IsAfterSilence && (!WasSuspected || this->IsRefutable);
    this->IsRestartSuspected = true;
    break;
  case UpstreamEvidence::Inconclusive:
    if (IsAfterSilence) {
      this->IsRefutable = false;
      this->IsRestartSuspected = true;
    }
    break;
  case UpstreamEvidence::LostFlow:
    this->IsRefutable = false;
    this->IsRestartSuspected = true;
    break;
  }
  if (WasSuspected == this->IsRestartSuspected) {
    return SuspicionChange::None;
  }
  return WasSuspected ? SuspicionChange::Withdrawn : SuspicionChange::Raised;
}

} // namespace bilberry::admission
