// Compares a balancer's datagram throughput with a plain relay in the same
// loop: both receive batches from one loopback socket and send them to another.
// Only the loop is timed, not filling the input socket beforehand.

#include "bilberry/balancer/balancer_core.h"
#include "bilberry/node/view_exchange.h"
#include "bilberry/routing/flow_cache.h"
#include "bilberry/routing/rendezvous.h"
#include "bilberry/runtime/udp_socket.h"
#include "bilberry/wire/caller_message.h"
#include "bilberry/wire/data_message.h"

#include <benchmark/benchmark.h>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <vector>

using namespace bilberry;

namespace {

// A full batch fits into the socket's receive buffer.
constexpr size_t DatagramsPerBatch = 256;
constexpr size_t FlowCount = 4096;
constexpr size_t PayloadBytes = 200;

constexpr char TargetsText[] =
    "[service rounds]\nslots = 9\nconnections = 2000\n"
    "cold-slots = 2\ncold-connections = 200\n"
    "completions-per-slot = 10\nlatency-bound = 250ms\n"
    "[class watering-round]\nservice = rounds\n"
    "kind = stream\nlongest-flow = 10h\n"
    "[data-centre mobile]\nin-service = yes\n";

runtime::UdpSocket bindLoopback() {
  base::Result<runtime::UdpSocket> Socket =
      runtime::UdpSocket::bind({INADDR_LOOPBACK, 0});
  if (!Socket) {
    std::cerr << Socket.error().Message << "\n";
    std::abort();
  }
  return std::move(Socket.value());
}

base::Address addressOf(const runtime::UdpSocket &Socket) {
  sockaddr_in Raw = {};
  socklen_t Size = sizeof(Raw);
  getsockname(Socket.fd(), reinterpret_cast<sockaddr *>(&Raw), &Size);
  return {ntohl(Raw.sin_addr.s_addr), ntohs(Raw.sin_port)};
}

// The sockets of a relay, and the callers' datagrams that it receives.
struct RelaySockets {
  runtime::UdpSocket Input = bindLoopback();
  runtime::UdpSocket Output = bindLoopback();
  runtime::UdpSocket Source = bindLoopback();
  runtime::UdpSocket Sink = bindLoopback();
  std::vector<std::string> CallerDatagrams;

  RelaySockets() {
    wire::FabricEnvelope Envelope{base::ServiceName("rounds"),
                                  {INADDR_LOOPBACK, 5000}};
    std::string Header = wire::datagramHeader(Envelope);
    std::string Body(PayloadBytes, 'x');
    for (size_t I = 0; I < FlowCount; ++I) {
      wire::FlowPacket Packet{base::ClassName("watering-round"), I, 0, 1, Body};
      this->CallerDatagrams.push_back(Header + wire::flowPacketBytes(Packet));
    }
  }

  void fillInput(size_t Round) const {
    base::Address To = addressOf(this->Input);
    for (size_t I = 0; I < DatagramsPerBatch; ++I) {
      this->Source.sendOne(
          To,
          this->CallerDatagrams[(Round * DatagramsPerBatch + I) % FlowCount],
          {});
    }
  }
  void drainSink(runtime::ReceiveBatch &Batch) const {
    do {
      this->Sink.receive(Batch);
    } while (Batch.size() > 0);
  }
};

// Measures receiving, Handle(bytes, out) for each datagram and sending, in
// batches until the input socket is empty. Each iteration refills the input.
template <typename DatagramHandler>
void timeRelayLoop(benchmark::State &State, RelaySockets &Sockets,
                   DatagramHandler Handle) {
  runtime::ReceiveBatch Batch;
  runtime::SendBatch Out;
  size_t Round = 0;
  size_t Total = 0;
  for (auto Iteration : State) {
    (void)Iteration;
    Sockets.fillInput(Round++);
    auto Begin = std::chrono::steady_clock::now();
    while (true) {
      Sockets.Input.receive(Batch);
      if (Batch.size() == 0) {
        break;
      }
      for (size_t I = 0; I < Batch.size(); ++I) {
        Handle(Batch.bytes(I), Out);
      }
      Sockets.Output.send(Out);
      Total += Batch.size();
    }
    std::chrono::duration<double> Elapsed =
        std::chrono::steady_clock::now() - Begin;
    State.SetIterationTime(Elapsed.count());
    Sockets.drainSink(Batch);
  }
  State.SetItemsProcessed(static_cast<int64_t>(Total));
}

void bareRelay(benchmark::State &State) {
  RelaySockets Sockets;
  base::Address To = addressOf(Sockets.Sink);
  timeRelayLoop(State, Sockets,
                [&](std::string_view Bytes, runtime::SendBatch &Out) {
                  Out.add(To, std::string(), Bytes);
                });
}
BENCHMARK(bareRelay)->UseManualTime();

struct BatchOutputSink {
  runtime::SendBatch *Out = nullptr;

