#include "bilberry/routing/flow_controller.h"

#include "bilberry/routing/flow_text.h"
#include "bilberry/routing/rendezvous.h"

#include <algorithm>
#include <mutex>

namespace bilberry::routing {

using board::DecisionKind;

bool FlowController::Context::isFenced() const {
  return !this->Document->isInService(this->Self.DataCentre);
}

bool FlowController::Context::takesNewFlows() const {
  return members::takesNewWork(this->Self) && !this->isFenced();
}

const members::Member *
FlowController::Context::home(const base::FlowKey &Key) const {
  const members::RankedMember *First = firstRanked(this->View->Placement, Key);
  return First == nullptr ? nullptr : &First->Value;
}

std::vector<base::MemberName> FlowController::Context::others() const {
  std::vector<base::MemberName> Names;
  Names.reserve(this->View->Lookup.size());
  for (const members::RankedMember &Member : this->View->Lookup) {
    if (Member.Value.Name != this->Self.Name) {
      Names.push_back(Member.Value.Name);
    }
  }
  return Names;
}

bool FlowController::Context::outranksUs(const base::MemberName &Name,
                                         const base::FlowKey &Key) const {
  return rendezvousScore(memberHash(Name), Key) >
         rendezvousScore(memberHash(this->Self.Name), Key);
}

FlowController::FlowController(const board::LocalMember &Self,
                               const targets::TargetTable &Targets,
                               const members::MemberTable &Members,
                               admission::UpstreamLimits &Limits)
    : Self(Self), Targets(Targets), Members(Members), Limits(Limits) {}

FlowController::Context
FlowController::contextOf(base::TimePoint Now, board::AgentActions &Out) const {
  members::Member Local = this->Self.get();
  auto View = this->Members.view(Local.Service);
  return {Now, std::move(Local), this->Targets.current(), std::move(View), Out};
}

void FlowController::onPacket(base::TimePoint Now,
                              const wire::ForwardHeader &Header,
                              std::string_view Payload,
                              const wire::FlowPacket &Packet,
                              board::AgentActions &Out) {
  Context Call = this->contextOf(Now, Out);
  base::FlowKey Key = flowKey(Header.Service, Header.Caller, Packet.Connection);
  Arrival Arrived{Key, Header, Payload, Packet};

  std::lock_guard Lock(this->Mutex);
  this->noteView(Call);
  if (this->isForUs(Call, Arrived)) {
    this->onArrival(Call, Arrived);
  }
  this->flushDrops(Call);
}

bool FlowController::isForUs(const Context &Call, const Arrival &Packet) {
  if (Packet.Header.Receiver != Call.Self.Name) {
    ++this->Counts.WrongReceiver;
    logDecision(Call.Out, DecisionKind::PacketDropped, Packet.Key, {},
                "meant for another member");
    return false;
  }
  const targets::WorkClass *Class =
      Call.Document->findClass(Packet.Packet.Class);
  if (Packet.Header.Service != Call.Self.Service || Class == nullptr ||
      Class->Service != Call.Self.Service ||
      Class->Kind == targets::WorkKind::Request) {
    ++this->Counts.WrongService;
    logDecision(Call.Out, DecisionKind::PacketDropped, Packet.Key, {},
                "not a class of our service");
    return false;
  }
  return true;
}

void FlowController::onArrival(const Context &Call, const Arrival &Packet) {
  if (Call.isFenced()) {
    ++this->Counts.Fenced;
    if (Packet.Header.Balancer.Port != 0) {
      Call.Out.emplace_back(board::HintBalancer{Packet.Header.Balancer,
                                                wire::MemberNotice{Call.Self}});
    }
  }
  if (CarriedFlow *Flow = this->Flows.find(Packet.Key)) {
    if (Call.isFenced()) {
      this->giveUp(Call, Packet.Key, FencedReason);
    } else {
      this->deliver(Call, Packet, *Flow);
    }
    return;
  }
  if (this->answerEnded(Call, Packet)) {
    return;
  }
  if (FlowSearch *Search = this->Searches.find(Packet.Key)) {
    this->Searches.park(*Search, {Packet.Header, std::string(Packet.Payload)});
    return;
  }
  if (this->followHolder(Call, Packet)) {
    return;
  }
  if (Packet.Packet.opens()) {
    this->open(Call, Packet);
  } else {
    this->ask(Call, Packet, false);
  }
}

void FlowController::deliver(const Context &Call, const Arrival &Packet,
                             CarriedFlow &Flow) {
  Flow.LastPacket = Call.Now;
  Call.Out.emplace_back(board::DeliverPacket{
      {this->Flows.className(Flow.Class), Packet.Key, Packet.Packet.Flags,
       Packet.Packet.Sequence, std::string(Packet.Packet.Body)}});
}

bool FlowController::answerEnded(const Context &Call, const Arrival &Packet) {
  const Tombstone *End = this->Flows.findEnd(Call.Now, Packet.Key);
  if (End == nullptr) {
    return false;
  }
  // A caller may open a flow anew that was reset, never one that has closed:
  // that is a late copy.
  if (End->Event == wire::FlowEvent::Reset && Packet.Packet.opens()) {
    this->Flows.Ended.erase(Packet.Key);
    return false;
  }
  Call.Out.emplace_back(
      board::ReplyToFlow{Packet.Header.Caller,
                         {Packet.Packet.Connection, End->Event,
                          Packet.Packet.Sequence, End->Reason}});
  return true;
}

// Sends the packet where its flow is known to be.
bool FlowController::followHolder(const Context &Call, const Arrival &Packet) {
  const KnownHolder *Known = this->Flows.Elsewhere.find(Packet.Key);
  if (Known == nullptr) {
    return false;
  }
  const members::Member *Holder = Call.View->find(Known->Holder);
  // A packet that we had passed up to the home and that now comes down the
  // ranking goes on from here.
  bool IsComingBack = Known->IsPassedOn && Packet.Packet.opens() &&
                      Packet.Header.Hops > 0 &&
                      Call.outranksUs(Known->Holder, Packet.Key);
  if (Holder == nullptr || IsComingBack ||
      Packet.Header.Hops >= MaxFollowedHops) {
    this->Flows.Elsewhere.erase(Packet.Key);
    return false;
  }
  this->sendToHolder(Call, Packet, *Holder);
  return true;
}

void FlowController::sendToHolder(const Context &Call, const Arrival &Packet,
                                  const members::Member &Holder) {
  if (Packet.Header.Hops >= MaxHops) {
    logDecision(Call.Out, DecisionKind::PacketDropped, Packet.Key, Holder.Name,
                "passed on too often");
    return;
  }
  this->forward(Call, Packet, Holder);
  this->hintHolder(Call, Packet, Holder.Name);
}

void FlowController::forward(const Context &Call, const Arrival &Packet,
                             const members::Member &To) {
  wire::ForwardHeader Header = Packet.Header;
  Header.Receiver = To.Name;
  Header.Revision = std::max(Header.Revision, Call.Document->Revision);
  ++Header.Hops;
  Call.Out.emplace_back(board::ForwardPacket{To.Data, std::move(Header),
                                             std::string(Packet.Payload)});
}

void FlowController::hintHolder(const Context &Call, const Arrival &Packet,
                                const base::MemberName &Holder) {
  if (Packet.Header.Balancer.Port != 0) {
    Call.Out.emplace_back(board::HintBalancer{
        Packet.Header.Balancer, wire::HolderHint{Packet.Key, Holder}});
  }
}

void FlowController::onUpstreamEvent(base::TimePoint Now,
                                     const wire::UpstreamFlowEvent &Event,
                                     board::AgentActions &Out) {
  Context Call = this->contextOf(Now, Out);
  std::lock_guard Lock(this->Mutex);
  CarriedFlow *Flow = this->Flows.find(Event.Key);
  if (Flow == nullptr) {
    return;
  }
  base::Duration SincePacket = Now - Flow->LastPacket;
  Flow->LastPacket = Now;
  switch (Event.Event) {
  case wire::FlowEvent::Opened:
  case wire::FlowEvent::Data:
    if (!Flow->IsOpening && Event.Sequence > 0) {
      // It acknowledges a packet: evidence that it bears what it has.
      this->Limits.flowProgressed(Now, SincePacket);
    }
    // Whatever the upstream sends for a flow, it has taken it.
    this->onOpened(Call, *Flow);
    Out.emplace_back(board::ReplyToFlow{
        Flow->Caller,
        {Flow->Connection, Event.Event, Event.Sequence, Event.Body}});
    break;
  case wire::FlowEvent::Closed:
    this->onOpened(Call, *Flow);
    Out.emplace_back(board::ReplyToFlow{
        Flow->Caller,
        {Flow->Connection, Event.Event, Event.Sequence, Event.Body}});
    this->endFlow(Call, Event.Key, Event.Event, Event.Body);
    break;
  case wire::FlowEvent::Refused:
    if (Flow->IsOpening) {
      this->onShed(Call, Event.Key);
    } else {
      this->endFlow(Call, Event.Key, wire::FlowEvent::Reset, Event.Body);
    }
    break;
  case wire::FlowEvent::Reset:
    this->endFlow(Call, Event.Key, Event.Event, Event.Body);
    break;
  }
  this->flushDrops(Call);
}

void FlowController::onOpened(const Context &Call, CarriedFlow &Flow) {
  if (!Flow.IsOpening) {
    return;
  }
  Flow.IsOpening = false;
  Flow.Opening.reset();
  this->Limits.connectionSettled(Call.Now, admission::Completion::Done,
                                 Call.Now - Flow.OpenedAt);
}

void FlowController::giveBackConnection(const Context &Call,
                                        const CarriedFlow &Flow,
                                        admission::Completion How) {
  if (Flow.IsOpening) {
    this->Limits.connectionSettled(Call.Now, How, Call.Now - Flow.OpenedAt);
  } else {
    this->Limits.releaseConnection(Call.Now);
  }
}

// Drops a carried flow, gives its connection back, and tells the caller unless
// the upstream's own answer has just done so.
// Resets a flow that the upstream still holds. Without a word to it, the
// connection would be free here and taken there.
void FlowController::giveUp(const Context &Call, const base::FlowKey &Key,
                            const std::string &Reason) {
  Call.Out.emplace_back(board::AbortOnUpstream{Key});
  this->endFlow(Call, Key, wire::FlowEvent::Reset, Reason);
}

void FlowController::endFlow(const Context &Call, const base::FlowKey &Key,
                             wire::FlowEvent Event, const std::string &Reason) {
  auto Node = this->Flows.Carried.extract(Key);
  const CarriedFlow &Flow = Node.mapped();
  bool HasTimedOut = Flow.IsOpening && Call.Now - Flow.OpenedAt >= OpenTimeout;
  this->giveBackConnection(Call, Flow,
                           HasTimedOut ? admission::Completion::Timeout
                                       : admission::Completion::Neutral);
  if (Flow.IsRecorded) {
    this->Drops.push_back(Key);
  }
  this->Flows.Ended.put(Key, {Event, Reason, Call.Now});
  if (Event == wire::FlowEvent::Closed) {
    ++this->Counts.Closed;
    logDecision(Call.Out, DecisionKind::FlowClosed, Key, {}, "closed");
    return;
  }
  ++this->Counts.Reset;
  Call.Out.emplace_back(board::ReplyToFlow{
      Flow.Caller, {Flow.Connection, wire::FlowEvent::Reset, 0, Reason}});
  logDecision(Call.Out, DecisionKind::FlowReset, Key, {}, Reason);
}

void FlowController::flushDrops(const Context &Call) {
  if (this->Drops.empty()) {
    return;
  }
  for (const base::MemberName &Name : Call.others()) {
    Call.Out.emplace_back(
        board::SendPeer{Name, wire::FlowRecordDrop{this->Drops}});
  }
  this->Drops.clear();
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
  Context Call = this->contextOf(Now, Out);
  std::lock_guard Lock(this->Mutex);
  this->Searches.forgetConnections();
  for (const base::FlowKey &Key : carriedKeys(this->Flows)) {
    CarriedFlow &Flow = this->Flows.Carried.at(Key);
    Out.emplace_back(board::ReplyToFlow{
        Flow.Caller,
        {Flow.Connection, wire::FlowEvent::Reset, 0, UpstreamLostReason}});
    if (Flow.IsRecorded) {
      this->Drops.push_back(Key);
    }
    this->Flows.Ended.put(Key,
                          {wire::FlowEvent::Reset, UpstreamLostReason, Now});
    ++this->Counts.Reset;
    logDecision(Out, DecisionKind::FlowReset, Key, {}, UpstreamLostReason);
  }
  this->Flows.Carried.clear();
  this->flushDrops(Call);
}

void FlowController::onPeer(base::TimePoint Now,
                            const wire::PeerMessage &Message,
                            board::AgentActions &Out) {
  Context Call = this->contextOf(Now, Out);
  if (Message.Receiver != Call.Self.Name ||
      Message.Sender.Service != Call.Self.Service) {
    return;
  }
  const base::MemberName &Sender = Message.Sender.Name;
  std::lock_guard Lock(this->Mutex);
  this->noteView(Call);
  if (const auto *Put = std::get_if<wire::FlowRecordPut>(&Message.Body)) {
    for (const wire::FlowRecord &Record : Put->Records) {
      this->onRecord(Call, Sender, Record);
    }
  } else if (const auto *Drop =
                 std::get_if<wire::FlowRecordDrop>(&Message.Body)) {
    for (const base::FlowKey &Key : Drop->Keys) {
      const KnownHolder *Known = this->Flows.Elsewhere.find(Key);
      if (Known != nullptr && Known->Holder == Sender) {
        this->Flows.Elsewhere.erase(Key);
      }
    }
  } else if (const auto *Query = std::get_if<wire::FlowQuery>(&Message.Body)) {
    this->onQuery(Call, Sender, Query->Key);
  } else if (const auto *Reply =
                 std::get_if<wire::FlowQueryReply>(&Message.Body)) {
    this->onAnswer(Call, Sender, *Reply);
  }
  this->flushDrops(Call);
}

void FlowController::onTick(base::TimePoint Now, board::AgentActions &Out) {
  Context Call = this->contextOf(Now, Out);
  std::lock_guard Lock(this->Mutex);
  this->noteView(Call);
  this->endSilentSearches(Call);
  this->endOverdue(Call);
  this->Flows.Ended.eraseOldestWhile(
      [&](const Tombstone &End) { return Now - End.EndedAt >= ClosedLife; });
  this->flushDrops(Call);
}

static base::Duration longestFlow(const targets::Targets &Document,
                                  const base::ClassName &Name) {
  const targets::WorkClass *Class = Document.findClass(Name);
  bool IsBounded = Class != nullptr && Class->LongestFlow.count() > 0;
  return IsBounded ? Class->LongestFlow : base::Duration::max();
}

// Why the flow may not go on, or null.
static const char *overdueReason(base::TimePoint Now, const CarriedFlow &Flow,
                                 base::Duration Longest, bool IsDraining) {
  if (Flow.IsOpening && Now - Flow.OpenedAt >= OpenTimeout) {
    return "upstream did not answer the opening packet";
  }
  if (IsDraining && Now - Flow.OpenedAt >= Longest) {
    return "draining and longer than its class allows";
  }
  if (Now - Flow.LastPacket >= std::min(Longest, IdleTimeout)) {
    return "idle";
  }
  return nullptr;
}

void FlowController::endOverdue(const Context &Call) {
  bool IsDraining = !members::takesNewWork(Call.Self);
  for (const base::FlowKey &Key : carriedKeys(this->Flows)) {
    if (Call.isFenced()) {
      ++this->Counts.Fenced;
      this->giveUp(Call, Key, FencedReason);
      continue;
    }
    const CarriedFlow &Flow = this->Flows.Carried.at(Key);
    base::Duration Longest =
        longestFlow(*Call.Document, this->Flows.className(Flow.Class));
    const char *Reason = overdueReason(Call.Now, Flow, Longest, IsDraining);
    if (Reason != nullptr) {
      this->giveUp(Call, Key, Reason);
    }
  }
}

FlowCounts FlowController::counts() const {
  std::lock_guard Lock(this->Mutex);
  FlowCounts Now = this->Counts;
  Now.Carried = this->Flows.Carried.size();
  Now.Records = this->Flows.Elsewhere.size();
  return Now;
}

size_t FlowController::carried() const {
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
  this->Limits.adoptConnections(
      Now, static_cast<uint32_t>(this->Flows.Carried.size()));
  return boost::outcome_v2::success();
}

} // namespace bilberry::routing
