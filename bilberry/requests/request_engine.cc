#include "bilberry/requests/request_engine.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <type_traits>

namespace bilberry::requests {

using board::DecisionKind;
using wire::RefusalReason;
using wire::Verdict;

/// The most requests in hand; more are dropped, and their callers ask again.
static constexpr size_t MaxWorks = 50'000;
/// A request that its shard's previous owner sent back isn't sent there again.
static constexpr uint8_t HopsToPreviousOwner = 2;

std::string requestText(base::RequestId Id) {
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

bool RequestEngine::isServed(const Surroundings &Around,
                             const wire::RequestPacket &Packet,
                             const targets::WorkClass *Class) const {
  if (Class == nullptr || Class->Service != Around.Self.Service ||
      Class->Kind != targets::WorkKind::Request) {
    return false;
  }
  base::Duration Longest = MaxRequestDeadline;
  if (Class->Deadline.count() > 0) {
    Longest = std::min(Longest, Class->Deadline);
  }
  return Packet.Deadline <= Around.Now + Longest + base::MaxClockSkew;
}

void RequestEngine::onRequest(const Surroundings &Around,
                              const wire::ForwardHeader &Header,
                              std::string_view Payload,
                              const wire::RequestPacket &Packet,
                              board::AgentActions &Out) {
  ++this->Counts.Arrived;
  std::string Subject = requestText(Packet.Id);
  if (Header.Service != Around.Self.Service) {
    logDecision(DecisionKind::PacketDropped, Subject, NoMember,
                "meant for another service", Out);
    return;
  }
  const targets::WorkClass *Class = Around.Document->findClass(Packet.Class);
  if (!this->isServed(Around, Packet, Class)) {
    this->reply(Header, Packet,
                wire::OutcomeUnknown{RefusalReason::NotServed, {}}, Out);
    return;
  }
  if (isExpired(Around.Now, Packet.Deadline)) {
    this->reply(Header, Packet,
                wire::OutcomeUnknown{RefusalReason::DeadlinePassed, {}}, Out);
    return;
  }
  if (this->answerFromHere(Header, Packet, Out)) {
    return;
  }
  if (this->Works.size() >= MaxWorks) {
    logDecision(DecisionKind::PacketDropped, Subject, NoMember,
                "too many requests in hand", Out);
    return;
  }
  if (Class->Idempotent) {
    this->Limits.noteFreshWork(Around.Now);
    RequestWork &Work = this->addWork(Header, Payload, Packet, true);
    this->dispatch(Around, Work, Out);
    return;
  }
  uint32_t Shard = shardOf(Packet.Id);
  if (!this->Shards.replica(Shard).isOwner(Around.holder())) {
    this->forwardToOwner(Around, Shard, Header, Payload, Packet.Id, Out);
    return;
  }
  this->decideAsOwner(Around, Header, Payload, Packet, Out);
}

/// Answers from, or joins, what this process knows of the request itself; it
/// needs no ownership, since what we know stays true whoever owns the shard.
bool RequestEngine::answerFromHere(const wire::ForwardHeader &Header,
                                   const wire::RequestPacket &Packet,
                                   board::AgentActions &Out) {
  auto It = this->Works.find(Packet.Id);
  if (It != this->Works.end()) {
    ++this->Counts.Duplicates;
    RequestWork &Work = It->second;
    WaitingCaller Caller{Header.Caller, Packet.MessageId, Packet.Attempt};
    bool IsKnown = std::any_of(Work.Callers.begin(), Work.Callers.end(),
                               [&](const auto &Each) {
                                 return Each.Address == Caller.Address &&
                                        Each.MessageId == Caller.MessageId &&
                                        Each.Attempt == Caller.Attempt;
                               });
    if (!IsKnown && Packet.Attempt >= Work.Attempt) {
      Work.Callers.push_back(Caller);
    }
    return true;
  }
  const KeptOutcome *Kept = this->Outcomes.find(Packet.Id);
  if (Kept == nullptr) {
    return false;
  }
  bool IsNotRun = std::holds_alternative<wire::NotRun>(Kept->Outcome);
  if (IsNotRun && Packet.Attempt > Kept->Attempt) {
    return false;
  }
  ++this->Counts.Duplicates;
  this->reply(Header, Packet, Kept->Outcome, Out);
  return true;
}

void RequestEngine::decideAsOwner(const Surroundings &Around,
                                  const wire::ForwardHeader &Header,
                                  std::string_view Payload,
                                  const wire::RequestPacket &Packet,
                                  board::AgentActions &Out) {
  ShardReplica &Replica = this->Shards.replica(shardOf(Packet.Id));
  if (Replica.isWaitingOut(Around.holder())) {
    this->reply(
        Header, Packet,
        wire::OutcomeUnknown{RefusalReason::ShardFrozen, LeastRetryAfter}, Out);
    return;
  }
  if (this->answerFromRecord(Around, Header, Payload, Packet, Out)) {
    return;
  }
  this->Limits.noteFreshWork(Around.Now);
  this->Outcomes.erase(Packet.Id);
  RequestWork &Work = this->addWork(Header, Payload, Packet, false);
  if (Around.Now >= Work.Deadline) {
    this->refuse(Around, Work, RefusalReason::DeadlinePassed, Out);
  } else if (!Around.MayRunHere && Around.View->Placement.empty()) {
    bool IsOut = !Around.Document->isInService(Around.Self.DataCentre);
    this->refuse(Around, Work,
                 IsOut ? RefusalReason::DataCentreOut : RefusalReason::Draining,
                 Out);
  } else if (this->Queue.size() >= MaxQueuedRequests) {
    this->refuse(Around, Work, RefusalReason::Overloaded, Out);
  } else {
    this->propose(Around, Work, Verdict::Run, Out);
  }
}

/// A recorded refusal is told only while we decide: before that the backup
/// may not have it, and could run the request as our successor.
bool RequestEngine::answerFromRecord(const Surroundings &Around,
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
  std::string Subject = requestText(Packet.Id);
  if (Entry->Decision == Verdict::Refuse) {
    if (Packet.Attempt > Entry->Attempt) {
      return false;
    }
    if (Replica.isDeciding(this->Shards.context(Around))) {
      this->reply(Header, Packet,
                  wire::NotRun{RefusalReason::Overloaded, LeastRetryAfter},
                  Out);
    } else {
      logDecision(DecisionKind::PacketDropped, Subject, NoMember,
                  "its shard is changing hands", Out);
    }
    return true;
  }
  const base::MemberName &Before = Replica.previous().Owner.Name;
  if (Header.Hops < HopsToPreviousOwner && Before != Around.Self.Name &&
      this->forward(Around, Before, Header, Payload, Out)) {
    logDecision(DecisionKind::RequestPassedOn, Subject, Before,
                "the previous owner may have its answer", Out);
    return true;
  }
  this->reply(Header, Packet,
              wire::OutcomeUnknown{RefusalReason::UpstreamLost, {}}, Out);
  return true;
}

RequestWork &RequestEngine::addWork(const wire::ForwardHeader &Header,
                                    std::string_view Payload,
                                    const wire::RequestPacket &Packet,
                                    bool IsIdempotent) {
  RequestWork Work;
  Work.Id = Packet.Id;
  Work.Attempt = Packet.Attempt;
  Work.Class = Packet.Class;
  Work.Deadline = Packet.Deadline;
  Work.IsIdempotent = IsIdempotent;
  Work.Shard = shardOf(Packet.Id);
  Work.Header = Header;
  Work.Payload = std::string(Payload);
  Work.Body = std::string(Packet.Body);
  Work.Callers.push_back({Header.Caller, Packet.MessageId, Packet.Attempt});
  return this->Works.insert_or_assign(Packet.Id, std::move(Work)).first->second;
}

bool RequestEngine::forward(const Surroundings &Around,
                            const base::MemberName &To,
                            const wire::ForwardHeader &Header,
                            std::string_view Payload,
                            board::AgentActions &Out) const {
  const members::Member *Receiver = Around.View->find(To);
  if (To.empty() || Receiver == nullptr || Header.Hops >= MaxRequestHops) {
    return false;
  }
  wire::ForwardHeader Next = Header;
  Next.Receiver = To;
  Next.Revision = Around.Document->Revision;
  ++Next.Hops;
  Out.emplace_back(
      board::ForwardPacket{Receiver->Data, Next, std::string(Payload)});
  return true;
}

void RequestEngine::forwardToOwner(const Surroundings &Around, uint32_t Shard,
                                   const wire::ForwardHeader &Header,
                                   std::string_view Payload, base::RequestId Id,
                                   board::AgentActions &Out) {
  const ShardHolder &Owner = this->Shards.replica(Shard).record().Record.Owner;
  if (this->forward(Around, Owner.Name, Header, Payload, Out)) {
    logDecision(DecisionKind::RequestPassedOn, requestText(Id), Owner.Name,
                "owner of " + shardText(Shard), Out);
    return;
  }
  logDecision(DecisionKind::PacketDropped, requestText(Id), Owner.Name,
              "no owner of " + shardText(Shard) + " can be reached", Out);
}

void RequestEngine::onCancel(const Surroundings &Around,
                             const wire::ForwardHeader &Header,
                             std::string_view Payload,
                             const wire::CancelPacket &Packet,
                             board::AgentActions &Out) {
  if (Header.Service != Around.Self.Service) {
    return;
  }
  auto It = this->Works.find(Packet.Id);
  if (It != this->Works.end()) {
    if (It->second.Attempt == Packet.Attempt) {
      this->cancel(Around, It->second, Out);
    }
    return;
  }
  uint32_t Shard = shardOf(Packet.Id);
  if (!this->Shards.replica(Shard).isOwner(Around.holder())) {
    this->forwardToOwner(Around, Shard, Header, Payload, Packet.Id, Out);
  }
}

void RequestEngine::onPeer(const Surroundings &Around,
                           const wire::PeerMessage &Message,
                           board::AgentActions &Out) {
  if (Message.Sender.Service != Around.Self.Service ||
      Message.Receiver != Around.Self.Name) {
    return;
  }
  ShardHolder From{Message.Sender.Name, Message.Sender.Run};
  ReplicaContext Context = this->Shards.context(Around);
  auto ToReplica = [&](uint32_t Shard, auto &&Handle) {
    if (Shard >= ShardsPerService) {
      return;
    }
    ReplicaEffects Effects;
    Handle(this->Shards.replica(Shard), Effects);
    this->apply(Around, Shard, Effects, Out);
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
          if (Body.ReceiverRun == Around.Self.Run) {
            this->Runs.onRunRequest(Around.Now, From, Body, Around.MayRunHere,
                                    Out);
          }
        } else if constexpr (std::is_same_v<Kind, wire::RunResult>) {
          this->onRunResult(Around, From, Body, Out);
        } else if constexpr (std::is_same_v<Kind, wire::RunCancel>) {
          this->Runs.onRunCancel(Body, Out);
        }
      },
      Message.Body);
}

