#include "bilberry/routing/packet_router.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace bilberry::routing {

using members::AgentIndex;
using members::AgentView;
using members::NoAgent;
using packet::FlowId;
using packet::HopTag;
using packet::Packet;
using packet::PacketActions;

// Interval between scans for expired flows and placements.
static constexpr base::Duration ExpiryInterval = std::chrono::seconds(1);

PacketRouter::PacketRouter(BalancerIdentity Self, base::TimePoint StartedAt,
                           const targets::OperatorStateCache &StateCache)
    : Self(std::move(Self)), StartedAt(StartedAt), StateCache(StateCache),
      Operators(StateCache.current()), Agents(this->Self.DataCentre),
      Search(Agents, this->Self.DataCentre),
      Peers({this->Self.Name, this->Self.Run, this->Self.DataCentre,
             this->Self.Control},
            StartedAt, Agents),
      Queue(this->Self.Overload.CallersTakeTurns), LastTickAt(StartedAt),
      DiscoveryEndsAt(StartedAt + AgentDiscoveryTime) {}

void PacketRouter::sendToAgent(AgentIndex Index, std::span<char> Bytes,
                               HopTag Tag, PacketActions &Out) const {
  const AgentView &View = this->Agents.at(Index);
  Out.Packets.push_back({packet::Receiver::Peer, View.Data, Bytes,
                         packet::markForAgent(Tag, View.ReceiverId), false});
}

uint64_t PacketRouter::routeVersion() const {
  return this->Operators->routeVersion();
}

bool PacketRouter::isReady() const {
  if (!this->StateCache.current()->Routes) {
    return false;
  }
  for (size_t I = 0; I < this->Agents.size(); ++I) {
    if (this->Agents.at(static_cast<AgentIndex>(I)).hasStatus()) {
      return true;
    }
  }
  return false;
}

double PacketRouter::arrivalsPerSecond() const {
  double Sum = 0;
  for (size_t I = 0; I < this->Agents.size(); ++I) {
    const AgentView &View = this->Agents.at(static_cast<AgentIndex>(I));
    Sum += View.IsGone ? 0 : View.Arrivals.perSecond();
  }
  return Sum;
}

void PacketRouter::recordFlow(base::TimePoint Now, const FlowId &Id,
                              AgentIndex Holder, bool IsConfirmed) {
  if (this->Flows.size() >= this->Self.MaxFlows && !this->Flows.contains(Id)) {
    return;
  }
  KnownFlow &Flow = this->Flows[Id];
  bool WasConfirmed = Flow.Holder == Holder && Flow.IsConfirmed;
  if (Flow.Holder != Holder) {
    Flow = KnownFlow();
    Flow.PlacedAt = Now;
    Flow.ReportDueAt = Now + HolderReportTimeout;
  }
  Flow.Holder = Holder;
  Flow.IsConfirmed = IsConfirmed || WasConfirmed;
  Flow.LastPacketAt = Now;
}

// Callers' packets.

void PacketRouter::onCallerPacket(base::TimePoint Now, const Packet &Packet,
                                  PacketActions &Out) {
  if (Packet.opensFlow()) {
    this->onOpening(Now, Packet, Out);
    return;
  }
  auto It = this->Flows.find(Packet.flowFromCaller());
  if (It == this->Flows.end()) {
    this->search(Now, Packet, Out);
    return;
  }
  KnownFlow &Flow = It->second;
  const AgentView &Holder = this->Agents.at(Flow.Holder);
  switch (
      decideForward(Now, Flow, Holder, this->mayGoneHolderServe(Now, Flow))) {
  case ForwardDecision::Send:
    this->forward(Now, Packet, Flow, Out);
    return;
  case ForwardDecision::SendAndAsk:
    this->askHolder(Now, It->first, Flow, Out);
    this->forward(Now, Packet, Flow, Out);
    return;
  case ForwardDecision::SendAndSearch:
    this->forward(Now, Packet, Flow, Out);
    this->searchDoubtfulFlow(Now, Packet, Flow.Holder, Out);
    return;
  case ForwardDecision::Search: {
    AgentIndex AssumedHolder = Flow.Holder;
    this->Flows.erase(It);
    this->searchDoubtfulFlow(Now, Packet, AssumedHolder, Out);
    return;
  }
  case ForwardDecision::Reset:
    Out.Resets.push_back({It->first, Packet.Acknowledged});
    Out.Decisions.push_back({"flow-reset", It->first, Holder.Data,
                             "its agent is gone", this->routeVersion(), true});
    ++this->Counts.Resets;
    this->Flows.erase(It);
    return;
  }
}

