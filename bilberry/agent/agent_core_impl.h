// Template definitions of AgentCore. Included by agent_core.h only.

#ifndef BILBERRY_AGENT_AGENT_CORE_IMPL_H
#define BILBERRY_AGENT_AGENT_CORE_IMPL_H

#include "bilberry/agent/agent_core.h"
#include "bilberry/wire/codec.h"

#include <mutex>
#include <tuple>
#include <type_traits>
#include <utility>

namespace bilberry::agent {

template <OutputSink O>
void AgentCore<O>::onDatagram(base::TimePoint Now, const base::Address &From,
                              std::string_view Bytes) {
  base::Result<wire::Datagram> Parsed = wire::parseDatagram(Bytes);
  if (!Parsed) {
    ++this->Drops.Malformed;
    return;
  }
  const wire::Datagram &Datagram = Parsed.value();
  if (const auto *Header =
          std::get_if<wire::ForwardHeader>(&Datagram.Message)) {
    this->onForward(Now, *Header, Datagram.Payload);
  } else if (const auto *Probe = std::get_if<wire::Probe>(&Datagram.Message)) {
    this->onProbe(Now, From, *Probe);
  } else {
    ++this->Drops.Unexpected;
  }
}

template <OutputSink O>
void AgentCore<O>::onForward(base::TimePoint Now,
                             const wire::ForwardHeader &Header,
                             std::string_view Payload) {
  members::Member Self = this->Tables.Self.get();
  if (Header.Receiver != Self.Name) {
    ++this->Drops.WrongReceiver;
    return;
  }
  if (Header.Service != Self.Service) {
    ++this->Drops.WrongService;
    return;
  }
  base::Result<wire::CallerPacket> Packet = wire::parseCallerPacket(Payload);
  if (!Packet) {
    ++this->Drops.Malformed;
    return;
  }
  board::AgentActions Actions;
  std::visit(
      [&](const auto &Item) {
        using Kind = std::decay_t<decltype(Item)>;
        if constexpr (std::is_same_v<Kind, wire::FlowPacket>) {
          this->Flows.onPacket(Now, Header, Payload, Item, Actions);
        } else if constexpr (std::is_same_v<Kind, wire::RequestPacket>) {
          this->Requests.onRequest(Now, Header, Payload, Item, Actions);
        } else {
          this->Requests.onCancel(Now, Header, Payload, Item, Actions);
        }
      },
      Packet.value());
  this->perform(Now, Actions);
}

template <OutputSink O>
void AgentCore<O>::onProbe(base::TimePoint Now, const base::Address &From,
                           const wire::Probe &Probe) {
  members::Member Self = this->Tables.Self.get();
  this->Out.sendDatagram(From, wire::datagramHeader(wire::MemberNotice{Self}),
                         {});
  if (!this->Views.shouldFetchView(Now, Probe.Revision)) {
    return;
  }
  for (const members::Member &Member : this->Tables.Members.all()) {
    if (Member.Data == From) {
      this->Out.sendPeer(Member.Control, Member.Name, wire::ViewFetch());
    }
  }
}

template <OutputSink O>
void AgentCore<O>::fetchNewerView(base::TimePoint Now,
                                  const members::Member &Sender) {
  if (this->Views.shouldFetchView(Now, Sender.Applied)) {
    this->Out.sendPeer(Sender.Control, Sender.Name, wire::ViewFetch());
  }
}

template <OutputSink O>
void AgentCore<O>::onPeer(base::TimePoint Now,
                          const wire::PeerMessage &Message) {
  this->fetchNewerView(Now, Message.Sender);
  if (std::holds_alternative<wire::ViewFetch>(Message.Body)) {
    this->Out.sendPeer(Message.Sender.Control, Message.Sender.Name,
                       this->Views.view());
    return;
  }
  if (const auto *View = std::get_if<wire::View>(&Message.Body)) {
    this->Views.onView(Now, *View);
    return;
  }
  if (Message.Sender.Service != this->Tables.Self.get().Service) {
    ++this->Drops.WrongService;
    return;
  }
  // A message shows that its sender is alive, even if its lease has expired.
  this->Tables.Members.put(Now, Message.Sender);
  this->onSnapshotMessage(Now, Message);
  if (!this->IsServing.load()) {
    return;
  }
  board::AgentActions Actions;
  this->Flows.onPeer(Now, Message, Actions);
  this->Requests.onPeer(Now, Message, Actions);
  this->perform(Now, Actions);
}

template <OutputSink O>
void AgentCore<O>::onSnapshotMessage(base::TimePoint Now,
                                     const wire::PeerMessage &Message) {
  const members::Member &Sender = Message.Sender;
  if (const auto *Put = std::get_if<wire::SnapshotPut>(&Message.Body)) {
    if (this->PeerSnapshots.put(Now, *Put)) {
      this->Out.sendPeer(Sender.Control, Sender.Name,
                         wire::SnapshotPutReply{Put->Of, Put->Run});
    }
  } else if (const auto *Fetch =
                 std::get_if<wire::SnapshotFetch>(&Message.Body)) {
    this->Out.sendPeer(Sender.Control, Sender.Name,
                       this->PeerSnapshots.fetch(Now, Fetch->Of));
  } else if (const auto *Done =
                 std::get_if<wire::SnapshotPutReply>(&Message.Body)) {
    members::Member Self = this->Tables.Self.get();
    if (Done->Of == Self.Name && Done->Run == Self.Run) {
      ++this->SnapshotCopies;
    }
  } else if (const auto *Reply =
                 std::get_if<wire::SnapshotReply>(&Message.Body)) {
    ++this->SnapshotAnswers;
    const base::MemberName SelfName = this->Tables.Self.get().Name;
    std::lock_guard Lock(this->Mutex);
    if (Reply->Found && Reply->Of == SelfName &&
        (!this->NewestSnapshot || this->NewestSnapshot->Run < Reply->Run)) {
      this->NewestSnapshot = *Reply;
    }
  }
}

template <OutputSink O>
std::optional<wire::SnapshotReply> AgentCore<O>::newestSnapshot() const {
  std::lock_guard Lock(this->Mutex);
  return this->NewestSnapshot;
}

template <OutputSink O>
void AgentCore<O>::onUpstreamConnected(base::TimePoint Now) {
  {
    std::lock_guard Lock(this->Mutex);
    this->UpstreamLostAt.reset();
  }
  // The upstream may have restarted: reset its limits to the cold floor and
  // count the flows that it already carries.
  this->Limits.onUpstreamRestart(Now);
  this->Limits.restoreConnections(
      Now, static_cast<uint32_t>(this->Flows.carriedFlowCount()));
  this->Limits.setReachable(true);
}

template <OutputSink O>
void AgentCore<O>::onUpstreamDisconnected(base::TimePoint Now) {
  {
    std::lock_guard Lock(this->Mutex);
    this->UpstreamLostAt = Now;
  }
  this->Limits.setReachable(false);
  this->Runs.clear();
  board::AgentActions Actions;
  this->Requests.onUpstreamLost(Now, Actions);
  this->perform(Now, Actions);
}

static inline wire::RunOutcome runOutcome(wire::UpstreamRefusal Refusal) {
  return Refusal == wire::UpstreamRefusal::Failed ? wire::RunOutcome::Unknown
                                                  : wire::RunOutcome::NotRun;
}

static inline wire::RefusalReason refusalReason(wire::UpstreamRefusal Refusal) {
  switch (Refusal) {
  case wire::UpstreamRefusal::Shed:
    return wire::RefusalReason::Overloaded;
  case wire::UpstreamRefusal::Draining:
    return wire::RefusalReason::Draining;
  case wire::UpstreamRefusal::DeadlinePassed:
    return wire::RefusalReason::DeadlinePassed;
  case wire::UpstreamRefusal::Cancelled:
    return wire::RefusalReason::Cancelled;
  case wire::UpstreamRefusal::Failed:
    return wire::RefusalReason::UpstreamLost;
  }
  return wire::RefusalReason::UpstreamLost;
}

template <OutputSink O>
void AgentCore<O>::onUpstream(base::TimePoint Now,
                              const wire::FromUpstream &Message) {
  if (const auto *Event = std::get_if<wire::UpstreamFlowEvent>(&Message)) {
    board::AgentActions Actions;
    this->Flows.onUpstreamEvent(Now, *Event, Actions);
    this->perform(Now, Actions);
  } else if (const auto *Done = std::get_if<wire::UpstreamDone>(&Message)) {
    this->onRunEnded(Now, Done->MessageId, wire::RunOutcome::Answered,
                     wire::RefusalReason::Overloaded, Done->Body);
  } else if (const auto *Refused =
                 std::get_if<wire::UpstreamRefused>(&Message)) {
    this->onRunEnded(Now, Refused->MessageId, runOutcome(Refused->Refusal),
                     refusalReason(Refused->Refusal), {});
  } else if (const auto *Health = std::get_if<wire::UpstreamHealth>(&Message)) {
    this->Limits.onHealthReport(Now, Health->State == "ok", Health->Load);
  } else {
    this->Tables.Self.setState(members::MemberState::Draining);
  }
}

template <OutputSink O>
void AgentCore<O>::onRunEnded(base::TimePoint Now, uint32_t MessageId,
                              wire::RunOutcome Outcome,
                              wire::RefusalReason Reason, std::string Body) {
  std::optional<Run> Finished = this->Runs.take(MessageId);
  if (!Finished) {
    return;
  }
  this->RunTimes.record(Now - Finished->StartedAt);
  wire::RunResult Result{Finished->Id, Finished->Attempt, Outcome, Reason,
                         std::move(Body)};
  board::AgentActions Actions;
  this->Requests.onUpstreamResult(Now, Result, Actions);
  this->perform(Now, Actions);
}

template <OutputSink O>
void AgentCore<O>::onShardRecord(base::TimePoint Now,
                                 const requests::StoredShard &Record) {
  board::AgentActions Actions;
  this->Requests.onShardRecord(Now, Record, Actions);
  this->perform(Now, Actions);
}

template <OutputSink O>
void AgentCore<O>::onSwapFailed(base::TimePoint Now, uint32_t Shard) {
  board::AgentActions Actions;
  this->Requests.onSwapFailed(Now, Shard, Actions);
  this->perform(Now, Actions);
}

template <OutputSink O> void AgentCore<O>::applyCapacity() {
  std::shared_ptr<const targets::Targets> Targets =
      this->Tables.Targets.current();
  if (this->CapacityRevision.exchange(Targets->Revision) == Targets->Revision) {
    return;
  }
  auto It = Targets->Services.find(this->Tables.Self.get().Service);
  if (It != Targets->Services.end()) {
    this->Limits.setCapacity(It->second);
  }
}

template <OutputSink O> void AgentCore<O>::onTick(base::TimePoint Now) {
  this->applyCapacity();
  this->PeerSnapshots.tick(Now);
  board::AgentActions Actions;
  bool DropFlows = false;
  {
    std::lock_guard Lock(this->Mutex);
    DropFlows = this->UpstreamLostAt &&
                Now - *this->UpstreamLostAt >= UpstreamLossTimeout;
    if (DropFlows) {
      this->UpstreamLostAt.reset();
    }
  }
  if (DropFlows) {
    this->Limits.onUpstreamRestart(Now);
    this->Flows.onUpstreamLost(Now, Actions);
  }
  this->Flows.onTick(Now, Actions);
  this->Requests.onTick(Now, Actions);
  this->perform(Now, Actions);
}

template <OutputSink O> std::string AgentCore<O>::snapshot() {
  return wire::encode(
      std::make_tuple(this->Flows.snapshot(), this->Requests.snapshot()));
}

template <OutputSink O>
base::Result<void> AgentCore<O>::restore(base::TimePoint Now,
                                         std::string_view State) {
  using Parts = std::tuple<std::string, std::string>;
  base::Result<Parts> Decoded = wire::decode<Parts>(State);
  if (!Decoded) {
    return Decoded.error();
  }
  if (base::Result<void> Done =
          this->Flows.restore(Now, std::get<0>(Decoded.value()));
      !Done) {
    return Done;
  }
  return this->Requests.restore(Now, std::get<1>(Decoded.value()));
}

template <OutputSink O>
void AgentCore<O>::perform(base::TimePoint Now, board::AgentActions &Actions) {
  while (!Actions.empty()) {
    board::AgentActions More;
    for (board::AgentAction &Action : Actions) {
      this->performOne(Now, Action, More);
    }
    Actions = std::move(More);
  }
}

template <OutputSink O>
void AgentCore<O>::run(base::TimePoint Now, board::RunOnUpstream &Action,
                       board::AgentActions &More) {
  uint32_t MessageId = this->Runs.add({Action.Id, Action.Attempt, Now});
  wire::UpstreamRun Message{MessageId, Action.Class, Action.Id, Action.Deadline,
                            std::move(Action.Body)};
  if (this->Out.toUpstream(Message)) {
    return;
  }
  this->Runs.take(MessageId);
  wire::RunResult Result{Action.Id,
                         Action.Attempt,
                         wire::RunOutcome::NotRun,
                         wire::RefusalReason::UpstreamLost,
                         {}};
  this->Requests.onUpstreamResult(Now, Result, More);
}

template <OutputSink O>
void AgentCore<O>::performOne(base::TimePoint Now, board::AgentAction &Action,
                              board::AgentActions &More) {
  if (auto *Deliver = std::get_if<board::DeliverPacket>(&Action)) {
    // The packet is lost if the link is down; the caller retransmits it.
    (void)this->Out.toUpstream(Deliver->Packet);
  } else if (auto *Abort = std::get_if<board::AbortOnUpstream>(&Action)) {
    // The abort isn't needed if the link is down: the upstream has lost its
    // flows, or ends them at its idle timeout.
    (void)this->Out.toUpstream(wire::UpstreamFlowAbort{Abort->Key});
  } else if (auto *Start = std::get_if<board::RunOnUpstream>(&Action)) {
    this->run(Now, *Start, More);
  } else if (auto *Cancel = std::get_if<board::CancelOnUpstream>(&Action)) {
    std::optional<uint32_t> MessageId =
        this->Runs.find({Cancel->Id, Cancel->Attempt, {}});
    if (MessageId) {
      (void)this->Out.toUpstream(wire::UpstreamCancel{*MessageId});
    }
  } else if (auto *Flow = std::get_if<board::ReplyToFlow>(&Action)) {
    this->Out.sendDatagram(Flow->Caller, wire::flowReplyBytes(Flow->Reply), {});
  } else if (auto *Reply = std::get_if<board::ReplyToRequest>(&Action)) {
    for (std::string &Bytes :
         wire::outcomeBytes(Reply->MessageId, Reply->Id, Reply->Outcome)) {
      this->Out.sendDatagram(Reply->Caller, std::move(Bytes), {});
    }
  } else if (auto *Forward = std::get_if<board::ForwardPacket>(&Action)) {
    this->Out.sendDatagram(Forward->To, wire::datagramHeader(Forward->Header),
                           Forward->Payload);
  } else if (auto *Hint = std::get_if<board::NotifyBalancer>(&Action)) {
    this->Out.sendDatagram(Hint->Balancer, wire::datagramHeader(Hint->Message),
                           {});
  } else if (auto *Peer = std::get_if<board::SendToPeer>(&Action)) {
    std::optional<members::Member> To = this->Tables.Members.find(Peer->To);
    if (To) {
      this->Out.sendPeer(To->Control, To->Name, std::move(Peer->Body));
    }
  } else if (auto *Swap = std::get_if<board::CompareAndSwapShard>(&Action)) {
    this->Out.swapShard(*Swap);
  } else {
    this->Out.log(std::get<board::LogDecision>(Action));
  }
}

} // namespace bilberry::agent

#endif
