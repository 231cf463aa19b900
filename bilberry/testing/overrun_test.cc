// Tests that UpstreamLimits never exceeds the capacity of an upstream. The
// limits, a fixed limit and one driven by health reports are run against the
// same simulated upstream, in simulated time, with a network delay of one
// millisecond each way.

#include "bilberry/admission/upstream_limits.h"
#include "bilberry/standin/upstream_model.h"

#include <deque>
#include <gtest/gtest.h>

namespace bilberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration TimeStep = milliseconds(1);
constexpr base::Duration NetworkDelay = milliseconds(1);
constexpr base::Duration HealthInterval = milliseconds(200);
constexpr standin::LinkId Link = 1;

// The policies under test implement the methods of UpstreamLimits that the
// simulation calls.

// Always admits up to the ceiling of the targets.
struct FixedLimit {
  void setCapacity(const targets::UpstreamCapacity &Capacity) {
    this->Limit = Capacity.Slots;
  }
  bool acquireSlot(base::TimePoint) {
    bool IsFree = this->Held < this->Limit;
    this->Held += IsFree ? 1 : 0;
    return IsFree;
  }
  void releaseSlot(base::TimePoint, admission::Completion, base::Duration) {
    --this->Held;
  }
  void onUpstreamRestart(base::TimePoint) { this->Held = 0; }
  void onHealthReport(base::TimePoint, bool, double) {}

  uint32_t Limit = 0;
  uint32_t Held = 0;
};

// Starts at the floor and follows the upstream's health reports.
struct HealthDrivenLimit : FixedLimit {
  void setCapacity(const targets::UpstreamCapacity &Capacity) {
    this->Floor = Capacity.ColdSlots;
    this->Ceiling = Capacity.Slots;
    this->Limit = this->Floor;
  }
  void onUpstreamRestart(base::TimePoint) {
    this->Held = 0;
    this->Limit = this->Floor;
  }
  void onHealthReport(base::TimePoint, bool IsHealthy, double Load) {
    bool MayRise = IsHealthy && Load < admission::OverloadedLoad;
    this->Limit = MayRise ? std::min(this->Limit + 1, this->Ceiling)
                          : std::max(this->Floor, this->Limit / 2);
  }

  uint32_t Floor = 0;
  uint32_t Ceiling = 0;
};

targets::UpstreamCapacity capacity() {
  targets::UpstreamCapacity Capacity;
  Capacity.Slots = 9;
  Capacity.ColdSlots = 2;
  // A slow warm-up, so that a policy that raises the limit without evidence
  // exceeds the capacity.
  Capacity.CompletionsPerSlot = 100;
  Capacity.LatencyBound = milliseconds(250);
  return Capacity;
}

// Simulates one agent that always has work, and one upstream.
template <typename Policy> class Simulation {
public:
  Simulation() {
    this->Limits.setCapacity(capacity());
    this->startUpstream();
  }

  /// Runs for Length, with more work than any limit admits, or with none.
  void run(base::Duration Length, bool HasWork = true) {
    for (base::TimePoint End = this->Now + Length; this->Now < End;
         this->Now += TimeStep) {
      this->exchangeMessages();
      this->sendHealthQuery();
      while (HasWork && this->Limits.acquireSlot(this->Now)) {
        this->sendRequest();
      }
    }
  }

  /// Replaces the upstream by a new process; the agent detects the lost
  /// connection.
  void restartUpstream() {
    this->Overruns += this->Model->ledger().Overruns;
    this->startUpstream();
    this->ToUpstream.clear();
    this->FromUpstream.clear();
    this->Limits.onUpstreamRestart(this->Now);
  }

  uint64_t overruns() const {
    return this->Overruns + this->Model->ledger().Overruns;
  }

  std::optional<standin::UpstreamModel> Model;
  Policy Limits;
  uint64_t Answered = 0;

private:
  template <typename Message> struct InFlight {
    base::TimePoint Arrival;
    base::TimePoint Sent;
    Message Content;
  };

  void startUpstream() {
    standin::UpstreamConfig Rule;
    Rule.Capacity = capacity();
    this->Model.emplace(Rule);
    this->Model->onLinkOpened(Link);
    this->Model->overrideHealth("healthy", 0.0);
  }

  void sendRequest() {
    wire::UpstreamRun Run;
    Run.MessageId = ++this->LastMessage;
    Run.Id.Low = this->LastMessage;
    Run.Deadline = this->Now + seconds(5);
    this->SentAt[Run.MessageId] = this->Now;
    this->ToUpstream.push_back({this->Now + NetworkDelay, this->Now, Run});
  }

  void exchangeMessages() {
    standin::UpstreamOutputs Out;
    this->Model->onTick(this->Now, Out);
    while (!this->ToUpstream.empty() &&
           this->ToUpstream.front().Arrival <= this->Now) {
      this->Model->onMessage(this->Now, Link, this->ToUpstream.front().Content,
                             Out);
      this->ToUpstream.pop_front();
    }
    for (standin::UpstreamOutput &Item : Out) {
      this->FromUpstream.push_back(
          {this->Now + NetworkDelay, this->Now, std::move(Item.Message)});
    }
    while (!this->FromUpstream.empty() &&
           this->FromUpstream.front().Arrival <= this->Now) {
      this->receive(this->FromUpstream.front().Content);
      this->FromUpstream.pop_front();
    }
  }

  void receive(const wire::FromUpstream &Message) {
    if (const auto *Done = std::get_if<wire::UpstreamDone>(&Message)) {
      ++this->Answered;
      this->Limits.releaseSlot(this->Now, admission::Completion::Done,
                               this->Now - this->SentAt[Done->MessageId]);
    }
    if (std::holds_alternative<wire::UpstreamRefused>(Message)) {
      this->Limits.releaseSlot(this->Now, admission::Completion::Shed,
                               NetworkDelay);
    }
    if (const auto *Health = std::get_if<wire::UpstreamHealth>(&Message)) {
      this->Limits.onHealthReport(this->Now, Health->State == "healthy",
                                  Health->Load);
    }
  }

  void sendHealthQuery() {
    if (this->Now < this->NextHealth) {
      return;
    }
    this->NextHealth = this->Now + HealthInterval;
    this->ToUpstream.push_back(
        {this->Now + NetworkDelay, this->Now, wire::UpstreamHealthQuery{}});
  }

  base::TimePoint Now{std::chrono::hours(1)};
  base::TimePoint NextHealth = Now;
  uint32_t LastMessage = 0;
  uint64_t Overruns = 0;
  std::unordered_map<uint32_t, base::TimePoint> SentAt;
  std::deque<InFlight<wire::ToUpstream>> ToUpstream;
  std::deque<InFlight<wire::FromUpstream>> FromUpstream;
};

