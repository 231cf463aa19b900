// Measures the CPU time of packet routing without sockets: placing a new flow
// among N upstreams, and forwarding a packet of a known flow at the balancer
// and at the agent.

#include "bilberry/agent/packet_agent.h"
#include "bilberry/routing/packet_router.h"
#include "bilberry/standin/single_route.h"

#include <benchmark/benchmark.h>
#include <limits>
#include <string>

namespace bilberry {
namespace {

const base::Address Route = {0xC6120001, 443};

packet::Packet makeCallerPacket(uint32_t Caller, bool IsSyn) {
  packet::Packet Value;
  Value.Source = {0x64000000 + (Caller >> 16U), static_cast<uint16_t>(Caller)};
  Value.Destination = Route;
  Value.IsSyn = IsSyn;
  Value.IsAck = !IsSyn;
  return Value;
}

struct BalancerFixture {
  explicit BalancerFixture(int64_t Upstreams)
      : StateCache(standin::singleRouteFormat(Route)) {
    this->StateCache.applyEvent({false, {"routes", "", 1, 0}});
    for (int64_t I = 0; I < Upstreams; ++I) {
      wire::AgentStatus Status;
      Status.Name = base::MemberName("agent-" + std::to_string(I));
      Status.Run = 1;
      Status.DataCentre = base::DataCentreName("dc-" + std::to_string(I % 6));
      Status.Service = base::ServiceName("rounds");
      Status.Data = {0x0A000000 + static_cast<uint32_t>(I), 8000};
      Status.Condition = wire::AgentCondition::InService;
      Status.Slots = 1000000;
      Status.RemainingNewFlows = std::numeric_limits<uint32_t>::max();
      this->Router.onMessage(this->Now, Status.Data, Status, this->Out);
    }
  }

  targets::OperatorStateCache StateCache;
  base::TimePoint Now{std::chrono::hours(1)};
  packet::PacketActions Out;
  routing::PacketRouter Router{{base::MemberName("b"),
                                1,
                                base::DataCentreName("dc-0"),
                                {},
                                {},
                                1U << 24U},
                               Now,
                               StateCache};
};

void placement(benchmark::State &State) {
  BalancerFixture Setup(State.range(0));
  uint32_t Caller = 0;
  for (auto _ : State) {
    Setup.Out.clear();
    Setup.Router.onCallerPacket(Setup.Now, makeCallerPacket(++Caller, true),
                                Setup.Out);
  }
}
BENCHMARK(placement)->Arg(10)->Arg(100)->Arg(3600);

void knownFlow(benchmark::State &State) {
  BalancerFixture Setup(10);
  auto Flows = static_cast<uint32_t>(State.range(0));
  for (uint32_t I = 0; I < Flows; ++I) {
    Setup.Out.clear();
    Setup.Router.onCallerPacket(Setup.Now, makeCallerPacket(I, true),
                                Setup.Out);
  }
  uint32_t Caller = 0;
  for (auto _ : State) {
    Setup.Out.clear();
    Caller = (Caller + 7919) % Flows;
    Setup.Router.onCallerPacket(Setup.Now, makeCallerPacket(Caller, false),
                                Setup.Out);
  }
}
BENCHMARK(knownFlow)->Arg(2000)->Arg(20000)->Arg(300000);

void atAgent(benchmark::State &State) {
  targets::OperatorStateCache StateCache(standin::singleRouteFormat(Route));
  StateCache.applyEvent({false, {"routes", "", 1, 0}});
  base::TimePoint Now{std::chrono::hours(1)};
  agent::PacketAgent Agent({base::MemberName("a"),
                            1,
                            base::DataCentreName("dc"),
                            {},
                            {},
                            base::ServiceName("rounds"),
                            {}},
                           {}, Now, StateCache);
  members::UpstreamHeartbeat Report;
  Report.Id = "u";
  Report.Service = base::ServiceName("rounds");
  Report.DataCentre = base::DataCentreName("dc");
  Report.Sequence = 1;
  packet::PacketActions Out;
  Agent.onReport(Now, Report, Out);
  auto Flows = static_cast<uint32_t>(State.range(0));
  for (uint32_t I = 0; I < Flows; ++I) {
    packet::Packet Answer = makeCallerPacket(I, false);
    std::swap(Answer.Source, Answer.Destination);
    Out.clear();
    Agent.onUpstreamPacket(Now, Answer, Out);
  }
  uint32_t Caller = 0;
  for (auto _ : State) {
    Out.clear();
    Caller = (Caller + 7919) % Flows;
    Agent.onCallerPacket(Now, {1, 1}, makeCallerPacket(Caller, false), Out);
  }
}
BENCHMARK(atAgent)->Arg(2000)->Arg(20000);

} // namespace
} // namespace bilberry

BENCHMARK_MAIN();
