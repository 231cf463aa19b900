// Tests that the caller stand-in detects each kind of fault and reports none
// where there is none. A relay between it and an upstream delays, reorders and
// drops packets, or injects one fault into the replies.

#include "bilberry/standin/caller_model.h"
#include "bilberry/standin/upstream_model.h"

#include <functional>
#include <gtest/gtest.h>

namespace bilberry::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr LinkId Link = 1;
constexpr base::Duration TickInterval = milliseconds(5);

// Returns the datagrams that the caller receives instead of a given one.
using ReplyTransform =
    std::function<std::vector<std::string>(const std::string &)>;

class LossyRelay {
public:
  LossyRelay(const CallerLoad &Load, unsigned LossPercent,
             ReplyTransform Transform)
      : LossPercent(LossPercent), Transform(std::move(Transform)),
        Caller(Load, this->Now), Upstream(upstreamConfig()) {
    this->Upstream.onLinkOpened(Link);
  }

  void run(base::Duration Length) {
    for (base::TimePoint End = this->Now + Length; this->Now < End;
         this->Now += TickInterval) {
      this->step();
    }
  }

  /// Generates load, closes all flows, and waits for all outcomes.
  void runToEnd(base::Duration Length) {
    this->run(Length);
    this->Caller.stop();
    this->run(seconds(20));
  }

  base::TimePoint Now{std::chrono::hours(1)};
  unsigned LossPercent;
  ReplyTransform Transform;
  CallerModel Caller;
  UpstreamModel Upstream;

private:
  static UpstreamConfig upstreamConfig() {
    UpstreamConfig Config;
    Config.Capacity.Slots = Config.Capacity.ColdSlots = 1000;
    Config.Capacity.Connections = Config.Capacity.ColdConnections = 1000;
    Config.PushInterval = milliseconds(300);
    return Config;
  }

  bool isLost() { return this->Random() % 100 < this->LossPercent; }

  void step() {
    std::vector<CallerDatagram> Sent;
    this->Caller.onTick(this->Now, Sent);
    UpstreamOutputs Out;
    this->Upstream.onTick(this->Now, Out);
    for (const CallerDatagram &Each : Sent) {
      if (!this->isLost()) {
        this->forwardToUpstream(Each, Out);
      }
    }
    // Simulates delay and reordering: half of the replies wait for the next
    // step.
    std::shuffle(Out.begin(), Out.end(), this->Random);
    UpstreamOutputs Ready = std::exchange(this->Delayed, {});
    for (UpstreamOutput &Each : Out) {
      (this->Random() % 2 == 0 ? Ready : this->Delayed).push_back(Each);
    }
    for (const UpstreamOutput &Each : Ready) {
      this->forwardToCaller(Each.Message);
    }
  }

