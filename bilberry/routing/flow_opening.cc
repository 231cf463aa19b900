// The part of FlowController for new flows, which are accepted here, passed
// down the ranking, or refused.

#include "bilberry/routing/flow_controller.h"
#include "bilberry/routing/flow_text.h"
#include "bilberry/routing/rendezvous.h"

#include <algorithm>

namespace bilberry::routing {

using board::DecisionKind;

static bool sameMembers(const std::vector<members::HashedMember> &Left,
                        const std::vector<members::HashedMember> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const auto &A, const auto &B) {
                      return A.Value.Name == B.Value.Name &&
                             A.Value.Run == B.Value.Run;
                    });
}

void FlowController::trackViewChange(const CallContext &Ctx) {
  if (Ctx.View == this->LastView) {
    return;
  }
  bool IsSame = this->LastView != nullptr &&
                sameMembers(this->LastView->Lookup, Ctx.View->Lookup) &&
                sameMembers(this->LastView->Placement, Ctx.View->Placement);
  this->LastView = Ctx.View;
  if (!IsSame) {
    this->ViewChangedAt = Ctx.Now;
  }
}

bool FlowController::needsClaim(const CallContext &Ctx,
                                const ReceivedPacket &Packet) const {
  if (Ctx.Now - this->ViewChangedAt < OpenSettleTime) {
    return true;
  }
  const members::Member *Home = Ctx.homeMember(Packet.Key);
  bool IsHome = Home != nullptr && Home->Name == Ctx.Self.Name;
  return (!IsHome && Packet.Header.Hops == 0) ||
         Packet.Header.Hops >= MaxFollowedHops;
}

void FlowController::placeNewFlow(const CallContext &Ctx,
                                  const ReceivedPacket &Packet) {
  if (Packet.Header.Hops == 0) {
    this->Limits.recordNewWork(Ctx.Now);
  }
  if (!Ctx.takesNewFlows()) {
    this->passOn(Ctx, Packet, Ctx.isFenced() ? FencedReason : "draining");
    return;
  }
  if (!this->Limits.acquireConnection(Ctx.Now)) {
    this->passOn(Ctx, Packet, "no free connection");
    return;
  }
  if (this->needsClaim(Ctx, Packet)) {
    this->startSearch(Ctx, Packet, true);
  } else {
    this->acceptFlow(Ctx, Packet, false);
  }
}

// Precondition: a connection has been acquired for the flow.
void FlowController::acceptFlow(const CallContext &Ctx,
                                const ReceivedPacket &Packet, bool IsClaimed) {
  CarriedFlow Flow;
  Flow.Caller = Packet.Header.Caller;
  Flow.Connection = Packet.Packet.Connection;
  Flow.OpenedAt = Ctx.Now;
  Flow.OpeningPacket = std::make_unique<StoredPacket>(
      StoredPacket{Packet.Header, std::string(Packet.Payload)});
  Flow.Class = this->Flows.classNumber(Packet.Packet.Class);
  // The members that were queried have stored a record.
  Flow.IsRecorded = IsClaimed;
  CarriedFlow &Added =
      this->Flows.Carried.insert_or_assign(Packet.Key, std::move(Flow))
          .first->second;
  this->Flows.RemoteHolders.erase(Packet.Key);

  const members::Member *Home = Ctx.homeMember(Packet.Key);
  bool IsHome = Home != nullptr && Home->Name == Ctx.Self.Name;
  const members::HashedMember *First =
      firstRanked(Ctx.View->Lookup, Packet.Key);
  bool IsFoundFirst = First != nullptr && First->Value.Name == Ctx.Self.Name;
  if (!IsHome || !IsFoundFirst) {
    Added.IsRecorded = true;
    if (!IsClaimed) {
      this->sendFlowRecords(Ctx, Packet.Key);
    }
    this->sendHolderHint(Ctx, Packet, Ctx.Self.Name);
  }
  ++this->Counts.Opened;
  logDecision(Ctx.Out, DecisionKind::FlowPlaced, Packet.Key, {},
              IsHome ? "home" : "displaced");
  this->deliver(Ctx, Packet, Added);
}

