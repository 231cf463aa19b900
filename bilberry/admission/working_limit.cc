#include "bilberry/admission/working_limit.h"

#include <algorithm>

namespace bilberry::admission {

// The limit counts as used when at least half of it is held, and is at most
// twice the recent peak. This leaves capacity for work that moves here from
// other agents, and bounds the overload of an upstream that turned cold
// undetected.
static constexpr uint32_t UsageFactor = 2;

void WorkingLimit::setRule(const LimitRule &NewRule) {
  this->Rule = NewRule;
  this->Rule.Floor = std::min(NewRule.Floor, NewRule.Ceiling);
  this->Rule.CompletionsPerStep = std::max(1U, NewRule.CompletionsPerStep);
  uint32_t Clamped =
      std::clamp(this->Limit, this->Rule.Floor, this->Rule.Ceiling);
  if (Clamped != this->Limit) {
    this->lowerTo(Clamped);
  }
}

bool WorkingLimit::acquire(base::TimePoint Now) {
  this->expirePeak(Now);
  if (this->Held >= this->Limit) {
    return false;
  }
  this->addHeld(1);
  return true;
}

void WorkingLimit::acquireUnchecked(base::TimePoint Now, uint32_t Count) {
  this->expirePeak(Now);
  this->addHeld(Count);
}

void WorkingLimit::release() {
  if (this->Held > 0) {
    --this->Held;
  }
}

void WorkingLimit::recordCompletion(base::TimePoint Now, Completion Outcome,
                                    base::Duration Elapsed) {
  this->expirePeak(Now);
  switch (Outcome) {
  case Completion::Done:
    if (this->Rule.LatencyBound.count() > 0 &&
        Elapsed > this->Rule.LatencyBound) {
      this->decrease(Now);
    } else if (this->isLimitUsed()) {
      this->countCompletion();
    }
    break;
  case Completion::Shed:
    this->onShed(Now);
    break;
  case Completion::Timeout:
    this->decrease(Now);
    break;
  case Completion::Neutral:
    break;
  }
}

void WorkingLimit::decrease(base::TimePoint Now) {
  if (this->isInDecreaseWindow(Now)) {
    return;
  }
  this->HasDecreased = true;
  this->LastDecrease = Now;
  this->lowerTo(std::max(this->Rule.Floor, this->Limit / 2));
}

void WorkingLimit::fallToFloor() {
  ++this->FallToFloorCount;
  this->lowerTo(this->Rule.Floor);
}

bool WorkingLimit::isLimitUsed() const {
  return this->Held >= (this->Limit + UsageFactor - 1) / UsageFactor;
}

void WorkingLimit::expirePeak(base::TimePoint Now) {
  base::Duration SincePeakStart = Now - this->PeakSince;
  if (SincePeakStart < PeakUseInterval) {
    return;
  }
  // Without an event in two windows, the number held has not changed.
  uint32_t PeakUse =
      SincePeakStart < 2 * PeakUseInterval ? this->PeakHeld : this->Held;
  uint32_t MaxLimit = std::max(this->Rule.Floor, UsageFactor * PeakUse);
  if (MaxLimit < this->Limit) {
    this->lowerTo(MaxLimit);
  }
  this->PeakHeld = this->Held;
  this->PeakSince = Now;
}

void WorkingLimit::addHeld(uint32_t Count) {
  this->Held += Count;
  this->PeakHeld = std::max(this->PeakHeld, this->Held);
}

bool WorkingLimit::isInDecreaseWindow(base::TimePoint Now) const {
  return this->HasDecreased && Now - this->LastDecrease < DecreaseWindow;
}

void WorkingLimit::countCompletion() {
  bool IsFirst = this->CompletionCount == 0;
  this->MinHeldInStep =
      IsFirst ? this->Held : std::min(this->MinHeldInStep, this->Held);
  ++this->CompletionCount;
  if (this->CompletionCount < this->Rule.CompletionsPerStep) {
    return;
  }
  this->CompletionCount = 0;
  this->ProvenLevel = std::max(this->ProvenLevel, this->MinHeldInStep);
  this->Limit = std::min(this->Limit + 1, this->Rule.Ceiling);
}

void WorkingLimit::onShed(base::TimePoint Now) {
  ++this->ShedCount;
  bool IsBurst = this->isInDecreaseWindow(Now);
  bool IsWithinProvenLevel = this->Held <= this->ProvenLevel;
  this->decrease(Now);
  if (IsBurst || IsWithinProvenLevel) {
    this->fallToFloor();
  }
}

void WorkingLimit::lowerTo(uint32_t NewLimit) {
  this->Limit = NewLimit;
  this->CompletionCount = 0;
  this->ProvenLevel = std::min(this->ProvenLevel, NewLimit);
}

} // namespace bilberry::admission
