#include "bilberry/testing/request_cluster.h"

#include <algorithm>

namespace bilberry::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr base::Duration StepDuration = milliseconds(10);
static constexpr base::Duration LeaseDuration = seconds(3);
static constexpr base::Duration ListingInterval = seconds(10);
static const base::ServiceName Service("rounds");

base::RequestId requestIdInShard(uint32_t Shard, uint64_t Number) {
  return {0, Number * requests::ShardsPerService + Shard};
}

targets::Targets requestTargets() {
  targets::Targets Document;
  Document.Revision = 1;
  auto Add = [&](const char *Name, bool Idempotent) {
    base::ClassName Class(Name);
    Document.Classes[Class] = {
        Class,      Service,           targets::WorkKind::Request,
        Idempotent, base::Duration(0), seconds(10)};
  };
  Add("check-off", false);
  Add("lookup", true);
  Document.Services[Service] = {9, 100, 4, 50, 10, milliseconds(100)};
  return Document;
}

RequestCluster::RequestCluster(size_t Count, unsigned Seed,
                               ClusterFaults Faults)
    : Random(Seed), Faults(Faults) {
  this->Nodes.resize(Count);
  for (size_t Index = 0; Index < Count; ++Index) {
    members::Member &Value = this->Nodes[Index].Value;
    Value.Name = base::MemberName("rounds-" + std::to_string(Index));
    Value.State = members::MemberState::InService;
    Value.DataCentre =
        base::DataCentreName(Index % 2 == 0 ? "mobile" : "jackson");
    Value.Service = Service;
    Value.Data = {0x7F000001, static_cast<uint16_t>(4000 + Index)};
    this->Nodes[Index].IsAlive = false;
  }
  for (size_t Index = 0; Index < Count; ++Index) {
    this->start(Index);
  }
}

void RequestCluster::start(size_t Index, const std::string &Snapshot) {
  Node &Each = this->Nodes[Index];
  Each.Value.Run = this->NextRun++;
  Each.Value.State = members::MemberState::InService;
  Each.Self = std::make_unique<board::LocalMember>(Each.Value);
  Each.Targets = std::make_unique<targets::TargetTable>();
  Each.Targets->advance(requestTargets(), "");
  Each.Members = std::make_unique<members::MemberTable>();
  Each.Limits = std::make_unique<admission::UpstreamLimits>();
  Each.Limits->setCapacity(requestTargets().Services[Service]);
  Each.Controller = std::make_unique<requests::RequestController>(
      *Each.Self, *Each.Targets, *Each.Members, *Each.Limits);
  Each.IsAlive = true;
  Each.IsPaused = false;
  Each.LeaseExpiry = this->Now + LeaseDuration;
  for (Node &Other : this->Nodes) {
    if (Other.IsAlive) {
      Other.Members->put(this->Now, Each.Value);
      Each.Members->put(this->Now, Other.Value);
    }
  }
  if (!Snapshot.empty()) {
    (void)Each.Controller->restore(this->Now, Snapshot);
  }
  this->listShards(Index);
}

bool RequestCluster::isUp(size_t Index) const {
  return this->Nodes[Index].IsAlive && !this->Nodes[Index].IsPaused;
}

void RequestCluster::kill(size_t Index) { this->Nodes[Index].IsAlive = false; }
void RequestCluster::pause(size_t Index) { this->Nodes[Index].IsPaused = true; }
void RequestCluster::resume(size_t Index) {
  this->Nodes[Index].IsPaused = false;
}

void RequestCluster::setState(size_t Index, members::MemberState State) {
  this->Nodes[Index].Value.State = State;
  this->Nodes[Index].Self->setState(State);
  for (Node &Other : this->Nodes) {
    if (Other.IsAlive) {
      Other.Members->put(this->Now, this->Nodes[Index].Value);
    }
  }
}

