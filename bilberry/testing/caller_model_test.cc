// The callers' stand-in must see every fault that it is there to find, and
// must report none where there is none. Between it and an upstream stands a
// relay that delays, loses and doubles packets, or plays one foul trick.

#include "bilberry/standin/caller_model.h"
#include "bilberry/standin/upstream_model.h"

#include <functional>
#include <gtest/gtest.h>

namespace bilberry::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr LinkId Link = 1;
constexpr base::Duration Tick = milliseconds(5);

// Gives what the caller gets instead of a datagram.
using Trick = std::function<std::vector<std::string>(const std::string &)>;

class Relay {
public:
  Relay(const CallerRule &Rule, unsigned LossPercent, Trick Foul)
      : LossPercent(LossPercent), Foul(std::move(Foul)),
        Caller(Rule, this->Now), Upstream(upstreamRule()) {
    this->Upstream.onLink(Link);
  }

  void run(base::Duration Length) {
    for (base::TimePoint End = this->Now + Length; this->Now < End;
         this->Now += Tick) {
      this->step();
    }
  }

  /// Makes load, closes, and waits for all outcomes.
  void runToEnd(base::Duration Length) {
    this->run(Length);
    this->Caller.stop();
    this->run(seconds(20));
  }

  base::TimePoint Now{std::chrono::hours(1)};
  unsigned LossPercent;
  Trick Foul;
  CallerModel Caller;
  UpstreamModel Upstream;

private:
  static UpstreamRule upstreamRule() {
    UpstreamRule Rule;
    Rule.Capacity.Slots = Rule.Capacity.ColdSlots = 1000;
    Rule.Capacity.Connections = Rule.Capacity.ColdConnections = 1000;
    Rule.PushInterval = milliseconds(300);
    return Rule;
  }

  bool isLost() { return this->Random() % 100 < this->LossPercent; }

  void step() {
    std::vector<CallerDatagram> Sent;
    this->Caller.onTick(this->Now, Sent);
    UpstreamOutputs Out;
    this->Upstream.onTick(this->Now, Out);
    for (const CallerDatagram &Each : Sent) {
      if (!this->isLost()) {
        this->carryUp(Each, Out);
      }
    }
    // Late and out of order: half of the answers wait for the next step.
    std::shuffle(Out.begin(), Out.end(), this->Random);
    UpstreamOutputs Ready = std::exchange(this->Late, {});
    for (UpstreamOutput &Each : Out) {
      (this->Random() % 2 == 0 ? Ready : this->Late).push_back(Each);
    }
    for (const UpstreamOutput &Each : Ready) {
      this->carryDown(Each.Message);
    }
  }

  void carryUp(const CallerDatagram &Sent, UpstreamOutputs &Out) {
    wire::CallerPacket Packet = wire::parseCallerPacket(Sent.Bytes).value();
    if (const auto *Flow = std::get_if<wire::FlowPacket>(&Packet)) {
      this->Upstream.onMessage(
          this->Now, Link,
          wire::UpstreamFlowPacket{Flow->Class,
                                   {0, Flow->Connection},
                                   Flow->Flags,
                                   Flow->Sequence,
                                   std::string(Flow->Body)},
          Out);
      return;
    }
    const auto &Request = std::get<wire::RequestPacket>(Packet);
    bool IsFirst = this->Ids.emplace(Request.MessageId, Request.Id).second;
    auto Answer = this->Answers.find(Request.MessageId);
    if (Answer != this->Answers.end()) {
      this->reply(Request.MessageId, wire::Answer{Answer->second});
    }
    if (IsFirst) {
      wire::UpstreamRun Run{Request.MessageId, Request.Class, Request.Id,
                            Request.Deadline, std::string(Request.Body)};
      this->Upstream.onMessage(this->Now, Link, Run, Out);
    }
  }

  void carryDown(const wire::FromUpstream &Message) {
    if (const auto *Event = std::get_if<wire::UpstreamFlowEvent>(&Message)) {
      this->send(wire::flowReplyBytes(
          {Event->Key.Low, Event->Event, Event->Sequence, Event->Body}));
    }
    if (const auto *Done = std::get_if<wire::UpstreamDone>(&Message)) {
      this->Answers[Done->MessageId] = Done->Body;
      this->reply(Done->MessageId, wire::Answer{Done->Body});
    }
    if (const auto *Refused = std::get_if<wire::UpstreamRefused>(&Message)) {
      this->reply(Refused->MessageId, wire::NotRun{});
    }
  }

