// The definitions of AgentCore; included by agent_core.h only.

#ifndef BILBERRY_AGENT_AGENT_CORE_IMPL_H
#define BILBERRY_AGENT_AGENT_CORE_IMPL_H

#include "bilberry/agent/agent_core.h"
#include "bilberry/wire/codec.h"

#include <mutex>
#include <tuple>
#include <type_traits>
#include <utility>

namespace bilberry::agent {

template <Outlet O>
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

template <Outlet O>
void AgentCore<O>::onForward(base::TimePoint Now,
                             const wire::ForwardHeader &Header,
                             std::string_view Payload) {
  members::Member Self = this->Board.Self.get();
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

template <Outlet O>
void AgentCore<O>::onProbe(base::TimePoint Now, const base::Address &From,
                           const wire::Probe &Probe) {
  members::Member Self = this->Board.Self.get();
  this->Out.sendDatagram(From, wire::datagramHeader(wire::MemberNotice{Self}),
                         {});
  if (!this->Views.shouldFetch(Now, Probe.Revision)) {
    return;
  }
  for (const members::Member &Member : this->Board.Members.all()) {
    if (Member.Data == From) {
      this->Out.sendPeer(Member.Control, Member.Name, wire::ViewFetch());
    }
  }
}

template <Outlet O>
void AgentCore<O>::noteRevision(base::TimePoint Now,
                                const members::Member &Sender) {
  if (this->Views.shouldFetch(Now, Sender.Applied)) {
    this->Out.sendPeer(Sender.Control, Sender.Name, wire::ViewFetch());
  }
}

template <Outlet O>
void AgentCore<O>::onPeer(base::TimePoint Now,
                          const wire::PeerMessage &Message) {
  this->noteRevision(Now, Message.Sender);
  if (std::holds_alternative<wire::ViewFetch>(Message.Body)) {
    this->Out.sendPeer(Message.Sender.Control, Message.Sender.Name,
                       this->Views.view());
    return;
  }
  if (const auto *View = std::get_if<wire::View>(&Message.Body)) {
    this->Views.onView(Now, *View);
    return;
  }
  if (Message.Sender.Service != this->Board.Self.get().Service) {
    ++this->Drops.WrongService;
    return;
  }
  // A message is proof enough that its sender lives, whatever its lease.
  this->Board.Members.put(Now, Message.Sender);
  this->onSnapshotMessage(Now, Message);
  if (!this->IsServing.load()) {
    return;
  }
  board::AgentActions Actions;
  this->Flows.onPeer(Now, Message, Actions);
  this->Requests.onPeer(Now, Message, Actions);
  this->perform(Now, Actions);
}

template <Outlet O>
void AgentCore<O>::onSnapshotMessage(base::TimePoint Now,
                                     const wire::PeerMessage &Message) {
  const members::Member &Sender = Message.Sender;
  if (const auto *Put = std::get_if<wire::SnapshotPut>(&Message.Body)) {
    if (this->Keeper.put(Now, *Put)) {
      this->Out.sendPeer(Sender.Control, Sender.Name,
                         wire::SnapshotPutReply{Put->Of, Put->Run});
    }
  } else if (const auto *Fetch =
                 std::get_if<wire::SnapshotFetch>(&Message.Body)) {
    this->Out.sendPeer(Sender.Control, Sender.Name,
                       this->Keeper.fetch(Now, Fetch->Of));
  } else if (const auto *Done =
                 std::get_if<wire::SnapshotPutReply>(&Message.Body)) {
    members::Member Self = this->Board.Self.get();
    if (Done->Of == Self.Name && Done->Run == Self.Run) {
      ++this->SnapshotCopies;
    }
  } else if (const auto *Reply =
                 std::get_if<wire::SnapshotReply>(&Message.Body)) {
    ++this->SnapshotAnswers;
    const base::MemberName Own = this->Board.Self.get().Name;
    std::lock_guard Lock(this->Mutex);
    if (Reply->Found && Reply->Of == Own &&
        (!this->Found || this->Found->Run < Reply->Run)) {
      this->Found = *Reply;
    }
  }
}

template <Outlet O>
std::optional<wire::SnapshotReply> AgentCore<O>::foundSnapshot() const {
  std::lock_guard Lock(this->Mutex);
  return this->Found;
}

template <Outlet O>
void AgentCore<O>::onUpstreamConnected(base::TimePoint Now) {
  {
    std::lock_guard Lock(this->Mutex);
    this->UpstreamLostAt.reset();
  }
  // It may have restarted: begin from the cold floor, with what it carries.
  this->Limits.onUpstreamRestart(Now);
  this->Limits.adoptConnections(Now,
                                static_cast<uint32_t>(this->Flows.carried()));
  this->Limits.setReachable(true);
}

template <Outlet O>
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

template <Outlet O>
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
    this->Board.Self.setState(members::MemberState::Draining);
  }
}