// True if the flow's holder counts as gone here, but may still serve. Also if
// another balancer lists it, or if this balancer receives no messages at all
// and so may be the process that is cut off.
bool PacketRouter::mayGoneHolderServe(base::TimePoint Now,
                                      const KnownFlow &Flow) const {
  if (!this->Agents.at(Flow.Holder).IsGone) {
    return false;
  }
  bool IsIsolated =
      this->Agents.size() > 1 && Now - this->LastMessageAt > IsolationTimeout;
  return this->Agents.mayStillServe(Now, Flow.Holder, this->flowLifetime()) ||
         IsIsolated || !this->Peers.lists().coversOthers(Now);
}

// Asks the assumed holder alone: a lost report must not cost a query to every
// agent.
void PacketRouter::askHolder(base::TimePoint Now, const FlowId &Id,
                             KnownFlow &Flow, PacketActions &Out) {
  Flow.IsHolderAsked = true;
  Flow.ReportDueAt = Now + HolderAnswerTimeout;
  ++this->Counts.HoldersAsked;
  const AgentView &Holder = this->Agents.at(Flow.Holder);
  Out.Messages.push_back({{Holder.Control}, wire::HolderQuery{{Id}}});
  Out.Decisions.push_back({"flow-unconfirmed", Id, Holder.Data,
                           "its agent hasn't reported it",
                           this->routeVersion()});
}

void PacketRouter::searchDoubtfulFlow(base::TimePoint Now, const Packet &Packet,
                                      AgentIndex AssumedHolder,
                                      PacketActions &Out) {
  FlowId Id = Packet.flowFromCaller();
  if (!this->Search.contains(Id)) {
    const AgentView &Holder = this->Agents.at(AssumedHolder);
    ++this->Counts.HoldersInDoubt;
    Out.Decisions.push_back(
        {"flow-unconfirmed", Id, Holder.Data,
         Holder.IsGone ? "its agent is gone" : "its agent is silent",
         this->routeVersion()});
  }
  this->search(Now, Packet, Out);
}

void PacketRouter::forward(base::TimePoint Now, const Packet &Packet,
                           KnownFlow &Flow, PacketActions &Out) {
  Flow.LastPacketAt = Now;
  Flow.IsOpening = false;
  Flow.IsClosing = Flow.IsClosing || Packet.IsFin || Packet.IsReset;
  ++this->Counts.Forwarded;
  HopTag Tag = Flow.IsConfirmed ? HopTag::Holder : HopTag::Probe;
  this->sendToAgent(Flow.Holder, Packet.Bytes, Tag, Out);
}

void PacketRouter::onOpening(base::TimePoint Now, const Packet &Packet,
                             PacketActions &Out) {
  FlowId Id = Packet.flowFromCaller();
  // A search in progress is for an earlier flow with the same endpoints.
  this->Search.cancel(Id);
  if (this->Queue.contains(Id)) {
    ++this->Counts.Dropped;
    return;
  }
  auto Known = this->Flows.find(Id);
  if (Known != this->Flows.end()) {
    KnownFlow &Flow = Known->second;
    bool IsDuplicate = Now - Flow.PlacedAt < PlacementLifetime;
    if (IsDuplicate && !Flow.IsOpening) {
      ++this->Counts.Dropped;
      return;
    }
    const AgentView &Holder = this->Agents.at(Flow.Holder);
    if (IsDuplicate && !Holder.IsGone) {
      bool IsPlacedAgain = isHolderInDoubt(Now, Flow, Holder) &&
                           this->placeCopy(Now, Packet, Out);
      if (!IsPlacedAgain) {
        this->sendToAgent(Flow.Holder, Packet.Bytes, HopTag::Opening, Out);
      }
      return;
    }
    this->Flows.erase(Known);
  }
  this->placeFlow(Now, Packet, Out);
}

