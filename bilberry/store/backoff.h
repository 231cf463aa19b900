// Exponential backoff with jitter, so that processes which lost the store
// together don't come back to it together.

#ifndef BILBERRY_STORE_BACKOFF_H
#define BILBERRY_STORE_BACKOFF_H

#include "bilberry/base/clock.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace bilberry::store {

inline constexpr base::Duration MinBackoff = std::chrono::milliseconds(200);
inline constexpr base::Duration MaxBackoff = std::chrono::seconds(5);

/// The delays before the retries of one caller. Not thread-safe.
class Backoff {
public:
  /// Seed should differ between processes.
  explicit Backoff(uint32_t Seed, base::Duration Longest = MaxBackoff)
      : Random(Seed), Longest(Longest) {}

  /// The next delay: between half of the present bound and the bound, which
  /// doubles from MinBackoff up to the longest.
  base::Duration next() {
    std::uniform_int_distribution<int64_t> Spread(this->Bound.count() / 2,
                                                  this->Bound.count());
    this->Bound = std::min(2 * this->Bound, this->Longest);
    return base::Duration(Spread(this->Random));
  }

  /// Starts again at MinBackoff. To be called after a success.
  void reset() { this->Bound = MinBackoff; }

private:
  std::minstd_rand Random;
  base::Duration Longest;
  base::Duration Bound = MinBackoff;
};

} // namespace bilberry::store

#endif