void RequestEngine::onShardRecord(const Surroundings &Around,
                                  const StoredShard &Record,
                                  board::AgentActions &Out) {
  if (Record.Shard >= ShardsPerService) {
    return;
  }
  ShardReplica &Replica = this->Shards.replica(Record.Shard);
  bool WasOwner = Replica.isOwner(Around.holder());
  ReplicaEffects Effects;
  Replica.onRecord(this->Shards.context(Around), Record, Effects);
  if (WasOwner && !Replica.isOwner(Around.holder())) {
    logDecision(DecisionKind::ShardLost, shardText(Record.Shard),
                Record.Record.Owner.Name,
                "epoch " + std::to_string(Record.Record.Epoch), Out);
  }
  this->apply(Around, Record.Shard, Effects, Out);
}

void RequestEngine::onSwapFailed(uint32_t Shard) {
  if (Shard < ShardsPerService) {
    this->Shards.replica(Shard).onSwapFailed();
  }
}

void RequestEngine::apply(const Surroundings &Around, uint32_t Shard,
                          ReplicaEffects &Effects, board::AgentActions &Out) {
  for (ReplicaEffects::Send &Each : Effects.Sends) {
    Out.emplace_back(board::SendPeer{Each.To, std::move(Each.Body)});
  }
  base::MemberName NewOwner;
  if (Effects.Swap) {
    NewOwner = Effects.Swap->Next.Owner.Name;
    Out.emplace_back(*Effects.Swap);
  }
  if (Effects.Note != nullptr) {
    bool IsOurs = NewOwner.empty() || NewOwner == Around.Self.Name;
    logDecision(
        IsOurs ? DecisionKind::ShardTaken : DecisionKind::ShardHandedOver,
        shardText(Shard), IsOurs ? NoMember : NewOwner, Effects.Note, Out);
  }
  for (const wire::IntentEntry &Entry : Effects.Decided) {
    this->onDecided(Around, Entry, Out);
  }
  for (const wire::IntentEntry &Entry : Effects.Voided) {
    this->onVoided(Around, Entry, Out);
  }
}

