#include "bilberry/routing/packet_router.h"

#include <algorithm>
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

// Old flows and placements are looked for this often.
static constexpr base::Duration ExpiryInterval = std::chrono::seconds(1);

PacketRouter::PacketRouter(BalancerIdentity Self, base::TimePoint StartedAt,
                           const targets::OperatorBoard &Board)
    : Self(std::move(Self)), StartedAt(StartedAt), Board(Board),
      Operators(Board.current()) {}

packet::HopMark PacketRouter::mark(HopTag Tag) const {
  return {static_cast<uint32_t>(this->routeVersion()), Tag};
}

uint64_t PacketRouter::routeVersion() const {
  return this->Operators->Routes ? this->Operators->Routes->Version : 0;
}

bool PacketRouter::isReady() const {
  if (!this->Board.current()->Routes) {
    return false;
  }
  for (size_t I = 0; I < this->Agents.size(); ++I) {
    if (this->Agents.at(static_cast<AgentIndex>(I)).isHeard()) {
      return true;
    }
  }
  return false;
}

void PacketRouter::remember(base::TimePoint Now, const FlowId &Id,
                            AgentIndex Holder, bool IsConfirmed) {
  if (this->Flows.size() >= this->Self.MaxFlows && !this->Flows.contains(Id)) {
    return;
  }
  KnownFlow &Flow = this->Flows[Id];
  bool WasConfirmed = Flow.Holder == Holder && Flow.IsConfirmed;
  if (Flow.Holder != Holder) {
    Flow = KnownFlow();
    Flow.PlacedAt = Now;
  }
  Flow.Holder = Holder;
  Flow.IsConfirmed = IsConfirmed || WasConfirmed;
  Flow.LastPacket = Now;
}

// Callers' packets.

void PacketRouter::onCallerPacket(base::TimePoint Now, const Packet &Packet,
                                  PacketActions &Out) {
  if (Packet.opensFlow()) {
    this->onOpening(Now, Packet, Out);
    return;
  }
  auto It = this->Flows.find(Packet.callersFlow());
  if (It == this->Flows.end()) {
    this->search(Now, Packet, Out);
    return;
  }
  const AgentView &Holder = this->Agents.at(It->second.Holder);
  if (Holder.IsGone) {
    Out.Resets.push_back({It->first, Packet.Acknowledged});
    Out.Decisions.push_back({"flow-reset", It->first, Holder.Data,
                             "its agent is gone", this->routeVersion()});
    ++this->Counts.Resets;
    this->Flows.erase(It);
    return;
  }
  this->forward(Now, Packet, It->second, Out);
}

void PacketRouter::forward(base::TimePoint Now, const Packet &Packet,
                           KnownFlow &Flow, PacketActions &Out) {
  Flow.LastPacket = Now;
  Flow.IsOpening = false;
  Flow.IsClosing = Flow.IsClosing || Packet.IsFin || Packet.IsReset;
  ++this->Counts.Forwarded;
  HopTag Tag = Flow.IsConfirmed ? HopTag::Holder : HopTag::Probe;
  Out.Packets.push_back({packet::Receiver::Peer,
                         this->Agents.at(Flow.Holder).Data, Packet.Bytes,
                         this->mark(Tag), false});
}

void PacketRouter::onOpening(base::TimePoint Now, const Packet &Packet,
                             PacketActions &Out) {
  FlowId Id = Packet.callersFlow();
  // What is being looked for is an earlier flow of that name.
  if (auto It = this->Searches.find(Id); It != this->Searches.end()) {
    this->dropPackets(It->second);
    this->Searches.erase(It);
  }
  if (this->Queue.contains(Id)) {
    ++this->Counts.Dropped;
    return;
  }
  auto Known = this->Flows.find(Id);
  if (Known != this->Flows.end()) {
    KnownFlow &Flow = Known->second;
    bool IsCopy = Now - Flow.PlacedAt < PlacementLife;
    if (IsCopy && !Flow.IsOpening) {
      ++this->Counts.Dropped;
      return;
    }
    if (IsCopy && !this->Agents.at(Flow.Holder).IsGone) {
      Out.Packets.push_back({packet::Receiver::Peer,
                             this->Agents.at(Flow.Holder).Data, Packet.Bytes,
                             this->mark(HopTag::Opening), false});
      return;
    }
    this->Flows.erase(Known);
  }
  this->place(Now, Packet, Out);
}

