// The balancer's logic without sockets or threads: forwards each caller's
// datagram to the agent that the router selects. Its state is a cache;
// correctness doesn't depend on it.

#ifndef BILBERRY_BALANCER_BALANCER_CORE_H
#define BILBERRY_BALANCER_BALANCER_CORE_H

#include "bilberry/balancer/probe_tracker.h"
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

/// Event counters since the start, for the metrics page.
struct BalancerCounts {
  std::atomic<uint64_t> Received{0};
  std::atomic<uint64_t> Forwarded{0};
  std::atomic<uint64_t> Malformed{0};
  std::atomic<uint64_t> Unexpected{0};
  /// Indexed by RouteReason; includes drops.
  std::array<std::atomic<uint64_t>, 6> Routes{};
};

/// The tables that a balancer shares with the rest of its process. They must
/// outlive it.
struct BalancerTables {
  board::LocalMember &Self;
  targets::TargetTable &Targets;
  members::MemberTable &Members;
};

/// Thread-safe: worker threads may pass in events concurrently.
class BalancerCore {
public:
  /// All references must outlive the core.
  BalancerCore(BalancerTables Tables, size_t CacheFlows)
      : Tables(Tables), Router(Tables.Targets, Tables.Members, CacheFlows),
        Views(Tables.Self, Tables.Targets, Tables.Members),
        OwnData(Tables.Self.get().Data) {}

  /// Handles a datagram received on the data port. Any bytes are allowed. Out
  /// has sendDatagram and sendPeer as in agent::OutputSink; the payload passed
  /// to it is a view into Bytes.
  template <typename OutputSink>
  void onDatagram(base::TimePoint Now, std::string_view Bytes, OutputSink &Out);

  /// Handles a message from another agent or balancer.
  template <typename OutputSink>
  void onPeer(base::TimePoint Now, const wire::PeerMessage &Message,
              OutputSink &Out);

  /// Sends the health probes that are due. Call once a second.
  template <typename OutputSink> void sendProbes(OutputSink &Out);

  const BalancerCounts &counts() const { return this->Counts; }
  size_t cachedFlows() const { return this->Router.cachedFlows(); }

private:
  template <typename OutputSink>
  void onEnvelope(base::TimePoint Now, const wire::FabricEnvelope &Envelope,
                  std::string_view Payload, OutputSink &Out);
  template <typename OutputSink>
  void onMemberNotice(base::TimePoint Now, const members::Member &Sender,
                      OutputSink &Out);
  static void logRoute(base::TimePoint Now,
                       const wire::FabricEnvelope &Envelope,
                       const routing::Route &Route);

  BalancerTables Tables;
  routing::BalancerRouter Router;
  node::ViewExchange Views;
  // Never changes. Stored separately so that the packet path doesn't copy a
  // Member.
  base::Address OwnData;
  BalancerCounts Counts;
  std::mutex ProbesMutex;
  ProbeTracker Probes;
};

template <typename OutputSink>
void BalancerCore::onDatagram(base::TimePoint Now, std::string_view Bytes,
                              OutputSink &Out) {
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
    this->onMemberNotice(Now, Notice->Sender, Out);
  } else {
    ++this->Counts.Unexpected;
  }
}

template <typename OutputSink>
void BalancerCore::onEnvelope(base::TimePoint Now,
                              const wire::FabricEnvelope &Envelope,
                              std::string_view Payload, OutputSink &Out) {
  ++this->Counts.Received;
  base::Result<wire::CallerPacket> Packet = wire::parseCallerPacket(Payload);
  if (!Packet) {
    ++this->Counts.Malformed;
    return;
  }
  routing::Route Route = this->Router.route(Now, Envelope.Service,
                                            Envelope.Caller, Packet.value());
  ++this->Counts.Routes[static_cast<size_t>(Route.Reason)];
  logRoute(Now, Envelope, Route);
  if (Route.To.Port == 0) {
    return;
  }
  ++this->Counts.Forwarded;
  wire::ForwardHeader Header{Envelope.Service,
                             Envelope.Caller,
                             Route.Receiver,
                             this->OwnData,
                             this->Tables.Targets.current()->Revision,
                             0};
  Out.sendDatagram(Route.To, wire::datagramHeader(Header), Payload);
}

template <typename OutputSink>
void BalancerCore::onMemberNotice(base::TimePoint Now,
                                  const members::Member &Sender,
                                  OutputSink &Out) {
  {
    std::lock_guard Lock(this->ProbesMutex);
    this->Probes.onAnswer(Sender.Name);
  }
  this->Router.setUnresponsive(Sender.Name, false);
  this->Tables.Members.put(Now, Sender);
  if (this->Views.shouldFetchView(Now, Sender.Applied)) {
    Out.sendPeer(Sender.Control, Sender.Name, wire::ViewFetch());
  }
}

template <typename OutputSink>
void BalancerCore::onPeer(base::TimePoint Now, const wire::PeerMessage &Message,
                          OutputSink &Out) {
  const members::Member &Sender = Message.Sender;
  if (std::holds_alternative<wire::ViewFetch>(Message.Body)) {
    Out.sendPeer(Sender.Control, Sender.Name, this->Views.view());
  } else if (const auto *View = std::get_if<wire::View>(&Message.Body)) {
    this->Views.onView(Now, *View);
  }
  if (this->Views.shouldFetchView(Now, Sender.Applied)) {
    Out.sendPeer(Sender.Control, Sender.Name, wire::ViewFetch());
  }
}

template <typename OutputSink> void BalancerCore::sendProbes(OutputSink &Out) {
  std::vector<members::Member> Agents = this->Tables.Members.all();
  std::erase_if(Agents, [](const members::Member &Member) {
    return Member.Role != members::MemberRole::Agent;
  });
  base::Revision Revision = this->Tables.Targets.current()->Revision;
  std::string Header = wire::datagramHeader(wire::Probe{Revision, 0});
  std::lock_guard Lock(this->ProbesMutex);
  for (const members::Member &Agent :
       this->Probes.selectAgentsToProbe(Agents)) {
    Out.sendDatagram(Agent.Data, Header, {});
    if (this->Probes.isUnresponsive(Agent.Name)) {
      this->Router.setUnresponsive(Agent.Name, true);
    }
  }
}

} // namespace bilberry::balancer

#endif