void RequestCluster::loseUpstream(size_t Index) {
  board::AgentActions Actions;
  this->Nodes[Index].Limits->onUpstreamRestart(this->Now);
  this->Nodes[Index].Controller->onUpstreamLost(this->Now, Actions);
  this->performActions(Index, Actions);
}

void RequestCluster::setSilent(size_t Observer, size_t Subject, bool IsSilent) {
  members::MemberTable &Table = *this->Nodes[Observer].Members;
  const members::Member &Value = this->Nodes[Subject].Value;
  if (IsSilent) {
    Table.markSilent(this->Now, Value.Name);
  } else {
    Table.put(this->Now, Value);
  }
}

void RequestCluster::setTargets(const targets::Targets &Document) {
  for (Node &Each : this->Nodes) {
    Each.Targets->advance(Document, "");
    Each.Members->setOutOfService(Document.outOfService());
  }
}

bool RequestCluster::occurs(int Percent) {
  return static_cast<int>(this->Random() % 100) < Percent;
}

base::Duration RequestCluster::delay() {
  auto Longest = static_cast<uint64_t>(this->Faults.MaxDelay.count());
  return base::Duration(this->Random() % (Longest + 1));
}

bool RequestCluster::isPartitioned(size_t From, size_t To) const {
  return this->IsolatedNodes.contains(From) != this->IsolatedNodes.contains(To);
}

bool RequestCluster::reachesStore(size_t Index) const {
  return !this->IsStoreDown && !this->IsolatedNodes.contains(Index);
}

size_t RequestCluster::indexOf(const base::MemberName &Name) const {
  auto It =
      std::find_if(this->Nodes.begin(), this->Nodes.end(),
                   [&](const Node &Each) { return Each.Value.Name == Name; });
  return static_cast<size_t>(It - this->Nodes.begin());
}

void RequestCluster::schedule(
    size_t To, base::Duration Delay,
    std::function<void(Node &, board::AgentActions &)> Handle) {
  this->Events.push_back({this->Now + Delay, this->NextOrder++, To,
                          this->Nodes[To].Value.Run, std::move(Handle)});
}

void RequestCluster::deliver(
    size_t To, bool MayFail,
    const std::function<void(Node &, board::AgentActions &)> &Handle) {
  if (MayFail && this->occurs(this->Faults.LossPercent)) {
    return;
  }
  this->schedule(To, this->delay(), Handle);
  if (MayFail && this->occurs(this->Faults.DuplicatePercent)) {
    this->schedule(To, this->delay() * 20, Handle);
  }
}

void RequestCluster::advance(base::Duration Interval) {
  base::TimePoint End = this->Now + Interval;
  while (this->Now < End) {
    this->Now += StepDuration;
    this->renewLeases();
    this->runDueEvents();
    if ((this->Now.time_since_epoch() / StepDuration) % 10 == 0) {
      this->tickNodes();
    }
  }
}

void RequestCluster::runDueEvents() {
  std::stable_sort(this->Events.begin(), this->Events.end(),
                   [](const Event &Left, const Event &Right) {
                     return std::pair(Left.Due, Left.Order) <
                            std::pair(Right.Due, Right.Order);
                   });
  std::vector<Event> Due;
  std::vector<Event> Remaining;
  for (Event &Each : this->Events) {
    bool IsDeferred = this->Nodes[Each.To].IsPaused || Each.Due > this->Now;
    (IsDeferred ? Remaining : Due).push_back(std::move(Each));
  }
  this->Events = std::move(Remaining);
  for (Event &Each : Due) {
    Node &To = this->Nodes[Each.To];
    if (To.IsAlive && To.Value.Run == Each.Run) {
      board::AgentActions Actions;
      Each.Handle(To, Actions);
      this->performActions(Each.To, Actions);
    }
  }
}

