// A count whose items leave at random after a mean lifetime, such as requests
// that are answered after a service time.

#ifndef BILBERRY_MEMBERS_DECAYING_COUNT_H
#define BILBERRY_MEMBERS_DECAYING_COUNT_H

#include "bilberry/base/clock.h"

#include <cmath>

namespace bilberry::members {

/// The part of what was counted Age ago that is still there. A lifetime of 0 is
/// unknown: everything is still there. Thread-safe.
inline double remainingShare(base::Duration Age, base::Duration MeanLifetime) {
  if (MeanLifetime <= base::Duration(0) || Age <= base::Duration(0)) {
    return 1;
  }
  return std::exp(-std::chrono::duration<double>(Age).count() /
                  std::chrono::duration<double>(MeanLifetime).count());
}

/// Not thread-safe.
class DecayingCount {
public:
  void add(base::TimePoint Now, double Count, base::Duration MeanLifetime) {
    this->Value = this->count(Now, MeanLifetime) + Count;
    this->At = Now;
  }
  /// The items that are expected to be still there.
  double count(base::TimePoint Now, base::Duration MeanLifetime) const {
    return this->Value * remainingShare(Now - this->At, MeanLifetime);
  }

private:
  double Value = 0;
  base::TimePoint At;
};

} // namespace bilberry::members

#endif