// Sends a copy of an opening packet to the best upstream. Returns false if none
// has capacity.
bool PacketRouter::placeCopy(base::TimePoint Now, const Packet &Packet,
                             PacketActions &Out) {
  this->Operators = this->StateCache.current();
  const targets::Route *Route =
      this->Operators->Routes
          ? this->Operators->Routes->find(Packet.Destination)
          : nullptr;
  return Route && this->tryPlace(Now, Packet.flowFromCaller(), Packet.Bytes,
                                 *Route, Out);
}

// Sends a new flow to the best upstream that hasn't refused it, queues it, or
// refuses it.
void PacketRouter::placeFlow(base::TimePoint Now, const Packet &Packet,
                             PacketActions &Out) {
  this->Operators = this->StateCache.current();
  if (!this->Operators->Routes) {
    this->queueOpening(Now, Packet, nullptr, Out);
    return;
  }
  const targets::Route *Route =
      this->Operators->Routes->find(Packet.Destination);
  if (!Route) {
    ++this->Counts.NoRoute;
    this->refuse(Packet, "no such route", Out);
    return;
  }
  if (this->tryPlace(Now, Packet.flowFromCaller(), Packet.Bytes, *Route, Out)) {
    return;
  }
  if (this->mayQueue(Now, *Route)) {
    this->queueOpening(Now, Packet, Route, Out);
  } else {
    this->refuse(Packet, "no upstream takes it", Out);
  }
}

bool PacketRouter::tryPlace(base::TimePoint Now, const FlowId &Id,
                            std::span<char> Bytes, const targets::Route &Route,
                            PacketActions &Out) {
  auto Started = this->Placements.find(Id);
  static const TriedAgents None;
  const TriedAgents &Tried =
      Started == this->Placements.end() ? None : Started->second.Tried;
  if (Tried.size() >= MaxPlacementAttempts) {
    return false;
  }
  uint64_t Hash = packet::flowHash(Id);
  AgentIndex Chosen = chooseUpstream(
      this->Agents,
      {Now, Route.selectService(Hash), this->Self.DataCentre, Hash, Tried,
       this->Self.Placement.Policy, this->Peers.heard(Now) + 1});
  if (Chosen == NoAgent) {
    return false;
  }
  AgentView &View = this->Agents.at(Chosen);
  recordPlacement(Now, View, 1);
  bool IsNear = View.Status.DataCentre == this->Self.DataCentre;
  ++(IsNear ? this->Counts.PlacedNear : this->Counts.PlacedElsewhere);
  this->recordFlow(Now, Id, Chosen, false);
  if (auto It = this->Flows.find(Id); It != this->Flows.end()) {
    It->second.IsOpening = true;
  }
  Out.Decisions.push_back({"flow-placed", Id, View.Data,
                           IsNear ? "near" : "elsewhere",
                           this->routeVersion()});
  this->sendToAgent(Chosen, Bytes, HopTag::Opening, Out);
  return true;
}

// Returns true if an upstream is expected to accept the route's flows before
// their callers give up.
bool PacketRouter::mayQueue(base::TimePoint Now,
                            const targets::Route &Route) const {
  if (Now - this->StartedAt < StartupGracePeriod) {
    return true;
  }
  return std::ranges::any_of(
      Route.Shares, [&](const targets::RouteShare &Share) {
        auto LastServed = this->LastServedAt.find(Share.Service);
        return LastServed != this->LastServedAt.end() &&
               Now - LastServed->second < ServiceOutage;
      });
}