  void forwardToUpstream(const CallerDatagram &Sent, UpstreamOutputs &Out) {
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
    bool IsFirst =
        this->RequestIds.emplace(Request.MessageId, Request.Id).second;
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

  void forwardToCaller(const wire::FromUpstream &Message) {
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
    for (const std::string &Bytes : wire::outcomeBytes(
             MessageId, this->RequestIds.at(MessageId), Outcome)) {
      this->send(Bytes);
    }
  }

  void send(const std::string &Bytes) {
    std::vector<std::string> Datagrams = {Bytes};
    if (this->Transform) {
      Datagrams = this->Transform(Bytes);
    }
    for (const std::string &Each : Datagrams) {
      if (!this->isLost()) {
        this->Caller.onDatagram(this->Now, Each);
      }
    }
  }

  std::mt19937 Random{20261204};
  UpstreamOutputs Delayed;
  std::map<uint32_t, base::RequestId> RequestIds;
  std::map<uint32_t, std::string> Answers;
};

CallerLoad mixedLoad() {
  CallerLoad Load;
  Load.Stream.Class = base::ClassName("watering-round");
  Load.Stream.Interval = milliseconds(100);
  Load.Streams = 20;
  Load.Upload.Class = base::ClassName("soil-photo");
  Load.Upload.Packets = 30;
  Load.Upload.BodyBytes = 100;
  Load.Uploads = 3;
  Load.Request.Class = base::ClassName("check-off");
  Load.Request.MaxAttempts = 3;
  Load.RequestsPerSecond = 50;
  Load.DuplicatePercent = 20;
  return Load;
}

TEST(CallerModelTest, CompletesAllWorkOverLossyNetwork) {
  for (unsigned LossPercent : {0U, 20U}) {
    LossyRelay Run(mixedLoad(), LossPercent, nullptr);
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
    EXPECT_EQ(Counts.StrayReplies, 0U);
    EXPECT_GT(Counts.Pushes, 0U);
    EXPECT_TRUE(Run.Caller.brokenFlows().empty());
    EXPECT_EQ(Run.Upstream.ledger().TotalRuns, 500U);
    EXPECT_EQ(Run.Upstream.flowsOpen(), 0U);
  }
}

// Parses each reply and calls Change for those of type Reply, which may modify
// the reply and returns the bytes to send; empty bytes drop it.
template <typename Reply>
ReplyTransform transformReply(std::function<std::string(Reply &)> Change) {
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

TEST(CallerModelTest, DetectsEachFault) {
  struct Case {
    const char *Name;
    ReplyTransform Transform;
    std::function<uint64_t(const CallerCounts &)> DetectedCount;
  };
  std::string PreviousBody;
  const Case Cases[] = {
      {"answer to another request",
       transformReply<wire::AnswerChunk>([&](wire::AnswerChunk &Chunk) {
         std::swap(Chunk.Body, PreviousBody);
         return answerBytes(Chunk);
       }),
       [](const CallerCounts &Counts) { return Counts.Requests.Wrong; }},
      {"answer with an unknown id",
       transformReply<wire::AnswerChunk>([](wire::AnswerChunk &Chunk) {
         ++Chunk.Id.Low;
         return answerBytes(Chunk);
       }),
       [](const CallerCounts &Counts) { return Counts.StrayReplies; }},
      {"answer with another message id",
       transformReply<wire::AnswerChunk>([](wire::AnswerChunk &Chunk) {
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
       transformReply<wire::AnswerChunk>([](wire::AnswerChunk &Chunk) {
         return wire::outcomeBytes(Chunk.MessageId, Chunk.Id,
                                   wire::OutcomeUnknown{})[0];
       }),
       [](const CallerCounts &Counts) { return Counts.Requests.Unknown; }},
      {"answers lost",
       transformReply<wire::AnswerChunk>(
           [](wire::AnswerChunk &) { return ""; }),
       [](const CallerCounts &Counts) { return Counts.Requests.NoOutcome; }},
      {"flow reset",
       transformReply<wire::FlowReply>([](wire::FlowReply &Reply) {
         bool IsData = Reply.Event == wire::FlowEvent::Data;
         Reply.Event = IsData ? wire::FlowEvent::Reset : Reply.Event;
         return wire::flowReplyBytes(Reply);
       }),
       [](const CallerCounts &Counts) { return Counts.Streams.Broken; }},
      {"flow sends only pushes",
       transformReply<wire::FlowReply>([](wire::FlowReply &Reply) {
         bool IsKept =
             Reply.Sequence == 0 || Reply.Event == wire::FlowEvent::Opened;
         return IsKept ? wire::flowReplyBytes(Reply) : "";
       }),
       [](const CallerCounts &Counts) { return Counts.Streams.Broken; }},
      {"flow refused",
       transformReply<wire::FlowReply>([](wire::FlowReply &Reply) {
         Reply.Event = wire::FlowEvent::Refused;
         return wire::flowReplyBytes(Reply);
       }),
       [](const CallerCounts &Counts) { return Counts.Streams.Refused; }},
      {"upload closed before it is complete",
       transformReply<wire::FlowReply>([](wire::FlowReply &Reply) {
         bool IsClosed = Reply.Event == wire::FlowEvent::Closed;
         Reply.Body = IsClosed ? flowSummary(29, 2900) : Reply.Body;
         return wire::flowReplyBytes(Reply);
       }),
       [](const CallerCounts &Counts) { return Counts.Uploads.ClosedPartly; }},
  };
  for (const Case &Item : Cases) {
    LossyRelay Run(mixedLoad(), 0, Item.Transform);
    Run.runToEnd(seconds(10));
    EXPECT_GT(Item.DetectedCount(Run.Caller.counts()), 0U) << Item.Name;
  }
}

TEST(CallerModelTest, RetriesAfterNotRunWithinDeadline) {
  CallerLoad Load = mixedLoad();
  Load.Streams = Load.Uploads = Load.DuplicatePercent = 0;
  Load.RequestsPerSecond = 1;
  UpstreamOutputs Ignored;
  LossyRelay Run(Load, 0, nullptr);
  Run.Upstream.drain(Ignored);
  Run.runToEnd(seconds(1));
  CallerCounts Counts = Run.Caller.counts();
  EXPECT_EQ(Counts.Requests.Started, 1U);
  EXPECT_EQ(Counts.Requests.Attempts, 3U);
  EXPECT_EQ(Counts.Requests.NotRun, 1U);
}

} // namespace
} // namespace bilberry::standin