template <typename Policy> uint64_t overrunsAtStart() {
  Simulation<Policy> Run;
  Run.run(seconds(10));
  return Run.overruns();
}

template <typename Policy> uint64_t overrunsAfterRestart() {
  Simulation<Policy> Run;
  for (int Round = 0; Round < 3; ++Round) {
    Run.run(seconds(10));
    Run.restartUpstream();
  }
  Run.run(seconds(10));
  return Run.overruns();
}

// The data centre is out of service for a minute. Meanwhile the upstream turns
// cold, while its connection stays open.
template <typename Policy> uint64_t overrunsAfterOutage() {
  Simulation<Policy> Run;
  Run.run(seconds(20));
  Run.run(seconds(60), false);
  Run.Model->resetWarmup();
  Run.run(seconds(20));
  return Run.overruns();
}

// The upstream turns cold under full load; only its sheds show it.
template <typename Policy> uint64_t overrunsAfterColdTurnUnderLoad() {
  Simulation<Policy> Run;
  Run.run(seconds(20));
  uint64_t Before = Run.overruns();
  Run.Model->resetWarmup();
  Run.run(seconds(10));
  return Run.overruns() - Before;
}

TEST(Overrun, UpstreamLimitsNeverExceedCapacity) {
  EXPECT_EQ(overrunsAtStart<admission::UpstreamLimits>(), 0U);
  EXPECT_EQ(overrunsAfterRestart<admission::UpstreamLimits>(), 0U);
  EXPECT_EQ(overrunsAfterOutage<admission::UpstreamLimits>(), 0U);
}

// The change can't be detected before the first shed arrives. Only requests in
// flight at that time may exceed the capacity.
TEST(Overrun, UndetectedColdTurnOverrunsByRequestsInFlightOnly) {
  // The requests of 9 slots end every 20 ms; up to 9 new ones arrive within a
  // round trip if all of them end at once.
  EXPECT_LE(overrunsAfterColdTurnUnderLoad<admission::UpstreamLimits>(), 9U);
}

TEST(Overrun, FixedAndHealthDrivenLimitsOverrun) {
  EXPECT_GT(overrunsAtStart<FixedLimit>(), 100U);
  EXPECT_GT(overrunsAfterRestart<FixedLimit>(), 100U);
  EXPECT_GT(overrunsAfterOutage<FixedLimit>(), 100U);
  EXPECT_GT(overrunsAfterColdTurnUnderLoad<FixedLimit>(), 100U);
  EXPECT_GT(overrunsAtStart<HealthDrivenLimit>(), 100U);
  EXPECT_GT(overrunsAfterRestart<HealthDrivenLimit>(), 100U);
  EXPECT_GT(overrunsAfterOutage<HealthDrivenLimit>(), 100U);
  EXPECT_GT(overrunsAfterColdTurnUnderLoad<HealthDrivenLimit>(), 100U);
}

TEST(Overrun, UpstreamLimitsReachTheCeiling) {
  Simulation<admission::UpstreamLimits> Run;
  Run.run(seconds(20));
  EXPECT_EQ(Run.Limits.status().SlotLimit, 9U);
  uint64_t Before = Run.Answered;
  Run.run(seconds(10));
  // 9 slots, a service time of 20 ms and a round trip of 2 ms: 409/s.
  EXPECT_GT(Run.Answered - Before, 3900U);
}

} // namespace
} // namespace bilberry