void PacketRouter::queueOpening(base::TimePoint Now, const Packet &Packet,
                                const targets::Route *Route,
                                PacketActions &Out) {
  FlowId Id = Packet.flowFromCaller();
  // A packet that was placed and returned keeps its original arrival time.
  auto Started = this->Placements.find(Id);
  base::TimePoint ArrivedAt = Now;
  if (Started != this->Placements.end()) {
    ArrivedAt = Started->second.StartedAt;
    Started->second.Tried.clear();
  }
  bool IsQueued = this->Queue.hold(
      {Id, std::string(Packet.Bytes.data(), Packet.Bytes.size()), ArrivedAt,
       Route ? Route->Priority : 0,
       Route ? Route->LatencyTarget : base::Duration(0)});
  if (!IsQueued) {
    this->refuse(Packet, "opening queue full", Out);
    return;
  }
  ++this->Counts.Held;
  Out.Decisions.push_back(
      {"flow-held", Id, {}, "no upstream has capacity", this->routeVersion()});
}

// Places queued opening packets while upstreams have capacity.
void PacketRouter::placeQueuedOpenings(base::TimePoint Now,
                                       PacketActions &Out) {
  this->Counts.GivenUp += this->Queue.expire(Now);
  this->Operators = this->StateCache.current();
  if (this->Queue.size() == 0 || !this->Operators->Routes) {
    return;
  }
  // Routes without capacity: after one flow of a route couldn't be placed,
  // later ones can't be either.
  std::set<const targets::Route *> FullRoutes;
  this->Queue.offerAll(Now, [&](admission::QueuedNewFlow &Held) {
    const targets::Route *Route =
        this->Operators->Routes->find(Held.Flow.Route);
    if (!Route) {
      Out.Resets.push_back({Held.Flow, 0});
      ++this->Counts.NoRoute;
      return admission::OfferResult::Placed;
    }
    if (FullRoutes.contains(Route)) {
      return admission::OfferResult::NoCapacity;
    }
    std::span<char> Bytes = Out.ownBytes(Held.Bytes);
    if (!this->tryPlace(Now, Held.Flow, Bytes, *Route, Out)) {
      FullRoutes.insert(Route);
      return admission::OfferResult::NoCapacity;
    }
    Placement &Entry = this->Placements[Held.Flow];
    Entry.StartedAt = Held.ArrivedAt;
    return admission::OfferResult::Placed;
  });
}

// What is known of the upstreams that may get new flows of the service. The
// capacity of cold ones in this data centre is shared with its other balancers;
// those elsewhere are left to the balancers there.
admission::ServiceCapacity
PacketRouter::capacityOf(base::TimePoint Now,
                         const base::ServiceName &Service) const {
  admission::ServiceCapacity Capacity;
  for (size_t I = 0; I < this->Agents.size(); ++I) {
    const AgentView &View = this->Agents.at(static_cast<AgentIndex>(I));
    if (View.IsGone) {
      continue;
    }
    bool IsUnknown = !View.hasStatus();
    bool IsOfService = View.Status.Service == Service &&
                       View.Status.Condition == wire::AgentCondition::InService;
    if (!IsUnknown && !IsOfService) {
      continue;
    }
    if (IsUnknown || View.Status.ColdLeftMs == 0) {
      Capacity.HasWarmUpstream = true;
      continue;
    }
    base::TimePoint WarmAt =
        View.LastStatusAt + std::chrono::milliseconds(View.Status.ColdLeftMs);
    Capacity.WarmAt = std::min(Capacity.WarmAt.value_or(WarmAt), WarmAt);
    if (!View.IsFar) {
      Capacity.ColdFlowsPerSecond += View.Status.ColdFlowsPerSecond;
    }
  }
  Capacity.ColdFlowsPerSecond /=
      static_cast<double>(this->Peers.heard(Now) + 1);
  return Capacity;
}

