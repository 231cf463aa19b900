// Tests agents and balancers together against a model of the global state.
// Runs all short sequences of events, and longer random ones with fixed seeds.
// Naive implementations must fail the same tests.

#include "bilberry/testing/flow_network.h"

#include <gtest/gtest.h>
#include <random>

namespace bilberry::testing {
namespace {

enum class Event : uint8_t {
  OpenByFirst,
  OpenBySecond,
  DataByFirst,
  DataBySecond,
  Join,
  DrainFirst,
  DrainSecond,
  LeaveDrained,
  RestartAll,
  SecondBecomesStale,
  SecondBecomesCurrent,
  ClearCaches,
  Settle,
  Count,
};
constexpr auto EventCount = static_cast<uint32_t>(Event::Count);
constexpr const char *EventTexts[] = {
    "open by 0",   "open by 1",    "data by 0",     "data by 1", "join",
    "drain first", "drain 2nd",    "leave drained", "restart",   "1 stale",
    "1 current",   "clear caches", "settle"};

/// The fixed parameters of a run. Full is a bit mask of the full agents.
struct Scenario {
  int Agents = 3;
  DeliveryOrder Order = DeliveryOrder::Fifo;
  /// Deliver only one message after each event, and the rest at the end.
  bool DelaysDelivery = false;
  uint32_t Full = 0;
  uint64_t Connection = 1;
};

// Runs one flow through a sequence of events. The caller sends only packets
// that a real caller may send; the other events are caused by the operator or
// the platform.
template <typename Controller> class ScenarioRunner {
public:
  ScenarioRunner(const Scenario &Setting, bool UsesHashModN)
      : Setting(Setting), Network(Setting.Agents, Setting.Order, Setting.Full) {
    this->Network.UsesHashModN = UsesHashModN;
    this->rankAgents();
  }

  // Returns the first violated invariant, or an empty string.
  std::string run(const std::vector<Event> &Events) {
    for (Event Next : Events) {
      this->apply(Next);
      if (this->Setting.DelaysDelivery) {
        this->Network.deliverOne();
      } else {
        this->Network.deliverAll();
      }
    }
    this->Network.deliverAll();
    this->Network.advanceTime(routing::QueryTimeout);
    this->Network.deliverAll();
    this->checkThatFlowContinues();
    this->checkThatOpenIsAnswered();
    return this->Network.Violations.empty() ? ""
                                            : this->Network.Violations.front();
  }

private:
  // Ranks the initial agents for the flow.
  void rankAgents() {
    base::FlowKey Key =
        routing::flowKey(Rounds, Caller, this->Setting.Connection);
    std::multimap<uint64_t, int, std::greater<>> Sorted;
    for (int Index = 0; Index < this->Setting.Agents; ++Index) {
      Sorted.emplace(routing::rendezvousScore(
                         routing::memberHash(flowAgent(Index).Name), Key),
                     Index);
    }
    for (const auto &[Score, Index] : Sorted) {
      this->Ranking.push_back(Index);
    }
  }

  bool hasReply(wire::FlowEvent Wanted) const {
    for (const wire::FlowReply &Reply : this->Network.Replies) {
      if (Reply.Event == Wanted) {
        return true;
      }
    }
    return false;
  }
  bool mayOpen() const {
    return !this->OpenedAt ||
           this->Network.now() - *this->OpenedAt < routing::OpenTimeout;
  }

  void open(int Balancer) {
    if (!this->mayOpen()) {
      return;
    }
    if (!this->OpenedAt) {
      this->OpenedAt = this->Network.now();
    }
    this->Network.send(Balancer, this->Setting.Connection, wire::FlowOpenFlag,
                       0);
  }
  void data(int Balancer) {
    if (this->hasReply(wire::FlowEvent::Opened)) {
      this->Network.send(Balancer, this->Setting.Connection, 0,
                         ++this->Sequence);
    }
  }

  void apply(Event Next) {
    switch (Next) {
    case Event::OpenByFirst:
      return this->open(0);
    case Event::OpenBySecond:
      return this->open(1);
    case Event::DataByFirst:
      return this->data(0);
    case Event::DataBySecond:
      return this->data(1);
    case Event::Join:
      return this->Network.join(this->Setting.Agents);
    case Event::DrainFirst:
      return this->Network.drain(this->Ranking[0]);
    case Event::DrainSecond:
      return this->Network.drain(this->Ranking[1]);
    case Event::LeaveDrained:
      this->Network.leave(this->Ranking[0]);
      return this->Network.leave(this->Ranking[1]);
    case Event::RestartAll:
      for (int Index = 0; Index <= this->Setting.Agents; ++Index) {
        this->Network.restart(Index);
      }
      return;
    case Event::SecondBecomesStale:
      return this->Network.setStale(true);
    case Event::SecondBecomesCurrent:
      return this->Network.setStale(false);
    case Event::ClearCaches:
      this->Network.clearCache(0);
      return this->Network.clearCache(1);
    case Event::Settle:
      // Balancers' views may lag, but for no longer than OpenSettleTime.
      this->Network.deliverAll();
      return this->Network.advanceTime(routing::OpenSettleTime);
    case Event::Count:
      return;
    }
  }

  // A retransmitted opening packet must be answered, through either balancer.
  void checkThatOpenIsAnswered() {
    if (!this->OpenedAt || !this->mayOpen()) {
      return;
    }
    this->Network.setStale(false);
    for (int Balancer = 0; Balancer < 2; ++Balancer) {
      size_t RepliesBefore = this->Network.Replies.size();
      uint64_t LostBefore = this->Network.LostByBalancers;
      this->open(Balancer);
      this->Network.deliverAll();
      this->Network.advanceTime(routing::QueryTimeout);
      this->Network.deliverAll();
      bool WasLostByBalancer = this->Network.LostByBalancers > LostBefore;
      if (this->Network.Replies.size() == RepliesBefore && !WasLostByBalancer) {
        this->Network.Violations.push_back("opening packet was not answered");
      }
    }
  }

  // A packet through either balancer must reach the agent that carries the
  // flow.
  void checkThatFlowContinues() {
    std::vector<int> Holders = this->Network.holders(this->Setting.Connection);
    if (Holders.size() != 1 || !this->hasReply(wire::FlowEvent::Opened)) {
      return;
    }
    for (int Balancer = 0; Balancer < 2; ++Balancer) {
      uint64_t LostBefore = this->Network.LostByBalancers;
      this->data(Balancer);
      this->Network.deliverAll();
      if (this->Network.LostByBalancers > LostBefore) {
        // The packet was sent to an agent that has left. No agent can forward
        // it until the balancer's view is updated.
        this->Network.setStale(false);
        this->data(Balancer);
        this->Network.deliverAll();
      }
      std::pair<int, uint64_t> Expected(Holders[0], this->Sequence);
      if (this->Network.Delivered.back() != Expected) {
        this->Network.Violations.push_back("packet did not reach its holder");
      }
    }
  }

  Scenario Setting;
  FlowNetwork<Controller> Network;
  std::vector<int> Ranking;
  std::optional<base::TimePoint> OpenedAt;
  uint64_t Sequence = 0;
};

std::string textOf(const Scenario &Setting, const std::vector<Event> &Events) {
  std::string Text = std::to_string(Setting.Agents) + " agents, order " +
                     std::to_string(static_cast<int>(Setting.Order)) +
                     (Setting.DelaysDelivery ? ", delayed delivery" : "") +
                     ", full " + std::to_string(Setting.Full) +
                     ", connection " + std::to_string(Setting.Connection) + ":";
  for (Event Next : Events) {
    Text += std::string(" [") + EventTexts[static_cast<int>(Next)] + "]";
  }
  return Text;
}

// Returns all scenarios with the given number of agents: each delivery order,
// delayed or immediate delivery, no agent or the first one full, and one
// connection for each possible home, including the joining agent.
std::vector<Scenario> scenarios(int Agents) {
  std::vector<Scenario> All;
  for (int Home = 0; Home <= Agents; ++Home) {
    std::vector<members::HashedMember> Members;
    for (int Index = 0; Index <= Agents; ++Index) {
      members::Member Value = flowAgent(Index);
      Members.push_back({Value, routing::memberHash(Value.Name)});
    }
    uint64_t Connection = 1;
    while (routing::firstRanked(Members,
                                routing::flowKey(Rounds, Caller, Connection))
               ->Value.Name != flowAgent(Home).Name) {
      ++Connection;
    }
    for (auto Order : {DeliveryOrder::Fifo, DeliveryOrder::PeersFirst,
                       DeliveryOrder::DatagramsFirst}) {
      for (bool DelaysDelivery : {false, true}) {
        for (uint32_t Full : {0U, 1U}) {
          All.push_back({Agents, Order, DelaysDelivery, Full, Connection});
        }
      }
    }
  }
  return All;
}

struct TrialResult {
  uint64_t Runs = 0;
  uint64_t Failures = 0;
  std::string FirstFailure;
};

template <typename Controller>
void runOne(const Scenario &Setting, const std::vector<Event> &Events,
            bool UsesHashModN, TrialResult &Result) {
  ++Result.Runs;
  std::string Failure =
      ScenarioRunner<Controller>(Setting, UsesHashModN).run(Events);
  if (!Failure.empty()) {
    if (Result.Failures == 0) {
      Result.FirstFailure = Failure + " in " + textOf(Setting, Events);
    }
    ++Result.Failures;
  }
}

// Runs all sequences that consist of Prefix and Length further events.
template <typename Controller>
TrialResult runAllSequences(int Agents, const std::vector<Event> &Prefix,
                            int Length, bool UsesHashModN = false) {
  TrialResult Result;
  uint32_t Sequences = 1;
  for (int Step = 0; Step < Length; ++Step) {
    Sequences *= EventCount;
  }
  for (const Scenario &Setting : scenarios(Agents)) {
    for (uint32_t Number = 0; Number < Sequences; ++Number) {
      std::vector<Event> Events = Prefix;
      uint32_t Rest = Number;
      for (int Step = 0; Step < Length; ++Step) {
        Events.push_back(static_cast<Event>(Rest % EventCount));
        Rest /= EventCount;
      }
      runOne<Controller>(Setting, Events, UsesHashModN, Result);
    }
  }
  return Result;
}

template <typename Controller>
TrialResult runRandomSequences(uint64_t Seed, int Runs, int Length,
                               bool UsesHashModN = false) {
  TrialResult Result;
  std::mt19937_64 Random(Seed);
  for (int Run = 0; Run < Runs; ++Run) {
    std::vector<Scenario> All = scenarios(2 + static_cast<int>(Random() % 3));
    std::vector<Event> Events(Length);
    for (Event &Next : Events) {
      Next = static_cast<Event>(Random() % EventCount);
    }
    runOne<Controller>(All[Random() % All.size()], Events, UsesHashModN,
                       Result);
  }
  return Result;
}

// Carries every flow that is opened here and resets all others. Correct only if
// every balancer always selects the same agent.
class NaiveFlowController {
public:
  NaiveFlowController(const board::LocalMember &, const targets::TargetTable &,
                      const members::MemberTable &,
                      admission::UpstreamLimits &) {}