  void reply(uint32_t MessageId, const wire::RequestOutcome &Outcome) {
    for (const std::string &Bytes :
         wire::outcomeBytes(MessageId, this->Ids.at(MessageId), Outcome)) {
      this->send(Bytes);
    }
  }

  void send(const std::string &Bytes) {
    std::vector<std::string> Datagrams = {Bytes};
    if (this->Foul) {
      Datagrams = this->Foul(Bytes);
    }
    for (const std::string &Each : Datagrams) {
      if (!this->isLost()) {
        this->Caller.onDatagram(this->Now, Each);
      }
    }
  }

  std::mt19937 Random{20261204};
  UpstreamOutputs Late;
  std::map<uint32_t, base::RequestId> Ids;
  std::map<uint32_t, std::string> Answers;
};

CallerRule mixedLoad() {
  CallerRule Rule;
  Rule.Stream.Class = base::ClassName("watering-round");
  Rule.Stream.Interval = milliseconds(100);
  Rule.Streams = 20;
  Rule.Upload.Class = base::ClassName("soil-photo");
  Rule.Upload.Packets = 30;
  Rule.Upload.BodyBytes = 100;
  Rule.Uploads = 3;
  Rule.Request.Class = base::ClassName("check-off");
  Rule.Request.MaxAttempts = 3;
  Rule.RequestsPerSecond = 50;
  Rule.DuplicatePercent = 20;
  return Rule;
}

TEST(CallerModelTest, AllEndsWellThroughALossyNetwork) {
  for (unsigned LossPercent : {0U, 20U}) {
    Relay Run(mixedLoad(), LossPercent, nullptr);
    Run.runToEnd(seconds(10));
    CallerCounts Counts = Run.Caller.counts();
    EXPECT_TRUE(Run.Caller.isDone());
    EXPECT_EQ(Counts.Streams.Opened, 20U);
    EXPECT_EQ(Counts.Streams.Closed, 20U);
    EXPECT_EQ(Counts.Uploads.Closed, Counts.Uploads.Started);
    EXPECT_GT(Counts.Uploads.Closed, 3U);
    EXPECT_EQ(Counts.Requests.Started, 500U);
    EXPECT_EQ(Counts.Requests.Answered, 500U);
    EXPECT_EQ(Counts.Requests.Wrong, 0U);
    EXPECT_EQ(Counts.Requests.Contradicted, 0U);
    EXPECT_EQ(Counts.Stray, 0U);
    EXPECT_GT(Counts.Pushes, 0U);
    EXPECT_TRUE(Run.Caller.brokenFlows().empty());
    EXPECT_EQ(Run.Upstream.ledger().TotalRuns, 500U);
    EXPECT_EQ(Run.Upstream.flowsOpen(), 0U);
  }
}

// Reads a reply, lets Change alter it where it is of that kind, and writes it;
// nothing is sent where Change gives nothing.
template <typename Reply>
Trick alter(std::function<std::string(Reply &)> Change) {
  return [Change = std::move(Change)](const std::string &Bytes) {
    wire::CallerReply Parsed = wire::parseCallerReply(Bytes).value();
    auto *Found = std::get_if<Reply>(&Parsed);
    std::string Altered = Found == nullptr ? Bytes : Change(*Found);
    return Altered.empty() ? std::vector<std::string>()
                           : std::vector<std::string>{Altered};
  };
}

std::string answerBytes(const wire::AnswerChunk &Chunk) {
  return wire::outcomeBytes(Chunk.MessageId, Chunk.Id,
                            wire::Answer{Chunk.Body})[0];
}

