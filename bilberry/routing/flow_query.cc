// The part of FlowController for unknown flows: queries to the other members,
// and replies to their queries.

#include "bilberry/routing/flow_controller.h"
#include "bilberry/routing/flow_text.h"
#include "bilberry/routing/rendezvous.h"

namespace bilberry::routing {

using board::DecisionKind;

// Preconditions: there is no search for the flow; if IsClaim, a connection slot
// has been acquired from Limits for the flow.
void FlowController::startSearch(const CallContext &Ctx,
                                 const ReceivedPacket &Packet, bool IsClaim) {
  FlowSearch &Search = this->Searches.start(Ctx.Now, Packet.Key, IsClaim);
  Search.HoldsConnection = IsClaim;
  StoredPacket Stored{Packet.Header, std::string(Packet.Payload)};
  if (!this->Searches.queuePacket(Search, std::move(Stored))) {
    this->Searches.finish(Packet.Key);
    if (IsClaim) {
      this->Limits.recordConnectionOutcome(
          Ctx.Now, admission::Completion::Neutral, base::Duration(0));
    }
    logDecision(Ctx.Out, DecisionKind::PacketDropped, Packet.Key, {},
                "too many packets queued for searches");
    return;
  }
  this->sendQueries(Ctx, Packet.Key, Search);
  if (Search.PendingReplies.empty()) {
    this->finishSearch(Ctx, Packet.Key);
  }
}

// Returns true if the member's lease has expired: it is then missing from
// Placement although its state accepts new work.
static bool isLeaseExpired(const members::ServiceView &View,
                           const members::Member &Member) {
  if (!members::takesNewWork(Member)) {
    return false;
  }
  for (const members::HashedMember &Placed : View.Placement) {
    if (Placed.Value.Name == Member.Name) {
      return false;
    }
  }
  return true;
}

// Sends a query to every other member that hasn't been queried yet.
void FlowController::sendQueries(const CallContext &Ctx,
                                 const base::FlowKey &Key, FlowSearch &Search) {
  for (const members::HashedMember &Member : Ctx.View->Lookup) {
    const base::MemberName &Name = Member.Value.Name;
    if (Name == Ctx.Self.Name || Search.Replied.contains(Name) ||
        Search.PendingReplies.contains(Name)) {
      continue;
    }
    if (Search.IsClaim) {
      Ctx.Out.emplace_back(
          board::SendToPeer{Name, wire::FlowRecordPut{{{Key, Ctx.Self.Name}}}});
    }
    Ctx.Out.emplace_back(board::SendToPeer{Name, wire::FlowQuery{Key}});
    if (!Search.IsClaim || !isLeaseExpired(*Ctx.View, Member.Value)) {
      Search.PendingReplies.add(Name);
    }
  }
}

void FlowController::onRecord(const CallContext &Ctx,
                              const base::MemberName &Sender,
                              const wire::FlowRecord &Record) {
  if (Record.Holder == Ctx.Self.Name ||
      this->Flows.find(Record.Key) != nullptr) {
    return;
  }
  const Tombstone *EndedFlow = this->Flows.findTombstone(Ctx.Now, Record.Key);
  if (EndedFlow != nullptr && EndedFlow->Event == wire::FlowEvent::Closed) {
    return;
  }
  // The sender has reopened the flow.
  this->Flows.Tombstones.erase(Record.Key);
  if (FlowSearch *Search = this->Searches.find(Record.Key)) {
    if (Search->IsClaim) {
      Search->OtherClaimants.add(Sender);
    } else {
      this->onHolderFound(Ctx, Record.Key, Record.Holder);
    }
    return;
  }
  const RemoteHolder *Known = this->Flows.RemoteHolders.find(Record.Key);
  if (Known == nullptr || Ctx.View->find(Known->Holder) == nullptr) {
    this->Flows.RemoteHolders.put(Record.Key, {Record.Holder, false});
  }
}

void FlowController::onQuery(const CallContext &Ctx,
                             const base::MemberName &Sender,
                             const base::FlowKey &Key) {
  wire::FlowQueryReply Reply{Key, wire::FlowLookupResult::Unknown, {}};
  const Tombstone *EndedFlow = this->Flows.findTombstone(Ctx.Now, Key);
  bool IsClosed =
      EndedFlow != nullptr && EndedFlow->Event == wire::FlowEvent::Closed;
  const FlowSearch *Search = this->Searches.find(Key);
  const RemoteHolder *Known = this->Flows.RemoteHolders.find(Key);
  if (this->Flows.find(Key) != nullptr || IsClosed) {
    Reply.LookupResult = wire::FlowLookupResult::Held;
    Reply.Holder = Ctx.Self.Name;
  } else if (Search != nullptr && Search->IsClaim) {
    Reply.LookupResult = wire::FlowLookupResult::Recorded;
    Reply.Holder = Ctx.Self.Name;
  } else if (Known != nullptr) {
    if (Known->Holder == Sender || Ctx.View->find(Known->Holder) != nullptr) {
      Reply.LookupResult = wire::FlowLookupResult::Recorded;
      Reply.Holder = Known->Holder;
    } else {
      this->Flows.RemoteHolders.erase(Key);
    }
  }
  Ctx.Out.emplace_back(board::SendToPeer{Sender, std::move(Reply)});
}

void FlowController::onQueryReply(const CallContext &Ctx,
                                  const base::MemberName &Sender,
                                  const wire::FlowQueryReply &Reply) {
  FlowSearch *Search = this->Searches.find(Reply.Key);
  if (Search == nullptr) {
    return;
  }
  if (Reply.LookupResult == wire::FlowLookupResult::Held) {
    this->onHolderFound(Ctx, Reply.Key, Sender);
    return;
  }
  Search->PendingReplies.remove(Sender);
  Search->Replied.add(Sender);
  bool NamesOtherMember =
      Reply.LookupResult == wire::FlowLookupResult::Recorded &&
      Reply.Holder != Ctx.Self.Name;
  if (NamesOtherMember && Reply.Holder == Sender) {
    Search->OtherClaimants.add(Sender);
  } else if (NamesOtherMember) {
    Search->RecordedHolder = Reply.Holder;
  }
  if (Search->PendingReplies.empty()) {
    this->finishSearch(Ctx, Reply.Key);
  }
}

// Returns the holder named in another member's record, or an empty name if that
// holder has replied itself.
static base::MemberName recordedHolder(const FlowSearch &Search) {
  bool HasReplied = Search.Replied.contains(Search.RecordedHolder);
  return HasReplied ? base::MemberName() : Search.RecordedHolder;
}

static base::MemberName bestRanked(base::MemberName Best,
                                   const MemberNameSet &OtherClaimants,
                                   const base::FlowKey &Key) {
  for (const base::MemberName &Claimant : OtherClaimants) {
    if (rendezvousScore(memberHash(Claimant), Key) >
        rendezvousScore(memberHash(Best), Key)) {
      Best = Claimant;
    }
  }
  return Best;
}

void FlowController::finishSearch(const CallContext &Ctx,
                                  const base::FlowKey &Key) {
  if (this->Searches.find(Key)->IsClaim) {
    this->finishClaim(Ctx, Key);
  } else {
    this->finishHolderSearch(Ctx, Key);
  }
}

// Finishes a claim: no member that has replied holds the flow.
void FlowController::finishClaim(const CallContext &Ctx,
                                 const base::FlowKey &Key) {
  FlowSearch *Search = this->Searches.find(Key);
  base::MemberName Recorded = recordedHolder(*Search);
  if (Ctx.View->find(Recorded) != nullptr) {
    this->onHolderFound(Ctx, Key, Recorded);
    return;
  }
  base::MemberName Best =
      bestRanked(Ctx.Self.Name, Search->OtherClaimants, Key);
  if (Best != Ctx.Self.Name) {
    this->onHolderFound(Ctx, Key, Best);
    return;
  }
  FlowSearch Granted = this->Searches.finish(Key);
  if (!Granted.HoldsConnection && !this->Limits.acquireConnection(Ctx.Now)) {
    // The upstream was lost in the meantime. The caller retransmits the packet.
    this->PendingRecordDrops.push_back(Key);
    return;
  }
  this->forEachQueuedPacket(Key, Granted.QueuedPackets,
                            [&](const ReceivedPacket &Packet) {
                              if (this->Flows.find(Key) == nullptr) {
                                this->acceptFlow(Ctx, Packet, true);
                              } else {
                                this->handlePacket(Ctx, Packet);
                              }
                            });
}

// Finishes a search that isn't a claim: all members have replied, and none
// holds the flow.
void FlowController::finishHolderSearch(const CallContext &Ctx,
                                        const base::FlowKey &Key) {
  // Members that joined after the queries were sent may hold the flow.
  FlowSearch *Search = this->Searches.find(Key);
  this->sendQueries(Ctx, Key, *Search);
  if (!Search->PendingReplies.empty()) {
    return;
  }
  if (!Search->OtherClaimants.empty()) {
    this->onHolderFound(Ctx, Key, *Search->OtherClaimants.begin());
    return;
  }
  FlowSearch Finished = this->Searches.finish(Key);
  base::MemberName Recorded = recordedHolder(Finished);
  if (!Recorded.empty()) {
    // The holder is not yet, or no longer, in our view.
    logDecision(Ctx.Out, DecisionKind::PacketDropped, Key, Recorded,
                "the holder is not a known member");
    return;
  }
  bool HasReset = false;
  this->forEachQueuedPacket(
      Key, Finished.QueuedPackets, [&](const ReceivedPacket &Packet) {
        if (Packet.Packet.hasOpenFlag()) {
          this->handlePacket(Ctx, Packet);
        } else if (this->mayBeHeldByUnqueriedMember(Ctx)) {
          logDecision(Ctx.Out, DecisionKind::PacketDropped, Key, {},
                      "a data centre was taken out of service recently");
        } else if (!HasReset) {
          this->resetUnknownFlow(Ctx, Packet);
          HasReset = true;
        }
      });
}

// Members of a data centre that was just taken out of service are no longer
// queried, but may not have learned of the change yet. They reset their flows
// themselves, with the correct reason.
bool FlowController::mayBeHeldByUnqueriedMember(const CallContext &Ctx) const {
  return !Ctx.Document->outOfService().empty() &&
         Ctx.Now - this->ViewChangedAt < OpenSettleTime;
}

void FlowController::resetUnknownFlow(const CallContext &Ctx,
                                      const ReceivedPacket &Packet) {
  Ctx.Out.emplace_back(
      board::ReplyToFlow{Packet.Header.Caller,
                         {Packet.Packet.Connection, wire::FlowEvent::Reset,
                          Packet.Packet.Sequence, UnknownFlowReason}});
  this->Flows.Tombstones.put(
      Packet.Key, {wire::FlowEvent::Reset, UnknownFlowReason, Ctx.Now});
  ++this->Counts.Reset;
  logDecision(Ctx.Out, DecisionKind::FlowReset, Packet.Key, {},
              UnknownFlowReason);
}

// Another member holds the flow: forwards the queued packets to it.
void FlowController::onHolderFound(const CallContext &Ctx,
                                   const base::FlowKey &Key,
                                   const base::MemberName &Holder) {
  FlowSearch Search = this->Searches.finish(Key);
  if (Search.HoldsConnection) {
    this->Limits.recordConnectionOutcome(
        Ctx.Now, admission::Completion::Neutral, base::Duration(0));
  }
  const members::Member *Member = Ctx.View->find(Holder);
  if (Member == nullptr) {
    logDecision(Ctx.Out, DecisionKind::PacketDropped, Key, Holder,
                "the holder is not a known member");
    return;
  }
  this->Flows.RemoteHolders.put(Key, {Holder, false});
  logDecision(Ctx.Out, DecisionKind::FlowFound, Key, Holder,
              Search.IsClaim ? "claimed by another member" : "asked");
  this->forEachQueuedPacket(Key, Search.QueuedPackets,
                            [&](const ReceivedPacket &Packet) {
                              this->sendToHolder(Ctx, Packet, *Member);
                            });
}

// Calls Handle for each queued packet, in order of arrival.
template <typename Handler>
void FlowController::forEachQueuedPacket(
    const base::FlowKey &Key, const std::vector<StoredPacket> &QueuedPackets,
    Handler Handle) {
  for (const StoredPacket &Stored : QueuedPackets) {
    auto Parsed = wire::parseCallerPacket(Stored.Payload);
    if (Parsed && std::holds_alternative<wire::FlowPacket>(Parsed.value())) {
      const auto &Packet = std::get<wire::FlowPacket>(Parsed.value());
      Handle(ReceivedPacket{Key, Stored.Header, Stored.Payload, Packet});
    }
  }
}

void FlowController::expireSearches(const CallContext &Ctx) {
  for (const base::FlowKey &Key : this->Searches.timedOutFlows(Ctx.Now)) {
    if (this->Searches.find(Key)->IsClaim) {
      this->finishClaim(Ctx, Key);
      continue;
    }
    base::MemberName Recorded = recordedHolder(*this->Searches.find(Key));
    if (Ctx.View->find(Recorded) != nullptr) {
      this->onHolderFound(Ctx, Key, Recorded);
      continue;
    }
    // A member that hasn't replied may hold the flow, so the flow must not be
    // reset.
    // The caller's next packet starts another search.
    this->Searches.finish(Key);
    logDecision(Ctx.Out, DecisionKind::PacketDropped, Key, {},
                "a member that may carry the flow has not replied");
  }
}

} // namespace bilberry::routing
