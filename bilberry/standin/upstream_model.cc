#include "bilberry/standin/upstream_model.h"

#include <algorithm>
#include <utility>

namespace bilberry::standin {

static constexpr std::string_view ServiceTagPrefix = "service=";
static constexpr std::string_view AnswerPrefix = "done:";
// How often idle and closed flows are checked for expiry.
static constexpr base::Duration CleanupInterval = std::chrono::seconds(1);

std::string serviceTag(const base::ServiceName &Service) {
  return std::string(ServiceTagPrefix) + Service.text() + ";";
}

std::string flowSummary(uint64_t Packets, uint64_t Bytes) {
  return "packets=" + std::to_string(Packets) +
         " bytes=" + std::to_string(Bytes);
}

// A single function for appending, so that GCC doesn't warn about unused
// members of the variant at each call.
static void append(UpstreamOutputs &Out, LinkId Link,
                   wire::FromUpstream Message) {
  Out.push_back({Link, std::move(Message)});
}

static uint32_t warmupLimit(uint32_t ColdLimit, uint32_t Maximum,
                            uint64_t Completions,
                            uint32_t CompletionsPerIncrement) {
  uint64_t WarmedUp =
      ColdLimit + Completions / std::max(1U, CompletionsPerIncrement);
  return static_cast<uint32_t>(std::min<uint64_t>(WarmedUp, Maximum));
}

UpstreamModel::UpstreamModel(UpstreamConfig Config)
    : Config(std::move(Config)) {}

void UpstreamModel::onLinkOpened(LinkId Link) { this->Links.insert(Link); }

void UpstreamModel::onLinkLost(LinkId Link) { this->Links.erase(Link); }

void UpstreamModel::onMessage(base::TimePoint Now, LinkId Link,
                              const wire::ToUpstream &Message,
                              UpstreamOutputs &Out) {
  auto Second =
      std::chrono::floor<std::chrono::seconds>(Now.time_since_epoch());
  bool IsCallerWork =
      !std::holds_alternative<wire::UpstreamHealthQuery>(Message) &&
      !std::holds_alternative<wire::UpstreamFlowAbort>(Message);
  if (IsCallerWork) {
    ++this->Ledger.ArrivalsPerSecond[Second.count()];
  }
  std::visit([&](const auto &Item) { this->handle(Now, Link, Item, Out); },
             Message);
}

void UpstreamModel::handle(base::TimePoint Now, LinkId Link,
                           const wire::UpstreamRun &Run, UpstreamOutputs &Out) {
  this->checkServiceTag(Run.Body);
  if (auto Refusal = this->refusalFor(Now, Run)) {
    ++this->Ledger.Refused;
    append(Out, Link, wire::UpstreamRefused{Run.MessageId, *Refusal});
    return;
  }
  ++this->Ledger.Runs[Run.Id];
  ++this->Ledger.TotalRuns;
  this->Running.emplace(Now + this->Config.ServiceTime,
                        RunningRequest{Link, Run.MessageId, Run.Body});
}

std::optional<wire::UpstreamRefusal>
UpstreamModel::refusalFor(base::TimePoint Now, const wire::UpstreamRun &Run) {
  if (this->IsDraining) {
    return wire::UpstreamRefusal::Draining;
  }
  if (Now >= Run.Deadline) {
    return wire::UpstreamRefusal::DeadlinePassed;
  }
  if (this->Running.size() >= this->currentSlotLimit()) {
    ++this->Ledger.Overruns;
    return wire::UpstreamRefusal::Shed;
  }
  return std::nullopt;
}

void UpstreamModel::handle(base::TimePoint Now, LinkId Link,
                           const wire::UpstreamHealthQuery &Query,
                           UpstreamOutputs &Out) {
  bool IsStale = !this->LastHealthAt ||
                 Now - *this->LastHealthAt >= this->Config.HealthLag;
  if (IsStale) {
    this->LastHealth = this->actualHealth();
    this->LastHealthAt = Now;
  }
  wire::UpstreamHealth Report = this->HealthOverride.value_or(this->LastHealth);
  Report.MessageId = Query.MessageId;
  append(Out, Link, std::move(Report));
}

void UpstreamModel::handle(base::TimePoint, LinkId Link,
                           const wire::UpstreamCancel &Cancel,
                           UpstreamOutputs &Out) {
  auto It = std::find_if(this->Running.begin(), this->Running.end(),
                         [&](const auto &Entry) {
                           return Entry.second.Link == Link &&
                                  Entry.second.MessageId == Cancel.MessageId;
                         });
  if (It == this->Running.end()) {
    return;
  }
  ++this->Ledger.Cancelled;
  this->Running.erase(It);
  append(
      Out, Link,
      wire::UpstreamRefused{Cancel.MessageId, wire::UpstreamRefusal::Failed});
}

void UpstreamModel::handle(base::TimePoint, LinkId,
                           const wire::UpstreamFlowAbort &Abort,
                           UpstreamOutputs &) {
  this->Flows.erase(Abort.Key);
}

void UpstreamModel::handle(base::TimePoint Now, LinkId Link,
                           const wire::UpstreamFlowPacket &Packet,
                           UpstreamOutputs &Out) {
  this->checkServiceTag(Packet.Body);
  auto Closed = this->Closed.find(Packet.Key);
  if (Closed != this->Closed.end()) {
    this->sendFlowEvent(Link, Packet, wire::FlowEvent::Closed,
                        Closed->second.Summary, Out);
    return;
  }
  bool IsKnown = this->Flows.contains(Packet.Key);
  if (!IsKnown && !this->openFlow(Now, Link, Packet, Out)) {
    return;
  }
  this->processPacket(Now, Link, this->Flows[Packet.Key], Packet, Out);
}

bool UpstreamModel::openFlow(base::TimePoint Now, LinkId Link,
                             const wire::UpstreamFlowPacket &Packet,
                             UpstreamOutputs &Out) {
  if ((Packet.Flags & wire::FlowOpenFlag) == 0) {
    ++this->Ledger.StrayPackets;
    this->sendFlowEvent(Link, Packet, wire::FlowEvent::Reset, "unknown-flow",
                        Out);
    return false;
  }
  bool IsOverLimit = this->Flows.size() >= this->currentConnectionLimit();
  if (this->IsDraining || IsOverLimit) {
    ++this->Ledger.Refused;
    auto Reason = this->IsDraining ? wire::UpstreamRefusal::Draining
                                   : wire::UpstreamRefusal::Shed;
    this->Ledger.Overruns += this->IsDraining ? 0 : 1;
    this->sendFlowEvent(Link, Packet, wire::FlowEvent::Refused,
                        std::string(wire::upstreamRefusalText(Reason)), Out);
    return false;
  }
  ++this->Ledger.FlowsOpened;
  UpstreamFlow Flow;
  Flow.NextPush = Now + this->Config.PushInterval;
  this->Flows.emplace(Packet.Key, std::move(Flow));
  return true;
}

// Counts a packet unless it is a duplicate.
static void recordSequence(UpstreamFlow &Flow,
                           const wire::UpstreamFlowPacket &Packet) {
  uint64_t Sequence = Packet.Sequence;
  bool IsNew = Sequence > Flow.ContiguousUpTo &&
               Flow.OutOfOrderSequences.insert(Sequence).second;
  if (!IsNew) {
    return;
  }
  ++Flow.Packets;
  Flow.Bytes += Packet.Body.size();
  Flow.HighestSequence = std::max(Flow.HighestSequence, Sequence);
  while (Flow.OutOfOrderSequences.erase(Flow.ContiguousUpTo + 1) > 0) {
    ++Flow.ContiguousUpTo;
  }
}

void UpstreamModel::processPacket(base::TimePoint Now, LinkId Link,
                                  UpstreamFlow &Flow,
                                  const wire::UpstreamFlowPacket &Packet,
                                  UpstreamOutputs &Out) {
  Flow.Link = Link;
  Flow.LastPacket = Now;
  recordSequence(Flow, Packet);
  if ((Packet.Flags & wire::FlowCloseFlag) != 0) {
    Flow.ClosingSequence = Packet.Sequence;
  }
  ++this->FlowEventCount;
  bool IsComplete =
      Flow.ClosingSequence && Flow.ContiguousUpTo >= *Flow.ClosingSequence;
  if (IsComplete) {
    std::string Summary = flowSummary(Flow.Packets, Flow.Bytes);
    ++this->Ledger.FlowsClosed;
    this->Flows.erase(Packet.Key);
    this->Closed.emplace(Packet.Key, ClosedFlow{Now, Summary});
    this->sendFlowEvent(Link, Packet, wire::FlowEvent::Closed,
                        std::move(Summary), Out);
    return;
  }
  bool IsOpening = (Packet.Flags & wire::FlowOpenFlag) != 0;
  this->sendFlowEvent(
      Link, Packet, IsOpening ? wire::FlowEvent::Opened : wire::FlowEvent::Data,
      "", Out);
}

void UpstreamModel::sendFlowEvent(LinkId Link,
                                  const wire::UpstreamFlowPacket &Packet,
                                  wire::FlowEvent Event, std::string Body,
                                  UpstreamOutputs &Out) {
  wire::UpstreamFlowEvent Reply;
  Reply.Key = Packet.Key;
  Reply.Event = Event;
  Reply.Sequence = Packet.Sequence;
  Reply.Body = std::move(Body);
  append(Out, Link, std::move(Reply));
}

void UpstreamModel::onTick(base::TimePoint Now, UpstreamOutputs &Out) {
  this->finishDueRequests(Now, Out);
  if (this->Config.PushInterval.count() > 0) {
    this->sendDuePushes(Now, Out);
  }
  if (Now >= this->NextCleanupAt) {
    this->NextCleanupAt = Now + CleanupInterval;
    this->removeExpiredFlows(Now);
  }
}

void UpstreamModel::finishDueRequests(base::TimePoint Now,
                                      UpstreamOutputs &Out) {
  while (!this->Running.empty() && this->Running.begin()->first <= Now) {
    RunningRequest Ended = std::move(this->Running.begin()->second);
    this->Running.erase(this->Running.begin());
    ++this->RequestsDone;
    ++this->Ledger.Done;
    if (this->Links.contains(Ended.Link)) {
      std::string Body = std::string(AnswerPrefix) + Ended.Body;
      append(Out, Ended.Link,
             wire::UpstreamDone{Ended.MessageId, std::move(Body)});
    }
  }
}

void UpstreamModel::sendDuePushes(base::TimePoint Now, UpstreamOutputs &Out) {
  for (auto &[Key, Flow] : this->Flows) {
    if (Flow.NextPush > Now) {
      continue;
    }
    Flow.NextPush = Now + this->Config.PushInterval;
    ++Flow.Pushes;
    if (!this->Links.contains(Flow.Link)) {
      continue;
    }
    ++this->FlowEventCount;
    wire::UpstreamFlowEvent Push;
    Push.Key = Key;
    Push.Event = wire::FlowEvent::Data;
    Push.Body = "push:" + std::to_string(Flow.Pushes);
    append(Out, Flow.Link, std::move(Push));
  }
}

void UpstreamModel::removeExpiredFlows(base::TimePoint Now) {
  std::erase_if(this->Closed, [&](const auto &Entry) {
    return Now - Entry.second.ClosedAt >= ClosedFlowRetention;
  });
  std::erase_if(this->Flows, [&](const auto &Entry) {
    return Now - Entry.second.LastPacket >= FlowIdleTimeout;
  });
}

std::optional<base::TimePoint> UpstreamModel::nextDue() const {
  std::optional<base::TimePoint> Due;
  if (!this->Running.empty()) {
    Due = this->Running.begin()->first;
  }
  if (this->Config.PushInterval.count() == 0) {
    return Due;
  }
  for (const auto &[Key, Flow] : this->Flows) {
    Due = Due ? std::min(*Due, Flow.NextPush) : Flow.NextPush;
  }
  return Due;
}

void UpstreamModel::resetWarmup() {
  this->RequestsDone = 0;
  this->FlowEventCount = 0;
}

void UpstreamModel::drain(UpstreamOutputs &Out) {
  this->IsDraining = true;
  for (LinkId Link : this->Links) {
    append(Out, Link, wire::UpstreamDraining{});
  }
}

void UpstreamModel::overrideHealth(std::string State, double Load) {
  wire::UpstreamHealth Report;
  Report.State = std::move(State);
  Report.Load = Load;
  this->HealthOverride = std::move(Report);
}

void UpstreamModel::setServiceTime(base::Duration ServiceTime) {
  this->Config.ServiceTime = ServiceTime;
}

uint32_t UpstreamModel::currentSlotLimit() const {
  const targets::UpstreamCapacity &FullCapacity = this->Config.Capacity;
  return warmupLimit(FullCapacity.ColdSlots, FullCapacity.Slots,
                     this->RequestsDone, FullCapacity.CompletionsPerSlot);
}

uint32_t UpstreamModel::currentConnectionLimit() const {
  const targets::UpstreamCapacity &FullCapacity = this->Config.Capacity;
  return warmupLimit(FullCapacity.ColdConnections, FullCapacity.Connections,
                     this->FlowEventCount, FullCapacity.CompletionsPerSlot);
}

uint64_t UpstreamModel::arrivalsSince(base::TimePoint Since) const {
  auto First =
      std::chrono::floor<std::chrono::seconds>(Since.time_since_epoch());
  uint64_t Sum = 0;
  auto &Seconds = this->Ledger.ArrivalsPerSecond;
  for (auto It = Seconds.lower_bound(First.count()); It != Seconds.end();
       ++It) {
    Sum += It->second;
  }
  return Sum;
}

void UpstreamModel::checkServiceTag(std::string_view Body) {
  if (!Body.starts_with(ServiceTagPrefix)) {
    return;
  }
  if (!Body.starts_with(serviceTag(this->Config.Service))) {
    ++this->Ledger.WrongService;
  }
}

wire::UpstreamHealth UpstreamModel::actualHealth() const {
  wire::UpstreamHealth Report;
  Report.State = this->IsDraining ? "draining" : "healthy";
  Report.Load = static_cast<double>(this->Running.size()) /
                std::max(1U, this->currentSlotLimit());
  return Report;
}

} // namespace bilberry::standin
