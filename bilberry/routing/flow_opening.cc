// FlowController's part for new flows: taken here, passed down the ranking, or
// refused.

#include "bilberry/routing/flow_controller.h"
#include "bilberry/routing/flow_text.h"
#include "bilberry/routing/rendezvous.h"

#include <algorithm>

namespace bilberry::routing {

using board::DecisionKind;

static bool sameMembers(const std::vector<members::RankedMember> &Left,
                        const std::vector<members::RankedMember> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const auto &A, const auto &B) {
                      return A.Value.Name == B.Value.Name &&
                             A.Value.Run == B.Value.Run;
                    });
}

void FlowController::noteView(const Context &Call) {
  if (Call.View == this->LastView) {
    return;
  }
  bool IsSame = this->LastView != nullptr &&
                sameMembers(this->LastView->Lookup, Call.View->Lookup) &&
                sameMembers(this->LastView->Placement, Call.View->Placement);
  this->LastView = Call.View;
  if (!IsSame) {
    this->ViewChangedAt = Call.Now;
  }
}

bool FlowController::needsClaim(const Context &Call,
                                const Arrival &Packet) const {
  if (Call.Now - this->ViewChangedAt < OpenSettleTime) {
    return true;
  }
  const members::Member *Home = Call.home(Packet.Key);
  bool IsHome = Home != nullptr && Home->Name == Call.Self.Name;
  return (!IsHome && Packet.Header.Hops == 0) ||
         Packet.Header.Hops >= MaxFollowedHops;
}

void FlowController::open(const Context &Call, const Arrival &Packet) {
  if (Packet.Header.Hops == 0) {
    this->Limits.noteFreshWork(Call.Now);
  }
  if (!Call.takesNewFlows()) {
    this->passOn(Call, Packet, Call.isFenced() ? FencedReason : "draining");
    return;
  }
  if (!this->Limits.acquireConnection(Call.Now)) {
    this->passOn(Call, Packet, "no free connection");
    return;
  }
  if (this->needsClaim(Call, Packet)) {
    this->ask(Call, Packet, true);
  } else {
    this->carry(Call, Packet, false);
  }
}

// Precondition: a connection is held for the flow.
void FlowController::carry(const Context &Call, const Arrival &Packet,
                           bool IsClaimed) {
  CarriedFlow Flow;
  Flow.Caller = Packet.Header.Caller;
  Flow.Connection = Packet.Packet.Connection;
  Flow.OpenedAt = Call.Now;
  Flow.Opening = std::make_unique<KeptPacket>(
      KeptPacket{Packet.Header, std::string(Packet.Payload)});
  Flow.Class = this->Flows.classNumber(Packet.Packet.Class);
  // Who was asked has kept a record.
  Flow.IsRecorded = IsClaimed;
  CarriedFlow &Added =
      this->Flows.Carried.insert_or_assign(Packet.Key, std::move(Flow))
          .first->second;
  this->Flows.Elsewhere.erase(Packet.Key);

  const members::Member *Home = Call.home(Packet.Key);
  bool IsHome = Home != nullptr && Home->Name == Call.Self.Name;
  const members::RankedMember *First =
      firstRanked(Call.View->Lookup, Packet.Key);
  bool IsFoundFirst = First != nullptr && First->Value.Name == Call.Self.Name;
  if (!IsHome || !IsFoundFirst) {
    Added.IsRecorded = true;
    if (!IsClaimed) {
      this->tellRecordKeepers(Call, Packet.Key);
    }
    this->hintHolder(Call, Packet, Call.Self.Name);
  }
  ++this->Counts.Opened;
  logDecision(Call.Out, DecisionKind::FlowPlaced, Packet.Key, {},
              IsHome ? "home" : "displaced");
  this->deliver(Call, Packet, Added);
}

