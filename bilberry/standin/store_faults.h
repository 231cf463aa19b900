// The faults that a store's stand-in can be told to have.

#ifndef BILBERRY_STANDIN_STORE_FAULTS_H
#define BILBERRY_STANDIN_STORE_FAULTS_H

#include "bilberry/base/clock.h"

#include <cstdint>

namespace bilberry::standin {

enum class Availability : uint8_t {
  /// Every call is served.
  Up,
  /// Every call is refused at once, and every watch breaks.
  Refusing,
  /// No call is answered; those that still wait at the end of the fault are
  /// then performed. Watches go silent.
  Hanging,
};

/// A plain value; the default has no fault.
struct StoreFaults {
  Availability Mode = Availability::Up;
  /// Each call waits this long before it is performed.
  base::Duration Delay = base::Duration::zero();
  /// This many writes from now on are performed, but their answers dropped.
  uint32_t AnswersToLose = 0;
  /// Watches bring nothing. One that was open under the fault stays silent
  /// for good.
  bool HasSilentWatches = false;

  /// True where the watches bring nothing.
  bool silencesWatches() const {
    return this->HasSilentWatches || this->Mode == Availability::Hanging;
  }
};

/// The faults with a count of the times that they silenced the watches, by
/// which a watch knows that it was open under the fault. Not thread-safe.
class FaultControl {
public:
  /// Replaces the faults.
  void set(const StoreFaults &Value) {
    this->Present = Value;
    this->Silences += Value.silencesWatches() ? 1 : 0;
  }
  const StoreFaults &get() const { return this->Present; }
  /// How often the watches were silenced so far.
  uint64_t silences() const { return this->Silences; }
  /// True for a watch that opened after Seen silences and is silent now.
  bool isSilent(uint64_t Seen) const {
    return this->Silences != Seen || this->Present.silencesWatches();
  }
  /// True, and one fewer from then on, where a write's answer is to be lost.
  bool takeLostAnswer() {
    if (this->Present.AnswersToLose == 0) {
      return false;
    }
    --this->Present.AnswersToLose;
    return true;
  }

private:
  StoreFaults Present;
  uint64_t Silences = 0;
};

} // namespace bilberry::standin

#endif
