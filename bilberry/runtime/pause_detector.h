// Finds out that the whole process was paused (SIGSTOP, a frozen VM): time has
// passed, and nothing of ours ran. What it knew may be out of date, and its
// lease may have lapsed, so it must look again before it acts on it.

#ifndef BILBERRY_RUNTIME_PAUSE_DETECTOR_H
#define BILBERRY_RUNTIME_PAUSE_DETECTOR_H

#include "bilberry/base/clock.h"

#include <atomic>

namespace bilberry::runtime {

/// Thread-safe. Whichever thread runs first after a pause closes the fence
/// before any can pass it.
class PauseDetector {
public:
  /// A gap between two checks longer than Bound counts as a pause. Something
  /// must call check() more often than that while the process runs.
  PauseDetector(base::TimePoint Start, base::Duration Bound)
      : LastCheck(Start.time_since_epoch().count()), Bound(Bound) {}

  /// Call before acting on an event. True while the fence is open: nothing
  /// that this process knows is older than the pause bound allows.
  bool check(base::TimePoint Now) {
    int64_t Ticks = Now.time_since_epoch().count();
    if (Ticks - this->LastCheck.load() > this->Bound.count()) {
      this->Fenced.store(true);
      this->Pauses.fetch_add(1);
    }
    // Stored after the fence, so that no thread sees the new time with the
    // fence still open.
    this->LastCheck.store(Ticks);
    return !this->Fenced.load();
  }

  /// Opens the fence, once what this process knows was read anew. Does
  /// nothing after close().
  void refreshed() {
    if (!this->Closed.load()) {
      this->Fenced.store(false);
    }
  }

  /// Closes the fence for good: this process acts on nothing any more.
  void close() {
    this->Closed.store(true);
    this->Fenced.store(true);
  }

  bool isClosed() const { return this->Closed.load(); }
  bool isFenced() const { return this->Fenced.load(); }
  /// How many times a pause was noted.
  uint64_t pauses() const { return this->Pauses.load(); }

private:
  std::atomic<int64_t> LastCheck;
  base::Duration Bound;
  std::atomic<bool> Fenced{false};
  std::atomic<bool> Closed{false};
  std::atomic<uint64_t> Pauses{0};
};

} // namespace bilberry::runtime

#endif