// The home and the first two of the lookup order, ourselves left out.
void FlowController::tellRecordKeepers(const Context &Call,
                                       const base::FlowKey &Key) {
  MemberList Keepers;
  if (const members::Member *Home = Call.home(Key)) {
    Keepers.add(Home->Name);
  }
  Keepers.remove(Call.Self.Name);
  constexpr size_t LookupKeepers = 2;
  size_t Told = 0;
  for (const members::RankedMember *Member :
       topRanked(Call.View->Lookup, Key, LookupKeepers + 1)) {
    if (Member->Value.Name != Call.Self.Name && Told < LookupKeepers) {
      Keepers.add(Member->Value.Name);
      ++Told;
    }
  }
  for (const base::MemberName &Name : Keepers) {
    Call.Out.emplace_back(
        board::SendPeer{Name, wire::FlowRecordPut{{{Key, Call.Self.Name}}}});
  }
}

// A packet that came straight from a balancer goes to the home, others down
// the ranking from us.
const members::Member *
FlowController::nextInRanking(const Context &Call,
                              const Arrival &Packet) const {
  const members::Member *Home = Call.home(Packet.Key);
  bool IsHome = Home != nullptr && Home->Name == Call.Self.Name;
  bool FromTop = Packet.Header.Hops == 0 && !IsHome;
  const members::RankedMember *Next = firstRankedIf(
      Call.View->Placement, Packet.Key, [&](const members::Member &Member) {
        return Member.Name != Call.Self.Name &&
               Call.Document->isInService(Member.DataCentre) &&
               (FromTop || !Call.outranksUs(Member.Name, Packet.Key));
      });
  return Next == nullptr ? nullptr : &Next->Value;
}

void FlowController::passOn(const Context &Call, const Arrival &Packet,
                            const std::string &Reason) {
  const members::Member *Next = this->nextInRanking(Call, Packet);
  if (Next == nullptr || Packet.Header.Hops >= MaxHops) {
    this->refuse(Call, Packet, Reason);
    return;
  }
  // Draining and fenced agents pass everything on; that adds no work.
  if (Call.takesNewFlows() && !this->Limits.takeRetryToken(Call.Now)) {
    this->refuse(Call, Packet, Reason + ", retry budget spent");
    return;
  }
  this->Flows.Elsewhere.put(Packet.Key, {Next->Name, true});
  this->forward(Call, Packet, *Next);
  ++this->Counts.PassedOn;
  logDecision(Call.Out, DecisionKind::FlowPassedOn, Packet.Key, Next->Name,
              Reason);
}

void FlowController::refuse(const Context &Call, const Arrival &Packet,
                            const std::string &Reason) {
  Call.Out.emplace_back(
      board::ReplyToFlow{Packet.Header.Caller,
                         {Packet.Packet.Connection, wire::FlowEvent::Refused,
                          Packet.Packet.Sequence, Reason}});
  ++this->Counts.Refused;
  logDecision(Call.Out, DecisionKind::FlowRefused, Packet.Key, {}, Reason);
}

// The upstream has refused to open the flow.
void FlowController::onShed(const Context &Call, const base::FlowKey &Key) {
  auto Node = this->Flows.Carried.extract(Key);
  CarriedFlow &Flow = Node.mapped();
  this->giveBackConnection(Call, Flow, admission::Completion::Shed);
  // The others must not send the packet back to us.
  if (Flow.IsRecorded) {
    this->Drops.push_back(Key);
    this->flushDrops(Call);
  }
  static const std::string Reason = "upstream shed it";
  if (Flow.Opening) {
    auto Parsed = wire::parseCallerPacket(Flow.Opening->Payload);
    if (Parsed && std::holds_alternative<wire::FlowPacket>(Parsed.value())) {
      const auto &Packet = std::get<wire::FlowPacket>(Parsed.value());
      this->passOn(Call,
                   {Key, Flow.Opening->Header, Flow.Opening->Payload, Packet},
                   Reason);
      return;
    }
  }
  Call.Out.emplace_back(board::ReplyToFlow{
      Flow.Caller, {Flow.Connection, wire::FlowEvent::Refused, 0, Reason}});
  ++this->Counts.Refused;
  logDecision(Call.Out, DecisionKind::FlowRefused, Key, {}, Reason);
}

} // namespace bilberry::routing