// Refuses queued flows that can't be placed before their callers give up.
void PacketRouter::refuseQueuedOpenings(base::TimePoint Now,
                                        PacketActions &Out) {
  bool IsOn = this->Self.Overload.RefusesEarly && this->HasMembers &&
              this->Operators->Routes;
  if (!IsOn || this->Queue.size() == 0) {
    return;
  }
  struct Forecast {
    admission::ServiceCapacity Capacity;
    size_t Position = 0;
  };
  std::map<base::ServiceName, Forecast> Forecasts;
  this->Queue.refuseIf(Now, [&](const admission::QueuedNewFlow &Held) {
    const targets::Route *Route =
        this->Operators->Routes->find(Held.Flow.Route);
    if (!Route || Route->Timeout == base::Duration(0)) {
      return false;
    }
    const base::ServiceName &Service =
        Route->selectService(packet::flowHash(Held.Flow));
    auto [It, IsNew] = Forecasts.try_emplace(Service);
    if (IsNew) {
      It->second.Capacity = this->capacityOf(Now, Service);
    }
    base::TimePoint GivesUpAt = Held.ArrivedAt + Route->Timeout;
    if (admission::mayBePlacedInTime(Now, It->second.Capacity,
                                     It->second.Position, GivesUpAt)) {
      ++It->second.Position;
      return false;
    }
    this->Placements.erase(Held.Flow);
    Out.Resets.push_back({Held.Flow, 0});
    Out.Decisions.push_back({"flow-refused",
                             Held.Flow,
                             {},
                             "no capacity in time",
                             this->routeVersion(),
                             true});
    ++this->Counts.RefusedEarly;
    return true;
  });
}

void PacketRouter::refuse(const Packet &Packet, std::string_view Reason,
                          PacketActions &Out) {
  FlowId Id = Packet.flowFromCaller();
  this->Placements.erase(Id);
  this->Flows.erase(Id);
  Out.Resets.push_back({Id, Packet.Acknowledged});
  Out.Decisions.push_back(
      {"flow-refused", Id, {}, Reason, this->routeVersion(), true});
  ++this->Counts.Refused;
}

void PacketRouter::onReturned(base::TimePoint Now, const base::Address &From,
                              const Packet &Packet, PacketActions &Out) {
  ++this->Counts.Returned;
  FlowId Id = Packet.flowFromCaller();
  AgentIndex Agent = this->Agents.findByDataAddress(From);
  auto Known = this->Flows.find(Id);
  bool IsMisaddressed = Packet.Mark.Tag == HopTag::WrongAgent &&
                        Known != this->Flows.end() &&
                        this->Agents.at(Known->second.Holder).Data == From;
  if (IsMisaddressed) {
    Agent = Known->second.Holder;
    this->Agents.at(Agent).HasLostAddress = true;
  }
  bool IsFromHolder =
      Known != this->Flows.end() && Known->second.Holder == Agent;
  if (IsFromHolder) {
    this->Flows.erase(Known);
  }
  if (!Packet.opensFlow()) {
    this->Search.onProbeReturned(this->searchContext(Now), Packet, From, Out);
    this->recordLocatedFlows(Now);
    return;
  }
  Placement &Entry = this->Placements[Id];
  if (Entry.Tried.empty()) {
    Entry.StartedAt = Now;
  }
  if (Agent != NoAgent) {
    Entry.Tried.push_back(Agent);
    bool IsFull = Packet.Mark.Tag == HopTag::Shed ||
                  Packet.Mark.Tag == HopTag::Full ||
                  Packet.Mark.Tag == HopTag::Reserved;
    if (IsFull) {
      // Counted as load until the agent's next status.
      AgentView &View = this->Agents.at(Agent);
      recordPlacement(Now, View, View.Status.Slots);
    }
  }
  Out.Decisions.push_back({"flow-returned", Id, From,
                           packet::hopTagText(Packet.Mark.Tag),
                           Packet.Mark.RouteVersion});
  // A duplicate may have been placed in the meantime.
  if (!IsFromHolder && this->Flows.contains(Id)) {
    ++this->Counts.Dropped;
    return;
  }
  this->placeFlow(Now, Packet, Out);
}

// Search for the holder of a flow.

SearchContext PacketRouter::searchContext(base::TimePoint Now) const {
  bool IsDiscovering = Now < this->DiscoveryEndsAt;
  return {Now, *this->Operators,
          IsDiscovering ? std::nullopt : this->Peers.lists().confirmedAt(Now),
          this->flowLifetime()};
}

