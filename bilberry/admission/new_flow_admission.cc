#include "bilberry/admission/new_flow_admission.h"

#include <algorithm>
#include <limits>

namespace bilberry::admission {

using packet::HopTag;

static const targets::ServiceLimits *
findServiceRule(const NewFlowContext &Context) {
  if (!Context.Operators.Routes || !Context.Upstream.currentRun()) {
    return nullptr;
  }
  const auto &Services = Context.Operators.Routes->Services;
  auto It = Services.find(Context.Upstream.currentRun()->Service);
  return It == Services.end() ? nullptr : &It->second;
}

bool hasWaitingCapacity(const NewFlowContext &Context, uint32_t PerSlot) {
  uint32_t Slots =
      Context.Upstream.currentRun() ? Context.Upstream.currentRun()->Slots : 1;
  return Context.WaitingFlows < PerSlot * std::max<uint32_t>(1, Slots);
}

HopTag NewFlowAdmission::refusalReason(const NewFlowContext &Context) {
  bool IsEvacuated = Context.Operators.isEvacuated(this->DataCentre);
  if (this->WasDataCentreEvacuated && !IsEvacuated) {
    this->EvacuationEndedAt = Context.Now;
  }
  this->WasDataCentreEvacuated = IsEvacuated;
  bool IsResponsive = Context.Upstream.isResponsive(Context.Now) &&
                      Context.Upstream.lastHeartbeatAt() >= this->PausedUntil;
  if (!IsResponsive || this->hasTimedOut(Context.Now) ||
      !findServiceRule(Context)) {
    return HopTag::NoUpstream;
  }
  if (Context.Upstream.currentRun()->IsDraining) {
    return HopTag::Draining;
  }
  return IsEvacuated ? HopTag::Evacuated : HopTag::None;
}

HopTag NewFlowAdmission::check(const NewFlowContext &Context,
                               const base::Address &Route) {
  HopTag Condition = this->refusalReason(Context);
  if (Condition != HopTag::None) {
    return Condition;
  }
  const targets::Route *RouteFound = Context.Operators.Routes->find(Route);
  if (!RouteFound ||
      !RouteFound->allows(Context.Upstream.currentRun()->Service)) {
    return HopTag::WrongService;
  }
  const targets::ServiceLimits *Rule = findServiceRule(Context);
  bool HasConnections =
      Rule->MaxConnections == 0 || Context.Flows < Rule->MaxConnections;
  if (!HasConnections || !hasWaitingCapacity(Context)) {
    return HopTag::Full;
  }
  if (this->ReservesByPriority) {
    this->Reserve.recordArrival(Context.Now, RouteFound->Priority);
    uint32_t PerSlot =
        this->Reserve.waitingFlowsPerSlot(Context.Now, RouteFound->Priority);
    if (!hasWaitingCapacity(Context, PerSlot)) {
      return HopTag::Reserved;
    }
  }
  return this->remainingNewFlows(Context) > 0 ? HopTag::None : HopTag::Cold;
}

bool NewFlowAdmission::hasTimedOut(base::TimePoint Now) const {
  return this->UnansweredSince &&
         Now - *this->UnansweredSince > MaxResponseDelay;
}

SuspicionChange NewFlowAdmission::recordPacketReceived(
    base::TimePoint Now, UpstreamEvidence Evidence,
    std::optional<base::TimePoint> HeldSince) {
  bool IsAfterSilence = this->hasTimedOut(Now);
  this->UnansweredSince.reset();
  return this->Restarts.recordPacket(Evidence, IsAfterSilence, HeldSince);
}

// An upstream may turn cold while its data centre is evacuated, so it is
// treated as cold from the end of the evacuation until its next heartbeat.
bool NewFlowAdmission::isCold(const NewFlowContext &Context) const {
  return this->Restarts.isRestartSuspected() ||
         Context.Upstream.isCold(Context.Now) ||
         Context.Upstream.lastHeartbeatAt() < this->EvacuationEndedAt;
}

uint32_t
NewFlowAdmission::maxColdNewFlows(const NewFlowContext &Context) const {
  const targets::ServiceLimits *Rule = findServiceRule(Context);
  double ColdRate = Rule ? Rule->ColdRequestsPerSecond : 0;
  double MaxNewFlows = (ColdRate * this->Cold.Factor) + this->Cold.Tolerance;
  return static_cast<uint32_t>(
      std::clamp(MaxNewFlows, 0.0, static_cast<double>(MaxRecordedNewFlows)));
}

uint32_t
NewFlowAdmission::remainingNewFlows(const NewFlowContext &Context) const {
  if (!this->isCold(Context)) {
    return std::numeric_limits<uint32_t>::max();
  }
  if (Context.Now - this->StartedAt < ColdRateWindow) {
    return 0;
  }
  uint32_t MaxNewFlows = this->maxColdNewFlows(Context);
  uint32_t RecentNewFlows = this->newFlowsSince(Context.Now - ColdRateWindow);
  return RecentNewFlows >= MaxNewFlows ? 0 : MaxNewFlows - RecentNewFlows;
}

uint32_t NewFlowAdmission::newFlowsSince(base::TimePoint Begin) const {
  return static_cast<uint32_t>(
      std::count_if(this->NewFlowTimes.begin(), this->NewFlowTimes.end(),
                    [&](base::TimePoint At) { return At > Begin; }));
}

void NewFlowAdmission::recordNewFlow(base::TimePoint Now,
                                     const packet::FlowId &Flow, bool IsCopy) {
  if (!IsCopy) {
    this->Restarts.recordOpening(Now, Flow);
  }
  this->NewFlowTimes[this->NextNewFlowIndex] = Now;
  this->NextNewFlowIndex = (this->NextNewFlowIndex + 1) % MaxRecordedNewFlows;
  this->recordPacketSent(Now);
}

void NewFlowAdmission::recordPacketSent(base::TimePoint Now) {
  if (!this->UnansweredSince) {
    this->UnansweredSince = Now;
  }
}

} // namespace bilberry::admission
