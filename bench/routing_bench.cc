// Measures the CPU time of a balancer's routing decision, and compares three
// hashing schemes by load balance and by the keys moved when a member joins:
// rendezvous hashing, hash mod N, and a consistent-hash ring with bounded loads
// (Mirrokni, Thorup and Zadimoghaddam, 2018).

#include "bilberry/routing/balancer_router.h"
#include "bilberry/routing/rendezvous.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <cmath>
#include <map>

namespace bilberry::routing {
namespace {

constexpr base::TimePoint Start{std::chrono::hours(24)};
constexpr base::Address Caller{0x7F000001, 4000};
constexpr uint64_t WarmFlows = 4096;
constexpr uint64_t SpreadKeys = 100000;
const base::ServiceName RoundsService("rounds");
const base::ClassName WateringRoundClass("watering-round");

base::MemberName agentName(int64_t Index) {
  return base::MemberName("agent-" + std::to_string(Index));
}

struct RoutingTables {
  explicit RoutingTables(int64_t Members) {
    targets::Targets Document;
    Document.Revision = 1;
    Document.Classes[WateringRoundClass] = {WateringRoundClass,
                                            RoundsService,
                                            targets::WorkKind::Stream,
                                            false,
                                            {},
                                            {}};
    this->Targets.advance(Document, "");
    for (int64_t Index = 0; Index < Members; ++Index) {
      members::Member Agent;
      Agent.Name = agentName(Index);
      Agent.State = members::MemberState::InService;
      Agent.DataCentre = base::DataCentreName("mobile");
      Agent.Service = RoundsService;
      Agent.Data = {0x7F000001, 5000};
      this->Members.put(Start, Agent);
    }
  }

  targets::TargetTable Targets;
  members::MemberTable Members;
};

void routeOne(benchmark::State &State, bool IsWarm) {
  RoutingTables Tables(State.range(0));
  BalancerRouter Router(Tables.Targets, Tables.Members, 4 * WarmFlows);
  for (uint64_t Flow = 0; IsWarm && Flow < WarmFlows; ++Flow) {
    base::MemberName Holder =
        agentName(static_cast<int64_t>(Flow) % State.range(0));
    Router.onHolderHint(Start, {flowKey(RoundsService, Caller, Flow), Holder});
  }
  uint64_t Flow = 0;
  for (auto Iteration : State) {
    wire::FlowPacket Packet{WateringRoundClass, Flow++ % WarmFlows, 0, 0, ""};
    benchmark::DoNotOptimize(
        Router.route(Start, RoundsService, Caller, Packet));
  }
}

void routeWarm(benchmark::State &State) { routeOne(State, true); }
void routeCold(benchmark::State &State) { routeOne(State, false); }
BENCHMARK(routeWarm)->Arg(10)->Arg(100)->Arg(3600);
BENCHMARK(routeCold)->Arg(10)->Arg(100)->Arg(3600);

void cacheBytesPerFlow(benchmark::State &State) {
  auto Flows = static_cast<uint64_t>(State.range(0));
  for (auto Iteration : State) {
    FlowCache Cache(Flows);
    for (uint64_t Flow = 0; Flow < Flows; ++Flow) {
      Cache.put(Start, flowKey(RoundsService, Caller, Flow),
                agentName(static_cast<int64_t>(Flow % 3600)));
    }
    auto Bytes = static_cast<double>(Cache.memoryBytes());
    State.counters["held"] = static_cast<double>(Cache.size());
    State.counters["bytes_per_flow"] = Bytes / static_cast<double>(Flows);
    State.counters["MiB"] = Bytes / (1 << 20);
  }
}
BENCHMARK(cacheBytesPerFlow)->Arg(300000)->Iterations(1);

// Index of the member that each key is assigned to.
using KeyAssignment = std::vector<int64_t>;

struct Rendezvous {
  static KeyAssignment assignKeys(int64_t Members) {
    std::vector<members::HashedMember> Ranked;
    for (int64_t Index = 0; Index < Members; ++Index) {
      Ranked.emplace_back();
      Ranked.back().Value.Name = agentName(Index);
      Ranked.back().NameHash = memberHash(Ranked.back().Value.Name);
    }
    KeyAssignment Assignment;
    for (uint64_t Key = 0; Key < SpreadKeys; ++Key) {
      Assignment.push_back(
          firstRanked(Ranked, flowKey(RoundsService, Caller, Key)) -
          Ranked.data());
    }
    return Assignment;
  }
};

struct HashModN {
  static KeyAssignment assignKeys(int64_t Members) {
    KeyAssignment Assignment;
    for (uint64_t Key = 0; Key < SpreadKeys; ++Key) {
      uint64_t Hash = flowKey(RoundsService, Caller, Key).Low;
      Assignment.push_back(static_cast<int64_t>(Hash % Members));
    }
    return Assignment;
  }
};

// Assigns keys in ascending order. A member takes at most LoadBound times the
// mean number of keys; further keys go to the next member on the ring.
struct BoundedLoadRing {
  static constexpr int PointsPerMember = 100;
  static constexpr double LoadBound = 1.25;

