// Log lines that wait until they are written, bounded in bytes. When the bound
// is reached, the least important lines are left out first.

#ifndef BILBERRY_LOG_LINE_QUEUE_H
#define BILBERRY_LOG_LINE_QUEUE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace bilberry::log {

/// How much a line matters when not all lines can be kept, in increasing order.
enum class Importance : uint8_t {
  /// A decision that keeps a flow or a request going.
  Routine,
  /// A change of the process's own state or of what it knows of others.
  Event,
  /// A decision that breaks or refuses something, a warning or an error.
  Failure,
};

inline constexpr size_t ImportanceCount = 3;

/// Returns the name of the importance in metrics and log lines. Never fails.
std::string_view importanceText(Importance Value);

/// Numbers of lines, by Importance.
using LineCounts = std::array<uint64_t, ImportanceCount>;

/// The memory that a waiting line takes besides its text.
inline constexpr size_t LineOverheadBytes = 64;
/// Not thread-safe.
class LineQueue {
public:
  /// MaxBytes bounds the memory of the waiting lines.
  explicit LineQueue(size_t MaxBytes) : MaxBytes(MaxBytes) {}

  /// Appends a line. If there is no room, the newest lines of lower importance
  /// are left out instead; if that isn't enough, this one is.
  void push(Importance Rank, std::string Line);
  /// Removes the oldest lines and returns their text: at most MaxBatchBytes,
  /// but at least one line. Returns an empty string if no line waits.
  std::string takeBatch(size_t MaxBatchBytes);

  bool isEmpty() const { return this->Bytes == 0; }
  /// The memory of the waiting lines.
  size_t bytes() const { return this->Bytes; }
  /// The lines left out since the start.
  const LineCounts &leftOut() const { return this->LeftOut; }

private:
  struct Entry {
    uint64_t Sequence = 0;
    std::string Line;
  };
  using Lines = std::deque<Entry>;

  static size_t sizeOf(const std::string &Line) {
    return Line.size() + LineOverheadBytes;
  }
  bool makeRoom(Importance Rank, size_t Needed);
  Lines *oldest();

  size_t MaxBytes;
  size_t Bytes = 0;
  uint64_t NextSequence = 0;
  // By Importance, with the memory of each.
  std::array<Lines, ImportanceCount> Waiting;
  std::array<size_t, ImportanceCount> WaitingBytes{};
  LineCounts LeftOut{};
};

} // namespace bilberry::log

#endif
