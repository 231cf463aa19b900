#include "bilberry/log/line_writer.h"

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <poll.h>
#include <string_view>
#include <thread>
#include <unistd.h>
#include <utility>

namespace bilberry::log {

struct LineWriter::Shared {
  Shared(int Fd, size_t MaxWaitingBytes, ReportFormatter FormatReport)
      : Fd(Fd), FormatReport(std::move(FormatReport)), Queue(MaxWaitingBytes) {}

  void run();
  uint64_t writeText(const std::string &Text);
  void writeWaitingLines(std::unique_lock<std::mutex> &Lock);
  // Preconditions: Mutex is held.
  MissingLines missing() const;
  bool isReportDue(base::TimePoint Now) const;

  const int Fd;
  const ReportFormatter FormatReport;
  const base::BootClock Clock;
  std::mutex Mutex;
  std::condition_variable WorkAvailable;
  std::condition_variable AllWritten;
  // Guarded by Mutex.
  LineQueue Queue;
  uint64_t WriteFailed = 0;
  bool IsWriting = false;
  bool IsFlushRequested = false;
  bool IsStopRequested = false;
  // Used by the thread only.
  MissingLines Reported;
  std::optional<base::TimePoint> ReportedAt;
  // The last write ended within a line.
  bool IsLineCut = false;
};

// Waits until a descriptor in non-blocking mode is writable.
static void waitWritable(int Fd) {
  pollfd Entry = {Fd, POLLOUT, 0};
  poll(&Entry, 1, -1);
}

// Writes all bytes, and waits as long as the reader takes. Returns the number
// of bytes written, which is lower after an error.
static size_t writeAll(int Fd, std::string_view Bytes) {
  size_t Written = 0;
  while (Written < Bytes.size()) {
    ssize_t Count = ::write(Fd, Bytes.data() + Written, Bytes.size() - Written);
    if (Count > 0) {
      Written += static_cast<size_t>(Count);
    } else if (Count < 0 && errno == EAGAIN) {
      waitWritable(Fd);
    } else if (Count == 0 || errno != EINTR) {
      break;
    }
  }
  return Written;
}

MissingLines LineWriter::Shared::missing() const {
  return {this->Queue.leftOut(), this->WriteFailed};
}

static MissingLines operator-(const MissingLines &Left,
                              const MissingLines &Right) {
  MissingLines Difference;
  for (size_t I = 0; I < ImportanceCount; ++I) {
    Difference.LeftOut[I] = Left.LeftOut[I] - Right.LeftOut[I];
  }
  Difference.WriteFailed = Left.WriteFailed - Right.WriteFailed;
  return Difference;
}

bool LineWriter::Shared::isReportDue(base::TimePoint Now) const {
  bool IsTooSoon =
      this->ReportedAt && Now - *this->ReportedAt < MinReportInterval;
  return !IsTooSoon && this->missing() != this->Reported;
}

// Writes the text and returns the number of lines that were lost.
uint64_t LineWriter::Shared::writeText(const std::string &Text) {
  if (this->IsLineCut && writeAll(this->Fd, "\n") == 1) {
    this->IsLineCut = false;
  }
  size_t Written = writeAll(this->Fd, Text);
  if (Written > 0) {
    this->IsLineCut = Text[Written - 1] != '\n';
  }
  return static_cast<uint64_t>(
      std::ranges::count(std::string_view(Text).substr(Written), '\n'));
}

// Writes the lines that wait, and a report of missing ones behind the first
// batch that could be written. Precondition: Lock holds Mutex, which is
// released during each write.
void LineWriter::Shared::writeWaitingLines(std::unique_lock<std::mutex> &Lock) {
  this->IsWriting = true;
  while (!this->Queue.isEmpty() && !this->IsStopRequested) {
    std::string Batch = this->Queue.takeBatch(MaxBatchBytes);
    Lock.unlock();
    uint64_t Lost = this->writeText(Batch);
    Lock.lock();
    this->WriteFailed += Lost;
    base::TimePoint Now = this->Clock.now();
    if (Lost > 0 || !this->isReportDue(Now)) {
      continue;
    }
    MissingLines Missing = this->missing();
    MissingLines Unreported = Missing - this->Reported;
    Lock.unlock();
    bool IsReported = this->writeText(this->FormatReport(Unreported)) == 0;
    Lock.lock();
    if (IsReported) {
      this->Reported = Missing;
      this->ReportedAt = Now;
    }
  }
  this->IsWriting = false;
}

void LineWriter::Shared::run() {
  std::unique_lock Lock(this->Mutex);
  while (true) {
    this->WorkAvailable.wait(Lock, [this] {
      return this->IsStopRequested || !this->Queue.isEmpty();
    });
    this->WorkAvailable.wait_for(Lock, WriteInterval, [this] {
      return this->IsStopRequested || this->IsFlushRequested;
    });
    if (this->IsStopRequested) {
      return;
    }
    this->writeWaitingLines(Lock);
    this->IsFlushRequested = false;
    this->AllWritten.notify_all();
  }
}

LineWriter::LineWriter(int Fd, size_t MaxWaitingBytes,
                       ReportFormatter FormatReport)
    : State(std::make_shared<Shared>(Fd, MaxWaitingBytes,
                                     std::move(FormatReport))) {
  std::thread([State = this->State] { State->run(); }).detach();
}

LineWriter::~LineWriter() {
  std::lock_guard Lock(this->State->Mutex);
  this->State->IsStopRequested = true;
  this->State->WorkAvailable.notify_one();
}

void LineWriter::write(Importance Rank, std::string Line) {
  std::lock_guard Lock(this->State->Mutex);
  bool MustWake = this->State->Queue.isEmpty() && !this->State->IsWriting;
  this->State->Queue.push(Rank, std::move(Line));
  if (MustWake) {
    this->State->WorkAvailable.notify_one();
  }
}

bool LineWriter::flush(base::Duration Timeout) {
  std::unique_lock Lock(this->State->Mutex);
  this->State->IsFlushRequested = true;
  this->State->WorkAvailable.notify_one();
  return this->State->AllWritten.wait_for(Lock, Timeout, [this] {
    return this->State->Queue.isEmpty() && !this->State->IsWriting;
  });
}

MissingLines LineWriter::missing() const {
  std::lock_guard Lock(this->State->Mutex);
  return this->State->missing();
}

size_t LineWriter::waitingBytes() const {
  std::lock_guard Lock(this->State->Mutex);
  return this->State->Queue.bytes();
}

} // namespace bilberry::log
