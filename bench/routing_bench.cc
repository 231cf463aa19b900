// What a balancer's choice costs, and how evenly and steadily three rules
// spread keys: rendezvous hashing, hash mod N, and a consistent-hash ring with
// bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018).

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
const base::ServiceName Rounds("rounds");
const base::ClassName WateringRound("watering-round");

base::MemberName nameOf(int64_t Index) {
  return base::MemberName("agent-" + std::to_string(Index));
}

struct Tables {
  explicit Tables(int64_t Members) {
    targets::Targets Document;
    Document.Revision = 1;
    Document.Classes[WateringRound] = {
        WateringRound, Rounds, targets::WorkKind::Stream, false, {}, {}};
    this->Targets.advance(Document, "");
    for (int64_t Index = 0; Index < Members; ++Index) {
      members::Member Agent;
      Agent.Name = nameOf(Index);
      Agent.State = members::MemberState::InService;
      Agent.DataCentre = base::DataCentreName("mobile");
      Agent.Service = Rounds;
      Agent.Data = {0x7F000001, 5000};
      this->Members.put(Start, Agent);
    }
  }

  targets::TargetTable Targets;
  members::MemberTable Members;
};

void routeOne(benchmark::State &State, bool IsWarm) {
  Tables Board(State.range(0));
  BalancerRouter Router(Board.Targets, Board.Members, 4 * WarmFlows);
  for (uint64_t Flow = 0; IsWarm && Flow < WarmFlows; ++Flow) {
    base::MemberName Holder =
        nameOf(static_cast<int64_t>(Flow) % State.range(0));
    Router.onHolderHint(Start, {flowKey(Rounds, Caller, Flow), Holder});
  }
  uint64_t Flow = 0;
  for (auto Iteration : State) {
    wire::FlowPacket Packet{WateringRound, Flow++ % WarmFlows, 0, 0, ""};
    benchmark::DoNotOptimize(Router.route(Start, Rounds, Caller, Packet));
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
      Cache.put(Start, flowKey(Rounds, Caller, Flow),
                nameOf(static_cast<int64_t>(Flow % 3600)));
    }
    auto Bytes = static_cast<double>(Cache.memoryBytes());
    State.counters["held"] = static_cast<double>(Cache.size());
    State.counters["bytes_per_flow"] = Bytes / static_cast<double>(Flows);
    State.counters["MiB"] = Bytes / (1 << 20);
  }
}
BENCHMARK(cacheBytesPerFlow)->Arg(300000)->Iterations(1);

// Which member each key goes to.
using Spread = std::vector<int64_t>;

struct Rendezvous {
  static Spread spread(int64_t Members) {
    std::vector<members::RankedMember> Ranked;
    for (int64_t Index = 0; Index < Members; ++Index) {
      Ranked.emplace_back();
      Ranked.back().Value.Name = nameOf(Index);
      Ranked.back().NameHash = memberHash(Ranked.back().Value.Name);
    }
    Spread Homes;
    for (uint64_t Key = 0; Key < SpreadKeys; ++Key) {
      Homes.push_back(firstRanked(Ranked, flowKey(Rounds, Caller, Key)) -
                      Ranked.data());
    }
    return Homes;
  }
};

struct HashModN {
  static Spread spread(int64_t Members) {
    Spread Homes;
    for (uint64_t Key = 0; Key < SpreadKeys; ++Key) {
      uint64_t Hash = flowKey(Rounds, Caller, Key).Low;
      Homes.push_back(static_cast<int64_t>(Hash % Members));
    }
    return Homes;
  }
};

// Keys come in order of their number; a member takes no more than its share
// of all keys times LoadBound, and the rest goes on round the ring.
struct BoundedLoadRing {
  static constexpr int PointsPerMember = 100;
  static constexpr double LoadBound = 1.25;

  static Spread spread(int64_t Members) {
    std::map<uint64_t, int64_t> Ring;
    for (int64_t Index = 0; Index < Members; ++Index) {
      uint64_t Seed = memberHash(nameOf(Index));
      for (uint64_t Point = 0; Point < PointsPerMember; ++Point) {
        Ring[rendezvousScore(Seed, {Point, 0})] = Index;
      }
    }
    auto Share = static_cast<double>(SpreadKeys) / static_cast<double>(Members);
    auto Most = static_cast<uint64_t>(std::ceil(Share * LoadBound));
    std::vector<uint64_t> Loads(Members);
    Spread Homes;
    for (uint64_t Key = 0; Key < SpreadKeys; ++Key) {
      auto It = Ring.lower_bound(flowKey(Rounds, Caller, Key).Low);
      while (It == Ring.end() || Loads[It->second] >= Most) {
        It = It == Ring.end() ? Ring.begin() : std::next(It);
      }
      ++Loads[It->second];
      Homes.push_back(It->second);
    }
    return Homes;
  }
};

// The share of keys that a join of one member moves, and the busiest member's
// load over the mean.
template <typename Rule> void spreadKeys(benchmark::State &State) {
  int64_t Members = State.range(0);
  for (auto Iteration : State) {
    Spread Before = Rule::spread(Members);
    Spread After = Rule::spread(Members + 1);
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
