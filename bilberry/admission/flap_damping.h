// Detects an upstream that alternates between up and down. Each time it is up,
// it attracts new flows, and loses them when it goes down again. So its
// failures add to a penalty that decays, and above a limit it counts as
// unstable until the penalty has decayed. A single crash or a planned
// replacement doesn't make it unstable.
//
// Source: route flap damping, RFC 2439.

#ifndef BILBERRY_ADMISSION_FLAP_DAMPING_H
#define BILBERRY_ADMISSION_FLAP_DAMPING_H

#include "bilberry/base/clock.h"

#include <cmath>

namespace bilberry::admission {

/// The time in which a penalty halves. Several cycles of an upstream that goes
/// down every second or two add up.
inline constexpr base::Duration PenaltyHalfLife = std::chrono::seconds(4);
/// A crash adds two penalties, one for the silence and one for the restart. The
/// second crash within a few seconds exceeds this limit.
inline constexpr double UnstablePenalty = 2.5;
/// Below this the upstream counts as stable again: about two half-lives after
/// its last crash.
inline constexpr double StablePenalty = 1.0;

/// The failures of one upstream. Not thread-safe.
class FlapDamping {
public:
  /// Records a failure: an unplanned restart, or that packets remained
  /// unanswered.
  void recordFailure(base::TimePoint Now) {
    this->Penalty = this->penalty(Now) + 1;
    this->PenaltyAt = Now;
  }
  /// Updates and returns whether the upstream is unstable.
  bool update(base::TimePoint Now) {
    double Limit = this->IsUnstable ? StablePenalty : UnstablePenalty;
    this->IsUnstable = this->penalty(Now) > Limit;
    return this->IsUnstable;
  }
  /// The result of the last update().
  bool isUnstable() const { return this->IsUnstable; }
  /// The failures, each halved every PenaltyHalfLife.
  double penalty(base::TimePoint Now) const {
    base::Duration Elapsed = Now - this->PenaltyAt;
    return this->Penalty *
           std::exp2(-std::chrono::duration<double>(Elapsed).count() /
                     std::chrono::duration<double>(PenaltyHalfLife).count());
  }

private:
  double Penalty = 0;
  base::TimePoint PenaltyAt;
  bool IsUnstable = false;
};

} // namespace bilberry::admission

#endif