// Offers a new flow to the best upstream that hasn't refused it.
void PacketRouter::place(base::TimePoint Now, const Packet &Packet,
                         PacketActions &Out) {
  this->Operators = this->Board.current();
  if (!this->Operators->Routes) {
    this->hold(Now, Packet, nullptr, Out);
    return;
  }
  const targets::Route *Route =
      this->Operators->Routes->find(Packet.Destination);
  if (!Route) {
    ++this->Counts.NoRoute;
    this->refuse(Packet, "no such route", Out);
    return;
  }
  if (this->tryPlace(Now, Packet.callersFlow(), Packet.Bytes, *Route, Out)) {
    return;
  }
  if (this->mayWait(Now, *Route)) {
    this->hold(Now, Packet, Route, Out);
  } else {
    this->refuse(Packet, "no upstream takes it", Out);
  }
}

bool PacketRouter::tryPlace(base::TimePoint Now, const FlowId &Id,
                            std::span<char> Bytes, const targets::Route &Route,
                            PacketActions &Out) {
  auto Begun = this->Placements.find(Id);
  static const TriedAgents None;
  const TriedAgents &Tried =
      Begun == this->Placements.end() ? None : Begun->second.Tried;
  if (Tried.size() >= MaxOffers) {
    return false;
  }
  uint64_t Hash = packet::flowHash(Id);
  AgentIndex Chosen =
      chooseUpstream(this->Agents, {Now, Route.serviceOf(Hash),
                                    this->Self.DataCentre, Hash, Tried});
  if (Chosen == NoAgent) {
    return false;
  }
  AgentView &View = this->Agents.at(Chosen);
  ++View.SentSince;
  ++this->Counts.Placed;
  this->remember(Now, Id, Chosen, false);
  if (auto It = this->Flows.find(Id); It != this->Flows.end()) {
    It->second.IsOpening = true;
  }
  Out.Decisions.push_back(
      {"flow-placed", Id, View.Data,
       View.Status.DataCentre == this->Self.DataCentre ? "near" : "elsewhere",
       this->routeVersion()});
  Out.Packets.push_back({packet::Receiver::Peer, View.Data, Bytes,
                         this->mark(HopTag::Opening), false});
  return true;
}

// Whether an upstream is expected to take the route's flows before their
// callers give up.
bool PacketRouter::mayWait(base::TimePoint Now,
                           const targets::Route &Route) const {
  if (Now - this->StartedAt < WarmStart) {
    return true;
  }
  return std::ranges::any_of(Route.Shares,
                             [&](const targets::RouteShare &Share) {
                               auto Served = this->ServedAt.find(Share.Service);
                               return Served != this->ServedAt.end() &&
                                      Now - Served->second < ServiceOutage;
                             });
}

void PacketRouter::hold(base::TimePoint Now, const Packet &Packet,
                        const targets::Route *Route, PacketActions &Out) {
  FlowId Id = Packet.callersFlow();
  // A packet that was placed and came back has waited before.
  auto Begun = this->Placements.find(Id);
  base::TimePoint ArrivedAt = Now;
  if (Begun != this->Placements.end()) {
    ArrivedAt = Begun->second.StartedAt;
    Begun->second.Tried.clear();
  }
  bool IsHeld = this->Queue.hold(
      {Id, std::string(Packet.Bytes.data(), Packet.Bytes.size()), ArrivedAt,
       Route ? Route->Priority : 0, Route ? Route->Aim : base::Duration(0)});
  if (!IsHeld) {
    this->refuse(Packet, "too many wait", Out);
    return;
  }
  ++this->Counts.Held;
  Out.Decisions.push_back(
      {"flow-held", Id, {}, "no upstream has room", this->routeVersion()});
}

