// Dispatches requests that may run: to the local upstream, to another agent, or
// to the queue for the local upstream.

#include "bilberry/requests/request_engine.h"

#include "bilberry/routing/rendezvous.h"

#include <algorithm>

namespace bilberry::requests {

using board::DecisionKind;
using wire::RefusalReason;

/// Limit on the attempts of one request at the local upstream.
static constexpr int MaxLocalAttempts = 3;

static bool hasRefused(const PendingRequest &Pending,
                       const base::MemberName &Name) {
  return std::find(Pending.RefusedBy.begin(), Pending.RefusedBy.end(), Name) !=
         Pending.RefusedBy.end();
}

base::Duration RequestEngine::retryAfter() const {
  return std::max(MinRetryAfter, this->Queue.expectedWait());
}

/// May erase Pending; the calling function must not use it afterwards.
/// Precondition: the request may run and isn't running anywhere.
void RequestEngine::dispatch(const AgentContext &Agent, PendingRequest &Pending,
                             board::AgentActions &Out) {
  if (Agent.Now >= Pending.Deadline) {
    this->refuse(Agent, Pending, RefusalReason::DeadlinePassed, Out);
    return;
  }
  // A request that the local upstream has refused is offered to other agents
  // before it is retried locally.
  bool MayStartLocally =
      Pending.FailedLocalAttempts == 0 || Pending.Phase == RequestPhase::Queued;
  board::RunOnUpstream Request{Pending.Id, Pending.Attempt, Pending.Class,
                               Pending.Deadline, Pending.Body};
  if (Agent.CanRunLocally && MayStartLocally &&
      this->Runs.start(Agent.Now, std::move(Request), {}, Out)) {
    Pending.Phase = RequestPhase::RunningLocally;
    Pending.Runner = {};
    ++this->Counts.Run;
    logDecision(DecisionKind::RequestRun, requestIdText(Pending.Id), {},
                "a slot is free", Out);
    return;
  }
  bool IsDelegated = Pending.IsIdempotent
                         ? this->forwardIdempotent(Agent, Pending, Out)
                         : this->delegateToAgent(Agent, Pending, Out);
  if (IsDelegated) {
    return;
  }
  if (Agent.CanRunLocally && Pending.FailedLocalAttempts < MaxLocalAttempts &&
      this->Queue.push(Agent.Now, Pending.Deadline, Pending.Id)) {
    Pending.Phase = RequestPhase::Queued;
    return;
  }
  bool IsDataCentreOutOfService =
      !Agent.Document->isInService(Agent.Self.DataCentre);
  RefusalReason Reason = RefusalReason::Overloaded;
  if (!Agent.CanRunLocally) {
    Reason = IsDataCentreOutOfService ? RefusalReason::DataCentreOutOfService
                                      : RefusalReason::Draining;
  }
  this->refuse(Agent, Pending, Reason, Out);
}

/// Sends the request to the best-ranked agent that hasn't refused it. The next
/// agent is tried only after this one has reported that the request did not
/// run.
bool RequestEngine::delegateToAgent(const AgentContext &Agent,
                                    PendingRequest &Pending,
                                    board::AgentActions &Out) {
  if (Pending.RefusedBy.size() >= MaxRemoteAgents) {
    return false;
  }
  for (const members::HashedMember *Each : routing::topRanked(
           Agent.View->Placement, routing::requestKey(Pending.Id),
           MaxRemoteAgents + 1)) {
    const members::Member &Value = Each->Value;
    if (Value.Name == Agent.Self.Name || hasRefused(Pending, Value.Name)) {
      continue;
    }
    if (!this->Limits.takeRetryToken(Agent.Now)) {
      return false;
    }
    Pending.Phase = RequestPhase::RunningRemotely;
    Pending.Runner = {Value.Name, Value.Run};
    this->sendRunRequest(Pending, Agent.Now, Out);
    ++this->Counts.PassedOn;
    logDecision(DecisionKind::RequestPassedOn, requestIdText(Pending.Id),
                Value.Name, "no local slot is free", Out);
    return true;
  }
  return false;
}

/// Forwards an idempotent request in the datagram in which it arrived. The
/// ranking is the same at every agent, so following it visits each agent once.
bool RequestEngine::forwardIdempotent(const AgentContext &Agent,
                                      PendingRequest &Pending,
                                      board::AgentActions &Out) {
  if (Pending.Callers.size() != 1 || Pending.Header.Hops >= MaxRemoteAgents) {
    return false;
  }
  std::vector<const members::HashedMember *> Ranked =
      routing::topRanked(Agent.View->Placement, routing::requestKey(Pending.Id),
                         MaxRequestHops + 1);
  auto OwnRank =
      std::find_if(Ranked.begin(), Ranked.end(), [&](const auto *Each) {
        return Each->Value.Name == Agent.Self.Name;
      });
  auto Next = OwnRank == Ranked.end() ? Ranked.begin() : OwnRank + 1;
  if (Next == Ranked.end() || !this->Limits.takeRetryToken(Agent.Now)) {
    return false;
  }
  const base::MemberName &To = (*Next)->Value.Name;
  if (!this->forwardPacket(Agent, To, Pending.Header, Pending.Payload, Out)) {
    return false;
  }
  ++this->Counts.PassedOn;
  logDecision(DecisionKind::RequestPassedOn, requestIdText(Pending.Id), To,
              "no local slot is free", Out);
  this->PendingRequests.erase(Pending.Id);
  return true;
}

void RequestEngine::sendRunRequest(PendingRequest &Pending, base::TimePoint Now,
                                   board::AgentActions &Out) {
  Pending.SentAt = Now;
  Out.emplace_back(board::SendToPeer{
      Pending.Runner.Name,
      wire::RunRequest{Pending.Id, Pending.Attempt, Pending.Class,
                       Pending.Deadline, Pending.Body, Pending.Runner.Run}});
}

void RequestEngine::onRunResult(const AgentContext &Agent,
                                const ShardHolder &From,
                                const wire::RunResult &Result,
                                board::AgentActions &Out) {
  auto It = this->PendingRequests.find(Result.Id);
  if (It == this->PendingRequests.end()) {
    return;
  }
  PendingRequest &Pending = It->second;
  if (Pending.Phase == RequestPhase::RunningRemotely &&
      Pending.Runner == From && Pending.Attempt == Result.Attempt) {
    this->handleRunResult(Agent, Pending, From.Name, Result, Out);
  }
}

/// May erase Pending; the calling function must not use it afterwards.
void RequestEngine::handleRunResult(const AgentContext &Agent,
                                    PendingRequest &Pending,
                                    const base::MemberName &Runner,
                                    const wire::RunResult &Result,
                                    board::AgentActions &Out) {
  if (Result.Outcome == wire::RunOutcome::Answered) {
    this->complete(Pending.Id, wire::Answer{Result.Body}, Out);
    return;
  }
  if (Runner == Agent.Self.Name) {
    ++Pending.FailedLocalAttempts;
  } else {
    Pending.RefusedBy.push_back(Runner);
  }
  if (Result.Outcome == wire::RunOutcome::Unknown) {
    bool MayTryAgain = Pending.IsIdempotent &&
                       Pending.FailedLocalAttempts < MaxLocalAttempts &&
                       this->Limits.takeRetryToken(Agent.Now);
    if (MayTryAgain) {
      this->dispatch(Agent, Pending, Out);
      return;
    }
    this->complete(Pending.Id,
                   wire::OutcomeUnknown{RefusalReason::UpstreamLost, {}}, Out);
    return;
  }
  if (Pending.IsCancelled || Result.Reason == RefusalReason::Cancelled) {
    this->refuse(Agent, Pending, RefusalReason::Cancelled, Out);
    return;
  }
  this->dispatch(Agent, Pending, Out);
}

void RequestEngine::onUpstreamResult(const AgentContext &Agent,
                                     const wire::RunResult &Result,
                                     board::AgentActions &Out) {
  std::optional<UpstreamRun> Run = this->Runs.finish(Agent.Now, Result);
  if (!Run) {
    return;
  }
  if (Result.Outcome == wire::RunOutcome::Answered) {
    this->Queue.recordServiceTime(Agent.Now - Run->StartedAt);
  }
  if (!Run->Owner.Name.empty()) {
    this->Runs.sendResultToOwner(*Run, Result, Out);
  } else {
    auto It = this->PendingRequests.find(Result.Id);
    bool IsCurrentRun = It != this->PendingRequests.end() &&
                        It->second.Attempt == Result.Attempt &&
                        It->second.Phase == RequestPhase::RunningLocally;
    if (IsCurrentRun) {
      this->handleRunResult(Agent, It->second, Agent.Self.Name, Result, Out);
    }
  }
  this->startQueued(Agent, Out);
}

void RequestEngine::onUpstreamLost(const AgentContext &Agent,
                                   board::AgentActions &Out) {
  for (auto &[Id, Run] : this->Runs.removeAll()) {
    wire::RunResult Result{Id, Run.Attempt, wire::RunOutcome::Unknown,
                           RefusalReason::UpstreamLost, ""};
    if (!Run.Owner.Name.empty()) {
      this->Runs.sendResultToOwner(Run, Result, Out);
      continue;
    }
    auto It = this->PendingRequests.find(Id);
    if (It != this->PendingRequests.end() &&
        It->second.Phase == RequestPhase::RunningLocally) {
      this->handleRunResult(Agent, It->second, Agent.Self.Name, Result, Out);
    }
  }
}

void RequestEngine::startQueued(const AgentContext &Agent,
                                board::AgentActions &Out) {
  std::vector<base::RequestId> Expired;
  this->Queue.removeExpired(Agent.Now, Expired);
  for (size_t Remaining = this->Queue.size();
       Remaining > 0 && Agent.CanRunLocally && !this->Queue.empty();
       --Remaining) {
    // Only checks that a slot is free: Runs.start acquires its own.
    if (!this->Limits.acquireSlot(Agent.Now)) {
      break;
    }
    this->Limits.releaseSlot(Agent.Now, admission::Completion::Neutral, {});
    std::optional<base::RequestId> Id =
        this->Queue.popReady(Agent.Now, Expired);
    auto It =
        Id ? this->PendingRequests.find(*Id) : this->PendingRequests.end();
    if (It != this->PendingRequests.end() &&
        It->second.Phase == RequestPhase::Queued) {
      this->dispatch(Agent, It->second, Out);
    }
  }
  for (const base::RequestId &Id : Expired) {
    auto It = this->PendingRequests.find(Id);
    if (It != this->PendingRequests.end() &&
        It->second.Phase == RequestPhase::Queued) {
      this->refuse(Agent, It->second, RefusalReason::Overloaded, Out);
    }
  }
}

/// May erase Pending; the calling function must not use it afterwards.
void RequestEngine::cancel(const AgentContext &Agent, PendingRequest &Pending,
                           board::AgentActions &Out) {
  Pending.IsCancelled = true;
  switch (Pending.Phase) {
  case RequestPhase::ReplicatingRunDecision:
    this->refuse(Agent, Pending, RefusalReason::Cancelled, Out);
    return;
  case RequestPhase::Queued:
    this->Queue.remove([&](base::RequestId Id) { return Id == Pending.Id; });
    this->refuse(Agent, Pending, RefusalReason::Cancelled, Out);
    return;
  case RequestPhase::RunningLocally:
    Out.emplace_back(board::CancelOnUpstream{Pending.Id, Pending.Attempt});
    return;
  case RequestPhase::RunningRemotely:
    Out.emplace_back(board::SendToPeer{
        Pending.Runner.Name, wire::RunCancel{Pending.Id, Pending.Attempt}});
    return;
  case RequestPhase::ReplicatingRefusal:
    return;
  }
}

/// Handles the deadline of a pending request. Once it has passed, the callers
/// get an outcome, and the request stays until no late result can arrive.
void RequestEngine::tickPendingRequest(const AgentContext &Agent,
                                       base::RequestId Id,
                                       board::AgentActions &Out) {
  auto It = this->PendingRequests.find(Id);
  if (It == this->PendingRequests.end()) {
    return;
  }
  PendingRequest &Pending = It->second;
  bool IsRunning = Pending.Phase == RequestPhase::RunningLocally ||
                   Pending.Phase == RequestPhase::RunningRemotely;
  if (isExpired(Agent.Now, Pending.Deadline)) {
    this->Shards.replica(Pending.Shard).removeProposal(Id);
    this->complete(Id, wire::OutcomeUnknown{RefusalReason::DeadlinePassed, {}},
                   Out);
    return;
  }
  if (Agent.Now >= Pending.Deadline && !Pending.Callers.empty()) {
    if (Pending.Phase == RequestPhase::Queued) {
      return; // startQueued refuses it.
    }
    RefusalReason Reason =
        IsRunning ? RefusalReason::DeadlinePassed : RefusalReason::ShardFrozen;
    this->replyToCallers(Pending, wire::OutcomeUnknown{Reason, {}}, Out);
    Pending.Callers.clear();
    return;
  }
  if (Pending.Phase == RequestPhase::RunningRemotely &&
      Agent.Now >= Pending.SentAt + RunResendInterval) {
    this->sendRunRequest(Pending, Agent.Now, Out);
  }
}

void RequestEngine::tick(const AgentContext &Agent, const HolderStates &States,
                         board::AgentActions &Out) {
  std::vector<ShardEffects> Effects;
  this->Shards.tick(Agent, States, Effects);
  for (ShardEffects &Each : Effects) {
    this->applyEffects(Agent, Each.Shard, Each.Effects, Out);
  }
  this->Queue.setSlots(this->Limits.status().SlotLimit);
  this->startQueued(Agent, Out);
  std::vector<base::RequestId> Ids;
  Ids.reserve(this->PendingRequests.size());
  for (const auto &[Id, Pending] : this->PendingRequests) {
    Ids.push_back(Id);
  }
  for (const base::RequestId &Id : Ids) {
    this->tickPendingRequest(Agent, Id, Out);
  }
  this->Runs.expire(Agent.Now);
  this->Outcomes.expire(Agent.Now);
}

} // namespace bilberry::requests
