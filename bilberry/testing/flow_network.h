// An in-memory network of agents and balancers for routing tests. Messages are
// queued and delivered in an order selected by the test; each agent's upstream
// responds immediately. The network tracks the state of all agents and checks
// the routing invariants at every delivery and reply.

#ifndef BILBERRY_TESTING_FLOW_NETWORK_H
#define BILBERRY_TESTING_FLOW_NETWORK_H

#include "bilberry/routing/balancer_router.h"
#include "bilberry/routing/flow_controller.h"
#include "bilberry/routing/rendezvous.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bilberry::testing {

inline const base::ServiceName Rounds("rounds");
inline const base::ServiceName Photos("photos");
inline const base::ClassName WateringRound("watering-round");
inline const base::ClassName SoilPhoto("soil-photo");
inline constexpr base::Address Caller{0x7F000001, 4000};

/// Targets with one class per service. Every data centre in Out is out of
/// service.
inline targets::Targets
flowTargets(base::Revision Revision,
            const std::set<base::DataCentreName> &Out = {}) {
  targets::Targets Document;
  Document.Revision = Revision;
  base::Duration Longest = std::chrono::hours(10);
  Document.Classes[WateringRound] = {
      WateringRound, Rounds, targets::WorkKind::Stream, false, Longest, {}};
  Document.Classes[SoilPhoto] = {SoilPhoto, Photos,  targets::WorkKind::Upload,
                                 false,     Longest, {}};
  for (const base::DataCentreName &Name : Out) {
    Document.DataCentres[Name] = false;
  }
  return Document;
}

/// Returns the member entry of an agent, each in a data centre of its own.
inline members::Member flowAgent(int Index) {
  members::Member Agent;
  Agent.Name = base::MemberName("agent-" + std::to_string(Index));
  Agent.Run = 1;
  Agent.State = members::MemberState::InService;
  Agent.DataCentre = base::DataCentreName("dc-" + std::to_string(Index));
  Agent.Service = Rounds;
  Agent.Data = {0x7F000001, static_cast<uint16_t>(5000 + Index)};
  return Agent;
}

/// The order in which queued messages are delivered.
enum class DeliveryOrder : uint8_t { Fifo, PeersFirst, DatagramsFirst };

