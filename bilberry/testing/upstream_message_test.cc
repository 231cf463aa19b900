// Tests of the upstream protocol: round trips, all splits of the byte stream,
// and rejection of input that is not a valid message.

#include "bilberry/wire/upstream_message.h"

#include <gtest/gtest.h>
#include <limits>
#include <random>

namespace bilberry::wire {
namespace {

const base::ClassName Class("check-off");
const base::RequestId Id = {11, std::numeric_limits<uint64_t>::max()};
const base::FlowKey Key = {std::numeric_limits<uint64_t>::max(), 22};
const base::TimePoint Deadline{std::chrono::microseconds(5000)};

std::string bodyWithNonTextBytes() { return std::string("\0\xff\x92 body", 8); }

std::vector<ToUpstream> allToUpstream() {
  return {
      UpstreamRun{3, Class, Id, Deadline, bodyWithNonTextBytes()},
      UpstreamHealthQuery{4},
      UpstreamFlowPacket{Class, Key, FlowOpenFlag, 9, bodyWithNonTextBytes()},
      UpstreamCancel{5},
      UpstreamFlowAbort{Key},
      UpstreamFlowPacket{Class, Key, FlowCloseFlag, 10, ""}};
}

std::vector<FromUpstream> allFromUpstream() {
  return {UpstreamDone{3, bodyWithNonTextBytes()},
          UpstreamHealth{4, "healthy", 0.5},
          UpstreamFlowEvent{Key, FlowEvent::Closed, 9, bodyWithNonTextBytes()},
          UpstreamDraining{},
          UpstreamRefused{6, UpstreamRefusal::Shed},
          UpstreamRefused{7, UpstreamRefusal::Draining},
          UpstreamRefused{8, UpstreamRefusal::DeadlinePassed},
          UpstreamRefused{9, UpstreamRefusal::Cancelled},
          UpstreamRefused{10, UpstreamRefusal::Failed}};
}

template <typename Message>
std::string concatenatedBytes(const std::vector<Message> &Messages) {
  std::string Bytes;
  for (const Message &Item : Messages) {
    Bytes += upstreamBytes(Item);
  }
  return Bytes;
}

// Compares messages by their encoding. FieldsRoundTrip compares the fields.
template <typename Message>
void expectSameMessagesAtEverySplit(const std::vector<Message> &Sent) {
  std::string Bytes = concatenatedBytes(Sent);
  for (size_t Split = 0; Split <= Bytes.size(); ++Split) {
    UpstreamReader<Message> Reader;
    std::vector<Message> Received;
    ASSERT_TRUE(Reader.feed(Bytes.substr(0, Split), Received));
    ASSERT_TRUE(Reader.feed(Bytes.substr(Split), Received));
    ASSERT_EQ(Received.size(), Sent.size()) << "split at " << Split;
    EXPECT_EQ(concatenatedBytes(Received), Bytes) << "split at " << Split;
  }
}

TEST(UpstreamMessage, ParsesEveryMessageAtEverySplit) {
  expectSameMessagesAtEverySplit(allToUpstream());
  expectSameMessagesAtEverySplit(allFromUpstream());
}

TEST(UpstreamMessage, ParsesStreamFedByteByByte) {
  std::string Bytes = concatenatedBytes(allFromUpstream());
  UpstreamReader<FromUpstream> Reader;
  std::vector<FromUpstream> Received;
  for (char Byte : Bytes) {
    ASSERT_TRUE(Reader.feed(std::string_view(&Byte, 1), Received));
  }
  EXPECT_EQ(concatenatedBytes(Received), Bytes);
}

TEST(UpstreamMessage, FieldsRoundTrip) {
  std::vector<ToUpstream> To;
  ASSERT_TRUE(UpstreamReader<ToUpstream>().feed(
      concatenatedBytes(allToUpstream()), To));
  const auto &Run = std::get<UpstreamRun>(To[0]);
  EXPECT_EQ(Run.MessageId, 3U);
  EXPECT_EQ(Run.Class, Class);
  EXPECT_EQ(Run.Id, Id);
  EXPECT_EQ(Run.Deadline, Deadline);
  EXPECT_EQ(Run.Body, bodyWithNonTextBytes());
  const auto &Packet = std::get<UpstreamFlowPacket>(To[2]);
  EXPECT_EQ(Packet.Key, Key);
  EXPECT_EQ(Packet.Flags, FlowOpenFlag);
  EXPECT_EQ(Packet.Sequence, 9U);

  std::vector<FromUpstream> From;
  ASSERT_TRUE(UpstreamReader<FromUpstream>().feed(
      concatenatedBytes(allFromUpstream()), From));
  EXPECT_EQ(std::get<UpstreamHealth>(From[1]).State, "healthy");
  EXPECT_EQ(std::get<UpstreamHealth>(From[1]).Load, 0.5);
  EXPECT_EQ(std::get<UpstreamFlowEvent>(From[2]).Event, FlowEvent::Closed);
  EXPECT_EQ(std::get<UpstreamRefused>(From[4]).Refusal, UpstreamRefusal::Shed);
}

TEST(UpstreamMessage, UnknownRefusalTextIsReadAsFailed) {
  std::string Bytes =
      upstreamBytes(FromUpstream(UpstreamRefused{6, UpstreamRefusal::Shed}));
  Bytes.replace(Bytes.find("shed"), 4, "shod");
  std::vector<FromUpstream> Received;
  ASSERT_TRUE(UpstreamReader<FromUpstream>().feed(Bytes, Received));
  EXPECT_EQ(std::get<UpstreamRefused>(Received.at(0)).Refusal,
            UpstreamRefusal::Failed);
}

TEST(UpstreamMessage, RejectsInvalidMessages) {
  const std::string Cases[] = {
      upstreamBytes(FromUpstream(UpstreamDraining{})), // Wrong direction.
      "plain text",
      std::string("\xDD\xFF\xFF\xFF\xFF",
                  5), // Array header with 2^32 - 1 elements.
      std::string("\xC1", 1),
      std::string(40, '\x91'),                           // Nesting too deep.
      std::string("\x94\x00\x01\xA6health\x91\x01", 12), // Extra parameter.
  };
  for (const std::string &Bytes : Cases) {
    UpstreamReader<ToUpstream> Reader;
    std::vector<ToUpstream> Received;
    EXPECT_FALSE(Reader.feed(Bytes, Received)) << testing::PrintToString(Bytes);
    EXPECT_TRUE(Received.empty());
  }
}

TEST(UpstreamMessage, RejectsMessageBeyondSizeLimit) {
  const std::string Prefixes[] = {
      // One array of many binaries, each of which is within the limit.
      std::string("\xDC\xFF\xFF", 3),
      // One binary above the limit.
      std::string("\xC6\xFF\xFF\xFF\xFF", 5),
  };
  std::string Part = std::string("\xC5\xFF\xFF", 3) + std::string(65535, 'x');
  for (const std::string &Prefix : Prefixes) {
    UpstreamReader<ToUpstream> Reader;
    std::vector<ToUpstream> Received;
    auto IsAccepted = static_cast<bool>(Reader.feed(Prefix, Received));
    for (int Round = 0; IsAccepted && Round < 100; ++Round) {
      IsAccepted = static_cast<bool>(Reader.feed(Part, Received));
    }
    EXPECT_FALSE(IsAccepted);
  }
}

template <typename Message>
void feedMutatedMessages(const std::vector<Message> &Seeds) {
  std::mt19937 Random(20261205); // Fixed seed: same mutations in each run.
  std::string Seed = concatenatedBytes(Seeds);
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Bytes = Seed;
    for (unsigned Edits = 1 + Random() % 4; Edits > 0; --Edits) {
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    }
    UpstreamReader<Message> Reader;
    std::vector<Message> Received;
    size_t Split = Random() % Bytes.size();
    if (Reader.feed(Bytes.substr(0, Split), Received)) {
      (void)Reader.feed(Bytes.substr(Split), Received);
    }
    // Parsed messages must be encodable again.
    (void)concatenatedBytes(Received);
  }
}

TEST(UpstreamMessage, MutatedMessagesDoNotCrash) {
  feedMutatedMessages(allToUpstream());
  feedMutatedMessages(allFromUpstream());
}

} // namespace
} // namespace bilberry::wire
