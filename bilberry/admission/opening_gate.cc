#include "bilberry/admission/opening_gate.h"

#include <algorithm>
#include <limits>

namespace bilberry::admission {

using packet::HopTag;

static const targets::ServiceRule *
findServiceRule(const OpeningContext &Context) {
  if (!Context.Operators.Routes || !Context.Upstream.present()) {
    return nullptr;
  }
  const auto &Services = Context.Operators.Routes->Services;
  auto It = Services.find(Context.Upstream.present()->Service);
  return It == Services.end() ? nullptr : &It->second;
}

bool hasRoom(const OpeningContext &Context) {
  uint32_t Slots =
      Context.Upstream.present() ? Context.Upstream.present()->Slots : 1;
  return Context.WaitingFlows <
         MaxWaitingPerSlot * std::max<uint32_t>(1, Slots);
}

HopTag OpeningGate::condition(const OpeningContext &Context) {
  bool IsEvacuated = Context.Operators.isEvacuated(this->DataCentre);
  if (this->WasEvacuated && !IsEvacuated) {
    this->EvacuationEndedAt = Context.Now;
  }
  this->WasEvacuated = IsEvacuated;
  bool HasTimedOut = this->UnansweredSince &&
                     Context.Now - *this->UnansweredSince > MaxResponseDelay &&
                     Context.Upstream.heardAt() <= *this->UnansweredSince;
  bool IsResponsive = Context.Upstream.isResponsive(Context.Now) &&
                      Context.Upstream.heardAt() >= this->PausedUntil;
  if (!IsResponsive || HasTimedOut || !findServiceRule(Context)) {
    return HopTag::NoUpstream;
  }
  if (Context.Upstream.present()->IsDraining) {
    return HopTag::Draining;
  }
  return IsEvacuated ? HopTag::Evacuated : HopTag::None;
}

HopTag OpeningGate::check(const OpeningContext &Context,
                          const base::Address &Route,
                          const packet::HopMark &Mark) {
  HopTag Condition = this->condition(Context);
  if (Condition != HopTag::None) {
    return Condition;
  }
  // The side with the newer routes decides. The signed difference stays
  // correct when the 32-bit version in the mark wraps around.
  auto OwnVersion = static_cast<uint32_t>(Context.Operators.Routes->Version);
  bool BalancerIsNewer =
      static_cast<int32_t>(Mark.RouteVersion - OwnVersion) > 0;
  if (!BalancerIsNewer) {
    const targets::Route *RouteFound = Context.Operators.Routes->find(Route);
    if (!RouteFound ||
        !RouteFound->allows(Context.Upstream.present()->Service)) {
      return HopTag::WrongService;
    }
  }
  const targets::ServiceRule *Rule = findServiceRule(Context);
  bool HasConnections =
      Rule->MaxConnections == 0 || Context.Flows < Rule->MaxConnections;
  if (!HasConnections || !hasRoom(Context)) {
    return HopTag::Full;
  }
  return this->budget(Context) > 0 ? HopTag::None : HopTag::Cold;
}

// An upstream may turn cold while its data centre is evacuated, so it is
// treated as cold from the end of the evacuation until its next heartbeat.
bool OpeningGate::isCold(const OpeningContext &Context) const {
  return Context.Upstream.isCold(Context.Now) ||
         Context.Upstream.heardAt() < this->EvacuationEndedAt;
}

uint32_t OpeningGate::maxColdNewFlows(const OpeningContext &Context) const {
  const targets::ServiceRule *Rule = findServiceRule(Context);
  double ColdRate = Rule ? Rule->ColdPerSecond : 0;
  double MaxNewFlows = (ColdRate * this->Cold.Factor) + this->Cold.Tolerance;
  return static_cast<uint32_t>(
      std::clamp(MaxNewFlows, 0.0, static_cast<double>(MaxRecordedNewFlows)));
}

uint32_t OpeningGate::budget(const OpeningContext &Context) const {
  if (!this->isCold(Context)) {
    return std::numeric_limits<uint32_t>::max();
  }
  if (Context.Now - this->StartedAt < ColdRateWindow) {
    return 0;
  }
  uint32_t MaxNewFlows = this->maxColdNewFlows(Context);
  uint32_t RecentNewFlows = this->openingsSince(Context.Now - ColdRateWindow);
  return RecentNewFlows >= MaxNewFlows ? 0 : MaxNewFlows - RecentNewFlows;
}

uint32_t OpeningGate::openingsSince(base::TimePoint Begin) const {
  return static_cast<uint32_t>(
      std::count_if(this->NewFlowTimes.begin(), this->NewFlowTimes.end(),
                    [&](base::TimePoint At) { return At > Begin; }));
}

void OpeningGate::noteOpened(base::TimePoint Now) {
  this->NewFlowTimes[this->NextNewFlowIndex] = Now;
  this->NextNewFlowIndex = (this->NextNewFlowIndex + 1) % MaxRecordedNewFlows;
  this->noteAsked(Now);
}

void OpeningGate::noteAsked(base::TimePoint Now) {
  if (!this->UnansweredSince) {
    this->UnansweredSince = Now;
  }
}

} // namespace bilberry::admission
