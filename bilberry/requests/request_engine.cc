#include "bilberry/requests/request_engine.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <type_traits>

namespace bilberry::requests {

using board::DecisionKind;
using wire::RefusalReason;
using wire::RequestDecision;

/// Limit on pending requests. Requests beyond it are dropped, and their callers
/// send them again.
static constexpr size_t MaxPendingRequests = 50'000;
/// Hop count from which a request isn't forwarded to the previous owner, so
/// that one which that owner sent back isn't sent there again.
static constexpr uint8_t MaxHopsToPreviousOwner = 2;

std::string requestIdText(base::RequestId Id) {
  char Text[40];
  std::snprintf(Text, sizeof Text, "%016" PRIx64 "%016" PRIx64, Id.High,
                Id.Low);
  return Text;
}

void logDecision(DecisionKind Kind, std::string Subject,
                 const base::MemberName &To, std::string Reason,
                 board::AgentActions &Out) {
  Out.emplace_back(
      board::LogDecision{Kind, std::move(Subject), To, std::move(Reason)});
}

static std::string shardText(uint32_t Shard) {
  return "shard " + std::to_string(Shard);
}

static const base::MemberName NoMember;

bool RequestEngine::isServed(const AgentContext &Agent,
                             const wire::RequestPacket &Packet,
                             const targets::WorkClass *Class) const {
  if (Class == nullptr || Class->Service != Agent.Self.Service ||
      Class->Kind != targets::WorkKind::Request) {
    return false;
  }
  base::Duration LongestAllowed = MaxRequestDeadline;
  if (Class->Deadline.count() > 0) {
    LongestAllowed = std::min(LongestAllowed, Class->Deadline);
  }
  return Packet.Deadline <= Agent.Now + LongestAllowed + base::MaxClockSkew;
}

void RequestEngine::onRequest(const AgentContext &Agent,
                              const wire::ForwardHeader &Header,
                              std::string_view Payload,
                              const wire::RequestPacket &Packet,
                              board::AgentActions &Out) {
  ++this->Counts.Arrived;
  std::string Subject = requestIdText(Packet.Id);
  if (Header.Service != Agent.Self.Service) {
    logDecision(DecisionKind::PacketDropped, Subject, NoMember,
                "meant for another service", Out);
    return;
  }
  const targets::WorkClass *Class = Agent.Document->findClass(Packet.Class);
  if (!this->isServed(Agent, Packet, Class)) {
    this->replyToPacket(Header, Packet,
                        wire::OutcomeUnknown{RefusalReason::NotServed, {}},
                        Out);
    return;
  }
  if (isExpired(Agent.Now, Packet.Deadline)) {
    this->replyToPacket(Header, Packet,
                        wire::OutcomeUnknown{RefusalReason::DeadlinePassed, {}},
                        Out);
    return;
  }
  if (this->answerFromLocalState(Header, Packet, Out)) {
    return;
  }
  if (this->PendingRequests.size() >= MaxPendingRequests) {
    logDecision(DecisionKind::PacketDropped, Subject, NoMember,
                "too many pending requests", Out);
    return;
  }
  if (Class->Idempotent) {
    this->Limits.recordNewWork(Agent.Now);
    PendingRequest &Pending =
        this->addPendingRequest(Header, Payload, Packet, true);
    this->dispatch(Agent, Pending, Out);
    return;
  }
  uint32_t Shard = shardOf(Packet.Id);
  if (!this->Shards.replica(Shard).isOwner(Agent.holder())) {
    this->forwardToOwner(Agent, Shard, Header, Payload, Packet.Id, Out);
    return;
  }
  this->decideAsOwner(Agent, Header, Payload, Packet, Out);
}

/// Replies from the stored outcome, or adds the caller to the pending request.
/// Ownership isn't required, because what this process knows of a request stays
/// true whoever owns the shard.
bool RequestEngine::answerFromLocalState(const wire::ForwardHeader &Header,
                                         const wire::RequestPacket &Packet,
                                         board::AgentActions &Out) {
  auto It = this->PendingRequests.find(Packet.Id);
  if (It != this->PendingRequests.end()) {
    ++this->Counts.Duplicates;
    PendingRequest &Pending = It->second;
    WaitingCaller Caller{Header.Caller, Packet.MessageId, Packet.Attempt};
    bool IsKnown = std::any_of(Pending.Callers.begin(), Pending.Callers.end(),
                               [&](const auto &Each) {
                                 return Each.Address == Caller.Address &&
                                        Each.MessageId == Caller.MessageId &&
                                        Each.Attempt == Caller.Attempt;
                               });
    if (!IsKnown && Packet.Attempt >= Pending.Attempt) {
      Pending.Callers.push_back(Caller);
    }
    return true;
  }
  const StoredOutcome *Stored = this->Outcomes.find(Packet.Id);
  if (Stored == nullptr) {
    return false;
  }
  bool IsNotRun = std::holds_alternative<wire::NotRun>(Stored->Outcome);
  if (IsNotRun && Packet.Attempt > Stored->Attempt) {
    return false;
  }
  ++this->Counts.Duplicates;
  this->replyToPacket(Header, Packet, Stored->Outcome, Out);
  return true;
}

void RequestEngine::decideAsOwner(const AgentContext &Agent,
                                  const wire::ForwardHeader &Header,
                                  std::string_view Payload,
                                  const wire::RequestPacket &Packet,
                                  board::AgentActions &Out) {
  ShardReplica &Replica = this->Shards.replica(shardOf(Packet.Id));
  if (Replica.isAwaitingExpiry(Agent.holder())) {
    this->replyToPacket(
        Header, Packet,
        wire::OutcomeUnknown{RefusalReason::ShardFrozen, MinRetryAfter}, Out);
    return;
  }
  if (this->answerFromRecord(Agent, Header, Payload, Packet, Out)) {
    return;
  }
  this->Limits.recordNewWork(Agent.Now);
  this->Outcomes.erase(Packet.Id);
  PendingRequest &Pending =
      this->addPendingRequest(Header, Payload, Packet, false);
  if (Agent.Now >= Pending.Deadline) {
    this->refuse(Agent, Pending, RefusalReason::DeadlinePassed, Out);
  } else if (!Agent.CanRunLocally && Agent.View->Placement.empty()) {
    bool IsDataCentreOutOfService =
        !Agent.Document->isInService(Agent.Self.DataCentre);
    this->refuse(Agent, Pending,
                 IsDataCentreOutOfService
                     ? RefusalReason::DataCentreOutOfService
                     : RefusalReason::Draining,
                 Out);
  } else if (this->Queue.size() >= MaxQueuedRequests) {
    this->refuse(Agent, Pending, RefusalReason::Overloaded, Out);
  } else {
    this->propose(Agent, Pending, RequestDecision::Run, Out);
  }
}

/// A recorded refusal is reported only while this owner can decide. Before that
/// the backup may not have the entry, and it could run the request as the next
/// owner.
bool RequestEngine::answerFromRecord(const AgentContext &Agent,
                                     const wire::ForwardHeader &Header,
                                     std::string_view Payload,
                                     const wire::RequestPacket &Packet,
                                     board::AgentActions &Out) {
  const ShardReplica &Replica = this->Shards.replica(shardOf(Packet.Id));
  const wire::IntentEntry *Entry = Replica.table().find(Packet.Id);
  if (Entry == nullptr) {
    return false;
  }
  ++this->Counts.Duplicates;
  std::string Subject = requestIdText(Packet.Id);
  if (Entry->Decision == RequestDecision::Refuse) {
    if (Packet.Attempt > Entry->Attempt) {
      return false;
    }
    if (Replica.canDecide(this->Shards.context(Agent))) {
      this->replyToPacket(
          Header, Packet,
          wire::NotRun{RefusalReason::Overloaded, MinRetryAfter}, Out);
    } else {
      logDecision(DecisionKind::PacketDropped, Subject, NoMember,
                  "its shard is changing hands", Out);
    }
    return true;
  }
  const base::MemberName &PreviousOwner = Replica.previous().Owner.Name;
  if (Header.Hops < MaxHopsToPreviousOwner &&
      PreviousOwner != Agent.Self.Name &&
      this->forwardPacket(Agent, PreviousOwner, Header, Payload, Out)) {
    logDecision(DecisionKind::RequestPassedOn, Subject, PreviousOwner,
                "the previous owner may hold the outcome", Out);
    return true;
  }
  this->replyToPacket(Header, Packet,
                      wire::OutcomeUnknown{RefusalReason::UpstreamLost, {}},
                      Out);
  return true;
}

PendingRequest &RequestEngine::addPendingRequest(
    const wire::ForwardHeader &Header, std::string_view Payload,
    const wire::RequestPacket &Packet, bool IsIdempotent) {
  PendingRequest Pending;
  Pending.Id = Packet.Id;
  Pending.Attempt = Packet.Attempt;
  Pending.Class = Packet.Class;
  Pending.Deadline = Packet.Deadline;
  Pending.IsIdempotent = IsIdempotent;
  Pending.Shard = shardOf(Packet.Id);
  Pending.Header = Header;
  Pending.Payload = std::string(Payload);
  Pending.Body = std::string(Packet.Body);
  Pending.Callers.push_back({Header.Caller, Packet.MessageId, Packet.Attempt});
  return this->PendingRequests.insert_or_assign(Packet.Id, std::move(Pending))
      .first->second;
}

bool RequestEngine::forwardPacket(const AgentContext &Agent,
                                  const base::MemberName &To,
                                  const wire::ForwardHeader &Header,
                                  std::string_view Payload,
                                  board::AgentActions &Out) const {
  const members::Member *Receiver = Agent.View->find(To);
  if (To.empty() || Receiver == nullptr || Header.Hops >= MaxRequestHops) {
    return false;
  }
  wire::ForwardHeader Next = Header;
  Next.Receiver = To;
  Next.Revision = Agent.Document->Revision;
  ++Next.Hops;
  Out.emplace_back(
      board::ForwardPacket{Receiver->Data, Next, std::string(Payload)});
  return true;
}

void RequestEngine::forwardToOwner(const AgentContext &Agent, uint32_t Shard,
                                   const wire::ForwardHeader &Header,
                                   std::string_view Payload, base::RequestId Id,
                                   board::AgentActions &Out) {
  const ShardHolder &Owner = this->Shards.replica(Shard).record().Record.Owner;
  if (this->forwardPacket(Agent, Owner.Name, Header, Payload, Out)) {
    logDecision(DecisionKind::RequestPassedOn, requestIdText(Id), Owner.Name,
                "owner of " + shardText(Shard), Out);
    return;
  }
  logDecision(DecisionKind::PacketDropped, requestIdText(Id), Owner.Name,
              "no owner of " + shardText(Shard) + " can be reached", Out);
}

void RequestEngine::onCancel(const AgentContext &Agent,
                             const wire::ForwardHeader &Header,
                             std::string_view Payload,
                             const wire::CancelPacket &Packet,
                             board::AgentActions &Out) {
  if (Header.Service != Agent.Self.Service) {
    return;
  }
  auto It = this->PendingRequests.find(Packet.Id);
  if (It != this->PendingRequests.end()) {
    if (It->second.Attempt == Packet.Attempt) {
      this->cancel(Agent, It->second, Out);
    }
    return;
  }
  uint32_t Shard = shardOf(Packet.Id);
  if (!this->Shards.replica(Shard).isOwner(Agent.holder())) {
    this->forwardToOwner(Agent, Shard, Header, Payload, Packet.Id, Out);
  }
}

void RequestEngine::onPeer(const AgentContext &Agent,
                           const wire::PeerMessage &Message,
                           board::AgentActions &Out) {
  if (Message.Sender.Service != Agent.Self.Service ||
      Message.Receiver != Agent.Self.Name) {
    return;
  }
  ShardHolder From{Message.Sender.Name, Message.Sender.Run};
  ReplicaContext Context = this->Shards.context(Agent);
  auto ToReplica = [&](uint32_t Shard, auto &&Handle) {
    if (Shard >= ShardsPerService) {
      return;
    }
    ReplicaEffects Effects;
    Handle(this->Shards.replica(Shard), Effects);
    this->applyEffects(Agent, Shard, Effects, Out);
  };
  std::visit(
      [&](const auto &Body) {
        using Kind = std::decay_t<decltype(Body)>;
        if constexpr (std::is_same_v<Kind, wire::Intent>) {
          ToReplica(Body.Shard, [&](ShardReplica &To, ReplicaEffects &Effects) {
            To.onIntent(Context, From, Body, Effects);
          });
        } else if constexpr (std::is_same_v<Kind, wire::IntentReply>) {
          ToReplica(Body.Shard, [&](ShardReplica &To, ReplicaEffects &Effects) {
            To.onIntentReply(Context, From, Body, Effects);
          });
        } else if constexpr (std::is_same_v<Kind, wire::ShardCopy>) {
          ToReplica(Body.Shard, [&](ShardReplica &To, ReplicaEffects &Effects) {
            To.onShardCopy(Context, From, Body, Effects);
          });
        } else if constexpr (std::is_same_v<Kind, wire::ShardCopyReply>) {
          ToReplica(Body.Shard, [&](ShardReplica &To, ReplicaEffects &Effects) {
            To.onShardCopyReply(Context, From, Body, Effects);
          });
        } else if constexpr (std::is_same_v<Kind, wire::RunRequest>) {
          if (Body.ReceiverRun == Agent.Self.Run) {
            this->Runs.onRunRequest(Agent.Now, From, Body, Agent.CanRunLocally,
                                    Out);
          }
        } else if constexpr (std::is_same_v<Kind, wire::RunResult>) {
          this->onRunResult(Agent, From, Body, Out);
        } else if constexpr (std::is_same_v<Kind, wire::RunCancel>) {
          this->Runs.onRunCancel(Body, Out);
        }
      },
      Message.Body);
}

void RequestEngine::onShardRecord(const AgentContext &Agent,
                                  const StoredShard &Record,
                                  board::AgentActions &Out) {
  if (Record.Shard >= ShardsPerService) {
    return;
  }
  ShardReplica &Replica = this->Shards.replica(Record.Shard);
  bool WasOwner = Replica.isOwner(Agent.holder());
  ReplicaEffects Effects;
  Replica.onRecord(this->Shards.context(Agent), Record, Effects);
  if (WasOwner && !Replica.isOwner(Agent.holder())) {
    logDecision(DecisionKind::ShardLost, shardText(Record.Shard),
                Record.Record.Owner.Name,
                "epoch " + std::to_string(Record.Record.Epoch), Out);
  }
  this->applyEffects(Agent, Record.Shard, Effects, Out);
}

void RequestEngine::onSwapFailed(uint32_t Shard) {
  if (Shard < ShardsPerService) {
    this->Shards.replica(Shard).onSwapFailed();
  }
}

void RequestEngine::applyEffects(const AgentContext &Agent, uint32_t Shard,
                                 ReplicaEffects &Effects,
                                 board::AgentActions &Out) {
  for (ReplicaEffects::Send &Each : Effects.Sends) {
    Out.emplace_back(board::SendToPeer{Each.To, std::move(Each.Body)});
  }
  base::MemberName NewOwner;
  if (Effects.Swap) {
    NewOwner = Effects.Swap->Next.Owner.Name;
    Out.emplace_back(*Effects.Swap);
  }
  if (Effects.ChangeReason != nullptr) {
    bool IsTakenBySelf = NewOwner.empty() || NewOwner == Agent.Self.Name;
    logDecision(IsTakenBySelf ? DecisionKind::ShardTaken
                              : DecisionKind::ShardHandedOver,
                shardText(Shard), IsTakenBySelf ? NoMember : NewOwner,
                Effects.ChangeReason, Out);
  }
  for (const wire::IntentEntry &Entry : Effects.Committed) {
    this->onCommitted(Agent, Entry, Out);
  }
  for (const wire::IntentEntry &Entry : Effects.Aborted) {
    this->onAborted(Agent, Entry, Out);
  }
}

void RequestEngine::onCommitted(const AgentContext &Agent,
                                const wire::IntentEntry &Entry,
                                board::AgentActions &Out) {
  auto It = this->PendingRequests.find(Entry.Id);
  if (It == this->PendingRequests.end() ||
      It->second.Attempt != Entry.Attempt) {
    return;
  }
  PendingRequest &Pending = It->second;
  if (Entry.Decision == RequestDecision::Run &&
      Pending.Phase == RequestPhase::ReplicatingRunDecision) {
    Pending.MayHaveRun = true;
    Pending.Payload.clear();
    Pending.Payload.shrink_to_fit();
    this->dispatch(Agent, Pending, Out);
  } else if (Entry.Decision == RequestDecision::Refuse &&
             Pending.Phase == RequestPhase::ReplicatingRefusal) {
    this->complete(Entry.Id, wire::NotRun{Pending.Reason, this->retryAfter()},
                   Out);
  }
}

/// The shard changed owners before the backup recorded this entry. A request
/// that was never allowed to run is for the new owner to decide.
void RequestEngine::onAborted(const AgentContext &Agent,
                              const wire::IntentEntry &Entry,
                              board::AgentActions &Out) {
  auto It = this->PendingRequests.find(Entry.Id);
  if (It == this->PendingRequests.end() ||
      It->second.Attempt != Entry.Attempt) {
    return;
  }
  PendingRequest &Pending = It->second;
  if (Pending.MayHaveRun) {
    this->complete(Entry.Id,
                   wire::OutcomeUnknown{RefusalReason::ShardFrozen, {}}, Out);
    return;
  }
  if (!this->Shards.replica(Pending.Shard).isOwner(Agent.holder())) {
    this->forwardToOwner(Agent, Pending.Shard, Pending.Header, Pending.Payload,
                         Pending.Id, Out);
  }
  this->PendingRequests.erase(It);
}

void RequestEngine::propose(const AgentContext &Agent,
                            const PendingRequest &Pending,
                            RequestDecision Decision,
                            board::AgentActions &Out) {
  ReplicaEffects Effects;
  this->Shards.replica(Pending.Shard)
      .propose(this->Shards.context(Agent),
               {Pending.Id, Pending.Attempt, Decision, Pending.Deadline},
               Effects);
  this->applyEffects(Agent, Pending.Shard, Effects, Out);
}

/// May erase Pending, which the caller must not use afterwards.
void RequestEngine::refuse(const AgentContext &Agent, PendingRequest &Pending,
                           RefusalReason Reason, board::AgentActions &Out) {
  if (Pending.IsIdempotent) {
    this->complete(Pending.Id, wire::OutcomeUnknown{Reason, this->retryAfter()},
                   Out);
    return;
  }
  Pending.Phase = RequestPhase::ReplicatingRefusal;
  Pending.Reason = Reason;
  this->propose(Agent, Pending, RequestDecision::Refuse, Out);
}

static DecisionKind decisionKindOf(const wire::RequestOutcome &Outcome) {
  if (std::holds_alternative<wire::Answer>(Outcome)) {
    return DecisionKind::RequestAnswered;
  }
  return std::holds_alternative<wire::NotRun>(Outcome)
             ? DecisionKind::RequestRefused
             : DecisionKind::RequestUnknown;
}

static std::string reasonText(const wire::RequestOutcome &Outcome) {
  if (const auto *Refused = std::get_if<wire::NotRun>(&Outcome)) {
    return std::string(wire::refusalReasonText(Refused->Reason));
  }
  if (const auto *Unknown = std::get_if<wire::OutcomeUnknown>(&Outcome)) {
    return std::string(wire::refusalReasonText(Unknown->Reason));
  }
  return "answered";
}

void RequestEngine::countOutcome(const wire::RequestOutcome &Outcome) {
  if (std::holds_alternative<wire::Answer>(Outcome)) {
    ++this->Counts.Answered;
  } else if (std::holds_alternative<wire::NotRun>(Outcome)) {
    ++this->Counts.NotRun;
  } else {
    ++this->Counts.Unknown;
  }
}

/// Callers with a higher attempt than the refused one don't get "not run",
/// because there is no decision on their attempt yet. They send the request
/// again.
void RequestEngine::replyToCallers(const PendingRequest &Pending,
                                   const wire::RequestOutcome &Outcome,
                                   board::AgentActions &Out) {
  bool IsNotRun = std::holds_alternative<wire::NotRun>(Outcome);
  for (const WaitingCaller &Each : Pending.Callers) {
    if (IsNotRun && Each.Attempt > Pending.Attempt) {
      continue;
    }
    Out.emplace_back(board::ReplyToRequest{Each.Address, Each.MessageId,
                                           Pending.Id, Outcome});
  }
  this->countOutcome(Outcome);
  logDecision(decisionKindOf(Outcome), requestIdText(Pending.Id),
              Pending.Runner.Name, reasonText(Outcome), Out);
}

/// Reports the outcome and removes the pending request. For an idempotent
/// request only an answer is stored, since any other outcome may be retried.
void RequestEngine::complete(base::RequestId Id, wire::RequestOutcome Outcome,
                             board::AgentActions &Out) {
  auto It = this->PendingRequests.find(Id);
  if (It == this->PendingRequests.end()) {
    return;
  }
  const PendingRequest &Pending = It->second;
  this->replyToCallers(Pending, Outcome, Out);
  bool IsAnswer = std::holds_alternative<wire::Answer>(Outcome);
  if (!Pending.IsIdempotent || IsAnswer) {
    this->Outcomes.put(Id,
                       {Pending.Attempt, Pending.Deadline, std::move(Outcome)});
  }
  this->PendingRequests.erase(It);
}

void RequestEngine::replyToPacket(const wire::ForwardHeader &Header,
                                  const wire::RequestPacket &Packet,
                                  const wire::RequestOutcome &Outcome,
                                  board::AgentActions &Out) {
  Out.emplace_back(board::ReplyToRequest{Header.Caller, Packet.MessageId,
                                         Packet.Id, Outcome});
  this->countOutcome(Outcome);
  logDecision(decisionKindOf(Outcome), requestIdText(Packet.Id), NoMember,
              reasonText(Outcome), Out);
}

RequestCounts RequestEngine::counts(const ShardHolder &Self) const {
  RequestCounts Result = this->Counts;
  Result.ShardsOwned = this->Shards.ownedCount(Self);
  Result.ShardsBackedUp = this->Shards.backupCount(Self);
  Result.Records = this->Shards.tableEntryCount();
  return Result;
}

} // namespace bilberry::requests