void RequestEngine::onDecided(const Surroundings &Around,
                              const wire::IntentEntry &Entry,
                              board::AgentActions &Out) {
  auto It = this->Works.find(Entry.Id);
  if (It == this->Works.end() || It->second.Attempt != Entry.Attempt) {
    return;
  }
  RequestWork &Work = It->second;
  if (Entry.Decision == Verdict::Run && Work.Phase == WorkPhase::Deciding) {
    Work.MayHaveRun = true;
    Work.Payload.clear();
    Work.Payload.shrink_to_fit();
    this->dispatch(Around, Work, Out);
  } else if (Entry.Decision == Verdict::Refuse &&
             Work.Phase == WorkPhase::Refusing) {
    this->settle(Entry.Id, wire::NotRun{Work.Reason, this->retryAfter()}, Out);
  }
}

/// The shard has gone to another owner before the backup recorded this. What
/// was never let go is the new owner's to decide.
void RequestEngine::onVoided(const Surroundings &Around,
                             const wire::IntentEntry &Entry,
                             board::AgentActions &Out) {
  auto It = this->Works.find(Entry.Id);
  if (It == this->Works.end() || It->second.Attempt != Entry.Attempt) {
    return;
  }
  RequestWork &Work = It->second;
  if (Work.MayHaveRun) {
    this->settle(Entry.Id, wire::OutcomeUnknown{RefusalReason::ShardFrozen, {}},
                 Out);
    return;
  }
  if (!this->Shards.replica(Work.Shard).isOwner(Around.holder())) {
    this->forwardToOwner(Around, Work.Shard, Work.Header, Work.Payload, Work.Id,
                         Out);
  }
  this->Works.erase(It);
}

