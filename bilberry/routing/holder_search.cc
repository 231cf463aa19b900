#include "bilberry/routing/holder_search.h"

#include <algorithm>
#include <utility>

namespace bilberry::routing {

using members::AgentIndex;
using members::AgentView;
using members::NoAgent;
using packet::FlowId;
using packet::HopTag;
using packet::Packet;
using packet::PacketActions;

void HolderSearch::queuePacket(Search &Entry, const Packet &Packet) {
  bool HasCapacity =
      Entry.Packets.size() < MaxQueuedPacketsPerFlow &&
      this->QueuedBytes + Packet.Bytes.size() <= MaxTotalQueuedBytes;
  if (!HasCapacity) {
    ++this->Counts.Dropped;
    return;
  }
  this->QueuedBytes += Packet.Bytes.size();
  Entry.Packets.emplace_back(Packet.Bytes.data(), Packet.Bytes.size());
  Entry.LastAcknowledged = Packet.Acknowledged;
}

void HolderSearch::dropQueuedPackets(Search &Entry) {
  for (const std::string &Bytes : Entry.Packets) {
    this->QueuedBytes -= Bytes.size();
    ++this->Counts.Dropped;
  }
  Entry.Packets.clear();
}

void HolderSearch::onUnknownFlowPacket(const SearchContext &Ctx,
                                       const Packet &Packet,
                                       PacketActions &Out) {
  FlowId Id = Packet.flowFromCaller();
  // A reset of an unknown flow needs no response.
  if (Packet.IsReset) {
    ++this->Counts.Dropped;
    return;
  }
  bool IsNew = !this->Searches.contains(Id);
  Search &Entry = this->Searches[Id];
  if (IsNew) {
    Entry.SearchStartedAt = Ctx.Now;
    ++this->Counts.Searches;
  }
  Entry.LastPacketAt = Ctx.Now;
  this->queuePacket(Entry, Packet);
  if (Entry.IsAwaitingReplies) {
    return;
  }
  // Upstreams that may hold the flow remain to be probed from the last round.
  bool CanProbe = !Entry.ProbeCandidates.empty() && !isProbeLimitReached(Entry);
  if (CanProbe && Ctx.Now - Entry.LastQueriedAt < SearchLifetime) {
    this->probeNextAgent(Ctx, Id, Entry, Out);
    return;
  }
  bool CanResumeRound = !Entry.PendingAgents.empty() &&
                        Ctx.Now - Entry.RoundStartedAt < SearchLifetime;
  if (CanResumeRound) {
    this->repeatQueries(Ctx, Id, Entry, Out);
  } else {
    this->startRound(Ctx, Id, Entry);
  }
}

void HolderSearch::startRound(const SearchContext &Ctx, const FlowId &Id,
                              Search &Entry) {
  Entry.IsAwaitingReplies = true;
  Entry.AllReplied = false;
  Entry.HasReport = false;
  Entry.UnconfirmedSince.reset();
  Entry.RoundStartedAt = Ctx.Now;
  Entry.LastQueriedAt = Ctx.Now;
  Entry.PendingAgents.clear();
  Entry.ProbeCandidates.clear();
  Entry.AgentsConsidered = 0;
  Entry.ArrivalsAtStart = this->Agents.arrivals();
  this->addNewAgents(Ctx, Id, Entry);
  this->FlowsToQuery.push_back(Id);
}

// Whether the agent's upstream may hold the flow. Of the agents that are gone,
// only those of the route's service count.
bool HolderSearch::mayHoldFlow(const SearchContext &Ctx, const FlowId &Id,
                               AgentIndex Index) const {
  const AgentView &View = this->Agents.at(Index);
  if (!View.IsGone) {
    return true;
  }
  const targets::Route *Route =
      Ctx.Operators.Routes ? Ctx.Operators.Routes->find(Id.Route) : nullptr;
  bool IsOfService = !Route || View.Status.Service.empty() ||
                     Route->allows(View.Status.Service);
  return IsOfService &&
         this->Agents.mayStillServe(Ctx.Now, Index, Ctx.FlowLifetime);
}

// Adds the agents that became known since the round started. Agents whose last
// status reports no upstream and no flows are not queried: they would have
// reported a new upstream immediately.
void HolderSearch::addNewAgents(const SearchContext &Ctx, const FlowId &Id,
                                Search &Entry) const {
  for (; Entry.AgentsConsidered < this->Agents.size();
       ++Entry.AgentsConsidered) {
    auto Index = static_cast<AgentIndex>(Entry.AgentsConsidered);
    if (!this->mayHoldFlow(Ctx, Id, Index)) {
      continue;
    }
    if (this->Agents.at(Index).hasNoFlows()) {
      Entry.HasReport = true;
    } else {
      Entry.PendingAgents.push_back(Index);
    }
  }
}

// Repeats the queries to agents that haven't replied, because a query or its
// reply may have been lost.
void HolderSearch::repeatQueries(const SearchContext &Ctx, const FlowId &Id,
                                 Search &Entry, PacketActions &Out) {
  this->addNewAgents(Ctx, Id, Entry);
  std::erase_if(Entry.PendingAgents, [&](AgentIndex Index) {
    return !this->mayHoldFlow(Ctx, Id, Index) ||
           this->Agents.at(Index).hasNoFlows();
  });
  if (Entry.PendingAgents.empty()) {
    this->finishRound(Ctx, Id, Entry, Out);
    return;
  }
  Entry.IsAwaitingReplies = true;
  Entry.LastQueriedAt = Ctx.Now;
  this->FlowsToQuery.push_back(Id);
}

void HolderSearch::flush(base::TimePoint Now, PacketActions &Out) {
  bool IsDue = Now - this->LastQueriedAt >= HolderQueryInterval ||
               this->FlowsToQuery.size() >= wire::MaxFlowsPerMessage;
  if (this->FlowsToQuery.empty() || !IsDue) {
    return;
  }
  this->LastQueriedAt = Now;
  std::vector<wire::HolderQuery> Queries(this->Agents.size());
  auto Send = [&](AgentIndex Index) {
    wire::HolderQuery &Query = Queries[Index];
    Out.Messages.push_back({{this->Agents.at(Index).Control}, Query});
    Query.Flows.clear();
  };
  for (const FlowId &Id : this->FlowsToQuery) {
    auto It = this->Searches.find(Id);
    if (It == this->Searches.end()) {
      continue;
    }
    It->second.LastQueriedAt = Now;
    for (AgentIndex Index : It->second.PendingAgents) {
      Queries[Index].Flows.push_back(Id);
      if (Queries[Index].Flows.size() == wire::MaxFlowsPerMessage) {
        Send(Index);
      }
    }
  }
  this->FlowsToQuery.clear();
  for (size_t I = 0; I < Queries.size(); ++I) {
    if (!Queries[I].Flows.empty()) {
      Send(static_cast<AgentIndex>(I));
    }
  }
}

void HolderSearch::onAnswer(const SearchContext &Ctx,
                            const wire::HolderAnswer &Answer,
                            PacketActions &Out) {
  AgentIndex Agent = this->Agents.findByName(Answer.Name);
  if (Agent == NoAgent) {
    return;
  }
  for (size_t I = 0; I < Answer.Flows.size(); ++I) {
    auto It = this->Searches.find(Answer.Flows[I]);
    if (It == this->Searches.end()) {
      continue;
    }
    Search &Entry = It->second;
    if (Answer.Presences[I] == wire::FlowPresence::Held) {
      this->Located.push_back({Answer.Flows[I], Agent, true});
      this->onHolderConfirmed(Ctx, Answer.Flows[I], Agent, Out);
      continue;
    }
    // Late replies count too.
    if (std::erase(Entry.PendingAgents, Agent) == 0) {
      continue;
    }
    Entry.HasReport = true;
    if (Answer.Presences[I] == wire::FlowPresence::Unsure) {
      Entry.ProbeCandidates.push_back(Agent);
    }
    if (Entry.PendingAgents.empty()) {
      // Queries agents that became known in the meantime, or finishes the
      // round.
      this->repeatQueries(Ctx, It->first, Entry, Out);
    }
  }
}

// Finishes a round: all agents have replied, or the timeout has expired.
void HolderSearch::finishRound(const SearchContext &Ctx, const FlowId &Id,
                               Search &Entry, PacketActions &Out) {
  Entry.IsAwaitingReplies = false;
  Entry.AllReplied = Entry.PendingAgents.empty() && Entry.HasReport;
  if (!Entry.ProbeCandidates.empty()) {
    this->sortProbeCandidates(Ctx, Id, Entry);
    this->probeNextAgent(Ctx, Id, Entry, Out);
    return;
  }
  // A flow is reset only after two rounds, so that messages in flight during
  // the first one have arrived.
  bool IsSecondRound =
      Entry.RoundStartedAt - Entry.SearchStartedAt >= UnknownConfirmationDelay;
  bool IsListKnown = isListConfirmed(Ctx, Entry);
  if (Entry.AllReplied && !IsListKnown) {
    this->LatestUnconfirmed =
        std::max(this->LatestUnconfirmed.value_or(Entry.SearchStartedAt),
                 Entry.SearchStartedAt);
  }
  if (this->haveAllListedReplied(Entry) && IsSecondRound && IsListKnown) {
    this->resetUnheldFlow(Ctx, Id, Entry, Out);
  } else {
    bool IsAgentSilent = !Entry.PendingAgents.empty();
    bool IsUnconfirmed = this->haveAllListedReplied(Entry) && IsSecondRound;
    if (IsUnconfirmed) {
      Entry.UnconfirmedSince = Ctx.Now;
      ++this->Counts.Unconfirmed;
    }
    std::string_view Reason = IsAgentSilent       ? "an agent is silent"
                              : !Entry.AllReplied ? "no agent is known"
                              : IsUnconfirmed
                                  ? "the list of agents isn't confirmed"
                                  : "asked once";
    Out.Decisions.push_back(
        {"flow-undecided", Id,
         IsAgentSilent ? this->Agents.at(Entry.PendingAgents.front()).Data
                       : base::Address(),
         Reason, Ctx.Operators.routeVersion()});
  }
  ++this->Counts.Unknown;
  this->dropQueuedPackets(Entry);
}

// True if all agents that are listed now have replied in the last round.
bool HolderSearch::haveAllListedReplied(const Search &Entry) const {
  return Entry.AllReplied && Entry.ArrivalsAtStart == this->Agents.arrivals();
}

// True if the list of agents was whole after the search began, so that it
// included the holder of every flow that was open then.
bool HolderSearch::isListConfirmed(const SearchContext &Ctx,
                                   const Search &Entry) {
  return Ctx.ListConfirmedAt && *Ctx.ListConfirmedAt >= Entry.SearchStartedAt;
}

void HolderSearch::resetUnheldFlow(const SearchContext &Ctx, const FlowId &Id,
                                   Search &Entry, PacketActions &Out) {
  Entry.UnconfirmedSince.reset();
  Out.Resets.push_back({Id, Entry.LastAcknowledged});
  Out.Decisions.push_back({"flow-reset",
                           Id,
                           {},
                           "no agent holds it",
                           Ctx.Operators.routeVersion(),
                           true});
  ++this->Counts.Resets;
}

// Sorts by increasing likelihood of being the holder. Agents of the route's
// service are more likely than others; among equals, agents in this data centre
// are.
void HolderSearch::sortProbeCandidates(const SearchContext &Ctx,
                                       const FlowId &Id, Search &Entry) const {
  const targets::Route *Route =
      Ctx.Operators.Routes ? Ctx.Operators.Routes->find(Id.Route) : nullptr;
  auto Rank = [&](AgentIndex Index) {
    const wire::AgentStatus &Status = this->Agents.at(Index).Status;
    bool ServesRoute = Route && Route->allows(Status.Service);
    bool IsLocal = Status.DataCentre == this->DataCentre;
    return (ServesRoute ? 2 : 0) + (IsLocal ? 1 : 0);
  };
  std::ranges::stable_sort(Entry.ProbeCandidates, {}, Rank);
}

// Returns true if the maximum number of probes has failed while an agent that
// hasn't replied may be the holder.
bool HolderSearch::isProbeLimitReached(const Search &Entry) {
  return !Entry.AllReplied && Entry.FailedProbes >= MaxProbesWithSilentAgent;
}

// Sends one queued packet as a probe to an upstream that may hold the flow,
// unless none is left or too many probes have failed.
void HolderSearch::probeNextAgent(const SearchContext &Ctx, const FlowId &Id,
                                  Search &Entry, PacketActions &Out) {
  if (isProbeLimitReached(Entry) && !Entry.PendingAgents.empty()) {
    Out.Decisions.push_back({"flow-undecided", Id,
                             this->Agents.at(Entry.PendingAgents.front()).Data,
                             "no more probes while an agent is silent",
                             Ctx.Operators.routeVersion()});
  }
  if (Entry.ProbeCandidates.empty() || isProbeLimitReached(Entry) ||
      Entry.Packets.empty()) {
    this->dropQueuedPackets(Entry);
    return;
  }
  AgentIndex Next = Entry.ProbeCandidates.back();
  Entry.ProbeCandidates.pop_back();
  this->Located.push_back({Id, Next, false});
  ++this->Counts.Probes;
  Out.Decisions.push_back({"flow-probed", Id, this->Agents.at(Next).Data,
                           "holder not confirmed",
                           Ctx.Operators.routeVersion()});
  // One packet is enough for a probe; the caller retransmits the others.
  std::string First = std::move(Entry.Packets.front());
  this->QueuedBytes -= First.size();
  Entry.Packets.erase(Entry.Packets.begin());
  this->dropQueuedPackets(Entry);
  Out.Packets.push_back(
      {packet::Receiver::Peer, this->Agents.at(Next).Data,
       Out.ownBytes(std::move(First)),
       packet::markForAgent(HopTag::Probe, this->Agents.at(Next).ReceiverId),
       false});
}

void HolderSearch::onHolderConfirmed(const SearchContext &Ctx, const FlowId &Id,
                                     AgentIndex Holder, PacketActions &Out) {
  auto It = this->Searches.find(Id);
  if (It == this->Searches.end()) {
    return;
  }
  ++this->Counts.Found;
  Out.Decisions.push_back({"flow-found", Id, this->Agents.at(Holder).Data,
                           "confirmed by its agent",
                           Ctx.Operators.routeVersion()});
  this->sendQueuedPackets(It->second, Holder, Out);
  this->Searches.erase(It);
}

void HolderSearch::cancel(const FlowId &Id) {
  auto It = this->Searches.find(Id);
  if (It != this->Searches.end()) {
    this->dropQueuedPackets(It->second);
    this->Searches.erase(It);
  }
}

void HolderSearch::onProbeReturned(const SearchContext &Ctx,
                                   const Packet &Packet,
                                   const base::Address &From,
                                   PacketActions &Out) {
  FlowId Id = Packet.flowFromCaller();
  auto It = this->Searches.find(Id);
  bool IsSearch = It != this->Searches.end();
  // With these two reasons the packet has not reached an upstream.
  bool WasDelivered = Packet.Mark.Tag != HopTag::NoUpstream &&
                      Packet.Mark.Tag != HopTag::WrongAgent;
  if (IsSearch && WasDelivered) {
    ++It->second.FailedProbes;
  }
  bool IsUpstreamSilent = Packet.Mark.Tag == HopTag::NoUpstream ||
                          Packet.Mark.Tag == HopTag::Unanswered;
  if (IsSearch && IsUpstreamSilent && It->second.ProbeCandidates.empty()) {
    // Another round would send the packet to the same upstream at once.
    Out.Decisions.push_back({"flow-undecided", Id, From,
                             "an upstream is silent",
                             Ctx.Operators.routeVersion()});
    ++this->Counts.Unknown;
    ++this->Counts.Dropped;
    return;
  }
  this->onUnknownFlowPacket(Ctx, Packet, Out);
}

std::vector<LocatedFlow> HolderSearch::takeLocated() {
  return std::exchange(this->Located, {});
}

std::optional<base::TimePoint> HolderSearch::takeUnconfirmed() {
  return std::exchange(this->LatestUnconfirmed, std::nullopt);
}

// Sends the queued packets to the holder.
void HolderSearch::sendQueuedPackets(Search &Entry, AgentIndex Holder,
                                     PacketActions &Out) {
  for (std::string &Bytes : Entry.Packets) {
    this->QueuedBytes -= Bytes.size();
    Out.Packets.push_back(
        {packet::Receiver::Peer, this->Agents.at(Holder).Data,
         Out.ownBytes(std::move(Bytes)),
         packet::markForAgent(HopTag::Holder,
                              this->Agents.at(Holder).ReceiverId),
         false});
  }
  Entry.Packets.clear();
}

void HolderSearch::onTick(const SearchContext &Ctx, PacketActions &Out) {
  for (auto It = this->Searches.begin(); It != this->Searches.end();) {
    Search &Entry = It->second;
    if (Entry.IsAwaitingReplies &&
        Ctx.Now - Entry.LastQueriedAt > HolderAnswerTimeout) {
      this->finishRound(Ctx, It->first, Entry, Out);
    } else if (Entry.AllReplied && Entry.ProbeCandidates.empty() &&
               Entry.RoundStartedAt - Entry.SearchStartedAt <
                   UnknownConfirmationDelay &&
               Ctx.Now - Entry.SearchStartedAt >= UnknownConfirmationDelay) {
      // Starts the second round without waiting for the caller's next packet.
      this->startRound(Ctx, It->first, Entry);
    } else if (Entry.UnconfirmedSince) {
      bool IsCurrent =
          this->haveAllListedReplied(Entry) &&
          Ctx.Now - *Entry.UnconfirmedSince <= ListConfirmationTimeout;
      if (!IsCurrent) {
        Entry.UnconfirmedSince.reset();
      } else if (isListConfirmed(Ctx, Entry)) {
        this->resetUnheldFlow(Ctx, It->first, Entry, Out);
      }
    }
    if (Ctx.Now - Entry.LastPacketAt > SearchLifetime) {
      this->dropQueuedPackets(Entry);
      It = this->Searches.erase(It);
    } else {
      ++It;
    }
  }
}

} // namespace bilberry::routing