void PacketRouter::search(base::TimePoint Now, const Packet &Packet,
                          PacketActions &Out) {
  this->Search.onUnknownFlowPacket(this->searchContext(Now), Packet, Out);
  this->recordLocatedFlows(Now);
}

void PacketRouter::recordLocatedFlows(base::TimePoint Now) {
  for (const LocatedFlow &Flow : this->Search.takeLocated()) {
    this->recordFlow(Now, Flow.Id, Flow.Holder, Flow.IsConfirmed);
    if (auto It = this->Flows.find(Flow.Id); It != this->Flows.end()) {
      It->second.IsFromSearch = true;
    }
  }
}

// Applies the replies of assumed holders that were asked.
void PacketRouter::onHolderAnswer(base::TimePoint Now,
                                  const wire::HolderAnswer &Answer) {
  AgentIndex Agent = this->Agents.findByName(Answer.Name);
  for (size_t I = 0; I < Answer.Flows.size(); ++I) {
    auto It = this->Flows.find(Answer.Flows[I]);
    bool IsReply = It != this->Flows.end() && It->second.Holder == Agent &&
                   It->second.IsHolderAsked;
    if (!IsReply) {
      continue;
    }
    KnownFlow &Flow = It->second;
    Flow.IsHolderAsked = false;
    Flow.ReportDueAt = Now + HolderReportTimeout;
    switch (Answer.Presences[I]) {
    case wire::FlowPresence::Held:
      Flow.IsConfirmed = true;
      break;
    case wire::FlowPresence::Absent:
      this->Flows.erase(It);
      break;
    case wire::FlowPresence::Unsure:
      break;
    }
  }
}

// Messages from agents.

void PacketRouter::applyAnnouncements(
    base::TimePoint Now, const std::vector<members::Member> &Members) {
  this->AnnouncementsAppliedAt = Now;
  this->Agents.applyAnnouncements(Now, Members);
}

void PacketRouter::onMessage(base::TimePoint Now, const base::Address &From,
                             const wire::RelayMessage &Message,
                             PacketActions &Out) {
  this->LastMessageAt = Now;
  if (const auto *Status = std::get_if<wire::AgentStatus>(&Message)) {
    this->onStatus(Now, From, *Status, Out);
  } else if (const auto *Answer = std::get_if<wire::HolderAnswer>(&Message)) {
    this->onHolderAnswer(Now, *Answer);
    this->Search.onAnswer(this->searchContext(Now), *Answer, Out);
    this->recordLocatedFlows(Now);
  } else if (const auto *Passed = std::get_if<wire::PassedStatuses>(&Message)) {
    this->onPassedStatuses(Now, From, *Passed, Out);
  } else if (const auto *Query = std::get_if<wire::AgentListQuery>(&Message)) {
    this->Peers.onListQuery(From, *Query, Out);
  } else if (const auto *List = std::get_if<wire::AgentListAnswer>(&Message)) {
    this->Peers.onListAnswer(Now, From, *List, Out);
  } else if (const auto *Wanted = std::get_if<wire::StatusQuery>(&Message)) {
    this->Peers.onStatusQuery(Now, From, *Wanted, Out);
  }
}

void PacketRouter::onPassedStatuses(base::TimePoint Now,
                                    const base::Address &From,
                                    const wire::PassedStatuses &Message,
                                    PacketActions &Out) {
  this->Peers.onMessage(Now, From, Message, Out);
  this->recordNews(Message.Documents);
  for (const wire::PassedStatus &Passed : Message.Statuses) {
    AgentIndex Known = this->Agents.findByName(Passed.Status.Name);
    bool WasGone = Known != NoAgent && this->Agents.at(Known).IsGone;
    bool IsNewRun = false;
    AgentIndex Index = this->Agents.applyPassedStatus(Now, Passed, IsNewRun);
    if (Index != NoAgent && !this->Agents.at(Index).IsGone) {
      this->onStatusApplied(Now, Index, IsNewRun, IsNewRun || WasGone, Out);
    }
  }
}

