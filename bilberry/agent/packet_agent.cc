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

// A new upstream run whose first report has at most this sequence number may
// have been started while this process was running: the first heartbeat fails
// if this process isn't ready yet.
static constexpr uint64_t MaxFirstSequence = 2;
// An upstream without a heartbeat for this long is silent, or gone. The limit
// covers two heartbeats; they come from the same machine, and a failed one is
// retried at once.
static constexpr base::Duration MaxHeartbeatGap =
    std::chrono::milliseconds(2500);
// An opening packet of a known flow within this time of the flow's first
// opening packet is a copy of that packet. Copies arrive within 600 ms of the
// first.
static constexpr base::Duration OpeningCopyWindow =
    std::chrono::milliseconds(1500);
// A live caller sends its request within this time of its opening packet: two
// round trips, with some margin.
static constexpr base::Duration FirstRequestTimeout =
    std::chrono::milliseconds(50);
// The upstream, on the same machine, returns a packet of a flow that it doesn't
// hold within this time.
static constexpr base::Duration ProbeTimeout = std::chrono::milliseconds(50);

PacketAgent::PacketAgent(AgentIdentity Self, admission::ColdRateLimit Cold,
                         base::TimePoint StartedAt,
                         const targets::OperatorStateCache &StateCache)
    : Self(std::move(Self)),
      ReceiverId(packet::receiverId(this->Self.Name, this->Self.Service)),
      StartedAt(StartedAt), UnpausedSince(StartedAt), StateCache(StateCache),
      Operators(StateCache.current()),
      Admission(this->Self.DataCentre, Cold, StartedAt,
                this->Self.Overload.ReservesByPriority),
      Balancers(this->Self.Name, this->Self.DataCentre), NextStatus(StartedAt),
      NextRelayedStatus(StartedAt), LastClockReading(StartedAt) {}

admission::NewFlowContext PacketAgent::openingContext(base::TimePoint Now) {
  this->detectPause(Now);
  this->Operators = this->StateCache.current();
  return {Now, this->Upstream, *this->Operators, this->Flows.size(),
          this->waitingFlows(Now)};
}

// The number of flows that await a response, or whose caller is expected to
// send its first request soon. Flows opened more than FirstRequestTimeout ago
// that are still in stage Opening don't count: most of them were abandoned by
// their callers.
uint32_t PacketAgent::waitingFlows(base::TimePoint Now) const {
  return this->Flows.flowsAwaitingResponse() +
         std::min(this->Flows.inStage(FlowStage::Opening),
                  this->Admission.newFlowsSince(Now - FirstRequestTimeout));
}

// Ticks are far more frequent than PauseThreshold, so a longer gap is a pause
// of the process or the machine.
void PacketAgent::detectPause(base::TimePoint Now) {
  if (Now - this->LastClockReading > PauseThreshold) {
    this->Admission.recordPause(Now);
    this->UnpausedSince = Now;
  }
  this->LastClockReading = Now;
}

// Packets from callers.

void PacketAgent::onCallerPacket(base::TimePoint Now, const base::Address &From,
                                 const Packet &Packet, PacketActions &Out) {
  bool IsMisaddressed =
      Packet.Mark.Receiver != 0 && Packet.Mark.Receiver != this->ReceiverId;
  if (IsMisaddressed) {
    ++this->Counts.Misaddressed;
    Out.Decisions.push_back({"flow-returned", Packet.flowFromCaller(), From,
                             packet::hopTagText(HopTag::WrongAgent),
                             this->Operators->routeVersion()});
    this->returnPacket(From, Packet, HopTag::WrongAgent, Out);
    return;
  }
  if (Packet.opensFlow()) {
    this->onOpening(Now, From, Packet, Out);
    return;
  }
  HeldFlow *Flow = this->Flows.find(Packet.flowFromCaller());
  if (Flow && Flow->IsBeingProbed) {
    this->onPacketDuringProbe(Now, From, Packet, *Flow, Out);
  } else if (Flow && this->isHeldByUpstream(*Flow, Packet)) {
    this->deliver(Now, From, Packet, *Flow, Out);
  } else if (Flow || this->knowsAllFlows(Now)) {
    this->returnPacket(From, Packet, HopTag::NotHeld, Out);
  } else {
    this->probe(Now, From, Packet, Out);
  }
}

