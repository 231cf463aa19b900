#include "bilberry/admission/working_limit.h"

#include <algorithm>

namespace bilberry::admission {

// The limit is in use from a half on, and at most twice what was in use
// lately: work that moves here from elsewhere finds room, and an upstream that
// turned cold unseen is overrun by little.
static constexpr uint32_t UsedShare = 2;

void WorkingLimit::setRule(const LimitRule &NewRule) {
  this->Rule = NewRule;
  this->Rule.Floor = std::min(NewRule.Floor, NewRule.Ceiling);
  this->Rule.CompletionsPerStep = std::max(1U, NewRule.CompletionsPerStep);
  uint32_t Wanted =
      std::clamp(this->Limit, this->Rule.Floor, this->Rule.Ceiling);
  if (Wanted != this->Limit) {
    this->lowerTo(Wanted);
  }
}

bool WorkingLimit::acquire(base::TimePoint Now) {
  this->age(Now);
  if (this->Held >= this->Limit) {
    return false;
  }
  this->hold(1);
  return true;
}

void WorkingLimit::adopt(base::TimePoint Now, uint32_t Count) {
  this->age(Now);
  this->hold(Count);
}

void WorkingLimit::release() {
  if (this->Held > 0) {
    --this->Held;
  }
}

void WorkingLimit::learn(base::TimePoint Now, Completion How,
                         base::Duration Took) {
  this->age(Now);
  switch (How) {
  case Completion::Done:
    if (this->Rule.LatencyBound.count() > 0 && Took > this->Rule.LatencyBound) {
      this->decrease(Now);
    } else if (this->isUsed()) {
      this->earn();
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
  if (this->isInWindow(Now)) {
    return;
  }
  this->HasDecreased = true;
  this->LastDecrease = Now;
  this->lowerTo(std::max(this->Rule.Floor, this->Limit / 2));
}

void WorkingLimit::fallToFloor() {
  ++this->Falls;
  this->lowerTo(this->Rule.Floor);
}

bool WorkingLimit::isUsed() const {
  return this->Held >= (this->Limit + UsedShare - 1) / UsedShare;
}

void WorkingLimit::age(base::TimePoint Now) {
  base::Duration Age = Now - this->PeakSince;
  if (Age < EvidenceLifetime) {
    return;
  }
  // Without an event in between, what is held now was held all the time.
  uint32_t Used = Age < 2 * EvidenceLifetime ? this->Peak : this->Held;
  uint32_t Most = std::max(this->Rule.Floor, UsedShare * Used);
  if (Most < this->Limit) {
    this->lowerTo(Most);
  }
  this->Peak = this->Held;
  this->PeakSince = Now;
}

void WorkingLimit::hold(uint32_t Count) {
  this->Held += Count;
  this->Peak = std::max(this->Peak, this->Held);
}

bool WorkingLimit::isInWindow(base::TimePoint Now) const {
  return this->HasDecreased && Now - this->LastDecrease < DecreaseWindow;
}

void WorkingLimit::earn() {
  bool IsFirst = this->Earned == 0;
  this->EarnedAt = IsFirst ? this->Held : std::min(this->EarnedAt, this->Held);
  ++this->Earned;
  if (this->Earned < this->Rule.CompletionsPerStep) {
    return;
  }
  this->Earned = 0;
  this->Proven = std::max(this->Proven, this->EarnedAt);
  this->Limit = std::min(this->Limit + 1, this->Rule.Ceiling);
}

void WorkingLimit::onShed(base::TimePoint Now) {
  ++this->Sheds;
  bool IsBurst = this->isInWindow(Now);
  bool IsBelowProven = this->Held <= this->Proven;
  this->decrease(Now);
  if (IsBurst || IsBelowProven) {
    this->fallToFloor();
  }
}

void WorkingLimit::lowerTo(uint32_t NewLimit) {
  this->Limit = NewLimit;
  this->Earned = 0;
  this->Proven = std::min(this->Proven, NewLimit);
}

} // namespace bilberry::admission
