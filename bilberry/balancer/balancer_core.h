// A balancer without its sockets: any datagram in, a datagram to the agent
// that the router chooses out. It keeps nothing that correctness needs.

#ifndef BILBERRY_BALANCER_BALANCER_CORE_H
#define BILBERRY_BALANCER_BALANCER_CORE_H

#include "bilberry/balancer/probe_tracker.h"
#include "bilberry/base/rate_limiter.h"
#include "bilberry/board/local_member.h"
#include "bilberry/members/member_table.h"
#include "bilberry/node/view_exchange.h"
#include "bilberry/routing/balancer_router.h"
#include "bilberry/targets/target_table.h"
#include "bilberry/wire/data_message.h"
#include "bilberry/wire/peer_message.h"

#include <array>
#include <atomic>
#include <mutex>
#include <string_view>

namespace bilberry::balancer {

/// What the metrics tell of a balancer.
struct BalancerCounts {
  std::atomic<uint64_t> Received{0};
  std::atomic<uint64_t> Forwarded{0};
  std::atomic<uint64_t> Malformed{0};
  std::atomic<uint64_t> Unexpected{0};
  /// By RouteReason, drops included.
  std::array<std::atomic<uint64_t>, 6> Routes{};
};

/// The tables that a balancer shares with the rest of its process.
struct BalancerBoard {
  board::LocalMember &Self;
  targets::TargetTable &Targets;
  members::MemberTable &Members;
};

/// Thread-safe: workers may bring events at the same time.
class BalancerCore {
public:
  /// All references must outlive the core.
  BalancerCore(BalancerBoard Board, size_t CacheFlows)
      : Board(Board), Router(Board.Targets, Board.Members, CacheFlows),
        Views(Board.Self, Board.Targets, Board.Members),
        OwnData(Board.Self.get().Data) {}

  /// A datagram has come to the data port. Any bytes are allowed. Out has
  /// sendDatagram and sendPeer as agent::Outlet; the payload that it gets is
  /// a view into Bytes.
  template <typename Outlet>
  void onDatagram(base::TimePoint Now, std::string_view Bytes, Outlet &Out);

  /// A message has come from another of our processes.
  template <typename Outlet>
  void onPeer(base::TimePoint Now, const wire::PeerMessage &Message,
              Outlet &Out);

  /// Call once a second: sends probes.
  template <typename Outlet> void onSecond(Outlet &Out);

  const BalancerCounts &counts() const { return this->Counts; }
  size_t cachedFlows() const { return this->Router.cachedFlows(); }

private:
  template <typename Outlet>
  void onEnvelope(base::TimePoint Now, const wire::FabricEnvelope &Envelope,
                  std::string_view Payload, Outlet &Out);
  template <typename Outlet>
  void onNotice(base::TimePoint Now, const members::Member &Sender,
                Outlet &Out);
  void logRoute(base::TimePoint Now, const wire::FabricEnvelope &Envelope,
                const routing::Route &Route);

  BalancerBoard Board;
  routing::BalancerRouter Router;
  node::ViewExchange Views;
  // Never changes; kept apart so that the packet path copies no member.
  base::Address OwnData;
  BalancerCounts Counts;
  base::RateLimiter DropLines{10};
  std::mutex ProbesMutex;
  ProbeTracker Probes;
};

template <typename Outlet>
void BalancerCore::onDatagram(base::TimePoint Now, std::string_view Bytes,
                              Outlet &Out) {
  base::Result<wire::Datagram> Parsed = wire::parseDatagram(Bytes);
  if (!Parsed) {
    ++this->Counts.Malformed;
    return;
  }
  const wire::Datagram &Datagram = Parsed.value();
  if (const auto *Envelope =
          std::get_if<wire::FabricEnvelope>(&Datagram.Message)) {
    this->onEnvelope(Now, *Envelope, Datagram.Payload, Out);
  } else if (const auto *Hint =
                 std::get_if<wire::HolderHint>(&Datagram.Message)) {
    this->Router.onHolderHint(Now, *Hint);
  } else if (const auto *Notice =
                 std::get_if<wire::MemberNotice>(&Datagram.Message)) {
    this->onNotice(Now, Notice->Sender, Out);
  } else {
    ++this->Counts.Unexpected;
  }
}

template <typename Outlet>
void BalancerCore::onEnvelope(base::TimePoint Now,
                              const wire::FabricEnvelope &Envelope,
                              std::string_view Payload, Outlet &Out) {
  ++this->Counts.Received;
  base::Result<wire::CallerPacket> Packet = wire::parseCallerPacket(Payload);
  if (!Packet) {
    ++this->Counts.Malformed;
    return;
  }
  routing::Route Route = this->Router.route(Now, Envelope.Service,
                                            Envelope.Caller, Packet.value());
  ++this->Counts.Routes[static_cast<size_t>(Route.Reason)];
  this->logRoute(Now, Envelope, Route);
  if (Route.To.Port == 0) {
    return;
  }
  ++this->Counts.Forwarded;
  wire::ForwardHeader Header{Envelope.Service,
                             Envelope.Caller,
                             Route.Receiver,
                             this->OwnData,
                             this->Board.Targets.current()->Revision,
                             0};
  Out.sendDatagram(Route.To, wire::datagramHeader(Header), Payload);
}

template <typename Outlet>
void BalancerCore::onNotice(base::TimePoint Now, const members::Member &Sender,
                            Outlet &Out) {
  {
    std::lock_guard Lock(this->ProbesMutex);
    this->Probes.onAnswer(Sender.Name);
  }
  this->Router.setUnresponsive(Sender.Name, false);
  this->Board.Members.put(Now, Sender);
  if (this->Views.shouldFetch(Now, Sender.Applied)) {
    Out.sendPeer(Sender.Control, Sender.Name, wire::ViewFetch());
  }
}

template <typename Outlet>
void BalancerCore::onPeer(base::TimePoint Now, const wire::PeerMessage &Message,
                          Outlet &Out) {
  const members::Member &Sender = Message.Sender;
  if (std::holds_alternative<wire::ViewFetch>(Message.Body)) {
    Out.sendPeer(Sender.Control, Sender.Name, this->Views.view());
  } else if (const auto *View = std::get_if<wire::View>(&Message.Body)) {
    this->Views.onView(Now, *View);
  }
  if (this->Views.shouldFetch(Now, Sender.Applied)) {
    Out.sendPeer(Sender.Control, Sender.Name, wire::ViewFetch());
  }
}

template <typename Outlet> void BalancerCore::onSecond(Outlet &Out) {
  std::vector<members::Member> Agents = this->Board.Members.all();
  std::erase_if(Agents, [](const members::Member &Member) {
    return Member.Role != members::MemberRole::Agent;
  });
  base::Revision Revision = this->Board.Targets.current()->Revision;
  std::string Header = wire::datagramHeader(wire::Probe{Revision, 0});
  std::lock_guard Lock(this->ProbesMutex);
  for (const members::Member &Agent : this->Probes.due(Agents)) {
    Out.sendDatagram(Agent.Data, Header, {});
    if (this->Probes.isUnresponsive(Agent.Name)) {
      this->Router.setUnresponsive(Agent.Name, true);
    }
  }
}

} // namespace bilberry::balancer

#endif
