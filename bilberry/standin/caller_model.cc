#include "bilberry/standin/caller_model.h"

#include <algorithm>
#include <utility>

namespace bilberry::standin {

CallerModel::CallerModel(CallerRule Rule, base::TimePoint Now)
    : Rule(std::move(Rule)), Random(this->Rule.Seed), NextRequest(Now),
      NextOpen(Now) {
  this->Streams.Plan = this->Rule.Stream;
  this->Streams.Wanted = this->Rule.Streams;
  this->Uploads.Plan = this->Rule.Upload;
  this->Uploads.Wanted = this->Rule.Uploads;
}

void CallerModel::onTick(base::TimePoint Now,
                         std::vector<CallerDatagram> &Out) {
  this->tickFlows(Now, this->Streams, Out);
  this->tickFlows(Now, this->Uploads, Out);
  this->tickRequests(Now, Out);
}

void CallerModel::tickFlows(base::TimePoint Now, FlowSet &Set,
                            std::vector<CallerDatagram> &Out) {
  if (!this->IsStopped) {
    this->openFlows(Now, Set);
  }
  std::vector<std::string> Datagrams;
  for (auto It = Set.Flows.begin(); It != Set.Flows.end();) {
    CallerFlow &Flow = It->second;
    Flow.onTick(Now, Datagrams);
    for (std::string &Bytes : Datagrams) {
      Out.push_back({Set.Plan.Service, Flow.connection(), std::move(Bytes)});
    }
    Datagrams.clear();
    if (Flow.isEnded()) {
      this->noteEnd(Now, Set, Flow);
      It = Set.Flows.erase(It);
    } else {
      ++It;
    }
  }
}

void CallerModel::openFlows(base::TimePoint Now, FlowSet &Set) {
  while (!Set.Pauses.empty() && Set.Pauses.front() <= Now) {
    Set.Pauses.pop_front();
  }
  while (Set.Flows.size() + Set.Pauses.size() < Set.Wanted &&
         this->takeOpen(Now)) {
    uint64_t Connection = this->Random();
    Set.Flows.try_emplace(Connection, Set.Plan, Connection, Now);
    this->KnownConnections.insert(Connection);
    ++Set.Counts.Started;
  }
}

bool CallerModel::takeOpen(base::TimePoint Now) {
  if (this->NextOpen > Now) {
    return false;
  }
  base::Duration Gap =
      std::chrono::seconds(1) / std::max(1U, this->Rule.OpensPerSecond);
  // What wasn't used for a while isn't made up for in one burst.
  this->NextOpen =
      std::max(this->NextOpen, Now - std::chrono::milliseconds(100)) + Gap;
  return true;
}

void CallerModel::noteEnd(base::TimePoint Now, FlowSet &Set,
                          const CallerFlow &Flow) {
  FlowCounts &Counts = Set.Counts;
  this->Pushes += Flow.pushesReceived();
  bool WasOpened = Flow.wasOpened();
  Counts.Opened += WasOpened ? 1 : 0;
  switch (Flow.state()) {
  case FlowState::Closed:
    ++Counts.Closed;
    return;
  case FlowState::ClosedPartly:
    ++Counts.ClosedPartly;
    break;
  case FlowState::Refused:
    ++Counts.Refused;
    break;
  default:
    ++(WasOpened ? Counts.Broken : Counts.NeverOpened);
    break;
  }
  std::string Reason =
      std::string(flowStateText(Flow.state())) + ": " + Flow.reason();
  ++Counts.ByReason[Reason];
  Set.Pauses.push_back(Now + ReopenPause);
  if (WasOpened) {
    this->Broken.push_back({Set.Plan.Service, Flow.connection(), Now, Reason});
  }
}

void CallerModel::tickRequests(base::TimePoint Now,
                               std::vector<CallerDatagram> &Out) {
  while (!this->IsStopped && this->Rule.RequestsPerSecond > 0 &&
         this->NextRequest <= Now) {
    this->startRequest(Now, Out);
    this->NextRequest +=
        base::Duration(std::chrono::seconds(1)) / this->Rule.RequestsPerSecond;
  }
  std::vector<std::string> Datagrams;
  for (auto It = this->Waiting.begin(); It != this->Waiting.end();) {
    CallerRequest &Request = this->Requests.at(*It);
    Request.onTick(Now, Datagrams);
    for (std::string &Bytes : Datagrams) {
      Out.push_back({this->Rule.Request.Service, It->Low, std::move(Bytes)});
    }
    Datagrams.clear();
    It = Request.isEnded() ? this->Waiting.erase(It) : std::next(It);
  }
}

void CallerModel::startRequest(base::TimePoint Now,
                               std::vector<CallerDatagram> &Out) {
  base::RequestId Id = {this->Random(), this->Random()};
  auto [It, IsNew] = this->Requests.try_emplace(Id, this->Rule.Request, Id, Now,
                                                this->NextMessageId);
  this->Waiting.push_back(Id);
  if (this->Random() % 100 < this->Rule.DuplicatePercent) {
    Out.push_back({this->Rule.Request.Service, Id.Low, It->second.copy()});
  }
}

void CallerModel::onDatagram(base::TimePoint Now, std::string_view Bytes) {
  base::Result<wire::CallerReply> Parsed = wire::parseCallerReply(Bytes);
  if (!Parsed) {
    ++this->Stray;
    return;
  }
  std::visit([&](const auto &Reply) { this->onReply(Now, Reply); },
             Parsed.value());
}

void CallerModel::onReply(base::TimePoint Now, const wire::FlowReply &Reply) {
  for (FlowSet *Set : {&this->Streams, &this->Uploads}) {
    auto Flow = Set->Flows.find(Reply.Connection);
    if (Flow == Set->Flows.end()) {
      continue;
    }
    base::Duration Took = Flow->second.onReply(Now, Reply);
    if (Took.count() > 0) {
      this->PacketTimes.push_back(Took);
    }
    return;
  }
  this->Stray += this->KnownConnections.contains(Reply.Connection) ? 0 : 1;
}

void CallerModel::onReply(base::TimePoint Now, const wire::AnswerChunk &Reply) {
  auto Request = this->Requests.find(Reply.Id);
  if (Request == this->Requests.end()) {
    ++this->Stray;
    return;
  }
  bool WasAnswered = Request->second.state() == RequestState::Answered;
  Request->second.onAnswer(Now, Reply);
  if (!WasAnswered && Request->second.state() == RequestState::Answered) {
    this->AnswerTimes.push_back(Request->second.latency());
  }
}

void CallerModel::onReply(base::TimePoint Now, const wire::Refusal &Reply) {
  auto Request = this->Requests.find(Reply.Id);
  if (Request == this->Requests.end()) {
    ++this->Stray;
    return;
  }
  Request->second.onRefusal(Now, Reply);
}

void CallerModel::stop() {
  this->IsStopped = true;
  for (auto &[Connection, Flow] : this->Streams.Flows) {
    Flow.close();
  }
}

bool CallerModel::isDone() const {
  return this->Streams.Flows.empty() && this->Uploads.Flows.empty() &&
         this->Waiting.empty();
}

size_t CallerModel::openCount(const FlowSet &Set) {
  auto Count =
      std::count_if(Set.Flows.begin(), Set.Flows.end(),
                    [](const auto &Entry) { return Entry.second.wasOpened(); });
  return static_cast<size_t>(Count);
}

static void countOutcome(const CallerRequest &Request, RequestCounts &Counts) {
  Counts.Attempts += Request.attempts();
  Counts.Wrong += Request.isWrong() ? 1 : 0;
  Counts.Contradicted += Request.isContradicted() ? 1 : 0;
  switch (Request.state()) {
  case RequestState::Answered:
    ++Counts.Answered;
    break;
  case RequestState::NotRun:
    ++Counts.NotRun;
    ++Counts.NotRunByReason[std::string(
        wire::refusalReasonText(Request.reason()))];
    break;
  case RequestState::Unknown:
    ++Counts.Unknown;
    break;
  case RequestState::None:
    ++Counts.NoOutcome;
    break;
  case RequestState::Waiting:
    break;
  }
}

CallerCounts CallerModel::counts() const {
  CallerCounts Counts;
  Counts.Streams = this->Streams.Counts;
  Counts.Streams.Opened += this->streamsOpen();
  Counts.Uploads = this->Uploads.Counts;
  Counts.Uploads.Opened += this->uploadsOpen();
  Counts.Requests.Started = this->Requests.size();
  for (const auto &[Id, Request] : this->Requests) {
    countOutcome(Request, Counts.Requests);
  }
  Counts.Stray = this->Stray;
  Counts.Pushes = this->Pushes;
  return Counts;
}

} // namespace bilberry::standin