void PacketAgent::onOpening(base::TimePoint Now, const base::Address &From,
                            const Packet &Packet, PacketActions &Out) {
  FlowId Id = Packet.flowFromCaller();
  this->Balancers.recordOpening(Now, From.Ip);
  HeldFlow *Known = this->Flows.find(Id);
  bool IsCopy = Known && Known->Stage != FlowStage::Absent &&
                Now - Known->OpenedAt < OpeningCopyWindow;
  if (IsCopy && Known->Stage != FlowStage::Opening) {
    ++this->Counts.Dropped;
    return;
  }
  // A balancer that was paused may forward a copy long after the flow opened.
  // An opening packet of a new flow with the same addresses and ports has
  // another sequence number.
  bool IsOpen = Known && Known->Stage == FlowStage::Open;
  if (IsOpen && Known->OpeningSequence == Packet.Sequence) {
    ++this->Counts.Dropped;
    Out.Decisions.push_back({"flow-copy-dropped", Id, From,
                             "the flow is open already",
                             this->Operators->routeVersion()});
    return;
  }
  HopTag Reason = this->IsStopping
                      ? HopTag::NoUpstream
                      : this->Admission.check(this->openingContext(Now),
                                              Packet.Destination);
  if (Reason != HopTag::None) {
    // The upstream answers the first copy, so this one isn't needed.
    if (IsCopy) {
      ++this->Counts.Dropped;
      return;
    }
    Out.Decisions.push_back({"flow-returned", Id, From,
                             packet::hopTagText(Reason),
                             this->Operators->routeVersion()});
    this->IsCapacityAnnounced = false;
    this->Counts.Reserved += Reason == HopTag::Reserved ? 1 : 0;
    this->returnPacket(From, Packet, Reason, Out);
    return;
  }
  // If a previous run of this process admitted the flow, its opening sequence
  // number is unknown, and so is whether this packet reopens it: the upstream
  // decides that, and the agent keeps its state of the flow.
  bool KeepsRecord = IsCopy || (IsOpen && !Known->OpeningSequence);
  if (!KeepsRecord) {
    Known = &this->Flows.start(Now, Id, FlowStage::Opening);
    Known->OpeningSequence = Packet.Sequence;
    ++this->Counts.Opened;
    Out.Decisions.push_back({"flow-taken", Id, From,
                             this->Upstream.isCold(Now) ? "cold" : "warm",
                             this->Operators->routeVersion()});
  }
  this->Admission.recordNewFlow(Now, Id, KeepsRecord);
  this->deliver(Now, From, Packet, *Known, Out);
}

// Whether a packet that doesn't open a flow belongs to the flow that this
// agent's upstream holds. If the opening packet reached two upstreams, the
// caller acknowledges the sequence number of only one of them.
bool PacketAgent::isHeldByUpstream(HeldFlow &Flow, const Packet &Packet) {
  if (Flow.Stage == FlowStage::Absent) {
    return false;
  }
  if (Flow.Stage != FlowStage::Opening || Packet.IsReset) {
    return true;
  }
  bool AcknowledgesUpstream =
      Flow.UpstreamSequence &&
      routing::acknowledges(Packet.Acknowledged, *Flow.UpstreamSequence);
  if (AcknowledgesUpstream) {
    this->Flows.setStage(Flow, FlowStage::Open);
  }
  return AcknowledgesUpstream;
}

void PacketAgent::deliver(base::TimePoint Now, const base::Address &From,
                          const Packet &Packet, HeldFlow &Flow,
                          PacketActions &Out) {
  Flow.LastPacketAt = Now;
  Flow.Balancer = From;
  if (Packet.IsAck) {
    Flow.CallerAcknowledged = Packet.Acknowledged;
  }
  if (Packet.DataBytes > 0 && Flow.Stage == FlowStage::Open) {
    this->Flows.recordCallerData(Now, Flow, Packet);
    this->Admission.recordPacketSent(Now);
  }
  this->Flows.recordFinOrReset(Flow, Packet, true);
  ++this->Counts.Delivered;
  Out.Packets.push_back(
      {packet::Receiver::Upstream, {}, Packet.Bytes, {}, false});
}

