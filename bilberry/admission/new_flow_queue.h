// Queues the opening packets of new flows that no upstream can accept now but
// one is expected to accept soon: all upstreams of the service are cold or
// full, or this balancer has just started.
//
// The queue is meant for a restart of everything at once after a power
// failure. For two seconds each upstream can accept only a few new flows,
// while all callers connect; a caller that is refused immediately uses up its
// retries within milliseconds. A queued opening packet costs a few bytes, and
// the caller can still be served within its deadline.
//
// Order: flows that can still be answered within their latency goal first, then
// the others; within each group by priority, then by arrival time. Packets
// whose caller has given up are dropped. If callers take turns, the flows of a
// priority are ordered by how many flows of the same caller go before them or
// were placed lately, and then by arrival time.

#ifndef BILBERRY_ADMISSION_NEW_FLOW_QUEUE_H
#define BILBERRY_ADMISSION_NEW_FLOW_QUEUE_H

#include "bilberry/admission/caller_turns.h"
#include "bilberry/base/clock.h"
#include "bilberry/packet/packet.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry::admission {

/// Callers give up an opening packet after 1.4 s. If it is placed later than
/// this, the response arrives after the caller has given up.
inline constexpr base::Duration MaxNewFlowQueueTime =
    std::chrono::milliseconds(1350);
/// The capacity of the queue: each balancer's share of two seconds of new
/// flows in the largest deployment.
inline constexpr size_t MaxQueuedNewFlows = 4096;

/// A queued opening packet.
struct QueuedNewFlow {
  packet::FlowId Flow;
  std::string Bytes;
  base::TimePoint ArrivedAt;
  /// 0 is the highest priority.
  uint32_t Priority = 0;
  /// The time after arrival within which it should be answered.
  base::Duration LatencyTarget{0};
};

/// The result of offering an opening packet to the upstreams.
enum class OfferResult : uint8_t {
  /// Placed on an upstream; it is removed from the queue.
  Placed,
  /// No upstream can accept it now; it stays queued.
  NoCapacity,
};

/// A bounded queue of opening packets, at most one per flow. Not thread-safe.
class NewFlowQueue {
public:
  explicit NewFlowQueue(bool CallersTakeTurns = false)
      : CallersTakeTurns(CallersTakeTurns) {}

  /// Adds a packet, or replaces that of the same flow. Returns false if the
  /// queue is full.
  bool hold(QueuedNewFlow Opening);
  bool contains(const packet::FlowId &Flow) const {
    return this->Held.contains(Flow);
  }
  size_t size() const { return this->Held.size(); }

  /// Drops packets whose callers have given up; returns the number dropped.
  size_t expire(base::TimePoint Now);

  /// Calls Offer(QueuedNewFlow &) -> OfferResult for each packet in order, and
  /// removes those that were placed. Offer must not call the queue.
  template <typename Handler>
  void offerAll(base::TimePoint Now, Handler Offer) {
    for (const packet::FlowId &Flow : this->placementOrder(Now)) {
      auto It = this->Held.find(Flow);
      if (Offer(It->second) == OfferResult::Placed) {
        this->Turns.recordPlaced(Now, Flow.Caller.Ip);
        this->Held.erase(It);
      }
    }
  }

  /// Calls MustRefuse(const QueuedNewFlow &) -> bool for each packet in order,
  /// and removes those for which it returns true. It must not call the queue.
  template <typename Handler>
  void refuseIf(base::TimePoint Now, Handler MustRefuse) {
    for (const packet::FlowId &Flow : this->placementOrder(Now)) {
      auto It = this->Held.find(Flow);
      if (MustRefuse(It->second)) {
        this->Held.erase(It);
      }
    }
  }

private:
  std::vector<packet::FlowId> placementOrder(base::TimePoint Now);

  bool CallersTakeTurns;
  CallerTurns Turns;
  std::unordered_map<packet::FlowId, QueuedNewFlow> Held;
};

} // namespace bilberry::admission

#endif
