#include "bilberry/standin/caller_model.h"

#include <algorithm>
#include <utility>

namespace bilberry::standin {

CallerModel::CallerModel(CallerLoad Load, base::TimePoint Now)
    : Load(std::move(Load)), Random(this->Load.Seed), NextRequestAt(Now),
      NextOpenAt(Now) {
  this->Streams.Config = this->Load.Stream;
  this->Streams.TargetFlows = this->Load.Streams;
  this->Uploads.Config = this->Load.Upload;
  this->Uploads.TargetFlows = this->Load.Uploads;
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
      Out.push_back({Set.Config.Service, Flow.connection(), std::move(Bytes)});
    }
    Datagrams.clear();
    if (Flow.isEnded()) {
      this->recordFlowEnd(Now, Set, Flow);
      It = Set.Flows.erase(It);
    } else {
      ++It;
    }
  }
}

void CallerModel::openFlows(base::TimePoint Now, FlowSet &Set) {
  while (!Set.ReopenTimes.empty() && Set.ReopenTimes.front() <= Now) {
    Set.ReopenTimes.pop_front();
  }
  while (Set.Flows.size() + Set.ReopenTimes.size() < Set.TargetFlows &&
         this->allowFlowOpen(Now)) {
    uint64_t Connection = this->Random();
    Set.Flows.try_emplace(Connection, Set.Config, Connection, Now);
    this->KnownConnections.insert(Connection);
    ++Set.Counts.Started;
  }
}

bool CallerModel::allowFlowOpen(base::TimePoint Now) {
  if (this->NextOpenAt > Now) {
    return false;
  }
  base::Duration OpenInterval =
      std::chrono::seconds(1) / std::max(1U, this->Load.OpensPerSecond);
  // Limits the burst after an idle period to the openings of 100 ms.
  this->NextOpenAt =
      std::max(this->NextOpenAt, Now - std::chrono::milliseconds(100)) +
      OpenInterval;
  return true;
}

void CallerModel::recordFlowEnd(base::TimePoint Now, FlowSet &Set,
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
  Set.ReopenTimes.push_back(Now + ReopenDelay);
  if (WasOpened) {
    this->Broken.push_back(
        {Set.Config.Service, Flow.connection(), Now, Reason});
  }
}

void CallerModel::tickRequests(base::TimePoint Now,
                               std::vector<CallerDatagram> &Out) {
  while (!this->IsStopped && this->Load.RequestsPerSecond > 0 &&
         this->NextRequestAt <= Now) {
    this->startRequest(Now, Out);
    this->NextRequestAt +=
        base::Duration(std::chrono::seconds(1)) / this->Load.RequestsPerSecond;
  }
  std::vector<std::string> Datagrams;
  for (auto It = this->PendingRequests.begin();
       It != this->PendingRequests.end();) {
    CallerRequest &Request = this->Requests.at(*It);
    Request.onTick(Now, Datagrams);
    for (std::string &Bytes : Datagrams) {
      Out.push_back({this->Load.Request.Service, It->Low, std::move(Bytes)});
    }
    Datagrams.clear();
    It = Request.isEnded() ? this->PendingRequests.erase(It) : std::next(It);
  }
}

void CallerModel::startRequest(base::TimePoint Now,
                               std::vector<CallerDatagram> &Out) {
  base::RequestId Id = {this->Random(), this->Random()};
  auto [It, IsNew] = this->Requests.try_emplace(Id, this->Load.Request, Id, Now,
                                                this->NextMessageId);
  this->PendingRequests.push_back(Id);
  if (this->Random() % 100 < this->Load.DuplicatePercent) {
    Out.push_back(
        {this->Load.Request.Service, Id.Low, It->second.packetBytes()});
  }
}

void CallerModel::onDatagram(base::TimePoint Now, std::string_view Bytes) {
  base::Result<wire::CallerReply> Parsed = wire::parseCallerReply(Bytes);
  if (!Parsed) {
    ++this->StrayReplies;
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
    base::Duration Latency = Flow->second.onReply(Now, Reply);
    if (Latency.count() > 0) {
      this->PacketTimes.push_back(Latency);
    }
    return;
  }
  this->StrayReplies +=
      this->KnownConnections.contains(Reply.Connection) ? 0 : 1;
}

void CallerModel::onReply(base::TimePoint Now, const wire::AnswerChunk &Reply) {
  auto Request = this->Requests.find(Reply.Id);
  if (Request == this->Requests.end()) {
    ++this->StrayReplies;
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
    ++this->StrayReplies;
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
         this->PendingRequests.empty();
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
  Counts.StrayReplies = this->StrayReplies;
  Counts.Pushes = this->Pushes;
  return Counts;
}

} // namespace bilberry::standin
