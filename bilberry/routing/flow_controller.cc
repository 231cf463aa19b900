#include "bilberry/routing/flow_controller.h"

#include "bilberry/routing/flow_text.h"
#include "bilberry/routing/rendezvous.h"

#include <algorithm>
#include <mutex>

namespace bilberry::routing {

using board::DecisionKind;

bool FlowController::CallContext::isFenced() const {
  return !this->Document->isInService(this->Self.DataCentre);
}

bool FlowController::CallContext::takesNewFlows() const {
  return members::takesNewWork(this->Self) && !this->isFenced();
}

const members::Member *
FlowController::CallContext::homeMember(const base::FlowKey &Key) const {
  const members::HashedMember *First = firstRanked(this->View->Placement, Key);
  return First == nullptr ? nullptr : &First->Value;
}

std::vector<base::MemberName>
FlowController::CallContext::otherMembers() const {
  std::vector<base::MemberName> Names;
  Names.reserve(this->View->Lookup.size());
  for (const members::HashedMember &Member : this->View->Lookup) {
    if (Member.Value.Name != this->Self.Name) {
      Names.push_back(Member.Value.Name);
    }
  }
  return Names;
}

bool FlowController::CallContext::outranksSelf(const base::MemberName &Name,
                                               const base::FlowKey &Key) const {
  return rendezvousScore(memberHash(Name), Key) >
         rendezvousScore(memberHash(this->Self.Name), Key);
}

FlowController::FlowController(const board::LocalMember &Self,
                               const targets::TargetTable &Targets,
                               const members::MemberTable &Members,
                               admission::UpstreamLimits &Limits)
    : Self(Self), Targets(Targets), Members(Members), Limits(Limits) {}

FlowController::CallContext
FlowController::makeContext(base::TimePoint Now,
                            board::AgentActions &Out) const {
  members::Member Local = this->Self.get();
  auto View = this->Members.view(Local.Service);
  return {Now, std::move(Local), this->Targets.current(), std::move(View), Out};
}

void FlowController::onPacket(base::TimePoint Now,
                              const wire::ForwardHeader &Header,
                              std::string_view Payload,
                              const wire::FlowPacket &Packet,
                              board::AgentActions &Out) {
  CallContext Ctx = this->makeContext(Now, Out);
  base::FlowKey Key = flowKey(Header.Service, Header.Caller, Packet.Connection);
  ReceivedPacket Received{Key, Header, Payload, Packet};

  std::lock_guard Lock(this->Mutex);
  this->trackViewChange(Ctx);
  if (this->isForThisAgent(Ctx, Received)) {
    this->handlePacket(Ctx, Received);
  }
  this->flushRecordDrops(Ctx);
}

bool FlowController::isForThisAgent(const CallContext &Ctx,
                                    const ReceivedPacket &Packet) {
  if (Packet.Header.Receiver != Ctx.Self.Name) {
    ++this->Counts.WrongReceiver;
    logDecision(Ctx.Out, DecisionKind::PacketDropped, Packet.Key, {},
                "addressed to another member");
    return false;
  }
  const targets::WorkClass *Class =
      Ctx.Document->findClass(Packet.Packet.Class);
  if (Packet.Header.Service != Ctx.Self.Service || Class == nullptr ||
      Class->Service != Ctx.Self.Service ||
      Class->Kind == targets::WorkKind::Request) {
    ++this->Counts.WrongService;
    logDecision(Ctx.Out, DecisionKind::PacketDropped, Packet.Key, {},
                "class does not belong to this service");
    return false;
  }
  return true;
}

void FlowController::handlePacket(const CallContext &Ctx,
                                  const ReceivedPacket &Packet) {
  if (Ctx.isFenced()) {
    ++this->Counts.Fenced;
    if (Packet.Header.Balancer.Port != 0) {
      Ctx.Out.emplace_back(board::NotifyBalancer{Packet.Header.Balancer,
                                                 wire::MemberNotice{Ctx.Self}});
    }
  }
  if (CarriedFlow *Flow = this->Flows.find(Packet.Key)) {
    if (Ctx.isFenced()) {
      this->abortFlow(Ctx, Packet.Key, FencedReason);
    } else {
      this->deliver(Ctx, Packet, *Flow);
    }
    return;
  }
  if (this->answerEndedFlow(Ctx, Packet)) {
    return;
  }
  if (FlowSearch *Search = this->Searches.find(Packet.Key)) {
    this->Searches.queuePacket(*Search,
                               {Packet.Header, std::string(Packet.Payload)});
    return;
  }
  if (this->forwardToKnownHolder(Ctx, Packet)) {
    return;
  }
  if (Packet.Packet.hasOpenFlag()) {
    this->placeNewFlow(Ctx, Packet);
  } else {
    this->startSearch(Ctx, Packet, false);
  }
}

void FlowController::deliver(const CallContext &Ctx,
                             const ReceivedPacket &Packet, CarriedFlow &Flow) {
  Flow.LastPacketAt = Ctx.Now;
  Ctx.Out.emplace_back(board::DeliverPacket{
      {this->Flows.className(Flow.Class), Packet.Key, Packet.Packet.Flags,
       Packet.Packet.Sequence, std::string(Packet.Packet.Body)}});
}

bool FlowController::answerEndedFlow(const CallContext &Ctx,
                                     const ReceivedPacket &Packet) {
  const Tombstone *End = this->Flows.findTombstone(Ctx.Now, Packet.Key);
  if (End == nullptr) {
    return false;
  }
  // A caller may reopen a flow that was reset, but not one that was closed: an
  // opening packet for a closed flow is a late duplicate.
  if (End->Event == wire::FlowEvent::Reset && Packet.Packet.hasOpenFlag()) {
    this->Flows.Tombstones.erase(Packet.Key);
    return false;
  }
  Ctx.Out.emplace_back(
      board::ReplyToFlow{Packet.Header.Caller,
                         {Packet.Packet.Connection, End->Event,
                          Packet.Packet.Sequence, End->Reason}});
  return true;
}

// Forwards the packet to the flow's recorded holder. Returns false if there is
// no usable record.
bool FlowController::forwardToKnownHolder(const CallContext &Ctx,
                                          const ReceivedPacket &Packet) {
  const RemoteHolder *Known = this->Flows.RemoteHolders.find(Packet.Key);
  if (Known == nullptr) {
    return false;
  }
  const members::Member *Holder = Ctx.View->find(Known->Holder);
  // We passed the packet up to the home, and it has come back down the ranking:
  // handle it here instead of sending it up again.
  bool IsReturning = Known->IsPassedOn && Packet.Packet.hasOpenFlag() &&
                     Packet.Header.Hops > 0 &&
                     Ctx.outranksSelf(Known->Holder, Packet.Key);
  if (Holder == nullptr || IsReturning ||
      Packet.Header.Hops >= MaxFollowedHops) {
    this->Flows.RemoteHolders.erase(Packet.Key);
    return false;
  }
  this->sendToHolder(Ctx, Packet, *Holder);
  return true;
}

void FlowController::sendToHolder(const CallContext &Ctx,
                                  const ReceivedPacket &Packet,
                                  const members::Member &Holder) {
  if (Packet.Header.Hops >= MaxHops) {
    logDecision(Ctx.Out, DecisionKind::PacketDropped, Packet.Key, Holder.Name,
                "hop limit reached");
    return;
  }
  this->forward(Ctx, Packet, Holder);
  this->sendHolderHint(Ctx, Packet, Holder.Name);
}

void FlowController::forward(const CallContext &Ctx,
                             const ReceivedPacket &Packet,
                             const members::Member &To) {
  wire::ForwardHeader Header = Packet.Header;
  Header.Receiver = To.Name;
  Header.Revision = std::max(Header.Revision, Ctx.Document->Revision);
  ++Header.Hops;
  Ctx.Out.emplace_back(board::ForwardPacket{To.Data, std::move(Header),
                                            std::string(Packet.Payload)});
}

void FlowController::sendHolderHint(const CallContext &Ctx,
                                    const ReceivedPacket &Packet,
                                    const base::MemberName &Holder) {
  if (Packet.Header.Balancer.Port != 0) {
    Ctx.Out.emplace_back(board::NotifyBalancer{
        Packet.Header.Balancer, wire::HolderHint{Packet.Key, Holder}});
  }
}

void FlowController::onUpstreamEvent(base::TimePoint Now,
                                     const wire::UpstreamFlowEvent &Event,
                                     board::AgentActions &Out) {
  CallContext Ctx = this->makeContext(Now, Out);
  std::lock_guard Lock(this->Mutex);
  CarriedFlow *Flow = this->Flows.find(Event.Key);
  if (Flow == nullptr) {
    return;
  }
  base::Duration SincePacket = Now - Flow->LastPacketAt;
  Flow->LastPacketAt = Now;
  switch (Event.Event) {
  case wire::FlowEvent::Opened:
  case wire::FlowEvent::Data:
    if (!Flow->IsOpening && Event.Sequence > 0) {
      // An acknowledged packet is evidence that the upstream sustains its
      // present load.
      this->Limits.recordFlowProgress(Now, SincePacket);
    }
    // Any data from the upstream means that it has accepted the flow.
    this->markOpened(Ctx, *Flow);
    Out.emplace_back(board::ReplyToFlow{
        Flow->Caller,
        {Flow->Connection, Event.Event, Event.Sequence, Event.Body}});
    break;
  case wire::FlowEvent::Closed:
    this->markOpened(Ctx, *Flow);
    Out.emplace_back(board::ReplyToFlow{
        Flow->Caller,
        {Flow->Connection, Event.Event, Event.Sequence, Event.Body}});
    this->endFlow(Ctx, Event.Key, Event.Event, Event.Body);
    break;
  case wire::FlowEvent::Refused:
    if (Flow->IsOpening) {
      this->onShed(Ctx, Event.Key);
    } else {
      this->endFlow(Ctx, Event.Key, wire::FlowEvent::Reset, Event.Body);
    }
    break;
  case wire::FlowEvent::Reset:
    this->endFlow(Ctx, Event.Key, Event.Event, Event.Body);
    break;
  }
  this->flushRecordDrops(Ctx);
}

void FlowController::markOpened(const CallContext &Ctx, CarriedFlow &Flow) {
  if (!Flow.IsOpening) {
    return;
  }
  Flow.IsOpening = false;
  Flow.OpeningPacket.reset();
  this->Limits.recordConnectionOutcome(Ctx.Now, admission::Completion::Done,
                                       Ctx.Now - Flow.OpenedAt);
}

void FlowController::settleConnection(const CallContext &Ctx,
                                      const CarriedFlow &Flow,
                                      admission::Completion Outcome) {
  if (Flow.IsOpening) {
    this->Limits.recordConnectionOutcome(Ctx.Now, Outcome,
                                         Ctx.Now - Flow.OpenedAt);
  } else {
    this->Limits.releaseConnection(Ctx.Now);
  }
}

// Resets a flow that the upstream still holds. The abort message makes the
// upstream free its connection too; otherwise the connection would be free here
// but still in use at the upstream.
void FlowController::abortFlow(const CallContext &Ctx, const base::FlowKey &Key,
                               const std::string &Reason) {
  Ctx.Out.emplace_back(board::AbortOnUpstream{Key});
  this->endFlow(Ctx, Key, wire::FlowEvent::Reset, Reason);
}

// Removes a carried flow, releases its connection, and notifies the caller
// unless the upstream's own response has already done so.
void FlowController::endFlow(const CallContext &Ctx, const base::FlowKey &Key,
                             wire::FlowEvent Event, const std::string &Reason) {
  auto Node = this->Flows.Carried.extract(Key);
  const CarriedFlow &Flow = Node.mapped();
  bool HasTimedOut = Flow.IsOpening && Ctx.Now - Flow.OpenedAt >= OpenTimeout;
  this->settleConnection(Ctx, Flow,
                         HasTimedOut ? admission::Completion::Timeout
                                     : admission::Completion::Neutral);
  if (Flow.IsRecorded) {
    this->PendingRecordDrops.push_back(Key);
  }
  this->Flows.Tombstones.put(Key, {Event, Reason, Ctx.Now});
  if (Event == wire::FlowEvent::Closed) {
    ++this->Counts.Closed;
    logDecision(Ctx.Out, DecisionKind::FlowClosed, Key, {}, "closed");
    return;
  }
  ++this->Counts.Reset;
  Ctx.Out.emplace_back(board::ReplyToFlow{
      Flow.Caller, {Flow.Connection, wire::FlowEvent::Reset, 0, Reason}});
  logDecision(Ctx.Out, DecisionKind::FlowReset, Key, {}, Reason);
}

void FlowController::flushRecordDrops(const CallContext &Ctx) {
  if (this->PendingRecordDrops.empty()) {
    return;
  }
  for (const base::MemberName &Name : Ctx.otherMembers()) {
    Ctx.Out.emplace_back(board::SendToPeer{
        Name, wire::FlowRecordDrop{this->PendingRecordDrops}});
  }
  this->PendingRecordDrops.clear();
}

static std::vector<base::FlowKey> carriedKeys(const FlowTable &Flows) {
  std::vector<base::FlowKey> Keys;
  Keys.reserve(Flows.Carried.size());
  for (const auto &[Key, Flow] : Flows.Carried) {
    Keys.push_back(Key);
  }
  return Keys;
}

void FlowController::onUpstreamLost(base::TimePoint Now,
                                    board::AgentActions &Out) {
  CallContext Ctx = this->makeContext(Now, Out);
  std::lock_guard Lock(this->Mutex);
  this->Searches.clearHeldConnections();
  for (const base::FlowKey &Key : carriedKeys(this->Flows)) {
    CarriedFlow &Flow = this->Flows.Carried.at(Key);
    Out.emplace_back(board::ReplyToFlow{
        Flow.Caller,
        {Flow.Connection, wire::FlowEvent::Reset, 0, UpstreamLostReason}});
    if (Flow.IsRecorded) {
      this->PendingRecordDrops.push_back(Key);
    }
    this->Flows.Tombstones.put(
        Key, {wire::FlowEvent::Reset, UpstreamLostReason, Now});
    ++this->Counts.Reset;
    logDecision(Out, DecisionKind::FlowReset, Key, {}, UpstreamLostReason);
  }
  this->Flows.Carried.clear();
  this->flushRecordDrops(Ctx);
}

void FlowController::onPeer(base::TimePoint Now,
                            const wire::PeerMessage &Message,
                            board::AgentActions &Out) {
  CallContext Ctx = this->makeContext(Now, Out);
  if (Message.Receiver != Ctx.Self.Name ||
      Message.Sender.Service != Ctx.Self.Service) {
    return;
  }
  const base::MemberName &Sender = Message.Sender.Name;
  std::lock_guard Lock(this->Mutex);
  this->trackViewChange(Ctx);
  if (const auto *Put = std::get_if<wire::FlowRecordPut>(&Message.Body)) {
    for (const wire::FlowRecord &Record : Put->Records) {
      this->onRecord(Ctx, Sender, Record);
    }
  } else if (const auto *Drop =
                 std::get_if<wire::FlowRecordDrop>(&Message.Body)) {
    for (const base::FlowKey &Key : Drop->Keys) {
      const RemoteHolder *Known = this->Flows.RemoteHolders.find(Key);
      if (Known != nullptr && Known->Holder == Sender) {
        this->Flows.RemoteHolders.erase(Key);
      }
    }
  } else if (const auto *Query = std::get_if<wire::FlowQuery>(&Message.Body)) {
    this->onQuery(Ctx, Sender, Query->Key);
  } else if (const auto *Reply =
                 std::get_if<wire::FlowQueryReply>(&Message.Body)) {
    this->onQueryReply(Ctx, Sender, *Reply);
  }
  this->flushRecordDrops(Ctx);
}

void FlowController::onTick(base::TimePoint Now, board::AgentActions &Out) {
  CallContext Ctx = this->makeContext(Now, Out);
  std::lock_guard Lock(this->Mutex);
  this->trackViewChange(Ctx);
  this->expireSearches(Ctx);
  this->endOverdueFlows(Ctx);
  this->Flows.Tombstones.eraseOldestWhile([&](const Tombstone &End) {
    return Now - End.EndedAt >= ClosedTombstoneLifetime;
  });
  this->flushRecordDrops(Ctx);
}

static base::Duration longestFlow(const targets::Targets &Document,
                                  const base::ClassName &Name) {
  const targets::WorkClass *Class = Document.findClass(Name);
  bool IsBounded = Class != nullptr && Class->MaxFlowDuration.count() > 0;
  return IsBounded ? Class->MaxFlowDuration : base::Duration::max();
}

// Returns why the flow has to end, or null if it may continue.
static const char *overdueReason(base::TimePoint Now, const CarriedFlow &Flow,
                                 base::Duration Longest, bool IsDraining) {
  if (Flow.IsOpening && Now - Flow.OpenedAt >= OpenTimeout) {
    return "upstream did not answer the opening packet";
  }
  if (IsDraining && Now - Flow.OpenedAt >= Longest) {
    return "draining and longer than its class allows";
  }
  if (Now - Flow.LastPacketAt >= std::min(Longest, IdleTimeout)) {
    return "idle";
  }
  return nullptr;
}

void FlowController::endOverdueFlows(const CallContext &Ctx) {
  bool IsDraining = !members::takesNewWork(Ctx.Self);
  for (const base::FlowKey &Key : carriedKeys(this->Flows)) {
    if (Ctx.isFenced()) {
      ++this->Counts.Fenced;
      this->abortFlow(Ctx, Key, FencedReason);
      continue;
    }
    const CarriedFlow &Flow = this->Flows.Carried.at(Key);
    base::Duration Longest =
        longestFlow(*Ctx.Document, this->Flows.className(Flow.Class));
    const char *Reason = overdueReason(Ctx.Now, Flow, Longest, IsDraining);
    if (Reason != nullptr) {
      this->abortFlow(Ctx, Key, Reason);
    }
  }
}

FlowCounts FlowController::counts() const {
  std::lock_guard Lock(this->Mutex);
  FlowCounts Now = this->Counts;
  Now.Carried = this->Flows.Carried.size();
  Now.Records = this->Flows.RemoteHolders.size();
  return Now;
}

size_t FlowController::carriedFlowCount() const {
  std::lock_guard Lock(this->Mutex);
  return this->Flows.Carried.size();
}

std::string FlowController::snapshot() const {
  std::lock_guard Lock(this->Mutex);
  return flowTableBytes(this->Flows);
}

base::Result<void> FlowController::restore(base::TimePoint Now,
                                           std::string_view State) {
  base::Result<FlowTable> Restored = parseFlowTable(State);
  if (!Restored) {
    return Restored.error();
  }
  std::lock_guard Lock(this->Mutex);
  this->Flows = std::move(Restored.value());
  this->Limits.restoreConnections(
      Now, static_cast<uint32_t>(this->Flows.Carried.size()));
  return boost::outcome_v2::success();
}

} // namespace bilberry::routing
