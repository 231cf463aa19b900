// Opening packets that no upstream can take right now, but one is expected to
// take soon: where all upstreams of a service are cold or full, or this
// balancer has just started.
//
// The load it answers: everything comes back at once after a loss of power.
// For two seconds each upstream bears a handful of new flows, while all
// callers try; a caller that is turned away at once has used up its tries
// within milliseconds. Its opening packet costs a few bytes to keep, and it
// can still be served inside its deadline.
//
// Order: those that can still be answered within their aim go first, then the
// rest; among each the more important first, then the longer waiting. What a
// caller has given up is dropped.

#ifndef BILBERRY_ADMISSION_OPENING_QUEUE_H
#define BILBERRY_ADMISSION_OPENING_QUEUE_H

#include "bilberry/base/clock.h"
#include "bilberry/packet/packet.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry::admission {

/// Callers give an opening packet up after 1.4 s; one that is placed later
/// than this finds its caller gone by the time of the answer.
inline constexpr base::Duration OpeningPatience =
    std::chrono::milliseconds(1350);
/// Opening packets that one balancer keeps: two seconds of the new flows of
/// the largest deployment, spread over its balancers.
inline constexpr size_t MaxHeldOpenings = 4096;

/// One opening packet.
struct HeldOpening {
  packet::FlowId Flow;
  std::string Bytes;
  base::TimePoint ArrivedAt;
  /// 0 is the most important.
  uint32_t Priority = 0;
  /// The time in which it ought to be answered.
  base::Duration Aim{0};
};

/// What became of an opening packet that was offered.
enum class OfferResult : uint8_t {
  /// It has left the queue.
  Placed,
  /// Nothing can take it now.
  NoRoom,
};

/// Not thread-safe.
class OpeningQueue {
public:
  /// Keeps one. False where there is no room.
  bool hold(HeldOpening Opening);
  bool contains(const packet::FlowId &Flow) const {
    return this->Held.contains(Flow);
  }
  size_t size() const { return this->Held.size(); }

  /// Drops what callers have given up; returns how many.
  size_t expire(base::TimePoint Now);

  /// Offers each in order: Offer(HeldOpening &) says what became of it. Offer
  /// must not call the queue.
  template <typename Handler>
  void offerAll(base::TimePoint Now, Handler Offer) {
    for (const packet::FlowId &Flow : this->order(Now)) {
      auto It = this->Held.find(Flow);
      if (Offer(It->second) == OfferResult::Placed) {
        this->Held.erase(It);
      }
    }
  }

private:
  std::vector<packet::FlowId> order(base::TimePoint Now) const;

  std::unordered_map<packet::FlowId, HeldOpening> Held;
};

} // namespace bilberry::admission

#endif
