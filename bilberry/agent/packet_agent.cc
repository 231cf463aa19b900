#include "bilberry/agent/packet_agent.h"

#include <algorithm>
#include <utility>

namespace bilberry::agent {

using packet::FlowId;
using packet::HopTag;
using packet::Packet;
using packet::PacketActions;
using routing::FlowStage;
using routing::HeldFlow;

// An upstream whose first heartbeats we get has started beside us.
static constexpr uint64_t FirstReports = 2;
// An upstream that lives is heard of within this time: two heartbeats, which
// come from the same machine, and are sent again at once where they fail.
static constexpr base::Duration UnheardTime = std::chrono::milliseconds(2500);
// Copies of an opening packet come within 600 ms of the first.
static constexpr base::Duration CopyLife = std::chrono::milliseconds(1500);
// A caller that is there sends its request within this time of the opening:
// two ways to it and back, with room.
static constexpr base::Duration AskDelay = std::chrono::milliseconds(50);
// An upstream on the same machine gives a packet back within this time.
static constexpr base::Duration ProbeDelay = std::chrono::milliseconds(50);

PacketAgent::PacketAgent(AgentIdentity Self, admission::ColdAllowance Cold,
                         base::TimePoint StartedAt,
                         const targets::OperatorBoard &Board)
    : Self(std::move(Self)), StartedAt(StartedAt), ListeningSince(StartedAt),
      Board(Board), Operators(Board.current()),
      Gate(this->Self.DataCentre, Cold, StartedAt), NextStatus(StartedAt),
      SeenAt(StartedAt) {}

admission::OpeningContext PacketAgent::contextOf(base::TimePoint Now) {
  this->checkPause(Now);
  this->Operators = this->Board.current();
  return {Now, this->Upstream, *this->Operators, this->Flows.size(),
          this->waiting(Now)};
}

// Flows that wait for an answer or will soon ask. A caller that doesn't
// complete an opening at once has mostly given it up.
uint32_t PacketAgent::waiting(base::TimePoint Now) const {
  return this->Flows.working() +
         std::min(this->Flows.inStage(FlowStage::Opening),
                  this->Gate.openingsSince(Now - AskDelay));
}

// Ticks come far more often than MaxPause, so a gap is a pause of the process.
void PacketAgent::checkPause(base::TimePoint Now) {
  if (Now - this->SeenAt > MaxPause) {
    this->Gate.notePause(Now);
    this->ListeningSince = Now;
  }
  this->SeenAt = Now;
}

// Callers' packets.

void PacketAgent::onCallerPacket(base::TimePoint Now, const base::Address &From,
                                 const Packet &Packet, PacketActions &Out) {
  if (Packet.opensFlow()) {
    this->onOpening(Now, From, Packet, Out);
    return;
  }
  HeldFlow *Flow = this->Flows.find(Packet.callersFlow());
  if (Flow && Flow->IsProbe) {
    this->onProbed(Now, From, Packet, *Flow, Out);
  } else if (Flow && this->belongsHere(*Flow, Packet)) {
    this->deliver(Now, From, Packet, *Flow, Out);
  } else if (Flow || this->knowsAllFlows(Now)) {
    this->giveBack(From, Packet, HopTag::NotHeld, Out);
  } else {
    this->probe(Now, From, Packet, Out);
  }
}

void PacketAgent::onOpening(base::TimePoint Now, const base::Address &From,
                            const Packet &Packet, PacketActions &Out) {
  FlowId Id = Packet.callersFlow();
  HeldFlow *Known = this->Flows.find(Id);
  bool IsCopy = Known && Known->Stage != FlowStage::Absent &&
                Now - Known->OpenedAt < CopyLife;
  if (IsCopy && Known->Stage != FlowStage::Opening) {
    ++this->Counts.Dropped;
    return;
  }
  // A balancer that stood still may pass a copy on long after the flow opened.
  // What opens another flow of that name has another sequence number.
  bool IsOpen = Known && Known->Stage == FlowStage::Open;
  if (IsOpen && Known->OpeningSequence == Packet.Sequence) {
    ++this->Counts.Dropped;
    Out.Decisions.push_back({"flow-copy-dropped", Id, From,
                             "the flow is open already",
                             Packet.Mark.RouteVersion});
    return;
  }
  HopTag Reason = this->IsStopping
                      ? HopTag::NoUpstream
                      : this->Gate.check(this->contextOf(Now),
                                         Packet.Destination, Packet.Mark);
  if (Reason != HopTag::None) {
    // The upstream answers the first copy; this one is not needed.
    if (IsCopy) {
      ++this->Counts.Dropped;
      return;
    }
    Out.Decisions.push_back({"flow-returned", Id, From,
                             packet::hopTagText(Reason),
                             Packet.Mark.RouteVersion});
    this->ToldRoom = false;
    this->giveBack(From, Packet, Reason, Out);
    return;
  }
  // Whether it opens an open flow anew isn't known where an earlier run of this
  // process let its opening through: the upstream decides, the flow is kept.
  bool IsKept = IsCopy || (IsOpen && !Known->OpeningSequence);
  if (!IsKept) {
    Known = &this->Flows.start(Now, Id, FlowStage::Opening);
    Known->OpeningSequence = Packet.Sequence;
    ++this->Counts.Opened;
    Out.Decisions.push_back({"flow-taken", Id, From,
                             this->Upstream.isCold(Now) ? "cold" : "warm",
                             Packet.Mark.RouteVersion});
  }
  this->Gate.noteOpened(Now);
  this->deliver(Now, From, Packet, *Known, Out);
}

// Whether a packet that isn't an opening one is of this flow as our upstream
// holds it. A caller whose opening packet reached two upstreams acknowledges
// the sequence number of one.
bool PacketAgent::belongsHere(HeldFlow &Flow, const Packet &Packet) {
  if (Flow.Stage == FlowStage::Absent) {
    return false;
  }
  if (Flow.Stage != FlowStage::Opening || Packet.IsReset) {
    return true;
  }
  bool IsOurs =
      Flow.UpstreamSequence &&
      routing::acknowledges(Packet.Acknowledged, *Flow.UpstreamSequence);
  if (IsOurs) {
    this->Flows.setStage(Flow, FlowStage::Open);
  }
  return IsOurs;
}

void PacketAgent::deliver(base::TimePoint Now, const base::Address &From,
                          const Packet &Packet, HeldFlow &Flow,
                          PacketActions &Out) {
  Flow.LastPacket = Now;
  Flow.Balancer = From;
  if (Packet.IsAck) {
    Flow.CallerAcknowledged = Packet.Acknowledged;
  }
  if (Packet.DataBytes > 0 && Flow.Stage == FlowStage::Open) {
    this->Flows.noteCallerData(Flow, Packet);
    this->Gate.noteAsked(Now);
  }
  this->Flows.noteEnd(Flow, Packet, true);
  ++this->Counts.Delivered;
  Out.Packets.push_back(
      {packet::Receiver::Upstream, {}, Packet.Bytes, {}, false});
}

// Asks the upstream by giving it the packet.
void PacketAgent::probe(base::TimePoint Now, const base::Address &From,
                        const Packet &Packet, PacketActions &Out) {
  bool IsKnown = Packet.Mark.Tag == HopTag::Holder;
  HeldFlow &Flow =
      this->Flows.start(Now, Packet.callersFlow(),
                        IsKnown ? FlowStage::Open : FlowStage::Opening);
  Flow.IsProbe = !IsKnown;
  ++this->Counts.Probes;
  Out.Decisions.push_back({"flow-probed", Packet.callersFlow(), From,
                           packet::hopTagText(Packet.Mark.Tag),
                           Packet.Mark.RouteVersion});
  this->deliver(Now, From, Packet, Flow, Out);
}

// More of a flow that the upstream was asked about. It gives back at once what
// it doesn't hold, and is silent where it does and has nothing to say.
void PacketAgent::onProbed(base::TimePoint Now, const base::Address &From,
                           const Packet &Packet, HeldFlow &Flow,
                           PacketActions &Out) {
  if (Now - Flow.OpenedAt < ProbeDelay) {
    ++this->Counts.Dropped;
    return;
  }
  Flow.IsProbe = false;
  this->Flows.setStage(Flow, FlowStage::Open);
  this->deliver(Now, From, Packet, Flow, Out);
}

void PacketAgent::giveBack(const base::Address &To, const Packet &Packet,
                           HopTag Reason, PacketActions &Out) {
  ++this->Counts.Returned;
  Out.Packets.push_back(
      {packet::Receiver::Peer, To, Packet.Bytes,
       packet::hopMark(this->Operators->routeVersion(), Reason), true});
}

// The upstream's packets.

void PacketAgent::onUpstreamPacket(base::TimePoint Now, const Packet &Packet,
                                   PacketActions &Out) {
  this->Gate.noteHeard();
  if (Packet.IsBounced) {
    this->onBounced(Now, Packet, Out);
    return;
  }
  FlowId Id = Packet.upstreamsFlow();
  HeldFlow *Flow = this->Flows.find(Id);
  if (!Flow || Flow->Stage == FlowStage::Absent) {
    Flow = &this->Flows.start(
        Now, Id, Packet.IsSyn ? FlowStage::Opening : FlowStage::Open);
  }
  Flow->LastPacket = Now;
  Flow->IsProbe = false;
  if (Packet.IsSyn) {
    Flow->UpstreamSequence = Packet.Sequence;
  } else if (Flow->Stage == FlowStage::Opening) {
    this->Flows.setStage(*Flow, FlowStage::Open);
  }
  if (Packet.DataBytes > 0) {
    this->Flows.setWorking(*Flow, false);
    this->tellRoom(Now, Out);
  }
  this->Flows.noteEnd(*Flow, Packet, false);
  ++this->Counts.ToCallers;
  Out.Packets.push_back(
      {packet::Receiver::Caller, Packet.Destination, Packet.Bytes, {}, false});
}

// The upstream has given a caller's packet back.
void PacketAgent::onBounced(base::TimePoint Now, const Packet &Packet,
                            PacketActions &Out) {
  ++this->Counts.Bounced;
  FlowId Id = Packet.callersFlow();
  HeldFlow *Flow = this->Flows.find(Id);
  bool IsOver = !Flow || Flow->Stage == FlowStage::Ending ||
                Flow->Stage == FlowStage::Absent;
  if (IsOver) {
    ++this->Counts.Dropped;
    return;
  }
  if (Flow->Stage == FlowStage::Open) {
    this->reset(Now, Id, *Flow, "the upstream doesn't hold it", Out);
    return;
  }
  HopTag Reason = Packet.opensFlow() ? HopTag::Shed : HopTag::NotHeld;
  base::Address Balancer = Flow->Balancer;
  if (Packet.opensFlow()) {
    this->Flows.erase(Id);
  } else {
    this->Flows.start(Now, Id, FlowStage::Absent);
  }
  Out.Decisions.push_back(
      {"flow-returned", Id, Balancer, packet::hopTagText(Reason), 0});
  this->giveBack(Balancer, Packet, Reason, Out);
}

void PacketAgent::reset(base::TimePoint Now, const FlowId &Id, HeldFlow &Flow,
                        std::string_view Reason, PacketActions &Out) {
  Out.Resets.push_back({Id, Flow.CallerAcknowledged});
  Out.Decisions.push_back({"flow-reset", Id, {}, Reason, 0});
  ++this->Counts.Resets;
  if (Flow.IsPublished) {
    this->Ended.push_back(Id);
  }
  this->Flows.setWorking(Flow, false);
  this->Flows.setStage(Flow, FlowStage::Ending);
  Flow.LastPacket = Now;
}

// The upstream that held them is gone: their callers need not wait.
void PacketAgent::resetFlowsBefore(base::TimePoint Now,
                                   base::TimePoint OpenedBefore,
                                   std::string_view Reason,
                                   PacketActions &Out) {
  for (auto &[Id, Flow] : this->Flows.all()) {
    if (Flow.Stage == FlowStage::Open && Flow.OpenedAt < OpenedBefore) {
      this->reset(Now, Id, Flow, Reason, Out);
    }
  }
}

// The upstream's own words.

members::ReportOutcome
PacketAgent::onReport(base::TimePoint Now,
                      const members::UpstreamReport &Report,
                      PacketActions &Out) {
  this->checkPause(Now);
  bool HadRun = this->Upstream.present().has_value();
  base::TimePoint LastHeard = this->Upstream.heardAt();
  members::ReportOutcome Outcome = this->Upstream.take(Now, Report);
  switch (Outcome) {
  case members::ReportOutcome::Stale:
    ++this->Counts.StaleReports;
    return Outcome;
  case members::ReportOutcome::NewRun:
    // What was open while the earlier run still spoke was the earlier run's.
    // Later flows may be the new one's; it gives back what it doesn't hold.
    if (HadRun) {
      this->resetFlowsBefore(Now, LastHeard, "its upstream was restarted", Out);
    }
    this->SawUpstreamStart = HadRun || Report.Sequence <= FirstReports;
    if (Report.Sequence <= 1) {
      this->Gate.noteFirstReport();
    }
    this->LeftAt.reset();
    break;
  case members::ReportOutcome::Known:
    break;
  }
  this->Gate.noteHeard();
  if (this->condition(this->contextOf(Now)) != this->ToldCondition) {
    this->tellAll(Now, Out);
  }
  return Outcome;
}

void PacketAgent::onLeave(base::TimePoint Now, const std::string &Id,
                          PacketActions &Out) {
  if (this->Upstream.leave(Id)) {
    this->LeftAt = Now;
    this->tellAll(Now, Out);
  }
}

// Balancers.

void PacketAgent::onMessage(base::TimePoint Now, const base::Address &From,
                            const wire::RelayMessage &Message,
                            PacketActions &Out) {
  if (const auto *Hello = std::get_if<wire::BalancerHello>(&Message)) {
    this->onHello(Now, From, *Hello, Out);
  } else if (const auto *Recalled =
                 std::get_if<wire::FlowsRecalled>(&Message)) {
    this->onRecalled(Now, *Recalled);
  } else if (const auto *Query = std::get_if<wire::HolderQuery>(&Message)) {
    this->onQuery(Now, From, *Query, Out);
  }
}

void PacketAgent::onHello(base::TimePoint Now, const base::Address &From,
                          const wire::BalancerHello &Hello,
                          PacketActions &Out) {
  Balancer &Known = this->Balancers[From];
  bool IsNew = Known.Run != Hello.Run;
  Known = {Hello.Run, Now};
  if (Hello.News.Changed > this->NewsHeard.Changed) {
    this->NewsHeard = Hello.News;
  }
  if (!IsNew) {
    return;
  }
  wire::AgentStatus Status = this->status(Now);
  for (auto &[Id, Flow] : this->Flows.all()) {
    if (!Flow.IsPublished || Flow.Stage != FlowStage::Open) {
      continue;
    }
    Status.Opened.push_back(Id);
    if (Status.Opened.size() == wire::MaxFlowsPerMessage) {
      Out.Messages.push_back({{From}, Status});
      Status.Opened.clear();
    }
  }
  Out.Messages.push_back({{From}, std::move(Status)});
}

// Flows that an earlier run of this process was known to hold.
void PacketAgent::onRecalled(base::TimePoint Now,
                             const wire::FlowsRecalled &Recalled) {
  if (Recalled.AgentRun != this->Self.Run) {
    return;
  }
  for (const FlowId &Id : Recalled.Flows) {
    if (!this->Flows.find(Id)) {
      this->Flows.start(Now, Id, FlowStage::Open).IsPublished = true;
    }
  }
}

static wire::Holding holdingOf(FlowStage Stage) {
  switch (Stage) {
  case FlowStage::Opening:
    return wire::Holding::Unsure;
  case FlowStage::Absent:
    return wire::Holding::Absent;
  case FlowStage::Open:
  case FlowStage::Ending:
    break;
  }
  return wire::Holding::Held;
}

void PacketAgent::onQuery(base::TimePoint Now, const base::Address &From,
                          const wire::HolderQuery &Query, PacketActions &Out) {
  this->checkPause(Now);
  wire::HolderAnswer Answer;
  Answer.Name = this->Self.Name;
  Answer.Run = this->Self.Run;
  Answer.Flows = Query.Flows;
  for (const FlowId &Id : Query.Flows) {
    const HeldFlow *Flow = this->Flows.find(Id);
    wire::Holding Holding = this->knowsAllFlows(Now) ? wire::Holding::Absent
                                                     : wire::Holding::Unsure;
    if (Flow) {
      Holding = holdingOf(Flow->Stage);
    }
    Answer.Holdings.push_back(Holding);
  }
  Out.Messages.push_back({{From}, std::move(Answer)});
}

// False while the upstream may hold flows from before this process started. A
// flow that stays silent for longer than the idle timeout may be dropped, so
// after that time all that is open has shown itself. Where no heartbeat comes,
// there is no upstream that could hold any.
bool PacketAgent::knowsAllFlows(base::TimePoint Now) const {
  base::TimePoint Heard =
      std::max(this->ListeningSince, this->Upstream.heardAt());
  bool IsAlone = !this->Upstream.present() && Now - Heard > UnheardTime;
  return this->SawUpstreamStart || IsAlone ||
         Now - this->StartedAt > this->idleLife();
}

base::Duration PacketAgent::idleLife() const {
  const auto &Routes = this->Operators->Routes;
  return Routes && Routes->IdleTimeout > base::Duration(0) ? Routes->IdleTimeout
                                                           : DefaultIdleLife;
}

wire::AgentStatus PacketAgent::status(base::TimePoint Now) {
  admission::OpeningContext Call = this->contextOf(Now);
  wire::AgentStatus Status;
  Status.Name = this->Self.Name;
  Status.Run = this->Self.Run;
  Status.DataCentre = this->Self.DataCentre;
  Status.Data = this->Self.Data;
  Status.Working = this->waiting(Now);
  Status.Flows = this->Flows.inStage(FlowStage::Open);
  Status.KnowsAllFlows = this->knowsAllFlows(Now);
  Status.News = {Call.Operators.Changed, this->Self.Pages};
  if (const auto &Report = this->Upstream.present()) {
    Status.Service = Report->Service;
    Status.Slots = std::max<uint32_t>(1, Report->Slots);
  }
  Status.Condition = this->condition(Call);
  if (Status.Condition == wire::AgentCondition::InService) {
    Status.Budget = this->Gate.budget(Call);
  }
  return Status;
}

wire::AgentCondition
PacketAgent::condition(const admission::OpeningContext &Call) {
  if (this->IsStopping) {
    return wire::AgentCondition::Stopping;
  }
  switch (this->Gate.condition(Call)) {
  case HopTag::None:
    return wire::AgentCondition::InService;
  case HopTag::Draining:
    return wire::AgentCondition::Draining;
  case HopTag::Evacuated:
    return wire::AgentCondition::Evacuated;
  default:
    return wire::AgentCondition::NoUpstream;
  }
}

void PacketAgent::publishOpened(base::TimePoint Now, base::Duration MinAge) {
  for (auto &[Id, Flow] : this->Flows.all()) {
    bool IsDue = Flow.Stage == FlowStage::Open && !Flow.IsPublished &&
                 Now - Flow.OpenedAt >= MinAge;
    if (IsDue) {
      Flow.IsPublished = true;
      this->Opened.push_back(Id);
    }
  }
}

// Tells every balancer; long lists of flows are cut into several messages.
void PacketAgent::tellAll(base::TimePoint Now, PacketActions &Out) {
  wire::AgentStatus Status = this->status(Now);
  this->ToldCondition = Status.Condition;
  this->NextStatus = Now + StatusInterval;
  this->ToldAt = Now;
  this->ToldRoom = true;
  std::vector<base::Address> Receivers;
  for (const auto &[Address, Known] : this->Balancers) {
    Receivers.push_back(Address);
  }
  do {
    auto Move = [](std::vector<FlowId> &From, std::vector<FlowId> &To) {
      size_t Count = std::min(From.size(), wire::MaxFlowsPerMessage / 2);
      To.assign(From.end() - static_cast<std::ptrdiff_t>(Count), From.end());
      From.resize(From.size() - Count);
    };
    Move(this->Opened, Status.Opened);
    Move(this->Ended, Status.Ended);
    Out.Messages.push_back({Receivers, Status});
  } while (!this->Opened.empty() || !this->Ended.empty());
}

// Balancers that were refused hold flows back until they hear of room.
void PacketAgent::tellRoom(base::TimePoint Now, PacketActions &Out) {
  if (this->ToldRoom || Now - this->ToldAt < MinStatusInterval) {
    return;
  }
  admission::OpeningContext Call = this->contextOf(Now);
  bool HasRoom = this->Gate.condition(Call) == HopTag::None &&
                 this->Gate.budget(Call) > 0 && admission::hasRoom(Call);
  if (HasRoom) {
    this->tellAll(Now, Out);
  }
}

void PacketAgent::onStop(base::TimePoint Now, PacketActions &Out) {
  this->IsStopping = true;
  this->publishOpened(Now, base::Duration(0));
  this->tellAll(Now, Out);
}

void PacketAgent::onTick(base::TimePoint Now, PacketActions &Out) {
  this->checkPause(Now);
  if (this->LeftAt && Now - *this->LeftAt > LeaveDelay) {
    this->resetFlowsBefore(Now, *this->LeftAt, "its upstream has left", Out);
    this->LeftAt.reset();
  }
  this->tellRoom(Now, Out);
  if (Now < this->NextStatus) {
    return;
  }
  std::erase_if(this->Balancers, [&](const auto &Known) {
    return Now - Known.second.HeardAt > BalancerLife;
  });
  // Twice the idle timeout, since the upstream's own count may start later.
  this->Flows.expire(Now, 2 * this->idleLife(),
                     [&](const FlowId &Id, const HeldFlow &Flow) {
                       if (Flow.IsPublished) {
                         this->Ended.push_back(Id);
                       }
                     });
  this->publishOpened(Now, PublishAge);
  this->tellAll(Now, Out);
}

} // namespace bilberry::agent