// Delivers the packet to find out whether the upstream holds the flow. A silent
// upstream isn't probed, so that the search goes on elsewhere.
void PacketAgent::probe(base::TimePoint Now, const base::Address &From,
                        const Packet &Packet, PacketActions &Out) {
  bool IsKnown = Packet.Mark.Tag == HopTag::Holder;
  if (!IsKnown && this->isUpstreamSilent(Now)) {
    this->returnProbe(From, Packet, HopTag::NoUpstream, Out);
    return;
  }
  HeldFlow &Flow =
      this->Flows.start(Now, Packet.flowFromCaller(),
                        IsKnown ? FlowStage::Open : FlowStage::Opening);
  Flow.IsBeingProbed = !IsKnown;
  Flow.ProbedAt = Now;
  ++this->Counts.Probes;
  Out.Decisions.push_back({"flow-probed", Packet.flowFromCaller(), From,
                           packet::hopTagText(Packet.Mark.Tag),
                           this->Operators->routeVersion()});
  this->deliver(Now, From, Packet, Flow, Out);
}

// Handles a further packet of a flow that is being probed. A live upstream
// returns packets of unknown flows at once, so the flow is probably held if the
// upstream has sent anything since the last probe: then the packet is delivered
// as another probe, with those that follow at once, because the upstream may
// not acknowledge a single one. If the upstream has sent nothing, the search
// goes on elsewhere.
void PacketAgent::onPacketDuringProbe(base::TimePoint Now,
                                      const base::Address &From,
                                      const Packet &Packet, HeldFlow &Flow,
                                      PacketActions &Out) {
  if (Now - Flow.OpenedAt < ProbeTimeout) {
    ++this->Counts.Dropped;
    return;
  }
  if (Now - Flow.ProbedAt >= ProbeTimeout) {
    if (this->HeardFromUpstreamAt < Flow.ProbedAt) {
      this->returnProbe(From, Packet, HopTag::Unanswered, Out);
      return;
    }
    Flow.ProbedAt = Now;
  }
  this->deliver(Now, From, Packet, Flow, Out);
}

void PacketAgent::returnProbe(const base::Address &From, const Packet &Packet,
                              HopTag Reason, PacketActions &Out) {
  ++this->Counts.UnansweredProbes;
  Out.Decisions.push_back({"flow-returned", Packet.flowFromCaller(), From,
                           packet::hopTagText(Reason),
                           this->Operators->routeVersion()});
  this->returnPacket(From, Packet, Reason, Out);
}

void PacketAgent::returnPacket(const base::Address &To, const Packet &Packet,
                               HopTag Reason, PacketActions &Out) {
  ++this->Counts.Returned;
  Out.Packets.push_back(
      {packet::Receiver::Peer, To, Packet.Bytes,
       packet::markOfReturn(Reason, this->Operators->routeVersion()), true});
}

// Packets from the upstream.

void PacketAgent::onUpstreamPacket(base::TimePoint Now, const Packet &Packet,
                                   PacketActions &Out) {
  this->HeardFromUpstreamAt = Now;
  if (Packet.IsBounced) {
    this->onBounced(Now, Packet, Out);
    return;
  }
  FlowId Id = Packet.flowFromUpstream();
  HeldFlow *Flow = this->Flows.find(Id);
  if (!Flow || Flow->Stage == FlowStage::Absent) {
    Flow = &this->Flows.start(
        Now, Id, Packet.IsSyn ? FlowStage::Opening : FlowStage::Open);
  }
  this->recordEvidence(Now, this->evidenceOf(Now, Packet, *Flow),
                       Flow->FirstUpstreamPacketAt, Out);
  Flow->LastPacketAt = Now;
  Flow->LastUpstreamPacketAt = Now;
  if (!Flow->FirstUpstreamPacketAt) {
    Flow->FirstUpstreamPacketAt = Now;
  }
  Flow->IsBeingProbed = false;
  if (Packet.IsSyn) {
    Flow->UpstreamSequence = Packet.Sequence;
  } else if (Flow->Stage == FlowStage::Opening) {
    this->Flows.setStage(*Flow, FlowStage::Open);
  }
  if (Packet.DataBytes > 0) {
    if (Flow->IsAwaitingResponse) {
      this->ServiceTime.record(Now, Now - Flow->LastRequestAt);
    }
    this->Flows.setAwaitingResponse(*Flow, false);
    this->announceFreeCapacity(Now, Out);
  }
  this->Flows.recordFinOrReset(*Flow, Packet, false);
  ++this->Counts.SentToCallers;
  Out.Packets.push_back(
      {packet::Receiver::Caller, Packet.Destination, Packet.Bytes, {}, false});
}