void PacketRouter::onStatus(base::TimePoint Now, const base::Address &From,
                            const wire::AgentStatus &Status,
                            PacketActions &Out) {
  AgentIndex Known = this->Agents.findByName(Status.Name);
  bool WasGone = Known != NoAgent && this->Agents.at(Known).IsGone;
  bool IsNewRun = false;
  AgentIndex Index = this->Agents.applyStatus(Now, From, Status, IsNewRun);
  if (Index == NoAgent) {
    return;
  }
  if (this->Agents.at(Index).IsFar || IsNewRun || WasGone) {
    this->Peers.passOn(Index);
  } else {
    this->Peers.learn(Now, Status.NearBalancers);
  }
  this->onStatusApplied(Now, Index, IsNewRun, IsNewRun || WasGone, Out);
  for (const FlowId &Id : Status.Opened) {
    this->recordFlow(Now, Id, Index, true);
    this->Search.onHolderConfirmed(this->searchContext(Now), Id, Index, Out);
  }
  for (const FlowId &Id : Status.Ended) {
    auto It = this->Flows.find(Id);
    if (It != this->Flows.end() && It->second.Holder == Index) {
      this->Flows.erase(It);
    }
  }
}

// Uses a status that was received from the agent or from another balancer.
void PacketRouter::onStatusApplied(base::TimePoint Now, AgentIndex Index,
                                   bool IsNewRun, bool IsNewlyHeard,
                                   PacketActions &Out) {
  const wire::AgentStatus &Status = this->Agents.at(Index).Status;
  this->recordNews(Status.Documents);
  if (Status.Condition == wire::AgentCondition::InService) {
    this->LastServedAt[Status.Service] = Now;
  }
  this->placeQueuedOpenings(Now, Out);
  if (IsNewlyHeard) {
    Out.Events.push_back("event=agent-heard agent=" + Status.Name.text() +
                         " run=" + std::to_string(Status.Run) +
                         " data=" + base::addressText(Status.Data));
  }
  if (IsNewRun) {
    this->sendRecalledFlows(this->Agents.at(Index).Control, Index, Out);
  }
}

// Of several processes with the newest version, the one heard last is the most
// likely to be running when the documents are fetched.
void PacketRouter::recordNews(const wire::DocumentsVersion &Version) {
  if (!wire::isNewer(this->NewsHeard, Version)) {
    this->NewsHeard = Version;
  }
}

// Sends a restarted agent the flows that it is known to have held.
void PacketRouter::sendRecalledFlows(const base::Address &To, AgentIndex Index,
                                     PacketActions &Out) {
  wire::KnownFlows Recalled;
  Recalled.AgentRun = this->Agents.at(Index).Status.Run;
  for (const auto &[Id, Flow] : this->Flows) {
    if (Flow.Holder != Index || !Flow.IsConfirmed || Flow.IsClosing) {
      continue;
    }
    Recalled.Flows.push_back(Id);
    if (Recalled.Flows.size() == wire::MaxFlowsPerMessage) {
      Out.Messages.push_back({{To}, Recalled});
      Recalled.Flows.clear();
    }
  }
  if (!Recalled.Flows.empty()) {
    Out.Messages.push_back({{To}, std::move(Recalled)});
  }
}

// Timeouts.

// How long a flow without packets may still be open. Twice the idle timeout,
// since the upstream's own timer may start later.
base::Duration PacketRouter::flowLifetime() const {
  const auto &Routes = this->Operators->Routes;
  return Routes && Routes->IdleTimeout > base::Duration(0)
             ? 2 * Routes->IdleTimeout
             : DefaultFlowLifetime;
}

void PacketRouter::expireFlows(base::TimePoint Now) {
  base::Duration Lifetime = this->flowLifetime();
  std::erase_if(this->Flows, [&](const auto &Known) {
    const KnownFlow &Flow = Known.second;
    bool IsShort = Flow.IsClosing || Flow.IsOpening;
    return Now - Flow.LastPacketAt > (IsShort ? ClosingFlowLifetime : Lifetime);
  });
  std::erase_if(this->Placements, [&](const auto &Known) {
    return Now - Known.second.StartedAt > PlacementLifetime;
  });
}

