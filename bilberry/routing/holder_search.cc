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

void HolderSearch::keepPacket(Search &Entry, const Packet &Packet) {
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

void HolderSearch::dropPackets(Search &Entry) {
  for (const std::string &Bytes : Entry.Packets) {
    this->WaitingBytes -= Bytes.size();
    ++this->Counts.Dropped;
  }
  Entry.Packets.clear();
}

void HolderSearch::onMissed(const SearchContext &Call, const Packet &Packet,
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
    Entry.FirstAskedAt = Call.Now;
    ++this->Counts.Searches;
  }
  Entry.LastPacket = Call.Now;
  this->keepPacket(Entry, Packet);
  if (Entry.IsAsking) {
    return;
  }
  // Upstreams that may hold it are left from the last round of questions.
  bool MayProbe = !Entry.Unsure.empty() && !isBlind(Entry);
  if (MayProbe && Call.Now - Entry.AskedAt < SearchLife) {
    this->probeNext(Call, Id, Entry, Out);
    return;
  }
  bool IsUnfinished =
      !Entry.Waiting.empty() && Call.Now - Entry.RoundAt < SearchLife;
  if (IsUnfinished) {
    this->askAgain(Call, Id, Entry, Out);
  } else {
    this->beginRound(Call, Id, Entry);
  }
}

void HolderSearch::beginRound(const SearchContext &Call, const FlowId &Id,
                              Search &Entry) {
  Entry.IsAsking = true;
  Entry.AllAnswered = false;
  Entry.HasAnswer = false;
  Entry.RoundAt = Call.Now;
  Entry.AskedAt = Call.Now;
  Entry.Waiting.clear();
  Entry.Unsure.clear();
  Entry.AgentsAsked = 0;
  this->addNewAgents(Entry);
  this->ToAsk.push_back(Id);
}

// Adds the agents that became known since the round began. Those that hold
// nothing by their last status would have told of an upstream at once.
void HolderSearch::addNewAgents(Search &Entry) const {
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
void HolderSearch::askAgain(const SearchContext &Call, const FlowId &Id,
                            Search &Entry, PacketActions &Out) {
  this->addNewAgents(Entry);
  std::erase_if(Entry.Waiting, [&](AgentIndex Index) {
    const AgentView &View = this->Agents.at(Index);
    return View.IsGone || View.holdsNothing();
  });
  if (Entry.Waiting.empty()) {
    this->conclude(Call, Id, Entry, Out);
    return;
  }
  Entry.IsAsking = true;
  Entry.AskedAt = Call.Now;
  this->ToAsk.push_back(Id);
}

void HolderSearch::flush(base::TimePoint Now, PacketActions &Out) {
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

void HolderSearch::onAnswer(const SearchContext &Call,
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
      this->Located.push_back({Answer.Flows[I], Agent, true});
      this->onHeld(Call, Answer.Flows[I], Agent, Out);
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
      this->askAgain(Call, It->first, Entry, Out);
    }
  }
}

// All have answered, or the others' time is up.
void HolderSearch::conclude(const SearchContext &Call, const FlowId &Id,
                            Search &Entry, PacketActions &Out) {
  Entry.IsAsking = false;
  Entry.AllAnswered = Entry.Waiting.empty() && Entry.HasAnswer;
  if (!Entry.Unsure.empty()) {
    this->sortUnsure(Call, Id, Entry);
    this->probeNext(Call, Id, Entry, Out);
    return;
  }
  // Asked twice, so that what was under way the first time has arrived.
  bool IsUnknown = Entry.AllAnswered && Call.KnowsAgents &&
                   Entry.RoundAt - Entry.FirstAskedAt >= UnknownDelay;
  if (IsUnknown) {
    Out.Resets.push_back({Id, Entry.LastAcknowledged});
    Out.Decisions.push_back({"flow-reset",
                             Id,
                             {},
                             "no agent holds it",
                             Call.Operators.routeVersion()});
    ++this->Counts.Resets;
  } else {
    bool IsOneSilent = !Entry.Waiting.empty();
    std::string_view Reason = IsOneSilent         ? "an agent is silent"
                              : Entry.AllAnswered ? "asked once"
                                                  : "no agent is known";
    Out.Decisions.push_back({"flow-undecided", Id,
                             IsOneSilent
                                 ? this->Agents.at(Entry.Waiting.front()).Data
                                 : base::Address(),
                             Reason, Call.Operators.routeVersion()});
  }
  ++this->Counts.Unknown;
  this->dropPackets(Entry);
}

