// Embeds the balancer in a program with its own sockets. This example prints
// the output instead of sending it; docs/EMBEDDING.md explains each step.

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

// Receives the balancer's output. An application sends it through its own
// sockets and event loop.
class PrintingOutputSink {
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

constexpr char TargetsText[] = "[service rounds]\n"
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

members::Member makeAgent(const char *Name, uint16_t Port) {
  members::Member Agent;
  Agent.Name = base::MemberName(Name);
  Agent.Run = 1;
  Agent.State = members::MemberState::InService;
  Agent.DataCentre = base::DataCentreName("mobile");
  Agent.Service = base::ServiceName("rounds");
  Agent.Data = {0x7F000001, Port};
  return Agent;
}

// A caller's first packet in the envelope that the fabric adds.
std::string makeFirstDatagram(uint64_t Connection) {
  wire::FabricEnvelope Envelope{base::ServiceName("rounds"),
                                {0x7F000001, 5000}};
  wire::FlowPacket Packet{base::ClassName("watering-round"), Connection,
                          wire::FlowOpenFlag, 1, "pot 4"};
  return wire::datagramHeader(Envelope) + wire::flowPacketBytes(Packet);
}

} // namespace

int main() {
  // 1. The state that routing reads: this process, the targets and the members.
  //    It must outlive the core.
  members::Member Own;
  Own.Name = base::MemberName("balancer-1");
  Own.Role = members::MemberRole::Balancer;
  board::LocalMember Self(Own);
  targets::TargetTable TargetTable;
  members::MemberTable Members;

  // 2. The core, and the outlet that receives its output.
  constexpr size_t CacheFlows = 1000;
  balancer::BalancerCore Balancer({Self, TargetTable, Members}, CacheFlows);
  PrintingOutputSink Out;
  base::SteadyClock Clock;

  // 3. Fill the state: from the store, from peers, or directly as here.
  if (!node::applyTargets(1, TargetsText, TargetTable, Members, Self)) {
    std::cerr << "the targets are malformed\n";
    return 1;
  }
  Members.put(Clock.now(), makeAgent("rounds-1", 4001));
  Members.put(Clock.now(), makeAgent("rounds-2", 4002));

  // 4. Pass each received datagram to the core, from any thread.
  for (uint64_t Connection = 1; Connection <= 4; ++Connection) {
    Balancer.onDatagram(Clock.now(), makeFirstDatagram(Connection), Out);
  }
  std::cout << Balancer.counts().Forwarded << " of "
            << Balancer.counts().Received << " datagrams forwarded\n";
  return 0;
}