  void sendDatagram(const base::Address &To, std::string Header,
                    std::string_view Payload) {
    this->Out->add(To, std::move(Header), Payload);
  }
  void sendPeer(const base::Address &, const base::MemberName &,
                const wire::PeerBody &) {}
};

// All agents have the address of the sink socket.
void balancerRelay(benchmark::State &State) {
  RelaySockets Sockets;
  members::Member Own;
  Own.Name = base::MemberName("balancer-1");
  Own.Data = addressOf(Sockets.Input);
  board::LocalMember Self(Own);
  targets::TargetTable TargetTable;
  members::MemberTable Members;
  node::applyTargets(1, TargetsText, TargetTable, Members, Self);
  base::SteadyClock Clock;
  for (int64_t I = 0; I < State.range(0); ++I) {
    members::Member Agent;
    Agent.Name = base::MemberName("rounds-" + std::to_string(I));
    Agent.State = members::MemberState::InService;
    Agent.Service = base::ServiceName("rounds");
    Agent.Data = addressOf(Sockets.Sink);
    Members.put(Clock.now(), Agent);
  }
  constexpr size_t CacheFlows = 300'000;
  balancer::BalancerCore Balancer({Self, TargetTable, Members}, CacheFlows);
  // Fills the flow cache: in operation, only the first packets of a flow miss
  // it.
  for (size_t I = 0; I < FlowCount; ++I) {
    std::string Name = "rounds-" + std::to_string(I % State.range(0));
    base::FlowKey Key = routing::flowKey(base::ServiceName("rounds"),
                                         {INADDR_LOOPBACK, 5000}, I);
    std::string Hint =
        wire::datagramHeader(wire::HolderHint{Key, base::MemberName(Name)});
    BatchOutputSink DiscardedOutput;
    Balancer.onDatagram(Clock.now(), Hint, DiscardedOutput);
  }
  BatchOutputSink BatchSink;
  timeRelayLoop(State, Sockets,
                [&](std::string_view Bytes, runtime::SendBatch &Out) {
                  BatchSink.Out = &Out;
                  Balancer.onDatagram(Clock.now(), Bytes, BatchSink);
                });
  State.counters["forwarded"] =
      static_cast<double>(Balancer.counts().Forwarded.load());
  State.counters["cached_routes"] =
      static_cast<double>(Balancer.counts().Routes[1].load());
}
BENCHMARK(balancerRelay)->Arg(7)->Arg(100)->UseManualTime();

// Memory of a balancer's flow cache with 300,000 flows.
void flowMemory(benchmark::State &State) {
  constexpr size_t HeldFlows = 300'000;
  size_t Bytes = 0;
  size_t Held = 0;
  for (auto Iteration : State) {
    (void)Iteration;
    routing::FlowCache Cache(HeldFlows);
    for (uint64_t I = 0; I < HeldFlows; ++I) {
      base::FlowKey Key = routing::flowKey(base::ServiceName("rounds"),
                                           {INADDR_LOOPBACK, 5000}, I);
      Cache.put(base::TimePoint(), Key, base::MemberName("rounds-1"));
    }
    Bytes = Cache.memoryBytes();
    Held = Cache.size();
  }
  State.counters["held_flows"] = static_cast<double>(Held);
  State.counters["bytes"] = static_cast<double>(Bytes);
  State.counters["bytes_per_flow"] =
      static_cast<double>(Bytes) / static_cast<double>(Held);
}
BENCHMARK(flowMemory)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