TEST(CallerModelTest, SeesEachFault) {
  struct Case {
    const char *Name;
    Trick Foul;
    std::function<uint64_t(const CallerCounts &)> Seen;
  };
  std::string Previous;
  const Case Cases[] = {
      {"answer to another request",
       alter<wire::AnswerChunk>([&](wire::AnswerChunk &Chunk) {
         std::swap(Chunk.Body, Previous);
         return answerBytes(Chunk);
       }),
       [](const CallerCounts &Counts) { return Counts.Requests.Wrong; }},
      {"answer with an unknown id",
       alter<wire::AnswerChunk>([](wire::AnswerChunk &Chunk) {
         ++Chunk.Id.Low;
         return answerBytes(Chunk);
       }),
       [](const CallerCounts &Counts) { return Counts.Stray; }},
      {"answer with another message id",
       alter<wire::AnswerChunk>([](wire::AnswerChunk &Chunk) {
         Chunk.MessageId += 100'000;
         return answerBytes(Chunk);
       }),
       [](const CallerCounts &Counts) { return Counts.Requests.Wrong; }},
      {"not run, then answered",
       [](const std::string &Bytes) {
         std::vector<std::string> Datagrams = {Bytes};
         wire::CallerReply Parsed = wire::parseCallerReply(Bytes).value();
         if (auto *Chunk = std::get_if<wire::AnswerChunk>(&Parsed)) {
           Datagrams.insert(Datagrams.begin(),
                            wire::outcomeBytes(Chunk->MessageId, Chunk->Id,
                                               wire::NotRun{})[0]);
         }
         return Datagrams;
       },
       [](const CallerCounts &Counts) { return Counts.Requests.Contradicted; }},
      {"outcome unknown",
       alter<wire::AnswerChunk>([](wire::AnswerChunk &Chunk) {
         return wire::outcomeBytes(Chunk.MessageId, Chunk.Id,
                                   wire::OutcomeUnknown{})[0];
       }),
       [](const CallerCounts &Counts) { return Counts.Requests.Unknown; }},
      {"answers lost",
       alter<wire::AnswerChunk>([](wire::AnswerChunk &) { return ""; }),
       [](const CallerCounts &Counts) { return Counts.Requests.NoOutcome; }},
      {"flow reset", alter<wire::FlowReply>([](wire::FlowReply &Reply) {
         bool IsData = Reply.Event == wire::FlowEvent::Data;
         Reply.Event = IsData ? wire::FlowEvent::Reset : Reply.Event;
         return wire::flowReplyBytes(Reply);
       }),
       [](const CallerCounts &Counts) { return Counts.Streams.Broken; }},
      {"flow silent but for pushes",
       alter<wire::FlowReply>([](wire::FlowReply &Reply) {
         bool IsKept =
             Reply.Sequence == 0 || Reply.Event == wire::FlowEvent::Opened;
         return IsKept ? wire::flowReplyBytes(Reply) : "";
       }),
       [](const CallerCounts &Counts) { return Counts.Streams.Broken; }},
      {"flow refused", alter<wire::FlowReply>([](wire::FlowReply &Reply) {
         Reply.Event = wire::FlowEvent::Refused;
         return wire::flowReplyBytes(Reply);
       }),
       [](const CallerCounts &Counts) { return Counts.Streams.Refused; }},
      {"upload closed before it is whole",
       alter<wire::FlowReply>([](wire::FlowReply &Reply) {
         bool IsClosed = Reply.Event == wire::FlowEvent::Closed;
         Reply.Body = IsClosed ? flowSummary(29, 2900) : Reply.Body;
         return wire::flowReplyBytes(Reply);
       }),
       [](const CallerCounts &Counts) { return Counts.Uploads.ClosedPartly; }},
  };
  for (const Case &Item : Cases) {
    Relay Run(mixedLoad(), 0, Item.Foul);
    Run.runToEnd(seconds(10));
    EXPECT_GT(Item.Seen(Run.Caller.counts()), 0U) << Item.Name;
  }
}

TEST(CallerModelTest, AnotherAttemptFollowsNotRunWithinTheDeadline) {
  CallerRule Rule = mixedLoad();
  Rule.Streams = Rule.Uploads = Rule.DuplicatePercent = 0;
  Rule.RequestsPerSecond = 1;
  UpstreamOutputs Ignored;
  Relay Run(Rule, 0, nullptr);
  Run.Upstream.drain(Ignored);
  Run.runToEnd(seconds(1));
  CallerCounts Counts = Run.Caller.counts();
  EXPECT_EQ(Counts.Requests.Started, 1U);
  EXPECT_EQ(Counts.Requests.Attempts, 3U);
  EXPECT_EQ(Counts.Requests.NotRun, 1U);
}

} // namespace
} // namespace bilberry::standin
