// The faults that can be injected into the store's stand-in.

#ifndef BILBERRY_STANDIN_STORE_FAULTS_H
#define BILBERRY_STANDIN_STORE_FAULTS_H

#include "bilberry/base/clock.h"

#include <cstdint>

namespace bilberry::standin {

/// How the store responds to calls.
enum class Availability : uint8_t {
  /// Every call is performed and answered.
  Up,
  /// Every call fails immediately, and every watch is closed.
  Refusing,
  /// No call is answered; those that still wait when the fault ends are then
  /// performed. Watches send nothing.
  Hanging,
};

/// The injected faults; a default-constructed value has none.
struct StoreFaults {
  Availability Mode = Availability::Up;
  /// Delay before each call is performed.
  base::Duration Delay = base::Duration::zero();
  /// Number of coming writes that are performed, but whose responses are
  /// dropped.
  uint32_t ResponsesToDrop = 0;
  /// Watches send nothing. A watch that was open during the fault never sends
  /// anything again.
  bool HasSilentWatches = false;

  /// True where the watches send nothing.
  bool silencesWatches() const {
    return this->HasSilentWatches || this->Mode == Availability::Hanging;
  }
};

/// The current faults and the number of times that they silenced the watches,
/// from which it follows whether a watch was open during such a fault. Not
/// thread-safe.
class StoreFaultState {
public:
  /// Replaces the faults.
  void set(const StoreFaults &Value) {
    this->Current = Value;
    this->WatchSilenceCount += Value.silencesWatches() ? 1 : 0;
  }
  const StoreFaults &get() const { return this->Current; }
  /// How many times the watches were silenced so far.
  uint64_t watchSilenceCount() const { return this->WatchSilenceCount; }
  /// True where a watch that opened when watchSilenceCount() was CountAtOpen
  /// must send nothing: the watches are silenced now or were since it opened.
  bool isSilent(uint64_t CountAtOpen) const {
    return this->WatchSilenceCount != CountAtOpen ||
           this->Current.silencesWatches();
  }
  /// Returns whether the response of a write must be dropped, and if so
  /// decrements the number of responses to drop.
  bool consumeDroppedResponse() {
    if (this->Current.ResponsesToDrop == 0) {
      return false;
    }
    --this->Current.ResponsesToDrop;
    return true;
  }

private:
  StoreFaults Current;
  uint64_t WatchSilenceCount = 0;
};

} // namespace bilberry::standin

#endif