// How long after the last hello the next one to this agent is due, and whether
// it must ask for a status.
PacketRouter::HelloPlan PacketRouter::helloPlan(base::TimePoint Now,
                                                const AgentView &View) {
  base::Duration Silence = Now - View.LastStatusAt;
  if (Silence > StatusRequestLifetime) {
    return {FarHelloInterval, true};
  }
  bool IsSilent = Silence > StatusRequestDelay;
  return {View.IsFar && !IsSilent ? FarHelloInterval : HelloInterval, IsSilent};
}

void PacketRouter::sendHellos(base::TimePoint Now, bool IsStoreCurrent,
                              PacketActions &Out) {
  // Agents of this data centre that rely on this balancer get a new version of
  // the documents at once.
  wire::DocumentsVersion Documents = this->documentsVersion();
  bool HasNews =
      IsStoreCurrent && wire::isNewer(Documents, this->AnnouncedDocuments);
  this->AnnouncedDocuments = Documents;
  // By whether the agent is asked for a status.
  std::array<std::vector<base::Address>, 2> Receivers;
  for (size_t I = 0; I < this->Agents.size(); ++I) {
    AgentView &View = this->Agents.at(static_cast<AgentIndex>(I));
    HelloPlan Plan = helloPlan(Now, View);
    bool GetsNews = HasNews && Plan.Interval == HelloInterval;
    if (GetsNews || Now - View.LastHelloSentAt >= Plan.Interval) {
      View.LastHelloSentAt = Now;
      Receivers[Plan.AsksForStatus ? 1 : 0].push_back(View.Control);
    }
  }
  wire::BalancerHello Hello{
      this->Self.Name,       this->Self.Run, this->documentsVersion(),
      this->Self.DataCentre, false,          IsStoreCurrent};
  for (bool AsksForStatus : {false, true}) {
    Hello.AsksForStatus = AsksForStatus;
    if (!Receivers[AsksForStatus ? 1 : 0].empty()) {
      Out.Messages.push_back(
          {std::move(Receivers[AsksForStatus ? 1 : 0]), Hello});
    }
  }
}

void PacketRouter::onTick(base::TimePoint Now, bool IsStoreCurrent,
                          PacketActions &Out) {
  if (Now - this->LastTickAt > RouterPauseThreshold) {
    this->DiscoveryEndsAt = Now + AgentDiscoveryTime;
  }
  this->LastTickAt = Now;
  this->HasMembers = this->HasMembers || IsStoreCurrent;
  this->Operators = this->StateCache.current();
  for (AgentIndex Index : this->Agents.tick(Now)) {
    const AgentView &View = this->Agents.at(Index);
    auto Silence = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - View.LastStatusAt);
    Out.Events.push_back(
        "event=agent-gone agent=" + View.Name.text() +
        " run=" + std::to_string(View.Status.Run) +
        " silent-ms=" + std::to_string(Silence.count()) +
        (View.IsAnnounced ? " announced=yes" : " announced=no"));
  }
  if (this->Self.Placement.WeighsByServiceTime) {
    for (std::string &Line : this->Health.update(Now, this->Agents)) {
      Out.Events.push_back(std::move(Line));
    }
  }
  // Before the search, which relies on the comparison of the lists of agents.
  this->Peers.onTick(
      Now,
      {IsStoreCurrent, this->AnnouncementsAppliedAt, this->documentsVersion()},
      this->flowLifetime(), Out);
  this->Search.onTick(this->searchContext(Now), Out);
  if (std::optional<base::TimePoint> Since = this->Search.takeUnconfirmed()) {
    this->Peers.lists().requestConfirmation(*Since);
  }
  this->recordLocatedFlows(Now);
  this->placeQueuedOpenings(Now, Out);
  this->refuseQueuedOpenings(Now, Out);
  this->sendHellos(Now, IsStoreCurrent, Out);
  if (Now >= this->NextExpiry) {
    this->NextExpiry = Now + ExpiryInterval;
    this->expireFlows(Now);
  }
}

} // namespace bilberry::routing