// Places what waits, as far as there is room.
void PacketRouter::offerHeld(base::TimePoint Now, PacketActions &Out) {
  this->Counts.GivenUp += this->Queue.expire(Now);
  this->Operators = this->Board.current();
  if (this->Queue.size() == 0 || !this->Operators->Routes) {
    return;
  }
  // Once a route's flows find no room, no later ones of it will.
  std::set<const targets::Route *> Full;
  this->Queue.offerAll(Now, [&](admission::HeldOpening &Held) {
    const targets::Route *Route =
        this->Operators->Routes->find(Held.Flow.Route);
    if (!Route) {
      Out.Resets.push_back({Held.Flow, 0});
      ++this->Counts.NoRoute;
      return admission::OfferResult::Placed;
    }
    if (Full.contains(Route)) {
      return admission::OfferResult::NoRoom;
    }
    std::span<char> Bytes = Out.keep(Held.Bytes);
    if (!this->tryPlace(Now, Held.Flow, Bytes, *Route, Out)) {
      Full.insert(Route);
      return admission::OfferResult::NoRoom;
    }
    Placement &Entry = this->Placements[Held.Flow];
    Entry.StartedAt = Held.ArrivedAt;
    return admission::OfferResult::Placed;
  });
}

void PacketRouter::refuse(const Packet &Packet, std::string_view Reason,
                          PacketActions &Out) {
  FlowId Id = Packet.callersFlow();
  this->Placements.erase(Id);
  this->Flows.erase(Id);
  Out.Resets.push_back({Id, Packet.Acknowledged});
  Out.Decisions.push_back(
      {"flow-refused", Id, {}, Reason, this->routeVersion()});
  ++this->Counts.Refused;
}

void PacketRouter::onReturned(base::TimePoint Now, const base::Address &From,
                              const Packet &Packet, PacketActions &Out) {
  ++this->Counts.Returned;
  FlowId Id = Packet.callersFlow();
  AgentIndex Agent = this->Agents.byData(From);
  auto Known = this->Flows.find(Id);
  bool IsFromHolder =
      Known != this->Flows.end() && Known->second.Holder == Agent;
  if (IsFromHolder) {
    this->Flows.erase(Known);
  }
  if (!Packet.opensFlow()) {
    if (auto It = this->Searches.find(Id); It != this->Searches.end()) {
      ++It->second.WrongProbes;
    }
    this->search(Now, Packet, Out);
    return;
  }
  Placement &Entry = this->Placements[Id];
  if (Entry.Tried.empty()) {
    Entry.StartedAt = Now;
  }
  if (Agent != NoAgent) {
    Entry.Tried.push_back(Agent);
    if (Packet.Mark.Tag == HopTag::Shed || Packet.Mark.Tag == HopTag::Full) {
      // Counts as load until the next status.
      this->Agents.at(Agent).SentSince += this->Agents.at(Agent).Status.Slots;
    }
  }
  Out.Decisions.push_back({"flow-returned", Id, From,
                           packet::hopTagText(Packet.Mark.Tag),
                           Packet.Mark.RouteVersion});
  // Another copy may have been placed meanwhile.
  if (!IsFromHolder && this->Flows.contains(Id)) {
    ++this->Counts.Dropped;
    return;
  }
  this->place(Now, Packet, Out);
}

// What a refusal says of the agent, until its next status.
void PacketRouter::noteRefusal(AgentIndex Agent, HopTag Reason) {
  AgentView &View = this->Agents.at(Agent);
  switch (Reason) {
  case HopTag::Shed:
  case HopTag::Full:
    View.SentSince += View.Status.Slots;
    break;
  case HopTag::Cold:
    View.Status.Budget = 0;
    break;
  case HopTag::Draining:
    View.Status.Condition = wire::AgentCondition::Draining;
    break;
  case HopTag::Evacuated:
    View.Status.Condition = wire::AgentCondition::Evacuated;
    break;
  case HopTag::NoUpstream:
    View.Status.Condition = wire::AgentCondition::NoUpstream;
    break;
  default:
    break;
  }
}