void RequestCluster::tickNodes() {
  bool IsListing = this->Now >= this->LastListing + ListingInterval;
  if (IsListing) {
    this->LastListing = this->Now;
  }
  for (size_t Index = 0; Index < this->Nodes.size(); ++Index) {
    if (!this->isUp(Index)) {
      continue;
    }
    if (this->reachesStore(Index)) {
      if (IsListing) {
        this->listShards(Index);
      }
      for (uint32_t Shard :
           std::exchange(this->Nodes[Index].ShardsToRead, {})) {
        requests::StoredShard Record = this->Store[Shard];
        Record.Shard = Shard;
        this->schedule(Index, this->delay(), [=, this](Node &To, auto &Out) {
          To.Controller->onShardRecord(this->Now, Record, Out);
        });
      }
    }
    this->Nodes[Index].Members->tick(this->Now);
    board::AgentActions Actions;
    this->Nodes[Index].Controller->onTick(this->Now, Actions);
    this->performActions(Index, Actions);
  }
}

void RequestCluster::renewLeases() {
  if (this->IsStoreDown) {
    return;
  }
  for (size_t Index = 0; Index < this->Nodes.size(); ++Index) {
    Node &Each = this->Nodes[Index];
    bool Renews = this->isUp(Index) && this->reachesStore(Index);
    bool WasExpired = Each.LeaseExpiry < this->Now;
    if (Renews) {
      Each.LeaseExpiry = this->Now + LeaseDuration;
    }
    for (size_t Other = 0; Other < this->Nodes.size(); ++Other) {
      if (!this->isUp(Other) || !this->reachesStore(Other)) {
        continue;
      }
      if (Renews && WasExpired) {
        this->setSilent(Other, Index, false);
        Each.Members->put(this->Now, this->Nodes[Other].Value);
      } else if (!Renews && WasExpired) {
        this->setSilent(Other, Index, true);
      }
    }
  }
}

void RequestCluster::listShards(size_t Index) {
  if (!this->reachesStore(Index)) {
    return;
  }
  base::TimePoint ListingStart = this->Now;
  std::map<uint32_t, requests::StoredShard> Records = this->Store;
  this->schedule(Index, this->delay(), [=, this](Node &To, auto &Out) {
    for (const auto &[Shard, Record] : Records) {
      To.Controller->onShardRecord(this->Now, Record, Out);
    }
    To.Controller->onShardsListed(ListingStart);
  });
}

void RequestCluster::performActions(size_t From, board::AgentActions &Actions) {
  for (const board::AgentAction &Action : Actions) {
    this->performAction(From, Action);
  }
}

void RequestCluster::performAction(size_t From,
                                   const board::AgentAction &Action) {
  if (const auto *Peer = std::get_if<board::SendToPeer>(&Action)) {
    this->sendPeer(From, *Peer);
  } else if (const auto *Swap =
                 std::get_if<board::CompareAndSwapShard>(&Action)) {
    this->swap(From, *Swap);
  } else if (const auto *Run = std::get_if<board::RunOnUpstream>(&Action)) {
    this->runOnUpstream(From, *Run);
  } else if (const auto *Reply = std::get_if<board::ReplyToRequest>(&Action)) {
    uint32_t Attempt = this->AttemptByMessageId[Reply->MessageId];
    this->ReportedOutcomes[{Reply->Id, Attempt}].push_back(Reply->Outcome);
  } else if (const auto *Forward = std::get_if<board::ForwardPacket>(&Action)) {
    size_t To = Forward->To.Port - 4000U;
    if (this->isPartitioned(From, To)) {
      return;
    }
    this->deliver(To, true, [this, Copy = *Forward](Node &At, auto &Out) {
      base::Result<wire::CallerPacket> Packet =
          wire::parseCallerPacket(Copy.Payload);
      if (const auto *Request =
              std::get_if<wire::RequestPacket>(&Packet.value())) {
        At.Controller->onRequest(this->Now, Copy.Header, Copy.Payload, *Request,
                                 Out);
      } else {
        At.Controller->onCancel(this->Now, Copy.Header, Copy.Payload,
                                std::get<wire::CancelPacket>(Packet.value()),
                                Out);
      }
    });
  }
}