void RequestEngine::propose(const Surroundings &Around, const RequestWork &Work,
                            Verdict Decision, board::AgentActions &Out) {
  ReplicaEffects Effects;
  this->Shards.replica(Work.Shard)
      .propose(this->Shards.context(Around),
               {Work.Id, Work.Attempt, Decision, Work.Deadline}, Effects);
  this->apply(Around, Work.Shard, Effects, Out);
}

/// May end the work: the caller mustn't use it afterwards.
void RequestEngine::refuse(const Surroundings &Around, RequestWork &Work,
                           RefusalReason Reason, board::AgentActions &Out) {
  if (Work.IsIdempotent) {
    this->settle(Work.Id, wire::OutcomeUnknown{Reason, this->retryAfter()},
                 Out);
    return;
  }
  Work.Phase = WorkPhase::Refusing;
  Work.Reason = Reason;
  this->propose(Around, Work, Verdict::Refuse, Out);
}

static DecisionKind kindOf(const wire::RequestOutcome &Outcome) {
  if (std::holds_alternative<wire::Answer>(Outcome)) {
    return DecisionKind::RequestAnswered;
  }
  return std::holds_alternative<wire::NotRun>(Outcome)
             ? DecisionKind::RequestRefused
             : DecisionKind::RequestUnknown;
}