// The likeliest last: of the route's service, and near.
void HolderSearch::sortUnsure(const SearchContext &Call, const FlowId &Id,
                              Search &Entry) const {
  const targets::Route *Route =
      Call.Operators.Routes ? Call.Operators.Routes->find(Id.Route) : nullptr;
  auto Rank = [&](AgentIndex Index) {
    const wire::AgentStatus &Status = this->Agents.at(Index).Status;
    bool IsOfRoute = Route && Route->allows(Status.Service);
    bool IsNear = Status.DataCentre == this->DataCentre;
    return (IsOfRoute ? 2 : 0) + (IsNear ? 1 : 0);
  };
  std::ranges::stable_sort(Entry.Unsure, {}, Rank);
}

// Too many upstreams were asked in vain while an agent that is silent may be
// the one.
bool HolderSearch::isBlind(const Search &Entry) {
  return !Entry.AllAnswered && Entry.WrongProbes >= MaxBlindProbes;
}

// Gives one waiting packet to an upstream that may hold the flow, unless none
// is left, or too many were wrong.
void HolderSearch::probeNext(const SearchContext &Call, const FlowId &Id,
                             Search &Entry, PacketActions &Out) {
  if (Entry.Unsure.empty() || isBlind(Entry) || Entry.Packets.empty()) {
    this->dropPackets(Entry);
    return;
  }
  AgentIndex Next = Entry.Unsure.back();
  Entry.Unsure.pop_back();
  this->Located.push_back({Id, Next, false});
  ++this->Counts.Probes;
  Out.Decisions.push_back({"flow-probed", Id, this->Agents.at(Next).Data,
                           "may be there", Call.Operators.routeVersion()});
  // One packet is the question; the rest is sent again by the caller.
  std::string First = std::move(Entry.Packets.front());
  this->WaitingBytes -= First.size();
  Entry.Packets.erase(Entry.Packets.begin());
  this->dropPackets(Entry);
  Out.Packets.push_back(
      {packet::Receiver::Peer, this->Agents.at(Next).Data,
       Out.keep(std::move(First)),
       packet::hopMark(Call.Operators.routeVersion(), HopTag::Probe), false});
}

void HolderSearch::onHeld(const SearchContext &Call, const FlowId &Id,
                          AgentIndex Holder, PacketActions &Out) {
  auto It = this->Searches.find(Id);
  if (It == this->Searches.end()) {
    return;
  }
  ++this->Counts.Found;
  Out.Decisions.push_back({"flow-found", Id, this->Agents.at(Holder).Data,
                           "its agent holds it",
                           Call.Operators.routeVersion()});
  this->release(Call, It->second, Holder, Out);
  this->Searches.erase(It);
}

void HolderSearch::cancel(const FlowId &Id) {
  auto It = this->Searches.find(Id);
  if (It != this->Searches.end()) {
    this->dropPackets(It->second);
    this->Searches.erase(It);
  }
}

void HolderSearch::onProbeReturned(const FlowId &Id) {
  auto It = this->Searches.find(Id);
  if (It != this->Searches.end()) {
    ++It->second.WrongProbes;
  }
}

std::vector<LocatedFlow> HolderSearch::takeLocated() {
  return std::exchange(this->Located, {});
}

// Sends what waited to the holder.
void HolderSearch::release(const SearchContext &Call, Search &Entry,
                           AgentIndex Holder, PacketActions &Out) {
  for (std::string &Bytes : Entry.Packets) {
    this->WaitingBytes -= Bytes.size();
    Out.Packets.push_back(
        {packet::Receiver::Peer, this->Agents.at(Holder).Data,
         Out.keep(std::move(Bytes)),
         packet::hopMark(Call.Operators.routeVersion(), HopTag::Holder),
         false});
  }
  Entry.Packets.clear();
}

void HolderSearch::onTick(const SearchContext &Call, PacketActions &Out) {
  for (auto It = this->Searches.begin(); It != this->Searches.end();) {
    Search &Entry = It->second;
    if (Entry.IsAsking && Call.Now - Entry.AskedAt > AnswerTimeout) {
      this->conclude(Call, It->first, Entry, Out);
    } else if (Entry.AllAnswered && Entry.Unsure.empty() &&
               Entry.RoundAt - Entry.FirstAskedAt < UnknownDelay &&
               Call.Now - Entry.FirstAskedAt >= UnknownDelay) {
      // The second round doesn't wait for the caller's next packet.
      this->beginRound(Call, It->first, Entry);
    }
    if (Call.Now - Entry.LastPacket > SearchLife) {
      this->dropPackets(Entry);
      It = this->Searches.erase(It);
    } else {
      ++It;
    }
  }
}

} // namespace bilberry::routing
