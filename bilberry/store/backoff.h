// Exponential backoff with jitter, so that processes that lose the store at the
// same time don't all reconnect at the same time.

#ifndef BILBERRY_STORE_BACKOFF_H
#define BILBERRY_STORE_BACKOFF_H

#include "bilberry/base/clock.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace bilberry::store {

inline constexpr base::Duration MinBackoff = std::chrono::milliseconds(200);
inline constexpr base::Duration MaxBackoff = std::chrono::seconds(5);

/// Delays between the retries of one client. Not thread-safe.
class Backoff {
public:
  /// Seed should differ between processes. Delays grow up to MaxDelay.
  explicit Backoff(uint32_t Seed, base::Duration MaxDelay = MaxBackoff)
      : Generator(Seed), MaxDelay(MaxDelay) {}

  /// Returns the next delay, uniformly distributed between half of the current
  /// bound and the bound. The bound starts at MinBackoff and doubles with each
  /// call up to the maximum.
  base::Duration next() {
    std::uniform_int_distribution<int64_t> Jitter(this->Bound.count() / 2,
                                                  this->Bound.count());
    this->Bound = std::min(2 * this->Bound, this->MaxDelay);
    return base::Duration(Jitter(this->Generator));
  }

  /// Resets the bound to MinBackoff. Call after a success.
  void reset() { this->Bound = MinBackoff; }

private:
  std::minstd_rand Generator;
  base::Duration MaxDelay;
  base::Duration Bound = MinBackoff;
};

} // namespace bilberry::store

#endif