// Looking for the holder of a flow.

void PacketRouter::keepPacket(Search &Entry, const Packet &Packet) {
  bool HasRoom = Entry.Packets.size() < MaxWaitingPackets &&
                 this->WaitingBytes + Packet.Bytes.size() <= MaxWaitingBytes;
  if (!HasRoom) {
    ++this->Counts.Dropped;
    return;
  }
  this->WaitingBytes += Packet.Bytes.size();
  Entry.Packets.emplace_back(Packet.Bytes.data(), Packet.Bytes.size());
  Entry.LastAcknowledged = Packet.Acknowledged;
}

void PacketRouter::dropPackets(Search &Entry) {
  for (const std::string &Bytes : Entry.Packets) {
    this->WaitingBytes -= Bytes.size();
    ++this->Counts.Dropped;
  }
  Entry.Packets.clear();
}

void PacketRouter::search(base::TimePoint Now, const Packet &Packet,
                          PacketActions &Out) {
  FlowId Id = Packet.callersFlow();
  // The end of a flow that nobody knows any more needs no answer.
  if (Packet.IsReset) {
    ++this->Counts.Dropped;
    return;
  }
  bool IsNew = !this->Searches.contains(Id);
  Search &Entry = this->Searches[Id];
  if (IsNew) {
    Entry.FirstAskedAt = Now;
    ++this->Counts.Searches;
  }
  Entry.LastPacket = Now;
  this->keepPacket(Entry, Packet);
  if (Entry.IsAsking) {
    return;
  }
  // Upstreams that may hold it are left from the last round of questions.
  bool MayProbe = !Entry.Unsure.empty() && !isBlind(Entry);
  if (MayProbe && Now - Entry.AskedAt < SearchLife) {
    this->probeNext(Now, Id, Entry, Out);
    return;
  }
  bool IsUnfinished =
      !Entry.Waiting.empty() && Now - Entry.RoundAt < SearchLife;
  if (IsUnfinished) {
    this->askAgain(Now, Id, Entry, Out);
  } else {
    this->beginRound(Now, Id, Entry);
  }
}

void PacketRouter::beginRound(base::TimePoint Now, const FlowId &Id,
                              Search &Entry) {
  Entry.IsAsking = true;
  Entry.AllAnswered = false;
  Entry.HasAnswer = false;
  Entry.RoundAt = Now;
  Entry.AskedAt = Now;
  Entry.Waiting.clear();
  Entry.Unsure.clear();
  Entry.AgentsAsked = 0;
  this->addNewAgents(Entry);
  this->ToAsk.push_back(Id);
}

// Adds the agents that became known since the round began. Those that hold
// nothing by their last status would have told of an upstream at once.
void PacketRouter::addNewAgents(Search &Entry) const {
  for (; Entry.AgentsAsked < this->Agents.size(); ++Entry.AgentsAsked) {
    auto Index = static_cast<AgentIndex>(Entry.AgentsAsked);
    const AgentView &View = this->Agents.at(Index);
    if (View.IsGone) {
      continue;
    }
    if (View.holdsNothing()) {
      Entry.HasAnswer = true;
    } else {
      Entry.Waiting.push_back(Index);
    }
  }
}

// Asks those that haven't answered, since a question or an answer may be lost.
void PacketRouter::askAgain(base::TimePoint Now, const FlowId &Id,
                            Search &Entry, PacketActions &Out) {
  this->addNewAgents(Entry);
  std::erase_if(Entry.Waiting, [&](AgentIndex Index) {
    const AgentView &View = this->Agents.at(Index);
    return View.IsGone || View.holdsNothing();
  });
  if (Entry.Waiting.empty()) {
    this->conclude(Now, Id, Entry, Out);
    return;
  }
  Entry.IsAsking = true;
  Entry.AskedAt = Now;
  this->ToAsk.push_back(Id);
}

