// Lets callers take turns in a queue of new flows, so that a caller that opens
// many flows at once doesn't delay all others.

#ifndef BILBERRY_ADMISSION_CALLER_TURNS_H
#define BILBERRY_ADMISSION_CALLER_TURNS_H

#include "bilberry/base/clock.h"

#include <cstdint>
#include <unordered_map>

namespace bilberry::admission {

/// The time within which a caller's placed flows count against its next ones.
/// About as long as flows are queued.
inline constexpr base::Duration TurnWindow = std::chrono::seconds(1);

/// Counts the flows placed from the queue, by the caller's IP address, in the
/// present window and the one before. Not thread-safe.
class CallerTurns {
public:
  /// Records that a queued flow of this caller was placed.
  void recordPlaced(base::TimePoint Now, uint32_t CallerIp) {
    this->advance(Now);
    ++this->Present[CallerIp];
  }
  /// The flows of this caller that were placed lately.
  uint32_t placed(base::TimePoint Now, uint32_t CallerIp) {
    this->advance(Now);
    return countIn(this->Present, CallerIp) + countIn(this->Before, CallerIp);
  }

private:
  using CountByCaller = std::unordered_map<uint32_t, uint32_t>;

  static uint32_t countIn(const CountByCaller &Counts, uint32_t CallerIp) {
    auto It = Counts.find(CallerIp);
    return It == Counts.end() ? 0 : It->second;
  }

  void advance(base::TimePoint Now) {
    if (Now - this->WindowStart < TurnWindow) {
      return;
    }
    bool IsNext = Now - this->WindowStart < 2 * TurnWindow;
    this->Before = IsNext ? std::move(this->Present) : CountByCaller();
    this->Present.clear();
    this->WindowStart = Now;
  }

  base::TimePoint WindowStart;
  CountByCaller Present;
  CountByCaller Before;
};

} // namespace bilberry::admission

#endif
