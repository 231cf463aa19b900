#include "bilberry/requests/upstream_runs.h"

#include "bilberry/requests/decision_table.h"

namespace bilberry::requests {

static admission::Completion completionOf(const wire::RunResult &Result) {
  if (Result.Outcome == wire::RunOutcome::Answered) {
    return admission::Completion::Done;
  }
  bool IsShed = Result.Outcome == wire::RunOutcome::NotRun &&
                Result.Reason == wire::RefusalReason::Overloaded;
  return IsShed ? admission::Completion::Shed : admission::Completion::Neutral;
}

bool UpstreamRuns::start(base::TimePoint Now, board::RunOnUpstream Request,
                         const ShardHolder &Owner, board::AgentActions &Out) {
  if (this->isRunning(Request.Id) || !this->Limits.acquireSlot(Now)) {
    return false;
  }
  this->ById[Request.Id] = {Request.Attempt, Request.Deadline, Now, Owner,
                            true};
  Out.emplace_back(std::move(Request));
  return true;
}

std::optional<UpstreamRun> UpstreamRuns::finish(base::TimePoint Now,
                                                const wire::RunResult &Result) {
  auto It = this->ById.find(Result.Id);
  if (It == this->ById.end() || It->second.Attempt != Result.Attempt) {
    return std::nullopt;
  }
  UpstreamRun Run = It->second;
  this->ById.erase(It);
  if (Run.HoldsSlot) {
    this->Limits.releaseSlot(Now, completionOf(Result), Now - Run.StartedAt);
  }
  return Run;
}

std::vector<std::pair<base::RequestId, UpstreamRun>> UpstreamRuns::removeAll() {
  std::vector<std::pair<base::RequestId, UpstreamRun>> Lost(this->ById.begin(),
                                                            this->ById.end());
  this->ById.clear();
  return Lost;
}

void UpstreamRuns::expire(base::TimePoint Now) {
  for (auto &[Id, Run] : this->ById) {
    if (Run.HoldsSlot && Now >= Run.Deadline) {
      Run.HoldsSlot = false;
      this->Limits.releaseSlot(Now, admission::Completion::Timeout,
                               Now - Run.StartedAt);
    }
  }
  std::erase_if(this->ById, [&](const auto &Each) {
    return isExpired(Now, Each.second.Deadline);
  });
  std::erase_if(this->RemoteRequests, [&](const auto &Each) {
    return isExpired(Now, Each.second.Deadline);
  });
}

void UpstreamRuns::refuse(base::TimePoint Deadline, const ShardHolder &Owner,
                          const wire::RunRequest &Message,
                          wire::RefusalReason Reason,
                          board::AgentActions &Out) {
  wire::RunResult Result{Message.Id, Message.Attempt, wire::RunOutcome::NotRun,
                         Reason, ""};
  this->RemoteRequests[Message.Id] = {Message.Attempt, Deadline, Result};
  Out.emplace_back(board::SendToPeer{Owner.Name, std::move(Result)});
}

void UpstreamRuns::onRunRequest(base::TimePoint Now, const ShardHolder &Owner,
                                const wire::RunRequest &Message,
                                bool CanRunLocally, board::AgentActions &Out) {
  auto Known = this->RemoteRequests.find(Message.Id);
  if (Known != this->RemoteRequests.end()) {
    const RemoteRequest &Earlier = Known->second;
    bool HasResult = Earlier.Result.has_value();
    if (Message.Attempt == Earlier.Attempt && HasResult) {
      Out.emplace_back(board::SendToPeer{Owner.Name, *Earlier.Result});
    }
    bool IsNewAttempt = Message.Attempt > Earlier.Attempt && HasResult &&
                        Earlier.Result->Outcome == wire::RunOutcome::NotRun;
    if (!IsNewAttempt) {
      return;
    }
  }
  if (Now >= Message.Deadline) {
    this->refuse(Message.Deadline, Owner, Message,
                 wire::RefusalReason::DeadlinePassed, Out);
    return;
  }
  if (!CanRunLocally) {
    this->refuse(Message.Deadline, Owner, Message,
                 wire::RefusalReason::Draining, Out);
    return;
  }
  if (this->isRunning(Message.Id)) {
    return;
  }
  board::RunOnUpstream Request{Message.Id, Message.Attempt, Message.Class,
                               Message.Deadline, Message.Body};
  if (!this->start(Now, std::move(Request), Owner, Out)) {
    this->refuse(Message.Deadline, Owner, Message,
                 wire::RefusalReason::Overloaded, Out);
    return;
  }
  this->RemoteRequests[Message.Id] = {Message.Attempt, Message.Deadline, {}};
}

void UpstreamRuns::sendResultToOwner(const UpstreamRun &Run,
                                     const wire::RunResult &Result,
                                     board::AgentActions &Out) {
  this->RemoteRequests[Result.Id] = {Run.Attempt, Run.Deadline, Result};
  Out.emplace_back(board::SendToPeer{Run.Owner.Name, Result});
}

void UpstreamRuns::onRunCancel(const wire::RunCancel &Message,
                               board::AgentActions &Out) {
  auto It = this->ById.find(Message.Id);
  if (It != this->ById.end() && It->second.Attempt == Message.Attempt) {
    Out.emplace_back(board::CancelOnUpstream{Message.Id, Message.Attempt});
  }
}

} // namespace bilberry::requests
