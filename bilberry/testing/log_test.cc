#include "bilberry/log/log.h"

#include "bilberry/log/decision_limiter.h"
#include "bilberry/runtime/standard_streams.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <future>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <initializer_list>
#include <string>
#include <unistd.h>

namespace bilberry::log {
namespace {

using std::chrono::seconds;

// A pipe whose reader takes nothing until drain() is called.
class PausedPipe {
public:
  PausedPipe() {
    EXPECT_EQ(pipe(this->Ends), 0);
    int Flags = fcntl(this->Ends[1], F_GETFL);
    fcntl(this->Ends[1], F_SETFL, Flags | O_NONBLOCK);
    std::string Chunk(4096, '-');
    while (::write(this->Ends[1], Chunk.data(), Chunk.size()) > 0) {
    }
    fcntl(this->Ends[1], F_SETFL, Flags);
  }
  int writeEnd() const { return this->Ends[1]; }
  // Reads until all Markers have appeared, or the write end is closed.
  std::string drain(std::initializer_list<std::string_view> Markers) {
    std::string Text;
    char Buffer[65536];
    auto IsMissing = [&](std::string_view Marker) {
      return Text.find(Marker) == std::string::npos;
    };
    while (std::ranges::any_of(Markers, IsMissing)) {
      ssize_t Count = read(this->Ends[0], Buffer, sizeof(Buffer));
      if (Count <= 0) {
        break;
      }
      Text.append(Buffer, static_cast<size_t>(Count));
    }
    return Text;
  }

private:
  int Ends[2] = {-1, -1};
};

// Guards against a process that stands still while the reader of its standard
// output pauses.
TEST(Log, FullStandardOutputDoesNotBlockTheCaller) {
  PausedPipe Pipe;
  int StandardOutput = dup(STDOUT_FILENO);
  dup2(Pipe.writeEnd(), STDOUT_FILENO);
  configure("test", Level::Info, Layout::Text);
  std::future<void> Logged = std::async(std::launch::async, [] {
    for (int I = 0; I < 1000; ++I) {
      info("event=line number=" + std::to_string(I));
    }
  });
  bool IsBlocked = Logged.wait_for(seconds(5)) != std::future_status::ready;
  std::string Text = Pipe.drain({"number=999\n"});
  Logged.wait();
  dup2(StandardOutput, STDOUT_FILENO);
  EXPECT_FALSE(IsBlocked);
  EXPECT_THAT(Text, testing::HasSubstr("number=0\n"));
  EXPECT_THAT(Text, testing::HasSubstr("number=999\n"));
}

std::string line(char Letter, int Number) {
  return std::string(1, Letter) + std::to_string(Number) + "\n";
}

// Guards against reset flows that can't be explained, because routine lines
// filled the memory.
TEST(LineQueue, LeavesOutRoutineLinesFirstAndFailuresLast) {
  constexpr size_t Lines = 6;
  LineQueue Queue(Lines * (LineOverheadBytes + 3));
  for (int I = 0; I < 8; ++I) {
    Queue.push(Importance::Routine, line('r', I));
  }
  EXPECT_EQ(Queue.leftOut(), (LineCounts{2, 0, 0}));
  for (int I = 0; I < 3; ++I) {
    Queue.push(Importance::Event, line('e', I));
    Queue.push(Importance::Failure, line('f', I));
  }
  EXPECT_EQ(Queue.leftOut(), (LineCounts{8, 0, 0}));
  Queue.push(Importance::Failure, line('f', 3));
  Queue.push(Importance::Event, line('e', 3));
  Queue.push(Importance::Routine, line('r', 8));
  EXPECT_EQ(Queue.leftOut(), (LineCounts{9, 2, 0}));
  EXPECT_EQ(Queue.bytes(), Lines * (LineOverheadBytes + 3));
  EXPECT_EQ(Queue.takeBatch(1000), "e0\nf0\ne1\nf1\nf2\nf3\n");
  EXPECT_TRUE(Queue.isEmpty());
}

TEST(LineQueue, LeavesOutALineThatNeverFits) {
  LineQueue Queue(2 * (LineOverheadBytes + 3));
  Queue.push(Importance::Routine, line('r', 0));
  Queue.push(Importance::Failure, std::string(1000, 'f') + "\n");
  EXPECT_EQ(Queue.leftOut(), (LineCounts{0, 0, 1}));
  EXPECT_EQ(Queue.takeBatch(1000), "r0\n");
}

TEST(LineQueue, LimitsABatchButTakesAtLeastOneLine) {
  LineQueue Queue(1000);
  Queue.push(Importance::Routine, line('r', 0));
  Queue.push(Importance::Routine, line('r', 1));
  Queue.push(Importance::Routine, line('r', 2));
  EXPECT_EQ(Queue.takeBatch(6), "r0\nr1\n");
  EXPECT_EQ(Queue.takeBatch(1), "r2\n");
  EXPECT_EQ(Queue.takeBatch(1), "");
}

// Guards against resets that aren't logged under load because placements used
// up the limit of lines.
TEST(DecisionLimiter, RoutineLinesLeaveRoomForFailures) {
  DecisionLimiter Limiter;
  base::ManualClock Clock;
  for (uint32_t I = 0; I < 2 * MaxDecisionLinesPerSecond; ++I) {
    (void)Limiter.allow(Clock.now(), Importance::Routine);
  }
  EXPECT_FALSE(Limiter.allow(Clock.now(), Importance::Routine));
  EXPECT_TRUE(Limiter.allow(Clock.now(), Importance::Failure));
  EXPECT_TRUE(Limiter.allow(Clock.now(), Importance::Event));
  EXPECT_EQ(Limiter.suppressed(), MaxDecisionLinesPerSecond + 1);
}

TEST(Log, ResetsAndRefusalsAreFailures) {
  packet::FlowDecision Placed{"flow-placed", {}, {}, "near", 1};
  packet::FlowDecision Reset{"flow-reset",        {}, {},
                             "its agent is gone", 1,  true};
  EXPECT_EQ(importanceOf(Placed), Importance::Routine);
  EXPECT_EQ(importanceOf(Reset), Importance::Failure);
  struct {
    board::DecisionKind Kind;
    Importance Expected;
  } const Cases[] = {
      {board::DecisionKind::FlowPlaced, Importance::Routine},
      {board::DecisionKind::RequestAnswered, Importance::Routine},
      {board::DecisionKind::ShardTaken, Importance::Event},
      {board::DecisionKind::FlowReset, Importance::Failure},
      {board::DecisionKind::FlowRefused, Importance::Failure},
      {board::DecisionKind::RequestRefused, Importance::Failure},
      {board::DecisionKind::RequestUnknown, Importance::Failure},
      {board::DecisionKind::PacketDropped, Importance::Failure},
  };
  for (const auto &Case : Cases) {
    EXPECT_EQ(importanceOf(board::LogDecision{Case.Kind, {}, {}, {}}),
              Case.Expected)
        << board::decisionKindText(Case.Kind);
  }
  EXPECT_EQ(importanceOf(routing::Route{}), Importance::Failure);
}

std::string missingLine(const MissingLines &Missing) {
  return "missing routine=" + std::to_string(Missing.LeftOut[0]) +
         " failed=" + std::to_string(Missing.WriteFailed) + "\n";
}

constexpr size_t SmallQueue = 100 * (LineOverheadBytes + 10);

void writeRoutineLines(LineWriter &Writer, int Count) {
  for (int I = 0; I < Count; ++I) {
    Writer.write(Importance::Routine, line('r', I));
  }
}

// Guards against memory that grows while the reader pauses, and against gaps in
// the log that aren't reported.
TEST(LineWriter, ReportsWhatWasLeftOutOnceTheReaderIsBack) {
  PausedPipe Pipe;
  LineWriter Writer(Pipe.writeEnd(), SmallQueue, missingLine);
  // The first lines are in a write when the others arrive.
  writeRoutineLines(Writer, 1);
  EXPECT_FALSE(Writer.flush(std::chrono::milliseconds(300)));
  writeRoutineLines(Writer, 1000);
  EXPECT_LE(Writer.waitingBytes(), SmallQueue);
  uint64_t LeftOut = Writer.missing().LeftOut[0];
  EXPECT_GE(LeftOut, 800U);
  Writer.write(Importance::Failure, "flow-reset\n");
  ++LeftOut;
  EXPECT_EQ(Writer.missing().LeftOut, (LineCounts{LeftOut, 0, 0}));
  std::string Report =
      "missing routine=" + std::to_string(LeftOut) + " failed=0\n";
  std::string Text = Pipe.drain({Report, "flow-reset\n"});
  EXPECT_THAT(Text, testing::HasSubstr("flow-reset\n"));
  EXPECT_THAT(Text, testing::HasSubstr(Report));
  EXPECT_TRUE(Writer.flush(seconds(5)));
  EXPECT_EQ(Writer.waitingBytes(), 0U);
}

// Guards against a planned stop that takes longer than its grace period.
TEST(LineWriter, FlushReturnsInTimeAlthoughTheReaderPauses) {
  PausedPipe Pipe;
  LineWriter Writer(Pipe.writeEnd(), SmallQueue, missingLine);
  writeRoutineLines(Writer, 10);
  auto Begin = std::chrono::steady_clock::now();
  EXPECT_FALSE(Writer.flush(ExitFlushTimeout));
  EXPECT_LT(std::chrono::steady_clock::now() - Begin, seconds(1));
}

// Guards against a process that ends or stands still because the other end of
// its standard output is closed.
TEST(LineWriter, CountsLinesThatCannotBeWritten) {
  signal(SIGPIPE, SIG_IGN);
  int Ends[2] = {-1, -1};
  ASSERT_EQ(pipe(Ends), 0);
  close(Ends[0]);
  LineWriter Writer(Ends[1], SmallQueue, missingLine);
  writeRoutineLines(Writer, 10);
  EXPECT_TRUE(Writer.flush(seconds(5)));
  EXPECT_EQ(Writer.missing().WriteFailed, 10U);
  writeRoutineLines(Writer, 10);
  EXPECT_TRUE(Writer.flush(seconds(5)));
  EXPECT_EQ(Writer.missing().WriteFailed, 20U);
  EXPECT_EQ(Writer.missing().LeftOut, LineCounts{});
}

// Guards against log lines that are lost when another process has put the
// shared descriptor into non-blocking mode.
TEST(LineWriter, WaitsForADescriptorInNonBlockingMode) {
  PausedPipe Pipe;
  fcntl(Pipe.writeEnd(), F_SETFL, O_NONBLOCK);
  LineWriter Writer(Pipe.writeEnd(), SmallQueue, missingLine);
  writeRoutineLines(Writer, 10);
  EXPECT_FALSE(Writer.flush(std::chrono::milliseconds(300)));
  EXPECT_THAT(Pipe.drain({"r9\n"}), testing::HasSubstr("r0\nr1\n"));
  EXPECT_EQ(Writer.missing(), MissingLines());
}

// Guards against log lines that are written to a socket, which got the
// descriptor of a closed standard output.
TEST(StandardStreams, ClosedOnesAreReopened) {
  int StandardOutput = dup(STDOUT_FILENO);
  close(STDOUT_FILENO);
  runtime::openClosedStandardStreams();
  bool IsOpen = fcntl(STDOUT_FILENO, F_GETFD) >= 0;
  dup2(StandardOutput, STDOUT_FILENO);
  EXPECT_TRUE(IsOpen);
}

} // namespace
} // namespace bilberry::log
