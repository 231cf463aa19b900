// FlowController's part for flows that it doesn't know: it asks the other
// members, and answers when they ask.

#include "bilberry/routing/flow_controller.h"
#include "bilberry/routing/flow_text.h"
#include "bilberry/routing/rendezvous.h"

namespace bilberry::routing {

using board::DecisionKind;

// Precondition: there is no search for the flow; a connection is held for a
// claim.
void FlowController::ask(const Context &Call, const Arrival &Packet,
                         bool IsClaim) {
  FlowSearch &Search = this->Searches.start(Call.Now, Packet.Key, IsClaim);
  Search.HoldsConnection = IsClaim;
  KeptPacket Kept{Packet.Header, std::string(Packet.Payload)};
  if (!this->Searches.park(Search, std::move(Kept))) {
    this->Searches.take(Packet.Key);
    if (IsClaim) {
      this->Limits.connectionSettled(Call.Now, admission::Completion::Neutral,
                                     base::Duration(0));
    }
    logDecision(Call.Out, DecisionKind::PacketDropped, Packet.Key, {},
                "too many packets wait for answers");
    return;
  }
  this->sendQueries(Call, Packet.Key, Search);
  if (Search.Waiting.empty()) {
    this->conclude(Call, Packet.Key);
  }
}

// True for a member whose lease has expired: it is in Lookup only, though it
// would take new work.
static bool isSilent(const members::ServiceView &View,
                     const members::Member &Member) {
  if (!members::takesNewWork(Member)) {
    return false;
  }
  for (const members::RankedMember &Placed : View.Placement) {
    if (Placed.Value.Name == Member.Name) {
      return false;
    }
  }
  return true;
}

// Asks every other member that hasn't been asked.
void FlowController::sendQueries(const Context &Call, const base::FlowKey &Key,
                                 FlowSearch &Search) {
  for (const members::RankedMember &Member : Call.View->Lookup) {
    const base::MemberName &Name = Member.Value.Name;
    if (Name == Call.Self.Name || Search.Answered.contains(Name) ||
        Search.Waiting.contains(Name)) {
      continue;
    }
    if (Search.IsClaim) {
      Call.Out.emplace_back(
          board::SendPeer{Name, wire::FlowRecordPut{{{Key, Call.Self.Name}}}});
    }
    Call.Out.emplace_back(board::SendPeer{Name, wire::FlowQuery{Key}});
    if (!Search.IsClaim || !isSilent(*Call.View, Member.Value)) {
      Search.Waiting.add(Name);
    }
  }
}

void FlowController::onRecord(const Context &Call,
                              const base::MemberName &Sender,
                              const wire::FlowRecord &Record) {
  if (Record.Holder == Call.Self.Name ||
      this->Flows.find(Record.Key) != nullptr) {
    return;
  }
  const Tombstone *End = this->Flows.findEnd(Call.Now, Record.Key);
  if (End != nullptr && End->Event == wire::FlowEvent::Closed) {
    return;
  }
  // Whoever sends it has opened the flow anew.
  this->Flows.Ended.erase(Record.Key);
  if (FlowSearch *Search = this->Searches.find(Record.Key)) {
    if (Search->IsClaim) {
      Search->Rivals.add(Sender);
    } else {
      this->found(Call, Record.Key, Record.Holder);
    }
    return;
  }
  const KnownHolder *Known = this->Flows.Elsewhere.find(Record.Key);
  if (Known == nullptr || Call.View->find(Known->Holder) == nullptr) {
    this->Flows.Elsewhere.put(Record.Key, {Record.Holder, false});
  }
}

void FlowController::onQuery(const Context &Call,
                             const base::MemberName &Sender,
                             const base::FlowKey &Key) {
  wire::FlowQueryReply Reply{Key, wire::FlowKnowledge::Unknown, {}};
  const Tombstone *End = this->Flows.findEnd(Call.Now, Key);
  bool HasClosed = End != nullptr && End->Event == wire::FlowEvent::Closed;
  const FlowSearch *Search = this->Searches.find(Key);
  const KnownHolder *Known = this->Flows.Elsewhere.find(Key);
  if (this->Flows.find(Key) != nullptr || HasClosed) {
    Reply.Knowledge = wire::FlowKnowledge::Held;
    Reply.Holder = Call.Self.Name;
  } else if (Search != nullptr && Search->IsClaim) {
    Reply.Knowledge = wire::FlowKnowledge::Recorded;
    Reply.Holder = Call.Self.Name;
  } else if (Known != nullptr) {
    if (Known->Holder == Sender || Call.View->find(Known->Holder) != nullptr) {
      Reply.Knowledge = wire::FlowKnowledge::Recorded;
      Reply.Holder = Known->Holder;
    } else {
      this->Flows.Elsewhere.erase(Key);
    }
  }
  Call.Out.emplace_back(board::SendPeer{Sender, std::move(Reply)});
}

void FlowController::onAnswer(const Context &Call,
                              const base::MemberName &Sender,
                              const wire::FlowQueryReply &Reply) {
  FlowSearch *Search = this->Searches.find(Reply.Key);
  if (Search == nullptr) {
    return;
  }
  if (Reply.Knowledge == wire::FlowKnowledge::Held) {
    this->found(Call, Reply.Key, Sender);
    return;
  }
  Search->Waiting.remove(Sender);
  Search->Answered.add(Sender);
  bool IsRecord = Reply.Knowledge == wire::FlowKnowledge::Recorded &&
                  Reply.Holder != Call.Self.Name;
  if (IsRecord && Reply.Holder == Sender) {
    Search->Rivals.add(Sender);
  } else if (IsRecord) {
    Search->Recorded = Reply.Holder;
  }
  if (Search->Waiting.empty()) {
    this->conclude(Call, Reply.Key);
  }
}

// The holder by somebody else's record, while it hasn't spoken for itself.
static base::MemberName recordedHolder(const FlowSearch &Search) {
  bool HasAnswered = Search.Answered.contains(Search.Recorded);
  return HasAnswered ? base::MemberName() : Search.Recorded;
}

static base::MemberName bestRanked(base::MemberName Best,
                                   const MemberList &Rivals,
                                   const base::FlowKey &Key) {
  for (const base::MemberName &Rival : Rivals) {
    if (rendezvousScore(memberHash(Rival), Key) >
        rendezvousScore(memberHash(Best), Key)) {
      Best = Rival;
    }
  }
  return Best;
}

void FlowController::conclude(const Context &Call, const base::FlowKey &Key) {
  if (this->Searches.find(Key)->IsClaim) {
    this->concludeClaim(Call, Key);
  } else {
    this->concludeQuery(Call, Key);
  }
}

// Nobody carries the flow, as far as the others have answered.
void FlowController::concludeClaim(const Context &Call,
                                   const base::FlowKey &Key) {
  FlowSearch *Search = this->Searches.find(Key);
  base::MemberName Recorded = recordedHolder(*Search);
  if (Call.View->find(Recorded) != nullptr) {
    this->found(Call, Key, Recorded);
    return;
  }
  base::MemberName Best = bestRanked(Call.Self.Name, Search->Rivals, Key);
  if (Best != Call.Self.Name) {
    this->found(Call, Key, Best);
    return;
  }
  FlowSearch Won = this->Searches.take(Key);
  if (!Won.HoldsConnection && !this->Limits.acquireConnection(Call.Now)) {
    // The upstream was lost meanwhile. The caller sends the packet again.
    this->Drops.push_back(Key);
    return;
  }
  this->forEachParked(Key, Won.Parked, [&](const Arrival &Packet) {
    if (this->Flows.find(Key) == nullptr) {
      this->carry(Call, Packet, true);
    } else {
      this->onArrival(Call, Packet);
    }
  });
}

// Nobody carries the flow, and all have said so.
void FlowController::concludeQuery(const Context &Call,
                                   const base::FlowKey &Key) {
  // Members that have joined since we asked may carry it too.
  FlowSearch *Search = this->Searches.find(Key);
  this->sendQueries(Call, Key, *Search);
  if (!Search->Waiting.empty()) {
    return;
  }
  if (!Search->Rivals.empty()) {
    this->found(Call, Key, *Search->Rivals.begin());
    return;
  }
  FlowSearch Lost = this->Searches.take(Key);
  base::MemberName Recorded = recordedHolder(Lost);
  if (!Recorded.empty()) {
    // A holder that isn't in our view yet, or no longer.
    logDecision(Call.Out, DecisionKind::PacketDropped, Key, Recorded,
                "the holder is not a member that we know");
    return;
  }
  bool HasReset = false;
  this->forEachParked(Key, Lost.Parked, [&](const Arrival &Packet) {
    if (Packet.Packet.opens()) {
      this->onArrival(Call, Packet);
    } else if (this->mayEndElsewhere(Call)) {
      logDecision(Call.Out, DecisionKind::PacketDropped, Key, {},
                  "a data centre has just gone out of service");
    } else if (!HasReset) {
      this->resetUnknown(Call, Packet);
      HasReset = true;
    }
  });
}

// Members of a data centre that has just gone out aren't asked any more, but
// may not know of it yet. They end their flows themselves, and give the reason.
bool FlowController::mayEndElsewhere(const Context &Call) const {
  return !Call.Document->outOfService().empty() &&
         Call.Now - this->ViewChangedAt < OpenSettleTime;
}

void FlowController::resetUnknown(const Context &Call, const Arrival &Packet) {
  Call.Out.emplace_back(
      board::ReplyToFlow{Packet.Header.Caller,
                         {Packet.Packet.Connection, wire::FlowEvent::Reset,
                          Packet.Packet.Sequence, UnknownFlowReason}});
  this->Flows.Ended.put(Packet.Key,
                        {wire::FlowEvent::Reset, UnknownFlowReason, Call.Now});
  ++this->Counts.Reset;
  logDecision(Call.Out, DecisionKind::FlowReset, Packet.Key, {},
              UnknownFlowReason);
}

// Somebody else has the flow: what waits for it goes there.
void FlowController::found(const Context &Call, const base::FlowKey &Key,
                           const base::MemberName &Holder) {
  FlowSearch Search = this->Searches.take(Key);
  if (Search.HoldsConnection) {
    this->Limits.connectionSettled(Call.Now, admission::Completion::Neutral,
                                   base::Duration(0));
  }
  const members::Member *Member = Call.View->find(Holder);
  if (Member == nullptr) {
    logDecision(Call.Out, DecisionKind::PacketDropped, Key, Holder,
                "the holder is not a member that we know");
    return;
  }
  this->Flows.Elsewhere.put(Key, {Holder, false});
  logDecision(Call.Out, DecisionKind::FlowFound, Key, Holder,
              Search.IsClaim ? "claimed by another" : "asked");
  this->forEachParked(Key, Search.Parked, [&](const Arrival &Packet) {
    this->sendToHolder(Call, Packet, *Member);
  });
}

// Calls Handle with each packet that had to wait.
template <typename Handler>
void FlowController::forEachParked(const base::FlowKey &Key,
                                   const std::vector<KeptPacket> &Parked,
                                   Handler Handle) {
  for (const KeptPacket &Kept : Parked) {
    auto Parsed = wire::parseCallerPacket(Kept.Payload);
    if (Parsed && std::holds_alternative<wire::FlowPacket>(Parsed.value())) {
      const auto &Packet = std::get<wire::FlowPacket>(Parsed.value());
      Handle(Arrival{Key, Kept.Header, Kept.Payload, Packet});
    }
  }
}

void FlowController::endSilentSearches(const Context &Call) {
  for (const base::FlowKey &Key : this->Searches.timedOut(Call.Now)) {
    if (this->Searches.find(Key)->IsClaim) {
      this->concludeClaim(Call, Key);
      continue;
    }
    base::MemberName Recorded = recordedHolder(*this->Searches.find(Key));
    if (Call.View->find(Recorded) != nullptr) {
      this->found(Call, Key, Recorded);
      continue;
    }
    // Whoever is silent may carry it, so it can't be reset: the caller's next
    // packet asks again.
    this->Searches.take(Key);
    logDecision(Call.Out, DecisionKind::PacketDropped, Key, {},
                "a member that may carry the flow is silent");
  }
}

} // namespace bilberry::routing