// Handles a caller's packet that the upstream returned.
void PacketAgent::onBounced(base::TimePoint Now, const Packet &Packet,
                            PacketActions &Out) {
  ++this->Counts.Bounced;
  FlowId Id = Packet.flowFromCaller();
  HeldFlow *Flow = this->Flows.find(Id);
  // The upstream may discard a flow that has been idle for longer.
  bool WasHeld = Flow && Flow->Stage == FlowStage::Open &&
                 Now - Flow->LastUpstreamPacketAt < this->idleTimeout();
  admission::UpstreamEvidence Evidence =
      Packet.opensFlow() ? this->Admission.recordOpeningAnswer(Now, Id)
                         : admission::UpstreamEvidence::Inconclusive;
  this->recordEvidence(
      Now, WasHeld ? admission::UpstreamEvidence::LostFlow : Evidence, {}, Out);
  bool IsFlowEnded = !Flow || Flow->Stage == FlowStage::Ending ||
                     Flow->Stage == FlowStage::Absent;
  if (IsFlowEnded) {
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
  this->returnPacket(Balancer, Packet, Reason, Out);
}

// What a packet that the upstream sent on the flow shows about its run.
admission::UpstreamEvidence PacketAgent::evidenceOf(base::TimePoint Now,
                                                    const Packet &Packet,
                                                    const HeldFlow &Flow) {
  if (!Packet.IsSyn) {
    return admission::UpstreamEvidence::HoldsFlow;
  }
  admission::UpstreamEvidence Evidence =
      this->Admission.recordOpeningAnswer(Now, Packet.flowFromUpstream());
  // A run answers each copy of an opening packet with the same number.
  bool IsAnsweredAnew = Flow.Stage == FlowStage::Opening &&
                        Flow.UpstreamSequence &&
                        *Flow.UpstreamSequence != Packet.Sequence;
  return IsAnsweredAnew ? admission::UpstreamEvidence::LostFlow : Evidence;
}

static std::string_view evidenceText(admission::UpstreamEvidence Evidence) {
  switch (Evidence) {
  case admission::UpstreamEvidence::HoldsFlow:
    return "it holds an earlier flow";
  case admission::UpstreamEvidence::Inconclusive:
    return "it answered after a silence";
  case admission::UpstreamEvidence::SkippedOpening:
    return "it left out an opening packet";
  case admission::UpstreamEvidence::LostFlow:
    return "it lost a flow";
  }
  return "";
}

void PacketAgent::recordEvidence(base::TimePoint Now,
                                 admission::UpstreamEvidence Evidence,
                                 std::optional<base::TimePoint> HeldSince,
                                 PacketActions &Out) {
  admission::SuspicionChange Change =
      this->Admission.recordPacketReceived(Now, Evidence, HeldSince);
  if (Change == admission::SuspicionChange::None) {
    return;
  }
  bool IsRaised = Change == admission::SuspicionChange::Raised;
  ++(IsRaised ? this->Counts.SuspectedRestarts
              : this->Counts.WithdrawnSuspicions);
  Out.Events.push_back(
      std::string(IsRaised ? "event=upstream-restart-suspected reason=\""
                           : "event=upstream-restart-ruled-out reason=\"") +
      std::string(evidenceText(Evidence)) + "\"");
}

void PacketAgent::reset(base::TimePoint Now, const FlowId &Id, HeldFlow &Flow,
                        std::string_view Reason, PacketActions &Out) {
  Out.Resets.push_back({Id, Flow.CallerAcknowledged});
  Out.Decisions.push_back({"flow-reset", Id, {}, Reason, 0, true});
  ++this->Counts.Resets;
  if (Flow.IsAnnounced) {
    this->changesFor(Flow).Ended.push_back(Id);
  }
  this->Flows.setAwaitingResponse(Flow, false);
  this->Flows.setStage(Flow, FlowStage::Ending);
  Flow.LastPacketAt = Now;
}

// Resets the open flows of an upstream that is gone, so that their callers
// don't have to wait for a timeout.
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

// Reports from the upstream.

members::HeartbeatOutcome
PacketAgent::onReport(base::TimePoint Now,
                      const members::UpstreamHeartbeat &Report,
                      PacketActions &Out) {
  this->detectPause(Now);
  if (!this->isOwnUpstream(Report)) {
    ++this->Counts.ForeignReports;
    if (this->mayHaveReplacedUpstream(Report)) {
      this->Admission.recordPause(Now);
      this->sendStatus(Now, true, Out);
    }
    return members::HeartbeatOutcome::Foreign;
  }
  bool HadRun = this->Upstream.currentRun().has_value();
  bool WasDraining = HadRun && this->Upstream.currentRun()->IsDraining;
  base::TimePoint PreviousHeartbeat = this->Upstream.lastHeartbeatAt();
  members::HeartbeatOutcome Outcome =
      this->Upstream.applyHeartbeat(Now, Report);
  switch (Outcome) {
  case members::HeartbeatOutcome::Stale:
    ++this->Counts.StaleReports;
    return Outcome;
  case members::HeartbeatOutcome::Foreign:
  case members::HeartbeatOutcome::Repeated:
    return Outcome;
  case members::HeartbeatOutcome::NewRun:
    // Flows opened before the previous run's last heartbeat belonged to that
    // run. Later ones may belong to the new run, which returns the packets of
    // flows that it doesn't hold.
    if (HadRun) {
      this->resetFlowsBefore(Now, PreviousHeartbeat,
                             "its upstream was restarted", Out);
    }
    if (HadRun && !WasDraining) {
      this->Damping.recordFailure(Now);
    }
    this->ServiceTime.reset();
    this->SawUpstreamStart = HadRun || this->startedBefore(Report);
    if (Report.Sequence <= 1) {
      this->Admission.recordFirstHeartbeat();
    }
    this->UpstreamLeftAt.reset();
    break;
  case members::HeartbeatOutcome::Known:
    break;
  }
  this->HeardFromUpstreamAt = Now;
  this->Admission.recordHeartbeat();
  if (this->condition(this->openingContext(Now)) != this->LastSentCondition) {
    this->sendStatus(Now, true, Out);
  }
  return Outcome;
}

// Other processes may send heartbeats too. One that doesn't describe the
// upstream on this VM must not replace its current run, whose flows would be
// reset.
bool PacketAgent::isOwnUpstream(
    const members::UpstreamHeartbeat &Report) const {
  return Report.Service == this->Self.Service &&
         Report.Address == this->Self.Upstream &&
         Report.DataCentre == this->Self.DataCentre;
}

// True if the report comes from the upstream's address, but for another service
// of the routes and from a later start: the address may be in use again. Then
// the upstream gets no new flows until its own next heartbeat.
bool PacketAgent::mayHaveReplacedUpstream(
    const members::UpstreamHeartbeat &Report) const {
  const auto &Routes = this->StateCache.current()->Routes;
  const auto &Run = this->Upstream.currentRun();
  return Run && Routes && Report.Address == this->Self.Upstream &&
         Routes->Services.contains(Report.Service) &&
         Report.StartedAt > Run->StartedAt;
}

// True if no earlier run of this process relayed packets of the upstream. Both
// start times are wall-clock times of the same machine.
bool PacketAgent::startedBefore(
    const members::UpstreamHeartbeat &Report) const {
  auto Started = std::chrono::milliseconds(this->Self.Run);
  return Report.Sequence <= 1 ||
         (Report.Sequence <= MaxFirstSequence && Report.StartedAt >= Started);
}

bool PacketAgent::onLeave(base::TimePoint Now, const std::string &Id,
                          PacketActions &Out) {
  if (this->Upstream.removeRun(Id)) {
    this->UpstreamLeftAt = Now;
    this->sendStatus(Now, true, Out);
  }
  return !this->Upstream.currentRun().has_value();
}

// Messages from balancers.

void PacketAgent::onMessage(base::TimePoint Now, const base::Address &From,
                            const wire::RelayMessage &Message,
                            PacketActions &Out) {
  if (const auto *Hello = std::get_if<wire::BalancerHello>(&Message)) {
    this->onBalancerHello(Now, From, *Hello, Out);
  } else if (const auto *Recalled = std::get_if<wire::KnownFlows>(&Message)) {
    this->onFlowsRecalled(Now, From, *Recalled);
  } else if (const auto *Query = std::get_if<wire::HolderQuery>(&Message)) {
    this->onHolderQuery(Now, From, *Query, Out);
  }
}

void PacketAgent::onBalancerHello(base::TimePoint Now,
                                  const base::Address &From,
                                  const wire::BalancerHello &Hello,
                                  PacketActions &Out) {
  bool IsNew = this->Balancers.record(Now, From, Hello);
  // Of several balancers with the newest version, the one heard last is the
  // most likely to be running when the documents are fetched.
  if (!wire::isNewer(this->NewestDocumentsVersion, Hello.Documents)) {
    this->NewestDocumentsVersion = Hello.Documents;
  }
  if (!IsNew && !Hello.AsksForStatus) {
    return;
  }
  wire::AgentStatus Status = this->status(Now);
  const base::DataCentreName &DataCentre =
      this->Balancers.dataCentreOf(From.Ip);
  if (DataCentre == this->Self.DataCentre) {
    Status.NearBalancers = this->Balancers.nearBalancers(Now);
  }
  for (auto &[Id, Flow] : this->Flows.all()) {
    bool IsListed =
        IsNew && Flow.IsAnnounced && Flow.Stage == FlowStage::Open &&
        this->Balancers.dataCentreOf(Flow.Balancer.Ip) == DataCentre;
    if (!IsListed) {
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

// Restores the flows that a previous run of this process had published.
void PacketAgent::onFlowsRecalled(base::TimePoint Now,
                                  const base::Address &From,
                                  const wire::KnownFlows &Recalled) {
  if (Recalled.AgentRun != this->Self.Run) {
    return;
  }
  for (const FlowId &Id : Recalled.Flows) {
    if (!this->Flows.find(Id)) {
      HeldFlow &Flow = this->Flows.start(Now, Id, FlowStage::Open);
      Flow.IsAnnounced = true;
      Flow.Balancer = From;
    }
  }
}

static wire::FlowPresence presenceForStage(FlowStage Stage) {
  switch (Stage) {
  case FlowStage::Opening:
    return wire::FlowPresence::Unsure;
  case FlowStage::Absent:
    return wire::FlowPresence::Absent;
  case FlowStage::Open:
  case FlowStage::Ending:
    break;
  }
  return wire::FlowPresence::Held;
}

void PacketAgent::onHolderQuery(base::TimePoint Now, const base::Address &From,
                                const wire::HolderQuery &Query,
                                PacketActions &Out) {
  this->detectPause(Now);
  wire::HolderAnswer Answer;
  Answer.Name = this->Self.Name;
  Answer.Run = this->Self.Run;
  Answer.Flows = Query.Flows;
  for (const FlowId &Id : Query.Flows) {
    const HeldFlow *Flow = this->Flows.find(Id);
    wire::FlowPresence FlowPresence = this->knowsAllFlows(Now)
                                          ? wire::FlowPresence::Absent
                                          : wire::FlowPresence::Unsure;
    if (Flow) {
      FlowPresence = presenceForStage(Flow->Stage);
    }
    Answer.Presences.push_back(FlowPresence);
  }
  Out.Messages.push_back({{From}, std::move(Answer)});
}

// True if the upstream has sent neither a packet nor a heartbeat for longer
// than its heartbeat interval.
bool PacketAgent::isUpstreamSilent(base::TimePoint Now) const {
  return Now - std::max(this->UnpausedSince, this->HeardFromUpstreamAt) >
         MaxHeartbeatGap;
}

// True while an upstream may be running from which this process hasn't received
// a heartbeat yet.
bool PacketAgent::mayHaveUpstream(base::TimePoint Now) const {
  return this->Upstream.lastHeartbeatAt() == base::TimePoint() &&
         Now - this->UnpausedSince <= MaxHeartbeatGap;
}

// False while the upstream may hold flows from before this process started. A
// flow may be dropped after the idle timeout, so once that has passed every
// open flow has sent a packet through this process. Without heartbeats there is
// no upstream that could hold any flow.
bool PacketAgent::knowsAllFlows(base::TimePoint Now) const {
  base::TimePoint LastHeartbeat =
      std::max(this->UnpausedSince, this->Upstream.lastHeartbeatAt());
  bool HasNoUpstream =
      !this->Upstream.currentRun() && Now - LastHeartbeat > MaxHeartbeatGap;
  return this->SawUpstreamStart || HasNoUpstream ||
         Now - this->StartedAt > this->idleTimeout();
}

base::Duration PacketAgent::idleTimeout() const {
  const auto &Routes = this->Operators->Routes;
  return Routes && Routes->IdleTimeout > base::Duration(0) ? Routes->IdleTimeout
                                                           : DefaultIdleTimeout;
}

wire::AgentStatus PacketAgent::status(base::TimePoint Now) {
  admission::NewFlowContext Context = this->openingContext(Now);
  wire::AgentStatus Status;
  Status.Name = this->Self.Name;
  Status.Run = this->Self.Run;
  Status.DataCentre = this->Self.DataCentre;
  Status.Data = this->Self.Data;
  Status.WaitingFlows = this->waitingFlows(Now);
  Status.Flows = this->Flows.inStage(FlowStage::Open);
  Status.KnowsAllFlows = this->knowsAllFlows(Now);
  Status.Documents = {Context.Operators.Changed, this->Self.Pages,
                      Context.Operators.Era};
  Status.Sequence = ++this->LastSequence;
  Status.AdmittedFlows = this->Counts.Opened;
  if (const auto &Report = this->Upstream.currentRun()) {
    Status.Service = Report->Service;
    Status.Slots = std::max<uint32_t>(1, Report->Slots);
  }
  Status.Condition = this->condition(Context);
  if (Status.Condition == wire::AgentCondition::InService) {
    Status.RemainingNewFlows = this->Admission.remainingNewFlows(Context);
  }
  Status.ServiceTimeUs = static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          this->ServiceTime.expected(Now, Status.WaitingFlows, Status.Slots))
          .count());
  Status.IsUnstable = this->Self.DampsFlapping && this->Damping.isUnstable();
  base::Duration ColdLeft = this->Upstream.coldLeft(Now);
  if (ColdLeft > base::Duration(0)) {
    Status.ColdLeftMs = static_cast<uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(ColdLeft).count());
    Status.ColdFlowsPerSecond = this->Admission.maxColdNewFlows(Context);
  }
  return Status;
}

// Records when the upstream stops responding, and whether it has become stable
// or unstable.
void PacketAgent::updateDamping(base::TimePoint Now, PacketActions &Out) {
  bool IsSilent = this->Admission.hasTimedOut(Now);
  if (IsSilent && !this->WasSilent) {
    this->Damping.recordFailure(Now);
  }
  this->WasSilent = IsSilent;
  bool WasUnstable = this->Damping.isUnstable();
  bool IsUnstable = this->Damping.update(Now);
  if (!this->Self.DampsFlapping || IsUnstable == WasUnstable) {
    return;
  }
  this->Counts.BecameUnstable += IsUnstable ? 1 : 0;
  auto Tenths = static_cast<int>(this->Damping.penalty(Now) * 10);
  Out.Events.push_back(IsUnstable ? "event=upstream-unstable penalty-tenths=" +
                                        std::to_string(Tenths)
                                  : "event=upstream-stable");
  this->sendStatus(Now, true, Out);
}

wire::AgentCondition
PacketAgent::condition(const admission::NewFlowContext &Context) {
  if (this->IsStopping) {
    return wire::AgentCondition::Stopping;
  }
  switch (this->Admission.refusalReason(Context)) {
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

void PacketAgent::announceOpened(base::TimePoint Now, base::Duration MinAge) {
  for (auto &[Id, Flow] : this->Flows.all()) {
    bool IsDue = Flow.Stage == FlowStage::Open && !Flow.IsAnnounced &&
                 Now - Flow.OpenedAt >= MinAge;
    if (IsDue) {
      Flow.IsAnnounced = true;
      this->changesFor(Flow).Opened.push_back(Id);
    }
  }
}

PacketAgent::FlowChanges &PacketAgent::changesFor(const HeldFlow &Flow) {
  return this->Unannounced[this->Balancers.dataCentreOf(Flow.Balancer.Ip)];
}

// Sends the status to the balancers of this data centre, and to those of others
// that pass it on if IncludesRelays. Flows go only to the data centres where
// their callers' packets arrive.
void PacketAgent::sendStatus(base::TimePoint Now, bool IncludesRelays,
                             PacketActions &Out) {
  wire::AgentStatus Status = this->status(Now);
  this->LastSentCondition = Status.Condition;
  this->LastSentKnowsAllFlows = Status.KnowsAllFlows;
  this->NextStatus = Now + StatusInterval;
  this->LastStatusAt = Now;
  this->IsCapacityAnnounced = true;
  if (IncludesRelays) {
    this->NextRelayedStatus = Now + RelayInterval;
    std::vector<base::Address> Relays = this->Balancers.relays(Now);
    if (!Relays.empty()) {
      Out.Messages.push_back({std::move(Relays), Status});
    }
  }
  std::vector<base::Address> FarPlacers = this->Balancers.farPlacers(Now);
  if (!FarPlacers.empty()) {
    Out.Messages.push_back({std::move(FarPlacers), Status});
  }
  if (IncludesRelays) {
    Status.NearBalancers = this->Balancers.nearBalancers(Now);
  }
  // So that the loop includes this data centre even without changes.
  (void)this->Unannounced[this->Balancers.local()];
  this->sendFlowChanges(std::move(Status), Out);
}

// Long lists of flows are split into several messages.
void PacketAgent::sendFlowChanges(wire::AgentStatus Status,
                                  PacketActions &Out) {
  auto TakeBatch = [](std::vector<FlowId> &From, std::vector<FlowId> &To) {
    size_t Count = std::min(From.size(), wire::MaxFlowsPerMessage / 2);
    To.assign(From.end() - static_cast<std::ptrdiff_t>(Count), From.end());
    From.resize(From.size() - Count);
  };
  for (auto &[DataCentre, Changes] : this->Unannounced) {
    std::vector<base::Address> Receivers =
        this->Balancers.balancersIn(DataCentre);
    do {
      TakeBatch(Changes.Opened, Status.Opened);
      TakeBatch(Changes.Ended, Status.Ended);
      if (!Receivers.empty()) {
        Out.Messages.push_back({Receivers, Status});
      }
    } while (!Changes.Opened.empty() || !Changes.Ended.empty());
  }
  this->Unannounced.clear();
}

// Sends the status once the upstream can accept new flows again: until then,
// balancers to which new flows were returned queue them.
void PacketAgent::announceFreeCapacity(base::TimePoint Now,
                                       PacketActions &Out) {
  if (this->IsCapacityAnnounced ||
      Now - this->LastStatusAt < MinStatusInterval) {
    return;
  }
  admission::NewFlowContext Context = this->openingContext(Now);
  bool HasRoom = this->Admission.refusalReason(Context) == HopTag::None &&
                 this->Admission.remainingNewFlows(Context) > 0 &&
                 admission::hasWaitingCapacity(Context);
  if (HasRoom) {
    this->sendStatus(Now, false, Out);
  }
}

void PacketAgent::onStop(base::TimePoint Now, PacketActions &Out) {
  this->IsStopping = true;
  const auto &Run = this->Upstream.currentRun();
  this->OutlastsUpstream = Run && Run->IsDraining;
  this->announceOpened(Now, base::Duration(0));
  this->sendStatus(Now, true, Out);
  bool HasFlows = this->Flows.inStage(FlowStage::Open) > 0;
  this->StopStatusesLeft = HasFlows ? StopStatusCount - 1 : 0;
}

// Until this process has run for longer than a heartbeat interval, it doesn't
// know whether there is an upstream. If it exited, searches at all balancers
// would wait for its answer, while it can say that it doesn't know.
bool PacketAgent::isReadyToExit(base::TimePoint Now) const {
  bool IsUpstreamUnknown =
      !this->Upstream.currentRun() && this->mayHaveUpstream(Now);
  bool AwaitsUpstream =
      this->OutlastsUpstream && this->Upstream.currentRun().has_value();
  return !AwaitsUpstream && !IsUpstreamUnknown && !this->UpstreamLeftAt &&
         this->StopStatusesLeft == 0;
}

bool PacketAgent::mustFollowStore(base::TimePoint Now) const {
  return Now - this->StartedAt >= FollowerDiscoveryTime &&
         !this->Balancers.hasFollower(Now);
}

void PacketAgent::onTick(base::TimePoint Now, PacketActions &Out) {
  this->detectPause(Now);
  if (this->UpstreamLeftAt &&
      Now - *this->UpstreamLeftAt > ResetDelayAfterLeave) {
    this->resetFlowsBefore(Now, *this->UpstreamLeftAt, "its upstream has left",
                           Out);
    this->UpstreamLeftAt.reset();
  }
  this->updateDamping(Now, Out);
  this->announceFreeCapacity(Now, Out);
  if (this->StopStatusesLeft > 0) {
    --this->StopStatusesLeft;
    this->sendStatus(Now, true, Out);
    return;
  }
  // Balancers wait for this agent in searches until they know.
  if (this->knowsAllFlows(Now) != this->LastSentKnowsAllFlows) {
    this->sendStatus(Now, true, Out);
    return;
  }
  if (Now < this->NextStatus) {
    return;
  }
  this->Balancers.expire(Now);
  // Twice the idle timeout, since the upstream's own timer may start later.
  this->Flows.expire(Now, 2 * this->idleTimeout(),
                     [&](const FlowId &Id, const HeldFlow &Flow) {
                       if (Flow.IsAnnounced) {
                         this->changesFor(Flow).Ended.push_back(Id);
                       }
                     });
  this->announceOpened(Now, MinPublishAge);
  this->sendStatus(Now, Now >= this->NextRelayedStatus, Out);
}

} // namespace bilberry::agent