  static KeyAssignment assignKeys(int64_t Members) {
    std::map<uint64_t, int64_t> Ring;
    for (int64_t Index = 0; Index < Members; ++Index) {
      uint64_t Seed = memberHash(agentName(Index));
      for (uint64_t Point = 0; Point < PointsPerMember; ++Point) {
        Ring[rendezvousScore(Seed, {Point, 0})] = Index;
      }
    }
    auto MeanLoad =
        static_cast<double>(SpreadKeys) / static_cast<double>(Members);
    auto MaxLoad = static_cast<uint64_t>(std::ceil(MeanLoad * LoadBound));
    std::vector<uint64_t> Loads(Members);
    KeyAssignment Assignment;
    for (uint64_t Key = 0; Key < SpreadKeys; ++Key) {
      auto It = Ring.lower_bound(flowKey(RoundsService, Caller, Key).Low);
      while (It == Ring.end() || Loads[It->second] >= MaxLoad) {
        It = It == Ring.end() ? Ring.begin() : std::next(It);
      }
      ++Loads[It->second];
      Assignment.push_back(It->second);
    }
    return Assignment;
  }
};

// Reports the share of keys that move when one member joins, the least possible
// share, and the maximum load over the mean load.
template <typename HashingScheme> void spreadKeys(benchmark::State &State) {
  int64_t Members = State.range(0);
  for (auto Iteration : State) {
    KeyAssignment Before = HashingScheme::assignKeys(Members);
    KeyAssignment After = HashingScheme::assignKeys(Members + 1);
    double Moved = 0;
    std::vector<double> Loads(Members);
    for (uint64_t Key = 0; Key < SpreadKeys; ++Key) {
      Moved += Before[Key] != After[Key] ? 1 : 0;
      Loads[Before[Key]] += 1;
    }
    double Mean =
        static_cast<double>(SpreadKeys) / static_cast<double>(Members);
    State.counters["moved"] = Moved / SpreadKeys;
    State.counters["least_moved"] = 1.0 / static_cast<double>(Members + 1);
    State.counters["max_over_mean"] =
        *std::max_element(Loads.begin(), Loads.end()) / Mean;
  }
}
BENCHMARK(spreadKeys<Rendezvous>)->Arg(7)->Arg(20)->Arg(100)->Iterations(1);
BENCHMARK(spreadKeys<HashModN>)->Arg(7)->Arg(20)->Arg(100)->Iterations(1);
BENCHMARK(spreadKeys<BoundedLoadRing>)
    ->Arg(7)
    ->Arg(20)
    ->Arg(100)
    ->Iterations(1);

} // namespace
} // namespace bilberry::routing

BENCHMARK_MAIN();