void PacketRouter::flush(base::TimePoint Now, PacketActions &Out) {
  bool IsDue = Now - this->AskedAt >= QueryInterval ||
               this->ToAsk.size() >= wire::MaxFlowsPerMessage;
  if (this->ToAsk.empty() || !IsDue) {
    return;
  }
  this->AskedAt = Now;
  std::vector<wire::HolderQuery> Queries(this->Agents.size());
  auto Send = [&](AgentIndex Index) {
    wire::HolderQuery &Query = Queries[Index];
    Out.Messages.push_back({{this->Agents.at(Index).Control}, Query});
    Query.Flows.clear();
  };
  for (const FlowId &Id : this->ToAsk) {
    auto It = this->Searches.find(Id);
    if (It == this->Searches.end()) {
      continue;
    }
    It->second.AskedAt = Now;
    for (AgentIndex Index : It->second.Waiting) {
      Queries[Index].Flows.push_back(Id);
      if (Queries[Index].Flows.size() == wire::MaxFlowsPerMessage) {
        Send(Index);
      }
    }
  }
  this->ToAsk.clear();
  for (size_t I = 0; I < Queries.size(); ++I) {
    if (!Queries[I].Flows.empty()) {
      Send(static_cast<AgentIndex>(I));
    }
  }
}

void PacketRouter::onAnswer(base::TimePoint Now,
                            const wire::HolderAnswer &Answer,
                            PacketActions &Out) {
  AgentIndex Agent = this->Agents.byName(Answer.Name);
  if (Agent == NoAgent) {
    return;
  }
  for (size_t I = 0; I < Answer.Flows.size(); ++I) {
    auto It = this->Searches.find(Answer.Flows[I]);
    if (It == this->Searches.end()) {
      continue;
    }
    Search &Entry = It->second;
    if (Answer.Holdings[I] == wire::Holding::Held) {
      this->found(Now, It->first, Entry, Agent, Out);
      continue;
    }
    // An answer counts also where it is late.
    if (std::erase(Entry.Waiting, Agent) == 0) {
      continue;
    }
    Entry.HasAnswer = true;
    if (Answer.Holdings[I] == wire::Holding::Unsure) {
      Entry.Unsure.push_back(Agent);
    }
    if (Entry.Waiting.empty()) {
      // Asks agents that have become known meanwhile, or concludes.
      this->askAgain(Now, It->first, Entry, Out);
    }
  }
}

// All have answered, or the others' time is up.
void PacketRouter::conclude(base::TimePoint Now, const FlowId &Id,
                            Search &Entry, PacketActions &Out) {
  Entry.IsAsking = false;
  Entry.AllAnswered = Entry.Waiting.empty() && Entry.HasAnswer;
  if (!Entry.Unsure.empty()) {
    this->sortUnsure(Id, Entry);
    this->probeNext(Now, Id, Entry, Out);
    return;
  }
  // Asked twice, so that what was under way the first time has arrived.
  bool IsUnknown = Entry.AllAnswered && this->HasMembers &&
                   Now - this->StartedAt >= HearingTime &&
                   Entry.RoundAt - Entry.FirstAskedAt >= UnknownDelay;
  if (IsUnknown) {
    Out.Resets.push_back({Id, Entry.LastAcknowledged});
    Out.Decisions.push_back(
        {"flow-reset", Id, {}, "no agent holds it", this->routeVersion()});
    ++this->Counts.Resets;
  } else {
    base::Address Silent = Entry.Waiting.empty()
                               ? base::Address()
                               : this->Agents.at(Entry.Waiting.front()).Data;
    Out.Decisions.push_back(
        {"flow-undecided", Id, Silent,
         Entry.AllAnswered ? "asked once" : "an agent is silent",
         this->routeVersion()});
  }
  ++this->Counts.Unknown;
  this->dropPackets(Entry);
}

// The likeliest last: of the route's service, and near.
void PacketRouter::sortUnsure(const FlowId &Id, Search &Entry) const {
  const targets::Route *Route = this->Operators->Routes
                                    ? this->Operators->Routes->find(Id.Route)
                                    : nullptr;
  auto Rank = [&](AgentIndex Index) {
    const wire::AgentStatus &Status = this->Agents.at(Index).Status;
    bool IsOfRoute = Route && Route->allows(Status.Service);
    bool IsNear = Status.DataCentre == this->Self.DataCentre;
    return (IsOfRoute ? 2 : 0) + (IsNear ? 1 : 0);
  };
  std::ranges::stable_sort(Entry.Unsure, {}, Rank);
}

