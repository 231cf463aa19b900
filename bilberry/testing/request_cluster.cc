#include "bilberry/testing/request_cluster.h"

#include <algorithm>

namespace bilberry::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr base::Duration StepLength = milliseconds(10);
static constexpr base::Duration LeaseLength = seconds(3);
static constexpr base::Duration ListingInterval = seconds(10);
static const base::ServiceName Service("rounds");

base::RequestId idIn(uint32_t Shard, uint64_t Number) {
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
  for (size_t Place = 0; Place < Count; ++Place) {
    members::Member &Value = this->Nodes[Place].Value;
    Value.Name = base::MemberName("rounds-" + std::to_string(Place));
    Value.State = members::MemberState::InService;
    Value.DataCentre =
        base::DataCentreName(Place % 2 == 0 ? "mobile" : "jackson");
    Value.Service = Service;
    Value.Data = {0x7F000001, static_cast<uint16_t>(4000 + Place)};
    this->Nodes[Place].IsAlive = false;
  }
  for (size_t Place = 0; Place < Count; ++Place) {
    this->start(Place);
  }
}

void RequestCluster::start(size_t Place, const std::string &Snapshot) {
  Node &Each = this->Nodes[Place];
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
  Each.LeaseEnds = this->Now + LeaseLength;
  for (Node &Other : this->Nodes) {
    if (Other.IsAlive) {
      Other.Members->put(this->Now, Each.Value);
      Each.Members->put(this->Now, Other.Value);
    }
  }
  if (!Snapshot.empty()) {
    (void)Each.Controller->restore(this->Now, Snapshot);
  }
  this->list(Place);
}

bool RequestCluster::isUp(size_t Place) const {
  return this->Nodes[Place].IsAlive && !this->Nodes[Place].IsPaused;
}

void RequestCluster::kill(size_t Place) { this->Nodes[Place].IsAlive = false; }
void RequestCluster::pause(size_t Place) { this->Nodes[Place].IsPaused = true; }
void RequestCluster::resume(size_t Place) {
  this->Nodes[Place].IsPaused = false;
}

void RequestCluster::setState(size_t Place, members::MemberState State) {
  this->Nodes[Place].Value.State = State;
  this->Nodes[Place].Self->setState(State);
  for (Node &Other : this->Nodes) {
    if (Other.IsAlive) {
      Other.Members->put(this->Now, this->Nodes[Place].Value);
    }
  }
}

void RequestCluster::loseUpstream(size_t Place) {
  board::AgentActions Actions;
  this->Nodes[Place].Limits->onUpstreamRestart(this->Now);
  this->Nodes[Place].Controller->onUpstreamLost(this->Now, Actions);
  this->carryOut(Place, Actions);
}

