// Writes log lines to a file descriptor in a thread of its own, so that a
// reader of the log that is slow, paused or gone never blocks the threads that
// log. Lines wait in a LineQueue. They are written in batches, which costs
// fewer wake-ups and system calls than a write for each line.
//
// The descriptor stays in blocking mode: other processes may share it, and a
// check whether it is writable says nothing about a later write.

#ifndef BILBERRY_LOG_LINE_WRITER_H
#define BILBERRY_LOG_LINE_WRITER_H

#include "bilberry/base/clock.h"
#include "bilberry/log/line_queue.h"

#include <functional>
#include <memory>
#include <string>

namespace bilberry::log {

/// How long lines are collected before they are written.
inline constexpr base::Duration WriteInterval = std::chrono::milliseconds(100);
/// Maximum size of a batch, unless a single line is longer.
inline constexpr size_t MaxBatchBytes = size_t{16} << 10U;

/// Minimum time between two reports of missing lines.
inline constexpr base::Duration MinReportInterval = std::chrono::seconds(1);

/// Lines that were not written.
struct MissingLines {
  /// Left out because earlier lines had not been written yet.
  LineCounts LeftOut{};
  /// Lost in writes that failed, for instance because the reader is gone.
  uint64_t WriteFailed = 0;

  bool operator==(const MissingLines &) const = default;
};

/// Thread-safe. Has one mutex, under which no other is acquired and no system
/// call blocks.
class LineWriter {
public:
  /// Returns the line that reports which lines are missing.
  using ReportFormatter = std::function<std::string(const MissingLines &)>;

  /// Starts the thread, which inherits the signal mask. Preconditions: SIGPIPE
  /// is ignored, and Fd stays open until the process exits.
  LineWriter(int Fd, size_t MaxWaitingBytes, ReportFormatter FormatReport);
  /// Ends the thread, without waiting for a write in progress. Lines that have
  /// not been written are lost unless flush() is called before.
  ~LineWriter();
  LineWriter(const LineWriter &) = delete;
  LineWriter &operator=(const LineWriter &) = delete;

  /// Queues a line, which ends with a newline. Never blocks on the descriptor.
  void write(Importance Rank, std::string Line);
  /// Waits until all lines are written, at most for Timeout. Returns false if
  /// it has expired.
  bool flush(base::Duration Timeout);
  /// The lines that are missing since the start.
  MissingLines missing() const;
  /// The memory of the lines that wait, without the batch that is being
  /// written.
  size_t waitingBytes() const;

private:
  struct Shared;

  // Shared with the thread, which may outlive this object in a write.
  std::shared_ptr<Shared> State;
};

} // namespace bilberry::log

#endif
