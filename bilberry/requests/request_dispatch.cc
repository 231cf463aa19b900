// How requests that may run get to an upstream: our own, another agent's, or
// the queue for our own.

#include "bilberry/requests/request_engine.h"

#include "bilberry/routing/rendezvous.h"

#include <algorithm>

namespace bilberry::requests {

using board::DecisionKind;
using wire::RefusalReason;

/// How often one request is tried on an upstream that sheds it.
static constexpr int MaxTriesHere = 3;

static bool hasRefused(const RequestWork &Work, const base::MemberName &Name) {
  return std::find(Work.RefusedBy.begin(), Work.RefusedBy.end(), Name) !=
         Work.RefusedBy.end();
}

base::Duration RequestEngine::retryAfter() const {
  return std::max(LeastRetryAfter, this->Queue.expectedWait());
}

/// May end the work: the caller mustn't use it afterwards. Precondition: it
/// isn't running anywhere, and may run.
void RequestEngine::dispatch(const Surroundings &Around, RequestWork &Work,
                             board::AgentActions &Out) {
  if (Around.Now >= Work.Deadline) {
    this->refuse(Around, Work, RefusalReason::DeadlinePassed, Out);
    return;
  }
  // What our upstream refused goes to others before it is tried here again.
  bool IsDueHere = Work.RefusalsHere == 0 || Work.Phase == WorkPhase::Queued;
  board::RunOnUpstream Request{Work.Id, Work.Attempt, Work.Class, Work.Deadline,
                               Work.Body};
  if (Around.MayRunHere && IsDueHere &&
      this->Runs.start(Around.Now, std::move(Request), {}, Out)) {
    Work.Phase = WorkPhase::Running;
    Work.Runner = {};
    ++this->Counts.Run;
    logDecision(DecisionKind::RequestRun, requestText(Work.Id), {},
                "a slot is free", Out);
    return;
  }
  bool IsPassedOn = Work.IsIdempotent
                        ? this->passIdempotentOn(Around, Work, Out)
                        : this->passOn(Around, Work, Out);
  if (IsPassedOn) {
    return;
  }
  if (Around.MayRunHere && Work.RefusalsHere < MaxTriesHere &&
      this->Queue.push(Around.Now, Work.Deadline, Work.Id)) {
    Work.Phase = WorkPhase::Queued;
    return;
  }
  bool IsOut = !Around.Document->isInService(Around.Self.DataCentre);
  RefusalReason Reason = RefusalReason::Overloaded;
  if (!Around.MayRunHere) {
    Reason = IsOut ? RefusalReason::DataCentreOut : RefusalReason::Draining;
  }
  this->refuse(Around, Work, Reason, Out);
}

/// Gives the request to the best-ranked agent that hasn't refused it. One at a
/// time: the next is asked only when this one has said that nothing ran.
bool RequestEngine::passOn(const Surroundings &Around, RequestWork &Work,
                           board::AgentActions &Out) {
  if (Work.RefusedBy.size() >= MaxRunners) {
    return false;
  }
  for (const members::RankedMember *Each :
       routing::topRanked(Around.View->Placement, routing::requestKey(Work.Id),
                          MaxRunners + 1)) {
    const members::Member &Value = Each->Value;
    if (Value.Name == Around.Self.Name || hasRefused(Work, Value.Name)) {
      continue;
    }
    if (!this->Limits.takeRetryToken(Around.Now)) {
      return false;
    }
    Work.Phase = WorkPhase::PassedOn;
    Work.Runner = {Value.Name, Value.Run};
    this->sendRunRequest(Work, Around.Now, Out);
    ++this->Counts.PassedOn;
    logDecision(DecisionKind::RequestPassedOn, requestText(Work.Id), Value.Name,
                "no slot is free here", Out);
    return true;
  }
  return false;
}

/// An idempotent request goes on as the datagram that it came in. The ranking
/// is the same everywhere, so going down it visits each agent once.
bool RequestEngine::passIdempotentOn(const Surroundings &Around,
                                     RequestWork &Work,
                                     board::AgentActions &Out) {
  if (Work.Callers.size() != 1 || Work.Header.Hops >= MaxRunners) {
    return false;
  }
  std::vector<const members::RankedMember *> Ranked = routing::topRanked(
      Around.View->Placement, routing::requestKey(Work.Id), MaxRequestHops + 1);
  auto Own = std::find_if(Ranked.begin(), Ranked.end(), [&](const auto *Each) {
    return Each->Value.Name == Around.Self.Name;
  });
  auto Next = Own == Ranked.end() ? Ranked.begin() : Own + 1;
  if (Next == Ranked.end() || !this->Limits.takeRetryToken(Around.Now)) {
    return false;
  }
  const base::MemberName &To = (*Next)->Value.Name;
  if (!this->forward(Around, To, Work.Header, Work.Payload, Out)) {
    return false;
  }
  ++this->Counts.PassedOn;
  logDecision(DecisionKind::RequestPassedOn, requestText(Work.Id), To,
              "no slot is free here", Out);
  this->Works.erase(Work.Id);
  return true;
}

void RequestEngine::sendRunRequest(RequestWork &Work, base::TimePoint Now,
                                   board::AgentActions &Out) {
  Work.SentAt = Now;
  Out.emplace_back(board::SendPeer{
      Work.Runner.Name,
      wire::RunRequest{Work.Id, Work.Attempt, Work.Class, Work.Deadline,
                       Work.Body, Work.Runner.Run}});
}

void RequestEngine::onRunResult(const Surroundings &Around,
                                const ShardHolder &From,
                                const wire::RunResult &Result,
                                board::AgentActions &Out) {
  auto It = this->Works.find(Result.Id);
  if (It == this->Works.end()) {
    return;
  }
  RequestWork &Work = It->second;
  if (Work.Phase == WorkPhase::PassedOn && Work.Runner == From &&
      Work.Attempt == Result.Attempt) {
    this->conclude(Around, Work, From.Name, Result, Out);
  }
}

/// May end the work: the caller mustn't use it afterwards.
void RequestEngine::conclude(const Surroundings &Around, RequestWork &Work,
                             const base::MemberName &Runner,
                             const wire::RunResult &Result,
                             board::AgentActions &Out) {
  if (Result.Outcome == wire::RunOutcome::Answered) {
    this->settle(Work.Id, wire::Answer{Result.Body}, Out);
    return;
  }
  if (Runner == Around.Self.Name) {
    ++Work.RefusalsHere;
  } else {
    Work.RefusedBy.push_back(Runner);
  }
  if (Result.Outcome == wire::RunOutcome::Unknown) {
    bool MayTryAgain = Work.IsIdempotent && Work.RefusalsHere < MaxTriesHere &&
                       this->Limits.takeRetryToken(Around.Now);
    if (MayTryAgain) {
      this->dispatch(Around, Work, Out);
      return;
    }
    this->settle(Work.Id, wire::OutcomeUnknown{RefusalReason::UpstreamLost, {}},
                 Out);
    return;
  }
  if (Work.IsCancelled || Result.Reason == RefusalReason::Cancelled) {
    this->refuse(Around, Work, RefusalReason::Cancelled, Out);
    return;
  }
  this->dispatch(Around, Work, Out);
}

void RequestEngine::onUpstreamResult(const Surroundings &Around,
                                     const wire::RunResult &Result,
                                     board::AgentActions &Out) {
  std::optional<UpstreamRun> Run = this->Runs.finish(Around.Now, Result);
  if (!Run) {
    return;
  }
  if (Result.Outcome == wire::RunOutcome::Answered) {
    this->Queue.noteServiceTime(Around.Now - Run->StartedAt);
  }
  if (!Run->Owner.Name.empty()) {
    this->Runs.answerOwner(*Run, Result, Out);
  } else {
    auto It = this->Works.find(Result.Id);
    bool IsOurs = It != this->Works.end() &&
                  It->second.Attempt == Result.Attempt &&
                  It->second.Phase == WorkPhase::Running;
    if (IsOurs) {
      this->conclude(Around, It->second, Around.Self.Name, Result, Out);
    }
  }
  this->startQueued(Around, Out);
}

void RequestEngine::onUpstreamLost(const Surroundings &Around,
                                   board::AgentActions &Out) {
  for (auto &[Id, Run] : this->Runs.loseAll()) {
    wire::RunResult Result{Id, Run.Attempt, wire::RunOutcome::Unknown,
                           RefusalReason::UpstreamLost, ""};
    if (!Run.Owner.Name.empty()) {
      this->Runs.answerOwner(Run, Result, Out);
      continue;
    }
    auto It = this->Works.find(Id);
    if (It != this->Works.end() && It->second.Phase == WorkPhase::Running) {
      this->conclude(Around, It->second, Around.Self.Name, Result, Out);
    }
  }
}

void RequestEngine::startQueued(const Surroundings &Around,
                                board::AgentActions &Out) {
  std::vector<base::RequestId> Late;
  this->Queue.removeExpired(Around.Now, Late);
  for (size_t Left = this->Queue.size();
       Left > 0 && Around.MayRunHere && !this->Queue.empty(); --Left) {
    // The slot is taken by start; this only asks whether there is one.
    if (!this->Limits.acquireSlot(Around.Now)) {
      break;
    }
    this->Limits.releaseSlot(Around.Now, admission::Completion::Neutral, {});
    std::optional<base::RequestId> Id = this->Queue.popReady(Around.Now, Late);
    auto It = Id ? this->Works.find(*Id) : this->Works.end();
    if (It != this->Works.end() && It->second.Phase == WorkPhase::Queued) {
      this->dispatch(Around, It->second, Out);
    }
  }
  for (const base::RequestId &Id : Late) {
    auto It = this->Works.find(Id);
    if (It != this->Works.end() && It->second.Phase == WorkPhase::Queued) {
      this->refuse(Around, It->second, RefusalReason::Overloaded, Out);
    }
  }
}

/// May end the work: the caller mustn't use it afterwards.
void RequestEngine::cancel(const Surroundings &Around, RequestWork &Work,
                           board::AgentActions &Out) {
  Work.IsCancelled = true;
  switch (Work.Phase) {
  case WorkPhase::Deciding:
    this->refuse(Around, Work, RefusalReason::Cancelled, Out);
    return;
  case WorkPhase::Queued:
    this->Queue.remove([&](base::RequestId Id) { return Id == Work.Id; });
    this->refuse(Around, Work, RefusalReason::Cancelled, Out);
    return;
  case WorkPhase::Running:
    Out.emplace_back(board::CancelOnUpstream{Work.Id, Work.Attempt});
    return;
  case WorkPhase::PassedOn:
    Out.emplace_back(board::SendPeer{Work.Runner.Name,
                                     wire::RunCancel{Work.Id, Work.Attempt}});
    return;
  case WorkPhase::Refusing:
    return;
  }
}

/// What a work's deadline asks for. After it, callers have been told; the work
/// stays until no late result can come any more.
void RequestEngine::tickWork(const Surroundings &Around, base::RequestId Id,
                             board::AgentActions &Out) {
  auto It = this->Works.find(Id);
  if (It == this->Works.end()) {
    return;
  }
  RequestWork &Work = It->second;
  bool IsRunning =
      Work.Phase == WorkPhase::Running || Work.Phase == WorkPhase::PassedOn;
  if (isExpired(Around.Now, Work.Deadline)) {
    this->Shards.replica(Work.Shard).withdraw(Id);
    this->settle(Id, wire::OutcomeUnknown{RefusalReason::DeadlinePassed, {}},
                 Out);
    return;
  }
  if (Around.Now >= Work.Deadline && !Work.Callers.empty()) {
    if (Work.Phase == WorkPhase::Queued) {
      return; // The queue hands it back.
    }
    RefusalReason Reason =
        IsRunning ? RefusalReason::DeadlinePassed : RefusalReason::ShardFrozen;
    this->tell(Work, wire::OutcomeUnknown{Reason, {}}, Out);
    Work.Callers.clear();
    return;
  }
  if (Work.Phase == WorkPhase::PassedOn &&
      Around.Now >= Work.SentAt + RunResendInterval) {
    this->sendRunRequest(Work, Around.Now, Out);
  }
}

void RequestEngine::tick(const Surroundings &Around, const HolderStates &States,
                         board::AgentActions &Out) {
  std::vector<ShardEffects> Effects;
  this->Shards.tick(Around, States, Effects);
  for (ShardEffects &Each : Effects) {
    this->apply(Around, Each.Shard, Each.Effects, Out);
  }
  this->Queue.setSlots(this->Limits.status().SlotLimit);
  this->startQueued(Around, Out);
  std::vector<base::RequestId> Ids;
  Ids.reserve(this->Works.size());
  for (const auto &[Id, Work] : this->Works) {
    Ids.push_back(Id);
  }
  for (const base::RequestId &Id : Ids) {
    this->tickWork(Around, Id, Out);
  }
  this->Runs.expire(Around.Now);
  this->Outcomes.expire(Around.Now);
}

} // namespace bilberry::requests