void RequestCluster::setSilent(size_t Believer, size_t Subject, bool IsSilent) {
  members::MemberTable &Table = *this->Nodes[Believer].Members;
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

bool RequestCluster::happens(int Percent) {
  return static_cast<int>(this->Random() % 100) < Percent;
}

base::Duration RequestCluster::delay() {
  auto Longest = static_cast<uint64_t>(this->Faults.LongestDelay.count());
  return base::Duration(this->Random() % (Longest + 1));
}

bool RequestCluster::isCut(size_t From, size_t To) const {
  return this->Cut.contains(From) != this->Cut.contains(To);
}

bool RequestCluster::reachesStore(size_t Place) const {
  return !this->IsStoreDown && !this->Cut.contains(Place);
}

size_t RequestCluster::placeOf(const base::MemberName &Name) const {
  auto It =
      std::find_if(this->Nodes.begin(), this->Nodes.end(),
                   [&](const Node &Each) { return Each.Value.Name == Name; });
  return static_cast<size_t>(It - this->Nodes.begin());
}

void RequestCluster::post(
    size_t To, base::Duration Delay,
    std::function<void(Node &, board::AgentActions &)> Handle) {
  this->Events.push_back({this->Now + Delay, this->NextOrder++, To,
                          this->Nodes[To].Value.Run, std::move(Handle)});
}

void RequestCluster::deliver(
    size_t To, bool MayFail,
    const std::function<void(Node &, board::AgentActions &)> &Handle) {
  if (MayFail && this->happens(this->Faults.LostPercent)) {
    return;
  }
  this->post(To, this->delay(), Handle);
  if (MayFail && this->happens(this->Faults.DoubledPercent)) {
    this->post(To, this->delay() * 20, Handle);
  }
}

void RequestCluster::advance(base::Duration Length) {
  base::TimePoint End = this->Now + Length;
  while (this->Now < End) {
    this->Now += StepLength;
    this->renewLeases();
    this->runDue();
    if ((this->Now.time_since_epoch() / StepLength) % 10 == 0) {
      this->tickNodes();
    }
  }
}

void RequestCluster::runDue() {
  std::stable_sort(this->Events.begin(), this->Events.end(),
                   [](const Event &Left, const Event &Right) {
                     return std::pair(Left.Due, Left.Order) <
                            std::pair(Right.Due, Right.Order);
                   });
  std::vector<Event> Due;
  std::vector<Event> Kept;
  for (Event &Each : this->Events) {
    bool IsHeld = this->Nodes[Each.To].IsPaused || Each.Due > this->Now;
    (IsHeld ? Kept : Due).push_back(std::move(Each));
  }
  this->Events = std::move(Kept);
  for (Event &Each : Due) {
    Node &To = this->Nodes[Each.To];
    if (To.IsAlive && To.Value.Run == Each.Run) {
      board::AgentActions Actions;
      Each.Handle(To, Actions);
      this->carryOut(Each.To, Actions);
    }
  }
}

void RequestCluster::tickNodes() {
  bool IsListing = this->Now >= this->LastListing + ListingInterval;
  if (IsListing) {
    this->LastListing = this->Now;
  }
  for (size_t Place = 0; Place < this->Nodes.size(); ++Place) {
    if (!this->isUp(Place)) {
      continue;
    }
    if (this->reachesStore(Place)) {
      if (IsListing) {
        this->list(Place);
      }
      for (uint32_t Shard : std::exchange(this->Nodes[Place].ToRead, {})) {
        requests::StoredShard Record = this->Store[Shard];
        Record.Shard = Shard;
        this->post(Place, this->delay(), [=, this](Node &To, auto &Out) {
          To.Controller->onShardRecord(this->Now, Record, Out);
        });
      }
    }
    this->Nodes[Place].Members->tick(this->Now);
    board::AgentActions Actions;
    this->Nodes[Place].Controller->onTick(this->Now, Actions);
    this->carryOut(Place, Actions);
  }
}

void RequestCluster::renewLeases() {
  if (this->IsStoreDown) {
    return;
  }
  for (size_t Place = 0; Place < this->Nodes.size(); ++Place) {
    Node &Each = this->Nodes[Place];
    bool Renews = this->isUp(Place) && this->reachesStore(Place);
    bool WasLapsed = Each.LeaseEnds < this->Now;
    if (Renews) {
      Each.LeaseEnds = this->Now + LeaseLength;
    }
    for (size_t Other = 0; Other < this->Nodes.size(); ++Other) {
      if (!this->isUp(Other) || !this->reachesStore(Other)) {
        continue;
      }
      if (Renews && WasLapsed) {
        this->setSilent(Other, Place, false);
        Each.Members->put(this->Now, this->Nodes[Other].Value);
      } else if (!Renews && WasLapsed) {
        this->setSilent(Other, Place, true);
      }
    }
  }
}

void RequestCluster::list(size_t Place) {
  if (!this->reachesStore(Place)) {
    return;
  }
  base::TimePoint Began = this->Now;
  std::map<uint32_t, requests::StoredShard> Records = this->Store;
  this->post(Place, this->delay(), [=, this](Node &To, auto &Out) {
    for (const auto &[Shard, Record] : Records) {
      To.Controller->onShardRecord(this->Now, Record, Out);
    }
    To.Controller->onShardsListed(Began);
  });
}

void RequestCluster::carryOut(size_t From, board::AgentActions &Actions) {
  for (const board::AgentAction &Action : Actions) {
    this->carryOutOne(From, Action);
  }
}

void RequestCluster::carryOutOne(size_t From,
                                 const board::AgentAction &Action) {
  if (const auto *Peer = std::get_if<board::SendPeer>(&Action)) {
    this->sendPeer(From, *Peer);
  } else if (const auto *Swap = std::get_if<board::SwapShard>(&Action)) {
    this->swap(From, *Swap);
  } else if (const auto *Run = std::get_if<board::RunOnUpstream>(&Action)) {
    this->runOnUpstream(From, *Run);
  } else if (const auto *Reply = std::get_if<board::ReplyToRequest>(&Action)) {
    uint32_t Attempt = this->AttemptOf[Reply->MessageId];
    this->Told[{Reply->Id, Attempt}].push_back(Reply->Outcome);
  } else if (const auto *Forward = std::get_if<board::ForwardPacket>(&Action)) {
    size_t To = Forward->To.Port - 4000U;
    if (this->isCut(From, To)) {
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

void RequestCluster::sendPeer(size_t From, const board::SendPeer &Action) {
  size_t To = this->placeOf(Action.To);
  if (this->isCut(From, To) || (this->Drops && this->Drops(Action.Body))) {
    return;
  }
  wire::PeerMessage Message{this->Nodes[From].Value, Action.To, Action.Body};
  this->deliver(To, true, [=, this](Node &At, auto &Out) {
    At.Controller->onPeer(this->Now, Message, Out);
  });
}

void RequestCluster::swap(size_t From, const board::SwapShard &Action) {
  auto Fail = [this, Action](Node &To, board::AgentActions &Out) {
    To.Controller->onSwapFailed(this->Now, Action.Shard, Out);
    To.ToRead.insert(Action.Shard);
  };
  if (!this->reachesStore(From)) {
    this->post(From, seconds(1), Fail);
    return;
  }
  requests::StoredShard &Kept = this->Store[Action.Shard];
  bool IsSwapped = Kept.Changed == Action.Expected;
  if (IsSwapped) {
    Kept = {Action.Shard, Action.Next, ++this->LastChange};
  }
  requests::StoredShard Record = Kept;
  auto Tell = [this, Record](Node &To, board::AgentActions &Out) {
    To.Controller->onShardRecord(this->Now, Record, Out);
  };
  bool IsAnswerLost = IsSwapped && this->LostSwapAnswers > 0;
  this->LostSwapAnswers -= IsAnswerLost ? 1 : 0;
  for (size_t Other = 0; Other < this->Nodes.size(); ++Other) {
    if (Other != From && IsSwapped && this->reachesStore(Other)) {
      this->post(Other, this->delay() * 5, Tell);
    }
  }
  if (IsAnswerLost) {
    this->post(From, seconds(1), Fail);
  } else {
    this->post(From, this->delay(), Tell);
  }
}

void RequestCluster::runOnUpstream(size_t From,
                                   const board::RunOnUpstream &Action) {
  wire::RunResult Result{Action.Id, Action.Attempt, wire::RunOutcome::Answered,
                         wire::RefusalReason::Overloaded,
                         std::to_string(Action.Id.Low)};
  if (this->Now >= Action.Deadline || this->happens(this->Faults.ShedPercent)) {
    Result.Outcome = wire::RunOutcome::NotRun;
  } else {
    this->Runs[Action.Id].push_back(Action.Attempt);
  }
  if (this->IsUpstreamMute) {
    return;
  }
  this->post(From, this->ServiceTime, [=, this](Node &At, auto &Out) {
    At.Controller->onUpstreamResult(this->Now, Result, Out);
  });
}

void RequestCluster::send(size_t Place, base::RequestId Id, uint32_t Attempt,
                          base::TimePoint Deadline, const std::string &Class) {
  this->Sent.insert({Id, Attempt});
  if (Class == "lookup") {
    this->IdempotentIds.insert(Id);
  }
  uint32_t MessageId = this->NextMessageId++;
  this->AttemptOf[MessageId] = Attempt;
  std::string Payload = wire::requestPacketBytes(
      {base::ClassName(Class), MessageId, Id, Attempt, Deadline, "pot"});
  this->deliver(Place, true, [=, this](Node &At, auto &Out) {
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

void RequestCluster::cancel(size_t Place, base::RequestId Id,
                            uint32_t Attempt) {
  std::string Payload = wire::cancelPacketBytes({Id, Attempt});
  this->deliver(Place, true, [=, this](Node &At, auto &Out) {
    wire::ForwardHeader Header;
    Header.Service = Service;
    Header.Receiver = At.Value.Name;
    At.Controller->onCancel(this->Now, Header, Payload, {Id, Attempt}, Out);
  });
}

size_t RequestCluster::ownerOf(uint32_t Shard) const {
  auto It = this->Store.find(Shard);
  return It == this->Store.end() ? this->Nodes.size()
                                 : this->placeOf(It->second.Record.Owner.Name);
}

size_t RequestCluster::backupOf(uint32_t Shard) const {
  auto It = this->Store.find(Shard);
  return It == this->Store.end() ? this->Nodes.size()
                                 : this->placeOf(It->second.Record.Backup.Name);
}

uint64_t RequestCluster::epochOf(uint32_t Shard) const {
  auto It = this->Store.find(Shard);
  return It == this->Store.end() ? 0 : It->second.Record.Epoch;
}

int RequestCluster::runs(base::RequestId Id) const {
  auto It = this->Runs.find(Id);
  return It == this->Runs.end() ? 0 : static_cast<int>(It->second.size());
}

const wire::RequestOutcome *RequestCluster::told(base::RequestId Id,
                                                 uint32_t Attempt) const {
  auto It = this->Told.find({Id, Attempt});
  return It == this->Told.end() ? nullptr : &It->second.front();
}

bool RequestCluster::wasToldNotRun(base::RequestId Id, uint32_t Attempt) const {
  auto It = this->Told.find({Id, Attempt});
  return It != this->Told.end() &&
         std::any_of(It->second.begin(), It->second.end(),
                     [](const wire::RequestOutcome &Each) {
                       return std::holds_alternative<wire::NotRun>(Each);
                     });
}

ClusterTotals RequestCluster::totals() const {
  ClusterTotals Totals;
  for (const auto &Key : this->Sent) {
    const wire::RequestOutcome *Outcome = this->told(Key.first, Key.second);
    if (Outcome == nullptr) {
      ++Totals.Silent;
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
      if (this->wasToldNotRun(Id, Attempt)) {
        Text += Subject + " ran, and its caller was told that it hadn't\n";
      }
    }
  }
  for (const auto &[Key, Outcomes] : this->Told) {
    for (const wire::RequestOutcome &Each : Outcomes) {
      const auto *Answered = std::get_if<wire::Answer>(&Each);
      if (Answered != nullptr &&
          Answered->Body != std::to_string(Key.first.Low)) {
        Text += "request " + std::to_string(Key.first.Low) +
                " got another one's answer\n";
      }
      if (std::holds_alternative<wire::NotRun>(Each) &&
          this->IdempotentIds.contains(Key.first)) {
        Text += "an idempotent request was told \"not run\"\n";
      }
    }
  }
  return Text;
}

} // namespace bilberry::testing