  void onPacket(base::TimePoint, const wire::ForwardHeader &Header,
                std::string_view, const wire::FlowPacket &Packet,
                board::AgentActions &Out) {
    base::FlowKey Key =
        routing::flowKey(Header.Service, Header.Caller, Packet.Connection);
    if (Packet.hasOpenFlag()) {
      this->Keys.insert(Key);
    }
    if (!this->Keys.contains(Key)) {
      Out.emplace_back(board::ReplyToFlow{
          Header.Caller,
          {Packet.Connection, wire::FlowEvent::Reset, Packet.Sequence, ""}});
      return;
    }
    Out.emplace_back(board::DeliverPacket{
        {Packet.Class, Key, Packet.Flags, Packet.Sequence, "x"}});
  }
  void onUpstreamEvent(base::TimePoint, const wire::UpstreamFlowEvent &Event,
                       board::AgentActions &Out) {
    Out.emplace_back(
        board::ReplyToFlow{Caller, {1, Event.Event, Event.Sequence, ""}});
  }
  void onPeer(base::TimePoint, const wire::PeerMessage &,
              board::AgentActions &) {}
  void onTick(base::TimePoint, board::AgentActions &) {}
  size_t carriedFlowCount() const { return this->Keys.size(); }
  static std::string snapshot() { return ""; }
  static base::Result<void> restore(base::TimePoint, std::string_view) {
    return boost::outcome_v2::success();
  }

private:
  std::set<base::FlowKey> Keys;
};

// Sanitizer builds, which don't define NDEBUG, run fewer sequences: they are
// twenty times slower, and their purpose is to find other faults.
#ifdef NDEBUG
constexpr int ShortLength = 3;
constexpr int RandomRuns = 5000;
#else
constexpr int ShortLength = 2;
constexpr int RandomRuns = 500;
#endif

class FlowNetworkSizes : public ::testing::TestWithParam<int> {};

TEST_P(FlowNetworkSizes, ShortSequencesKeepOneHolder) {
  TrialResult Result = runAllSequences<routing::FlowController>(
      GetParam(), {Event::OpenByFirst}, ShortLength);
  EXPECT_EQ(Result.Failures, 0U)
      << Result.Runs << " runs; " << Result.FirstFailure;
}

// The agents' views have settled after a change that one balancer hasn't
// received.
TEST_P(FlowNetworkSizes, StaleBalancersCreateNoSecondHolder) {
  for (Event Change : {Event::Join, Event::DrainFirst}) {
    TrialResult Result = runAllSequences<routing::FlowController>(
        GetParam(), {Event::SecondBecomesStale, Change, Event::Settle}, 2);
    EXPECT_EQ(Result.Failures, 0U)
        << Result.Runs << " runs; " << Result.FirstFailure;
  }
}

INSTANTIATE_TEST_SUITE_P(Agents, FlowNetworkSizes, ::testing::Values(2, 3, 4));

TEST(FlowNetwork, LongRandomSequencesKeepOneHolder) {
  for (uint64_t Seed = 1; Seed <= 4; ++Seed) {
    TrialResult Result =
        runRandomSequences<routing::FlowController>(Seed, RandomRuns, 14);
    EXPECT_EQ(Result.Failures, 0U)
        << "seed " << Seed << "; " << Result.FirstFailure;
  }
}

TEST(FlowNetwork, NaiveVersionsFail) {
  TrialResult HashModN =
      runAllSequences<NaiveFlowController>(3, {Event::OpenByFirst}, 2, true);
  TrialResult HashOnly =
      runAllSequences<NaiveFlowController>(3, {Event::OpenByFirst}, 2);
  EXPECT_GT(HashModN.Failures, 0U);
  EXPECT_GT(HashOnly.Failures, 0U);
  RecordProperty("hash_mod_n_failures", std::to_string(HashModN.Failures));
  RecordProperty("hrw_alone_failures", std::to_string(HashOnly.Failures));
}

} // namespace
} // namespace bilberry::testing
