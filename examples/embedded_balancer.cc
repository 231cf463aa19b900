// Embeds the balancer with sockets of your own. Here the "socket" prints; see
// docs/EMBEDDING.md for what each step is about.

#include "bilberry/balancer/balancer_core.h"
#include "bilberry/base/clock.h"
#include "bilberry/node/view_exchange.h"
#include "bilberry/wire/caller_message.h"
#include "bilberry/wire/data_message.h"

#include <iostream>
#include <string>
#include <string_view>

using namespace bilberry;

namespace {

// Where the balancer's output goes: your sockets, your event loop.
class PrintingOutlet {
public:
  void sendDatagram(const base::Address &To, const std::string &Header,
                    std::string_view Payload) {
    std::cout << "datagram of " << Header.size() + Payload.size()
              << " bytes to " << base::addressText(To) << "\n";
  }
  void sendPeer(const base::Address &To, const base::MemberName &Receiver,
                const wire::PeerBody &Body) {
    std::cout << wire::peerBodyText(Body) << " to " << Receiver.text() << " at "
              << base::addressText(To) << "\n";
  }
};

constexpr char Targets[] = "[service rounds]\n"
                           "slots = 9\n"
                           "connections = 2000\n"
                           "cold-slots = 2\n"
                           "cold-connections = 200\n"
                           "completions-per-slot = 10\n"
                           "latency-bound = 250ms\n"
                           "[class watering-round]\n"
                           "service = rounds\n"
                           "kind = stream\n"
                           "longest-flow = 10h\n"
                           "[data-centre mobile]\n"
                           "in-service = yes\n";

members::Member agent(const char *Name, uint16_t Port) {
  members::Member Agent;
  Agent.Name = base::MemberName(Name);
  Agent.Run = 1;
  Agent.State = members::MemberState::InService;
  Agent.DataCentre = base::DataCentreName("mobile");
  Agent.Service = base::ServiceName("rounds");
  Agent.Data = {0x7F000001, Port};
  return Agent;
}

// A caller's first packet, as the fabric hands it over.
std::string firstPacket(uint64_t Connection) {
  wire::FabricEnvelope Envelope{base::ServiceName("rounds"),
                                {0x7F000001, 5000}};
  wire::FlowPacket Packet{base::ClassName("watering-round"), Connection,
                          wire::FlowOpen, 1, "pot 4"};
  return wire::datagramHeader(Envelope) + wire::flowPacketBytes(Packet);
}

} // namespace

int main() {
  // 1. The board: what this process knows. It outlives the core.
  members::Member Own;
  Own.Name = base::MemberName("balancer-1");
  Own.Role = members::MemberRole::Balancer;
  board::LocalMember Self(Own);
  targets::TargetTable TargetTable;
  members::MemberTable Members;

  // 2. The core, and an outlet for what it has to say.
  constexpr size_t CacheFlows = 1000;
  balancer::BalancerCore Balancer({Self, TargetTable, Members}, CacheFlows);
  PrintingOutlet Out;
  base::SteadyClock Clock;

  // 3. Feed the board: from the store, from peers, or by hand.
  if (!node::applyTargets(1, Targets, TargetTable, Members, Self)) {
    std::cerr << "the targets are malformed\n";
    return 1;
  }
  Members.put(Clock.now(), agent("rounds-1", 4001));
  Members.put(Clock.now(), agent("rounds-2", 4002));

  // 4. Feed the core: one call for each datagram, from any thread.
  for (uint64_t Connection = 1; Connection <= 4; ++Connection) {
    Balancer.onDatagram(Clock.now(), firstPacket(Connection), Out);
  }
  std::cout << Balancer.counts().Forwarded << " of "
            << Balancer.counts().Received << " datagrams forwarded\n";
  return 0;
}
