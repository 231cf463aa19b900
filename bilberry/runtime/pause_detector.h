// Detects that the whole process was paused (SIGSTOP, a frozen VM): time has
// passed while none of its threads ran. Its state may be out of date, and its
// lease may have expired, so it is fenced until the state is refreshed.

#ifndef BILBERRY_RUNTIME_PAUSE_DETECTOR_H
#define BILBERRY_RUNTIME_PAUSE_DETECTOR_H

#include "bilberry/base/clock.h"

#include <atomic>

namespace bilberry::runtime {

/// Fences the process after a pause. Thread-safe. The first thread that
/// checks after a pause sets the fence before any thread's check returns true.
class PauseDetector {
public:
  /// A gap of more than MaxGap between two checks counts as a pause. Checks
  /// must be more frequent than that while the process runs.
  PauseDetector(base::TimePoint Start, base::Duration MaxGap)
      : LastCheck(Start.time_since_epoch().count()), MaxGap(MaxGap) {}

  /// Call before acting on an event. Detects a pause since the last check and
  /// then sets the fence. Returns true if the process is not fenced: it was not
  /// paused for longer than MaxGap since its state was last refreshed.
  bool checkUnfenced(base::TimePoint Now) {
    int64_t Ticks = Now.time_since_epoch().count();
    if (Ticks - this->LastCheck.load() > this->MaxGap.count()) {
      this->Fenced.store(true);
      this->PauseCount.fetch_add(1);
    }
    // Stored after the fence is set, so that no thread sees the new time while
    // the fence is not set yet.
    this->LastCheck.store(Ticks);
    return !this->Fenced.load();
  }

  /// Lifts the fence after the state of this process was refreshed. Has no
  /// effect once the process is permanently fenced.
  void onStateRefreshed() {
    if (!this->PermanentlyFenced.load()) {
      this->Fenced.store(false);
    }
  }

  /// Fences the process permanently: it acts on no further events.
  void fencePermanently() {
    this->PermanentlyFenced.store(true);
    this->Fenced.store(true);
  }

  bool isPermanentlyFenced() const { return this->PermanentlyFenced.load(); }
  bool isFenced() const { return this->Fenced.load(); }
  /// The number of pauses detected. Threads that detect the same pause at once
  /// may each count it.
  uint64_t pauseCount() const { return this->PauseCount.load(); }

private:
  std::atomic<int64_t> LastCheck;
  base::Duration MaxGap;
  std::atomic<bool> Fenced{false};
  std::atomic<bool> PermanentlyFenced{false};
  std::atomic<uint64_t> PauseCount{0};
};

} // namespace bilberry::runtime

#endif