// Too many upstreams were asked in vain while an agent that is silent may be
// the one.
bool PacketRouter::isBlind(const Search &Entry) {
  return !Entry.AllAnswered && Entry.WrongProbes >= MaxBlindProbes;
}

// Gives one waiting packet to an upstream that may hold the flow. False where
// none is left, or too many were wrong.
bool PacketRouter::probeNext(base::TimePoint Now, const FlowId &Id,
                             Search &Entry, PacketActions &Out) {
  if (Entry.Unsure.empty() || isBlind(Entry) || Entry.Packets.empty()) {
    this->dropPackets(Entry);
    return false;
  }
  AgentIndex Next = Entry.Unsure.back();
  Entry.Unsure.pop_back();
  this->remember(Now, Id, Next, false);
  ++this->Counts.Probes;
  Out.Decisions.push_back({"flow-probed", Id, this->Agents.at(Next).Data,
                           "may be there", this->routeVersion()});
  // One packet is the question; the rest is sent again by the caller.
  std::string First = std::move(Entry.Packets.front());
  this->WaitingBytes -= First.size();
  Entry.Packets.erase(Entry.Packets.begin());
  this->dropPackets(Entry);
  Out.Packets.push_back({packet::Receiver::Peer, this->Agents.at(Next).Data,
                         Out.keep(std::move(First)), this->mark(HopTag::Probe),
                         false});
  return true;
}

void PacketRouter::found(base::TimePoint Now, const FlowId &Id, Search &Entry,
                         AgentIndex Holder, PacketActions &Out) {
  this->remember(Now, Id, Holder, true);
  ++this->Counts.Found;
  Out.Decisions.push_back({"flow-found", Id, this->Agents.at(Holder).Data,
                           "its agent holds it", this->routeVersion()});
  this->release(Entry, Holder, Out);
  this->Searches.erase(Id);
}

// Sends what waited to the holder.
void PacketRouter::release(Search &Entry, AgentIndex Holder,
                           PacketActions &Out) {
  for (std::string &Bytes : Entry.Packets) {
    this->WaitingBytes -= Bytes.size();
    Out.Packets.push_back({packet::Receiver::Peer, this->Agents.at(Holder).Data,
                           Out.keep(std::move(Bytes)),
                           this->mark(HopTag::Holder), false});
  }
  Entry.Packets.clear();
}

// Agents.

void PacketRouter::takeAnnounced(base::TimePoint Now,
                                 const std::vector<members::Member> &Members) {
  this->Agents.takeAnnounced(Now, Members);
}

void PacketRouter::onMessage(base::TimePoint Now, const base::Address &From,
                             const wire::RelayMessage &Message,
                             PacketActions &Out) {
  if (const auto *Status = std::get_if<wire::AgentStatus>(&Message)) {
    this->onStatus(Now, From, *Status, Out);
  } else if (const auto *Answer = std::get_if<wire::HolderAnswer>(&Message)) {
    this->onAnswer(Now, *Answer, Out);
  }
}

void PacketRouter::onStatus(base::TimePoint Now, const base::Address &From,
                            const wire::AgentStatus &Status,
                            PacketActions &Out) {
  AgentIndex Known = this->Agents.byName(Status.Name);
  bool WasGone = Known != NoAgent && this->Agents.at(Known).IsGone;
  bool IsNewRun = false;
  AgentIndex Index = this->Agents.takeStatus(Now, From, Status, IsNewRun);
  if (Index == NoAgent) {
    return;
  }
  if (Status.News.Changed > this->NewsHeard.Changed) {
    this->NewsHeard = Status.News;
  }
  if (Status.Condition == wire::AgentCondition::InService) {
    this->ServedAt[Status.Service] = Now;
  }
  this->offerHeld(Now, Out);
  if (IsNewRun || WasGone) {
    Out.Events.push_back("event=agent-heard agent=" + Status.Name.text() +
                         " run=" + std::to_string(Status.Run) +
                         " data=" + base::addressText(Status.Data));
  }
  if (IsNewRun) {
    this->recall(From, Index, Out);
  }
  for (const FlowId &Id : Status.Opened) {
    this->remember(Now, Id, Index, true);
    if (auto It = this->Searches.find(Id); It != this->Searches.end()) {
      this->found(Now, Id, It->second, Index, Out);
    }
  }
  for (const FlowId &Id : Status.Ended) {
    auto It = this->Flows.find(Id);
    if (It != this->Flows.end() && It->second.Holder == Index) {
      this->Flows.erase(It);
    }
  }
}