/// Controller is FlowController, or a naive implementation with the same
/// methods.
template <typename Controller> class FlowNetwork {
public:
  struct Agent {
    explicit Agent(const members::Member &Value) : Self(Value) {}

    board::LocalMember Self;
    targets::TargetTable Targets;
    members::MemberTable Members;
    admission::UpstreamLimits Limits;
    std::unique_ptr<Controller> Flows;
  };
  struct Balancer {
    targets::TargetTable Targets;
    members::MemberTable Members;
    std::unique_ptr<routing::BalancerRouter> Router;
    bool IsStale = false;
  };

  /// All views have settled at the start. Full is a bit mask of the agents
  /// without a free connection.
  FlowNetwork(int AgentCount, DeliveryOrder Order, uint32_t Full = 0)
      : Order(Order) {
    for (int Index = 0; Index < AgentCount; ++Index) {
      this->addAgent(Index, (Full >> Index) & 1);
    }
    for (Balancer &Each : this->Balancers) {
      Each.Targets.advance(flowTargets(1), "");
      this->clearCache(Each);
    }
    this->propagateMembers();
    this->advanceTime(std::chrono::seconds(60));
  }

  base::TimePoint now() const { return this->Now; }
  Agent &agent(int Index) { return *this->Agents.at(Index); }
  bool hasAgent(int Index) const { return this->Agents.contains(Index); }

  /// Routes a packet through a balancer and queues it for delivery.
  void send(int BalancerIndex, uint64_t Connection, uint8_t Flags,
            uint64_t Sequence) {
    wire::FlowPacket Packet{WateringRound, Connection, Flags, Sequence, "x"};
    routing::Route Chosen = this->route(this->Balancers[BalancerIndex], Packet);
    if (Chosen.Receiver.empty()) {
      ++this->LostByBalancers;
      return;
    }
    wire::ForwardHeader Header;
    Header.Service = Rounds;
    Header.Caller = Caller;
    Header.Receiver = Chosen.Receiver;
    Header.Balancer = balancerAddress(BalancerIndex);
    this->Datagrams.push_back(
        {this->Sent++, Chosen.To, Header, wire::flowPacketBytes(Packet)});
  }

  /// Delivers one queued message. Returns false if there is none.
  bool deliverOne() {
    if (this->Datagrams.empty() && this->Peers.empty()) {
      return false;
    }
    if (this->nextIsPeer()) {
      PeerInFlight Next = std::move(this->Peers.front());
      this->Peers.pop_front();
      this->deliverPeer(Next);
    } else {
      DatagramInFlight Next = std::move(this->Datagrams.front());
      this->Datagrams.pop_front();
      this->deliverDatagram(Next);
    }
    return true;
  }
  void deliverAll() {
    while (this->deliverOne()) {
    }
  }

  void advanceTime(base::Duration Time) {
    this->Now += Time;
    this->tickAll();
  }

  void join(int Index) {
    if (!this->hasAgent(Index)) {
      this->addAgent(Index, false);
      this->propagateMembers();
    }
  }
  void drain(int Index) {
    if (this->hasAgent(Index)) {
      this->agent(Index).Self.setState(members::MemberState::Draining);
      this->propagateMembers();
    }
  }
  /// Removes the agent if it is draining and carries no flows, and no messages
  /// are queued.
  void leave(int Index) {
    if (!this->hasAgent(Index)) {
      return;
    }
    members::Member Value = this->agent(Index).Self.get();
    if (members::takesNewWork(Value) ||
        this->agent(Index).Flows->carriedFlowCount() > 0 ||
        !this->hasNoMessages()) {
      return;
    }
    this->Agents.erase(Index);
    this->RemovedMembers.insert(Value.Name);
    this->propagateMembers();
  }
  void restart(int Index) {
    if (!this->hasAgent(Index)) {
      return;
    }
    Agent &Restarted = this->agent(Index);
    std::string State = Restarted.Flows->snapshot();
    Restarted.Limits.onUpstreamRestart(this->Now);
    this->makeController(Restarted);
    if (!Restarted.Flows->restore(this->Now, State)) {
      this->Violations.push_back("snapshot not restored");
    }
  }
  /// While IsStale is true, the second balancer receives no member updates.
  void setStale(bool IsStale) {
    this->Balancers[1].IsStale = IsStale;
    this->propagateMembers();
  }
  void clearCache(int BalancerIndex) {
    this->clearCache(this->Balancers[BalancerIndex]);
  }

  /// Returns the agents that carry the flow.
  std::vector<int> holders(uint64_t Connection) {
    base::FlowKey Key = routing::flowKey(Rounds, Caller, Connection);
    std::vector<int> Found;
    for (auto &[Index, Each] : this->Agents) {
      if (this->Carried[Index].contains(Key) &&
          Each->Flows->carriedFlowCount() > 0) {
        Found.push_back(Index);
      }
    }
    return Found;
  }

  /// Selects agents by hash modulo the number of members, for comparison.
  bool UsesHashModN = false;
  /// The agent and sequence number of each packet delivered to an upstream, in
  /// order.
  std::vector<std::pair<int, uint64_t>> Delivered;
  std::vector<wire::FlowReply> Replies;
  /// Number of packets for which a balancer had no agent, or which it sent to
  /// an agent that has left.
  uint64_t LostByBalancers = 0;
  /// Descriptions of violated invariants.
  std::vector<std::string> Violations;

private:
  struct DatagramInFlight {
    uint64_t Order;
    base::Address To;
    wire::ForwardHeader Header;
    std::string Payload;
  };
  struct PeerInFlight {
    uint64_t Order;
    wire::PeerMessage Message;
  };

  routing::Route route(Balancer &Via, const wire::FlowPacket &Packet) {
    if (!this->UsesHashModN) {
      return Via.Router->route(this->Now, Rounds, Caller, Packet);
    }
    auto View = Via.Members.view(Rounds);
    const auto &Members = Packet.hasOpenFlag() ? View->Placement : View->Lookup;
    base::FlowKey Key = routing::flowKey(Rounds, Caller, Packet.Connection);
    const members::Member &Chosen = Members[Key.Low % Members.size()].Value;
    return {routing::RouteReason::LookupFirst, Chosen.Name, Chosen.Data};
  }

  static base::Address balancerAddress(int Index) {
    return {0x7F000001, static_cast<uint16_t>(6000 + Index)};
  }

  bool hasNoMessages() const {
    return this->Datagrams.empty() && this->Peers.empty();
  }

  bool nextIsPeer() const {
    if (this->Peers.empty() || this->Datagrams.empty()) {
      return this->Datagrams.empty();
    }
    switch (this->Order) {
    case DeliveryOrder::PeersFirst:
      return true;
    case DeliveryOrder::DatagramsFirst:
      return false;
    case DeliveryOrder::Fifo:
      break;
    }
    return this->Peers.front().Order < this->Datagrams.front().Order;
  }

  void addAgent(int Index, bool IsFull) {
    auto Added = std::make_unique<Agent>(flowAgent(Index));
    Added->Targets.advance(flowTargets(1), "");
    Added->Limits.setCapacity(
        {100, 100, 100, 100, 10, std::chrono::seconds(1)});
    while (IsFull && Added->Limits.acquireConnection(this->Now)) {
    }
    this->makeController(*Added);
    this->Agents.emplace(Index, std::move(Added));
  }
  void makeController(Agent &Each) {
    Each.Flows = std::make_unique<Controller>(Each.Self, Each.Targets,
                                              Each.Members, Each.Limits);
  }
  void clearCache(Balancer &Each) {
    Each.Router = std::make_unique<routing::BalancerRouter>(Each.Targets,
                                                            Each.Members, 100);
  }

  void propagateMembers() {
    for (auto &[Index, Each] : this->Agents) {
      this->updateMembers(Each->Members);
    }
    for (Balancer &Each : this->Balancers) {
      if (!Each.IsStale) {
        this->updateMembers(Each.Members);
      }
    }
    this->tickAll();
  }
  void updateMembers(members::MemberTable &Members) {
    for (const base::MemberName &Name : this->RemovedMembers) {
      Members.remove(Name);
    }
    for (auto &[Index, Each] : this->Agents) {
      Members.put(this->Now, Each->Self.get());
    }
  }

  void tickAll() {
    for (auto &[Index, Each] : this->Agents) {
      board::AgentActions Out;
      Each->Flows->onTick(this->Now, Out);
      this->perform(Index, Out);
    }
  }

  void deliverDatagram(const DatagramInFlight &Next) {
    for (auto &[Index, Each] : this->Agents) {
      if (Each->Self.get().Data != Next.To) {
        continue;
      }
      auto Parsed = wire::parseCallerPacket(Next.Payload);
      board::AgentActions Out;
      Each->Flows->onPacket(this->Now, Next.Header, Next.Payload,
                            std::get<wire::FlowPacket>(Parsed.value()), Out);
      this->perform(Index, Out);
      return;
    }
    if (Next.Header.Hops == 0) {
      ++this->LostByBalancers;
    }
  }
  void deliverPeer(const PeerInFlight &Next) {
    for (auto &[Index, Each] : this->Agents) {
      if (Each->Self.get().Name != Next.Message.Receiver) {
        continue;
      }
      // Every message contains the sender's member entry.
      Each->Members.put(this->Now, Next.Message.Sender);
      board::AgentActions Out;
      Each->Flows->onPeer(this->Now, Next.Message, Out);
      this->perform(Index, Out);
      return;
    }
  }

  void perform(int Index, const board::AgentActions &Actions) {
    for (const board::AgentAction &Action : Actions) {
      if (const auto *Deliver = std::get_if<board::DeliverPacket>(&Action)) {
        this->deliverToUpstream(Index, Deliver->Packet);
      } else if (const auto *Send = std::get_if<board::SendToPeer>(&Action)) {
        this->Peers.push_back(
            {this->Sent++,
             {this->agent(Index).Self.get(), Send->To, Send->Body}});
      } else if (const auto *Forward =
                     std::get_if<board::ForwardPacket>(&Action)) {
        this->Datagrams.push_back(
            {this->Sent++, Forward->To, Forward->Header, Forward->Payload});
      } else if (const auto *Reply = std::get_if<board::ReplyToFlow>(&Action)) {
        this->onReply(Index, Reply->Reply);
      } else if (const auto *Hint =
                     std::get_if<board::NotifyBalancer>(&Action)) {
        this->onHint(*Hint);
      }
    }
  }

  void onHint(const board::NotifyBalancer &Hint) {
    const auto *Holder = std::get_if<wire::HolderHint>(&Hint.Message);
    for (int Index = 0; Holder != nullptr && Index < 2; ++Index) {
      if (balancerAddress(Index) == Hint.Balancer) {
        this->Balancers[Index].Router->onHolderHint(this->Now, *Holder);
      }
    }
  }

  void onReply(int Index, const wire::FlowReply &Reply) {
    this->Replies.push_back(Reply);
    base::FlowKey Key = routing::flowKey(Rounds, Caller, Reply.Connection);
    if (Reply.Event != wire::FlowEvent::Reset) {
      return;
    }
    this->Carried[Index].erase(Key);
    for (const auto &[Other, Keys] : this->Carried) {
      if (Keys.contains(Key)) {
        this->Violations.push_back("reset while agent " +
                                   std::to_string(Other) + " carries it");
      }
    }
  }

  void deliverToUpstream(int Index, const wire::UpstreamFlowPacket &Packet) {
    if (Packet.Class != WateringRound) {
      this->Violations.push_back("packet of another service delivered");
    }
    this->Delivered.emplace_back(Index, Packet.Sequence);
    this->Carried[Index].insert(Packet.Key);
    for (const auto &[Other, Keys] : this->Carried) {
      if (Other != Index && Keys.contains(Packet.Key)) {
        this->Violations.push_back("carried by agents " +
                                   std::to_string(Index) + " and " +
                                   std::to_string(Other));
      }
    }
    wire::FlowEvent Event = wire::FlowEvent::Data;
    if ((Packet.Flags & wire::FlowOpenFlag) != 0) {
      Event = wire::FlowEvent::Opened;
    }
    if ((Packet.Flags & wire::FlowCloseFlag) != 0) {
      Event = wire::FlowEvent::Closed;
      this->Carried[Index].erase(Packet.Key);
    }
    board::AgentActions Out;
    this->agent(Index).Flows->onUpstreamEvent(
        this->Now, {Packet.Key, Event, Packet.Sequence, "y"}, Out);
    this->perform(Index, Out);
  }

  DeliveryOrder Order;
  base::TimePoint Now{std::chrono::hours(24)};
  std::map<int, std::unique_ptr<Agent>> Agents;
  std::set<base::MemberName> RemovedMembers;
  Balancer Balancers[2];
  std::map<int, std::set<base::FlowKey>> Carried;
  std::deque<DatagramInFlight> Datagrams;
  std::deque<PeerInFlight> Peers;
  uint64_t Sent = 0;
};

} // namespace bilberry::testing

#endif