static std::string reasonOf(const wire::RequestOutcome &Outcome) {
  if (const auto *Refused = std::get_if<wire::NotRun>(&Outcome)) {
    return std::string(wire::refusalReasonText(Refused->Reason));
  }
  if (const auto *Unknown = std::get_if<wire::OutcomeUnknown>(&Outcome)) {
    return std::string(wire::refusalReasonText(Unknown->Reason));
  }
  return "answered";
}

void RequestEngine::count(const wire::RequestOutcome &Outcome) {
  if (std::holds_alternative<wire::Answer>(Outcome)) {
    ++this->Counts.Answered;
  } else if (std::holds_alternative<wire::NotRun>(Outcome)) {
    ++this->Counts.NotRun;
  } else {
    ++this->Counts.Unknown;
  }
}

/// Callers of a higher attempt than the refused one aren't told "not run":
/// their attempt hasn't been decided on. They ask again.
void RequestEngine::tell(const RequestWork &Work,
                         const wire::RequestOutcome &Outcome,
                         board::AgentActions &Out) {
  bool IsNotRun = std::holds_alternative<wire::NotRun>(Outcome);
  for (const WaitingCaller &Each : Work.Callers) {
    if (IsNotRun && Each.Attempt > Work.Attempt) {
      continue;
    }
    Out.emplace_back(
        board::ReplyToRequest{Each.Address, Each.MessageId, Work.Id, Outcome});
  }
  this->count(Outcome);
  logDecision(kindOf(Outcome), requestText(Work.Id), Work.Runner.Name,
              reasonOf(Outcome), Out);
}

/// Ends a work. What an idempotent request ended with is kept only where it is
/// an answer: anything else may be tried again.
void RequestEngine::settle(base::RequestId Id, wire::RequestOutcome Outcome,
                           board::AgentActions &Out) {
  auto It = this->Works.find(Id);
  if (It == this->Works.end()) {
    return;
  }
  const RequestWork &Work = It->second;
  this->tell(Work, Outcome, Out);
  bool IsAnswer = std::holds_alternative<wire::Answer>(Outcome);
  if (!Work.IsIdempotent || IsAnswer) {
    this->Outcomes.put(Id, {Work.Attempt, Work.Deadline, std::move(Outcome)});
  }
  this->Works.erase(It);
}

void RequestEngine::reply(const wire::ForwardHeader &Header,
                          const wire::RequestPacket &Packet,
                          const wire::RequestOutcome &Outcome,
                          board::AgentActions &Out) {
  Out.emplace_back(board::ReplyToRequest{Header.Caller, Packet.MessageId,
                                         Packet.Id, Outcome});
  this->count(Outcome);
  logDecision(kindOf(Outcome), requestText(Packet.Id), NoMember,
              reasonOf(Outcome), Out);
}

RequestCounts RequestEngine::counts(const ShardHolder &Self) const {
  RequestCounts Result = this->Counts;
  Result.ShardsOwned = this->Shards.owned(Self);
  Result.ShardsBackedUp = this->Shards.backedUp(Self);
  Result.Records = this->Shards.records();
  return Result;
}

} // namespace bilberry::requests
