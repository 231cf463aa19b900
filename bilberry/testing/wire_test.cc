// Round-trip tests of the wire messages, and robustness tests of the parsers
// against mutated input.

#include "bilberry/wire/caller_message.h"
#include "bilberry/wire/data_message.h"
#include "bilberry/wire/peer_message.h"

#include <gtest/gtest.h>
#include <random>

namespace bilberry::wire {
namespace {

using std::chrono::microseconds;

const base::RequestId Id = {11, 22};

TEST(CallerMessage, FlowPacketRoundTrip) {
  FlowPacket Sent{base::ClassName("watering-round"), 7, FlowOpenFlag, 9,
                  "soil"};
  std::string Bytes = flowPacketBytes(Sent);
  base::Result<CallerPacket> Parsed = parseCallerPacket(Bytes);
  ASSERT_TRUE(Parsed);
  const auto &Packet = std::get<FlowPacket>(Parsed.value());
  EXPECT_EQ(Packet.Class, Sent.Class);
  EXPECT_EQ(Packet.Connection, 7U);
  EXPECT_TRUE(Packet.hasOpenFlag());
  EXPECT_FALSE(Packet.hasCloseFlag());
  EXPECT_EQ(Packet.Sequence, 9U);
  EXPECT_EQ(Packet.Body, "soil");
}

TEST(CallerMessage, RequestRoundTrip) {
  RequestPacket Sent{base::ClassName("check-off"),        3,      Id, 2,
                     base::TimePoint(microseconds(5000)), "pot 4"};
  std::string Bytes = requestPacketBytes(Sent);
  base::Result<CallerPacket> Parsed = parseCallerPacket(Bytes);
  ASSERT_TRUE(Parsed);
  const auto &Packet = std::get<RequestPacket>(Parsed.value());
  EXPECT_EQ(Packet.MessageId, 3U);
  EXPECT_EQ(Packet.Id, Id);
  EXPECT_EQ(Packet.Attempt, 2U);
  EXPECT_EQ(Packet.Deadline, Sent.Deadline);
  EXPECT_EQ(Packet.Body, "pot 4");
}

TEST(CallerMessage, CancelRoundTrip) {
  std::string Bytes = cancelPacketBytes({Id, 1});
  base::Result<CallerPacket> Parsed = parseCallerPacket(Bytes);
  ASSERT_TRUE(Parsed);
  EXPECT_EQ(std::get<CancelPacket>(Parsed.value()).Id, Id);
}

TEST(CallerMessage, LargeAnswerIsSplitIntoChunks) {
  std::string Body(100'000, 'x');
  Body.back() = 'y';
  std::string Reassembled;
  for (const std::string &Bytes : outcomeBytes(3, Id, Answer{Body})) {
    EXPECT_LE(Bytes.size(), 40'000U);
    base::Result<CallerReply> Parsed = parseCallerReply(Bytes);
    ASSERT_TRUE(Parsed);
    const auto &Chunk = std::get<AnswerChunk>(Parsed.value());
    EXPECT_EQ(Chunk.Id, Id);
    Reassembled += Chunk.Body;
  }
  EXPECT_EQ(Reassembled, Body);
}

TEST(CallerMessage, RefusalRoundTripKeepsOutcomeAndReason) {
  struct Case {
    RequestOutcome Outcome;
    bool IsNotRun;
    RefusalReason Reason;
  };
  const Case Cases[] = {
      {NotRun{RefusalReason::Draining, microseconds(10)}, true,
       RefusalReason::Draining},
      {OutcomeUnknown{RefusalReason::UpstreamLost, microseconds(0)}, false,
       RefusalReason::UpstreamLost},
  };
  for (const Case &Item : Cases) {
    std::vector<std::string> Datagrams = outcomeBytes(3, Id, Item.Outcome);
    ASSERT_EQ(Datagrams.size(), 1U);
    base::Result<CallerReply> Parsed = parseCallerReply(Datagrams[0]);
    ASSERT_TRUE(Parsed);
    const auto &Refused = std::get<Refusal>(Parsed.value());
    EXPECT_EQ(Refused.IsNotRun, Item.IsNotRun);
    EXPECT_EQ(Refused.Reason, Item.Reason);
  }
}

TEST(DataMessage, SeparatesHeaderFromPayload) {
  ForwardHeader Header;
  Header.Service = base::ServiceName("rounds");
  Header.Caller = {0x7F000001, 4000};
  Header.Receiver = base::MemberName("rounds-1");
  Header.Revision = 4;
  std::string Bytes = datagramHeader(Header) + "payload";
  base::Result<Datagram> Parsed = parseDatagram(Bytes);
  ASSERT_TRUE(Parsed);
  EXPECT_EQ(Parsed.value().Payload, "payload");
  EXPECT_EQ(std::get<ForwardHeader>(Parsed.value().Message).Revision, 4U);
}

TEST(PeerMessage, RoundTripKeepsSenderAndBody) {
  PeerMessage Sent;
  Sent.Sender.Name = base::MemberName("rounds-1");
  Sent.Sender.State = members::MemberState::Draining;
  Sent.Receiver = base::MemberName("rounds-2");
  Sent.Body = Intent{5, 6, {Id, 1, RequestDecision::Refuse, base::TimePoint()}};
  base::Result<PeerMessage> Parsed = parsePeerMessage(peerMessageBytes(Sent));
  ASSERT_TRUE(Parsed);
  EXPECT_EQ(Parsed.value().Sender, Sent.Sender);
  EXPECT_EQ(Parsed.value().Receiver, Sent.Receiver);
  const auto &Body = std::get<Intent>(Parsed.value().Body);
  EXPECT_EQ(Body.Epoch, 6U);
  EXPECT_EQ(Body.Entry.Decision, RequestDecision::Refuse);
}

TEST(Parsers, MutatedMessagesDoNotCrash) {
  const std::string Empty;
  const std::string Seeds[] = {
      Empty,
      flowPacketBytes({base::ClassName("c"), 1, 0, 1, "body"}),
      requestPacketBytes({base::ClassName("c"), 1, Id, 1, {}, "body"}),
      cancelPacketBytes({Id, 1}),
      datagramHeader(ForwardHeader()),
      peerMessageBytes({{}, {}, View{}}),
      outcomeBytes(1, Id, Answer{"answer"})[0],
      outcomeBytes(1, Id, NotRun{})[0],
      // Array header with 2^32 - 1 elements and no content.
      std::string("\xDD\xFF\xFF\xFF\xFF", 5),
  };
  std::mt19937 Random(20261204); // Fixed seed: same mutations in each run.
  for (const std::string &Seed : Seeds) {
    for (int Round = 0; Round < 4000; ++Round) {
      std::string Bytes = Seed;
      for (unsigned Edits = Random() % 4; Edits > 0 && !Bytes.empty();
           --Edits) {
        Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
      }
      Bytes.resize(Bytes.size() - Random() % (Bytes.size() + 1));
      (void)parseCallerPacket(Bytes);
      (void)parseCallerReply(Bytes);
      (void)parseDatagram(Bytes);
      (void)parsePeerMessage(Bytes);
    }
  }
}

} // namespace
} // namespace bilberry::wire
