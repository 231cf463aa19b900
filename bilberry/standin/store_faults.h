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
};

} // namespace bilberry::standin

#endif