// Tells a restarted agent which flows it was known to hold.
void PacketRouter::recall(const base::Address &To, AgentIndex Index,
                          PacketActions &Out) {
  wire::FlowsRecalled Recalled;
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

// Time.

void PacketRouter::expireFlows(base::TimePoint Now) {
  const auto &Routes = this->Operators->Routes;
  base::Duration Life = Routes && Routes->IdleTimeout > base::Duration(0)
                            ? 2 * Routes->IdleTimeout
                            : DefaultFlowLife;
  std::erase_if(this->Flows, [&](const auto &Known) {
    const KnownFlow &Flow = Known.second;
    bool IsShort = Flow.IsClosing || Flow.IsOpening;
    return Now - Flow.LastPacket > (IsShort ? ClosingLife : Life);
  });
  std::erase_if(this->Placements, [&](const auto &Known) {
    return Now - Known.second.StartedAt > PlacementLife;
  });
}

void PacketRouter::expireSearches(base::TimePoint Now, PacketActions &Out) {
  for (auto It = this->Searches.begin(); It != this->Searches.end();) {
    Search &Entry = It->second;
    if (Entry.IsAsking && Now - Entry.AskedAt > AnswerTimeout) {
      this->conclude(Now, It->first, Entry, Out);
    } else if (Entry.AllAnswered && Entry.Unsure.empty() &&
               Entry.RoundAt - Entry.FirstAskedAt < UnknownDelay &&
               Now - Entry.FirstAskedAt >= UnknownDelay) {
      // The second round doesn't wait for the caller's next packet.
      this->beginRound(Now, It->first, Entry);
    }
    if (Now - Entry.LastPacket > SearchLife) {
      this->dropPackets(Entry);
      It = this->Searches.erase(It);
    } else {
      ++It;
    }
  }
}

void PacketRouter::onTick(base::TimePoint Now, bool StoreAnswers,
                          PacketActions &Out) {
  this->HasMembers = this->HasMembers || StoreAnswers;
  this->Operators = this->Board.current();
  for (AgentIndex Index : this->Agents.tick(Now)) {
    const AgentView &View = this->Agents.at(Index);
    auto Silence = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - View.HeardAt);
    Out.Events.push_back(
        "event=agent-gone agent=" + View.Name.text() +
        " run=" + std::to_string(View.Status.Run) +
        " silent-ms=" + std::to_string(Silence.count()) +
        (View.IsAnnounced ? " announced=yes" : " announced=no"));
  }
  this->expireSearches(Now, Out);
  this->offerHeld(Now, Out);
  std::vector<base::Address> Greeted;
  for (size_t I = 0; I < this->Agents.size(); ++I) {
    AgentView &View = this->Agents.at(static_cast<AgentIndex>(I));
    if (Now - View.HelloAt >= HelloInterval) {
      View.HelloAt = Now;
      Greeted.push_back(View.Control);
    }
  }
  if (!Greeted.empty()) {
    wire::NewsMark News{this->Operators->Changed, this->Self.Pages};
    Out.Messages.push_back(
        {std::move(Greeted),
         wire::BalancerHello{this->Self.Name, this->Self.Run, News}});
  }
  if (Now >= this->NextExpiry) {
    this->NextExpiry = Now + ExpiryInterval;
    this->expireFlows(Now);
  }
}

} // namespace bilberry::routing