void RequestCluster::sendPeer(size_t From, const board::SendToPeer &Action) {
  size_t To = this->indexOf(Action.To);
  if (this->isPartitioned(From, To) ||
      (this->DropFilter && this->DropFilter(Action.Body))) {
    return;
  }
  wire::PeerMessage Message{this->Nodes[From].Value, Action.To, Action.Body};
  this->deliver(To, true, [=, this](Node &At, auto &Out) {
    At.Controller->onPeer(this->Now, Message, Out);
  });
}

void RequestCluster::swap(size_t From,
                          const board::CompareAndSwapShard &Action) {
  auto ReportFailure = [this, Action](Node &To, board::AgentActions &Out) {
    To.Controller->onSwapFailed(this->Now, Action.Shard, Out);
    To.ShardsToRead.insert(Action.Shard);
  };
  if (!this->reachesStore(From)) {
    this->schedule(From, seconds(1), ReportFailure);
    return;
  }
  requests::StoredShard &Stored = this->Store[Action.Shard];
  bool IsSwapped = Stored.ModRevision == Action.Expected;
  if (IsSwapped) {
    Stored = {Action.Shard, Action.Next, ++this->LastChange};
  }
  requests::StoredShard Record = Stored;
  auto SendRecord = [this, Record](Node &To, board::AgentActions &Out) {
    To.Controller->onShardRecord(this->Now, Record, Out);
  };
  bool IsReplyLost = IsSwapped && this->LostSwapReplies > 0;
  this->LostSwapReplies -= IsReplyLost ? 1 : 0;
  for (size_t Other = 0; Other < this->Nodes.size(); ++Other) {
    if (Other != From && IsSwapped && this->reachesStore(Other)) {
      this->schedule(Other, this->delay() * 5, SendRecord);
    }
  }
  if (IsReplyLost) {
    this->schedule(From, seconds(1), ReportFailure);
  } else {
    this->schedule(From, this->delay(), SendRecord);
  }
}

void RequestCluster::runOnUpstream(size_t From,
                                   const board::RunOnUpstream &Action) {
  wire::RunResult Result{Action.Id, Action.Attempt, wire::RunOutcome::Answered,
                         wire::RefusalReason::Overloaded,
                         std::to_string(Action.Id.Low)};
  if (this->Now >= Action.Deadline || this->occurs(this->Faults.ShedPercent)) {
    Result.Outcome = wire::RunOutcome::NotRun;
  } else {
    this->Runs[Action.Id].push_back(Action.Attempt);
  }
  if (this->IsUpstreamUnresponsive) {
    return;
  }
  this->schedule(From, this->ServiceTime, [=, this](Node &At, auto &Out) {
    At.Controller->onUpstreamResult(this->Now, Result, Out);
  });
}

void RequestCluster::send(size_t Index, base::RequestId Id, uint32_t Attempt,
                          base::TimePoint Deadline, const std::string &Class) {
  this->SentAttempts.insert({Id, Attempt});
  if (Class == "lookup") {
    this->IdempotentIds.insert(Id);
  }
  uint32_t MessageId = this->NextMessageId++;
  this->AttemptByMessageId[MessageId] = Attempt;
  std::string Payload = wire::requestPacketBytes(
      {base::ClassName(Class), MessageId, Id, Attempt, Deadline, "pot"});
  this->deliver(Index, true, [=, this](Node &At, auto &Out) {
    wire::ForwardHeader Header;
    Header.Service = Service;
    Header.Caller = {0x7F000001, 9000};
    Header.Receiver = At.Value.Name;
    base::Result<wire::CallerPacket> Packet = wire::parseCallerPacket(Payload);
    At.Controller->onRequest(this->Now, Header, Payload,
                             std::get<wire::RequestPacket>(Packet.value()),
                             Out);
  });
}