template <Outlet O>
void AgentCore<O>::onRunEnded(base::TimePoint Now, uint32_t MessageId,
                              wire::RunOutcome Outcome,
                              wire::RefusalReason Reason, std::string Body) {
  std::optional<Run> Ended = this->Runs.take(MessageId);
  if (!Ended) {
    return;
  }
  this->RunTimes.record(Now - Ended->StartedAt);
  wire::RunResult Result{Ended->Id, Ended->Attempt, Outcome, Reason,
                         std::move(Body)};
  board::AgentActions Actions;
  this->Requests.onUpstreamResult(Now, Result, Actions);
  this->perform(Now, Actions);
}

template <Outlet O>
void AgentCore<O>::onShardRecord(base::TimePoint Now,
                                 const requests::StoredShard &Record) {
  board::AgentActions Actions;
  this->Requests.onShardRecord(Now, Record, Actions);
  this->perform(Now, Actions);
}

template <Outlet O>
void AgentCore<O>::onSwapFailed(base::TimePoint Now, uint32_t Shard) {
  board::AgentActions Actions;
  this->Requests.onSwapFailed(Now, Shard, Actions);
  this->perform(Now, Actions);
}

template <Outlet O> void AgentCore<O>::applyCapacity() {
  std::shared_ptr<const targets::Targets> Targets =
      this->Board.Targets.current();
  if (this->CapacityRevision.exchange(Targets->Revision) == Targets->Revision) {
    return;
  }
  auto It = Targets->Services.find(this->Board.Self.get().Service);
  if (It != Targets->Services.end()) {
    this->Limits.setCapacity(It->second);
  }
}

template <Outlet O> void AgentCore<O>::onTick(base::TimePoint Now) {
  this->applyCapacity();
  this->Keeper.tick(Now);
  board::AgentActions Actions;
  bool GiveUpFlows = false;
  {
    std::lock_guard Lock(this->Mutex);
    GiveUpFlows =
        this->UpstreamLostAt && Now - *this->UpstreamLostAt >= UpstreamGrace;
    if (GiveUpFlows) {
      this->UpstreamLostAt.reset();
    }
  }
  if (GiveUpFlows) {
    this->Limits.onUpstreamRestart(Now);
    this->Flows.onUpstreamLost(Now, Actions);
  }
  this->Flows.onTick(Now, Actions);
  this->Requests.onTick(Now, Actions);
  this->perform(Now, Actions);
}

template <Outlet O> std::string AgentCore<O>::snapshot() {
  return wire::encode(
      std::make_tuple(this->Flows.snapshot(), this->Requests.snapshot()));
}

template <Outlet O>
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

template <Outlet O>
void AgentCore<O>::perform(base::TimePoint Now, board::AgentActions &Actions) {
  while (!Actions.empty()) {
    board::AgentActions More;
    for (board::AgentAction &Action : Actions) {
      this->performOne(Now, Action, More);
    }
    Actions = std::move(More);
  }
}

template <Outlet O>
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

template <Outlet O>
void AgentCore<O>::performOne(base::TimePoint Now, board::AgentAction &Action,
                              board::AgentActions &More) {
  if (auto *Deliver = std::get_if<board::DeliverPacket>(&Action)) {
    // A packet that finds the link down is lost; its caller sends it again.
    (void)this->Out.toUpstream(Deliver->Packet);
  } else if (auto *Abort = std::get_if<board::AbortOnUpstream>(&Action)) {
    // One that finds the link down is needless: the upstream lost its flows,
    // or ends them when they have been idle for long.
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
  } else if (auto *Hint = std::get_if<board::HintBalancer>(&Action)) {
    this->Out.sendDatagram(Hint->Balancer, wire::datagramHeader(Hint->Message),
                           {});
  } else if (auto *Peer = std::get_if<board::SendPeer>(&Action)) {
    std::optional<members::Member> To = this->Board.Members.find(Peer->To);
    if (To) {
      this->Out.sendPeer(To->Control, To->Name, std::move(Peer->Body));
    }
  } else if (auto *Swap = std::get_if<board::SwapShard>(&Action)) {
    this->Out.swapShard(*Swap);
  } else {
    this->Out.log(std::get<board::LogDecision>(Action));
  }
}

} // namespace bilberry::agent

#endif