// Sends the flow's record to the home and to the first two members in lookup
// order, excluding this agent.
void FlowController::sendFlowRecords(const CallContext &Ctx,
                                     const base::FlowKey &Key) {
  MemberNameSet Receivers;
  if (const members::Member *Home = Ctx.homeMember(Key)) {
    Receivers.add(Home->Name);
  }
  Receivers.remove(Ctx.Self.Name);
  constexpr size_t LookupReceivers = 2;
  size_t FromLookup = 0;
  for (const members::HashedMember *Member :
       topRanked(Ctx.View->Lookup, Key, LookupReceivers + 1)) {
    if (Member->Value.Name != Ctx.Self.Name && FromLookup < LookupReceivers) {
      Receivers.add(Member->Value.Name);
      ++FromLookup;
    }
  }
  for (const base::MemberName &Name : Receivers) {
    Ctx.Out.emplace_back(
        board::SendToPeer{Name, wire::FlowRecordPut{{{Key, Ctx.Self.Name}}}});
  }
}

// Returns the next member to try, or null. A packet that came directly from a
// balancer starts at the home; any other continues down the ranking from here.
const members::Member *
FlowController::nextInRanking(const CallContext &Ctx,
                              const ReceivedPacket &Packet) const {
  const members::Member *Home = Ctx.homeMember(Packet.Key);
  bool IsHome = Home != nullptr && Home->Name == Ctx.Self.Name;
  bool StartsAtTop = Packet.Header.Hops == 0 && !IsHome;
  const members::HashedMember *Next = firstRankedIf(
      Ctx.View->Placement, Packet.Key, [&](const members::Member &Member) {
        return Member.Name != Ctx.Self.Name &&
               Ctx.Document->isInService(Member.DataCentre) &&
               (StartsAtTop || !Ctx.outranksSelf(Member.Name, Packet.Key));
      });
  return Next == nullptr ? nullptr : &Next->Value;
}

void FlowController::passOn(const CallContext &Ctx,
                            const ReceivedPacket &Packet,
                            const std::string &Reason) {
  const members::Member *Next = this->nextInRanking(Ctx, Packet);
  if (Next == nullptr || Packet.Header.Hops >= MaxHops) {
    this->refuse(Ctx, Packet, Reason);
    return;
  }
  // Draining and fenced agents pass on all packets without a retry token,
  // because that adds no work.
  if (Ctx.takesNewFlows() && !this->Limits.takeRetryToken(Ctx.Now)) {
    this->refuse(Ctx, Packet, Reason + ", retry budget spent");
    return;
  }
  this->Flows.RemoteHolders.put(Packet.Key, {Next->Name, true});
  this->forward(Ctx, Packet, *Next);
  ++this->Counts.PassedOn;
  logDecision(Ctx.Out, DecisionKind::FlowPassedOn, Packet.Key, Next->Name,
              Reason);
}

void FlowController::refuse(const CallContext &Ctx,
                            const ReceivedPacket &Packet,
                            const std::string &Reason) {
  Ctx.Out.emplace_back(
      board::ReplyToFlow{Packet.Header.Caller,
                         {Packet.Packet.Connection, wire::FlowEvent::Refused,
                          Packet.Packet.Sequence, Reason}});
  ++this->Counts.Refused;
  logDecision(Ctx.Out, DecisionKind::FlowRefused, Packet.Key, {}, Reason);
}

// Handles the upstream's refusal to open the flow.
void FlowController::onShed(const CallContext &Ctx, const base::FlowKey &Key) {
  auto Node = this->Flows.Carried.extract(Key);
  CarriedFlow &Flow = Node.mapped();
  this->settleConnection(Ctx, Flow, admission::Completion::Shed);
  // Other members must not send the packet back to this agent.
  if (Flow.IsRecorded) {
    this->PendingRecordDrops.push_back(Key);
    this->flushRecordDrops(Ctx);
  }
  static const std::string Reason = "upstream shed it";
  if (Flow.OpeningPacket) {
    auto Parsed = wire::parseCallerPacket(Flow.OpeningPacket->Payload);
    if (Parsed && std::holds_alternative<wire::FlowPacket>(Parsed.value())) {
      const auto &Packet = std::get<wire::FlowPacket>(Parsed.value());
      this->passOn(Ctx,
                   {Key, Flow.OpeningPacket->Header,
                    Flow.OpeningPacket->Payload, Packet},
                   Reason);
      return;
    }
  }
  Ctx.Out.emplace_back(board::ReplyToFlow{
      Flow.Caller, {Flow.Connection, wire::FlowEvent::Refused, 0, Reason}});
  ++this->Counts.Refused;
  logDecision(Ctx.Out, DecisionKind::FlowRefused, Key, {}, Reason);
}

} // namespace bilberry::routing