void RequestCluster::cancel(size_t Index, base::RequestId Id,
                            uint32_t Attempt) {
  std::string Payload = wire::cancelPacketBytes({Id, Attempt});
  this->deliver(Index, true, [=, this](Node &At, auto &Out) {
    wire::ForwardHeader Header;
    Header.Service = Service;
    Header.Receiver = At.Value.Name;
    At.Controller->onCancel(this->Now, Header, Payload, {Id, Attempt}, Out);
  });
}

size_t RequestCluster::ownerOf(uint32_t Shard) const {
  auto It = this->Store.find(Shard);
  return It == this->Store.end() ? this->Nodes.size()
                                 : this->indexOf(It->second.Record.Owner.Name);
}

size_t RequestCluster::backupOf(uint32_t Shard) const {
  auto It = this->Store.find(Shard);
  return It == this->Store.end() ? this->Nodes.size()
                                 : this->indexOf(It->second.Record.Backup.Name);
}

uint64_t RequestCluster::epochOf(uint32_t Shard) const {
  auto It = this->Store.find(Shard);
  return It == this->Store.end() ? 0 : It->second.Record.Epoch;
}

int RequestCluster::runCount(base::RequestId Id) const {
  auto It = this->Runs.find(Id);
  return It == this->Runs.end() ? 0 : static_cast<int>(It->second.size());
}

const wire::RequestOutcome *
RequestCluster::firstOutcome(base::RequestId Id, uint32_t Attempt) const {
  auto It = this->ReportedOutcomes.find({Id, Attempt});
  return It == this->ReportedOutcomes.end() ? nullptr : &It->second.front();
}

bool RequestCluster::wasReportedNotRun(base::RequestId Id,
                                       uint32_t Attempt) const {
  auto It = this->ReportedOutcomes.find({Id, Attempt});
  return It != this->ReportedOutcomes.end() &&
         std::any_of(It->second.begin(), It->second.end(),
                     [](const wire::RequestOutcome &Each) {
                       return std::holds_alternative<wire::NotRun>(Each);
                     });
}

ClusterTotals RequestCluster::totals() const {
  ClusterTotals Totals;
  for (const auto &Key : this->SentAttempts) {
    const wire::RequestOutcome *Outcome =
        this->firstOutcome(Key.first, Key.second);
    if (Outcome == nullptr) {
      ++Totals.NoOutcome;
    } else if (std::holds_alternative<wire::Answer>(*Outcome)) {
      ++Totals.Answered;
    } else if (std::holds_alternative<wire::NotRun>(*Outcome)) {
      ++Totals.NotRun;
    } else {
      ++Totals.Unknown;
    }
  }
  return Totals;
}

std::string RequestCluster::violations() const {
  std::string Text;
  for (const auto &[Id, Attempts] : this->Runs) {
    std::string Subject = "request " + std::to_string(Id.Low);
    if (Attempts.size() > 1 && !this->IdempotentIds.contains(Id)) {
      Text += Subject + " ran " + std::to_string(Attempts.size()) + " times\n";
    }
    for (uint32_t Attempt : Attempts) {
      if (this->wasReportedNotRun(Id, Attempt)) {
        Text += Subject + " ran, but its caller was told \"not run\"\n";
      }
    }
  }
  for (const auto &[Key, Outcomes] : this->ReportedOutcomes) {
    for (const wire::RequestOutcome &Each : Outcomes) {
      const auto *Answered = std::get_if<wire::Answer>(&Each);
      if (Answered != nullptr &&
          Answered->Body != std::to_string(Key.first.Low)) {
        Text += "request " + std::to_string(Key.first.Low) +
                " got the answer of another request\n";
      }
      if (std::holds_alternative<wire::NotRun>(Each) &&
          this->IdempotentIds.contains(Key.first)) {
        Text += "the caller of an idempotent request was told \"not run\"\n";
      }
    }
  }
  return Text;
}

} // namespace bilberry::testing
