#include "bilberry/admission/opening_gate.h"

#include <algorithm>
#include <limits>

namespace bilberry::admission {

using packet::HopTag;

static const targets::ServiceRule *ruleOf(const OpeningContext &Call) {
  if (!Call.Operators.Routes || !Call.Upstream.present()) {
    return nullptr;
  }
  const auto &Services = Call.Operators.Routes->Services;
  auto It = Services.find(Call.Upstream.present()->Service);
  return It == Services.end() ? nullptr : &It->second;
}

bool hasRoom(const OpeningContext &Call) {
  uint32_t Slots = Call.Upstream.present() ? Call.Upstream.present()->Slots : 1;
  return Call.Waiting < MaxWaitingPerSlot * std::max<uint32_t>(1, Slots);
}

HopTag OpeningGate::condition(const OpeningContext &Call) {
  bool IsEvacuated = Call.Operators.isEvacuated(this->DataCentre);
  if (this->WasEvacuated && !IsEvacuated) {
    this->ReturnedAt = Call.Now;
  }
  this->WasEvacuated = IsEvacuated;
  bool IsSilent = this->AskedAt && Call.Now - *this->AskedAt > MaxAnswerDelay &&
                  Call.Upstream.heardAt() <= *this->AskedAt;
  bool IsHeard = Call.Upstream.isHeard(Call.Now) &&
                 Call.Upstream.heardAt() >= this->PausedUntil;
  if (!IsHeard || IsSilent || !ruleOf(Call)) {
    return HopTag::NoUpstream;
  }
  if (Call.Upstream.present()->IsDraining) {
    return HopTag::Draining;
  }
  return IsEvacuated ? HopTag::Evacuated : HopTag::None;
}

HopTag OpeningGate::check(const OpeningContext &Call,
                          const base::Address &Route,
                          const packet::HopMark &Mark) {
  HopTag Condition = this->condition(Call);
  if (Condition != HopTag::None) {
    return Condition;
  }
  // A balancer with newer routes knows better; so does an agent with newer
  // ones. The comparison survives the wrap of the mark's 32 bits.
  auto Ours = static_cast<uint32_t>(Call.Operators.Routes->Version);
  bool BalancerIsNewer = static_cast<int32_t>(Mark.RouteVersion - Ours) > 0;
  if (!BalancerIsNewer) {
    const targets::Route *Found = Call.Operators.Routes->find(Route);
    if (!Found || !Found->allows(Call.Upstream.present()->Service)) {
      return HopTag::WrongService;
    }
  }
  const targets::ServiceRule *Rule = ruleOf(Call);
  bool HasConnections =
      Rule->MaxConnections == 0 || Call.Flows < Rule->MaxConnections;
  if (!HasConnections || !hasRoom(Call)) {
    return HopTag::Full;
  }
  return this->budget(Call) > 0 ? HopTag::None : HopTag::Cold;
}

// An upstream whose data centre was out may have turned cold meanwhile; until
// its next heartbeat it counts as cold.
bool OpeningGate::isCold(const OpeningContext &Call) const {
  return Call.Upstream.isCold(Call.Now) ||
         Call.Upstream.heardAt() < this->ReturnedAt;
}

uint32_t OpeningGate::allowance(const OpeningContext &Call) const {
  const targets::ServiceRule *Rule = ruleOf(Call);
  double PerSecond = Rule ? Rule->ColdPerSecond : 0;
  double Allowed = (PerSecond * this->Cold.Factor) + this->Cold.Tolerance;
  return static_cast<uint32_t>(
      std::clamp(Allowed, 0.0, static_cast<double>(MaxCountedOpenings)));
}

uint32_t OpeningGate::budget(const OpeningContext &Call) const {
  if (!this->isCold(Call)) {
    return std::numeric_limits<uint32_t>::max();
  }
  if (Call.Now - this->StartedAt < ColdWindow) {
    return 0;
  }
  uint32_t Allowed = this->allowance(Call);
  uint32_t Used = this->openingsSince(Call.Now - ColdWindow);
  return Used >= Allowed ? 0 : Allowed - Used;
}

uint32_t OpeningGate::openingsSince(base::TimePoint Begin) const {
  return static_cast<uint32_t>(
      std::count_if(this->Openings.begin(), this->Openings.end(),
                    [&](base::TimePoint At) { return At > Begin; }));
}

void OpeningGate::noteOpened(base::TimePoint Now) {
  this->Openings[this->NextOpening] = Now;
  this->NextOpening = (this->NextOpening + 1) % MaxCountedOpenings;
  this->noteAsked(Now);
}

void OpeningGate::noteAsked(base::TimePoint Now) {
  if (!this->AskedAt) {
    this->AskedAt = Now;
  }
}

} // namespace bilberry::admission
