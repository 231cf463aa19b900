#include "bilberry/admission/working_limit.h"

#include <algorithm>

namespace bilberry::admission {

// The limit is in use from nine tenths on, so that a large one that work
// leaves and enters all the time can still rise.
static constexpr uint64_t UsedNumerator = 9;
static constexpr uint64_t UsedDenominator = 10;

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

bool WorkingLimit::acquire() {
  if (this->Held >= this->Limit) {
    return false;
  }
  ++this->Held;
  return true;
}

void WorkingLimit::adopt(uint32_t Count) { this->Held += Count; }

void WorkingLimit::release() {
  if (this->Held > 0) {
    --this->Held;
  }
}

void WorkingLimit::learn(base::TimePoint Now, Completion How,
                         base::Duration Took) {
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
  return uint64_t{this->Held} * UsedDenominator >=
         uint64_t{this->Limit} * UsedNumerator;
}

bool WorkingLimit::isInWindow(base::TimePoint Now) const {
  return this->HasDecreased && Now - this->LastDecrease < DecreaseWindow;
}

void WorkingLimit::earn() {
  ++this->Earned;
  if (this->Earned < this->Rule.CompletionsPerStep) {
    return;
  }
  this->Earned = 0;
  this->Proven = this->Limit;
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
