// A FIFO queue with deadline-based load shedding, in front of the slots of one
// upstream. An item that can't start in time is refused on arrival, while its
// caller can still try another upstream. An item that has waited too long is
// returned as expired instead of being run, since its response would be late.
//
// The expected wait is computed from a moving average of the service time and
// the number of queued items. It may use up at most half of the time that
// remains: a queue that fills up to the deadline completes every item at the
// last moment, and misses the deadlines as soon as the estimate is too low.
//
// While every item is refused, no service time is measured that could correct
// the estimate. After many refusals without a measurement, each further
// refusal therefore lowers it slightly.

#ifndef BILBERRY_ADMISSION_DEADLINE_QUEUE_H
#define BILBERRY_ADMISSION_DEADLINE_QUEUE_H

#include "bilberry/base/clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace bilberry::admission {

/// The service time of one upstream as a moving average. Not thread-safe.
class ServiceTimeEstimate {
public:
  /// Adds the measured service time of one request.
  void observe(base::Duration ServiceTime) {
    bool IsFirstMeasurement = this->AverageServiceTime.count() == 0;
    this->AverageServiceTime =
        IsFirstMeasurement ? ServiceTime
                           : this->AverageServiceTime +
                                 (ServiceTime - this->AverageServiceTime) / 8;
    this->ConsecutiveRefusals = 0;
  }
  /// Records that an item was refused because of the estimate.
  void recordRefusal() {
    ++this->ConsecutiveRefusals;
    if (this->ConsecutiveRefusals > MaxRefusalsBeforeDecay) {
      this->AverageServiceTime -= this->AverageServiceTime / 64;
    }
  }
  /// The estimate; 0 before the first observation.
  base::Duration value() const { return this->AverageServiceTime; }

private:
  /// Consecutive refusals after which the estimate starts to decay.
  static constexpr uint32_t MaxRefusalsBeforeDecay = 64;

  base::Duration AverageServiceTime{0};
  uint32_t ConsecutiveRefusals = 0;
};

/// Bounded FIFO queue of items with deadlines. Not thread-safe.
template <typename Item> class DeadlineQueue {
public:
  /// Holds at most MaxLength items.
  explicit DeadlineQueue(size_t MaxLength) : MaxLength(MaxLength) {}

  /// Sets how many items are served concurrently; 0 is treated as 1.
  void setSlots(uint32_t Count) { this->Slots = std::max(1U, Count); }
  /// Adds the measured service time of an item that was popped.
  void recordServiceTime(base::Duration ServiceTime) {
    this->Estimate.observe(ServiceTime);
  }

  /// Adds an item. Returns false and discards the item if the queue is full,
  /// the deadline has passed, or the expected wait is too long.
  bool push(base::TimePoint Now, base::TimePoint Deadline, Item Value) {
    if (this->Entries.size() >= this->MaxLength || Now >= Deadline) {
      return false;
    }
    base::Duration RemainingTime = Deadline - Now - this->Estimate.value();
    if (this->expectedWait() > RemainingTime / WaitDivisor) {
      this->Estimate.recordRefusal();
      return false;
    }
    this->Entries.push_back({Deadline, std::move(Value)});
    return true;
  }

  /// Removes and returns the first item that can still complete before its
  /// deadline, or nullopt. Items before it that can't are removed and appended
  /// to Expired.
  std::optional<Item> popReady(base::TimePoint Now,
                               std::vector<Item> &Expired) {
    while (!this->Entries.empty()) {
      Entry Front = std::move(this->Entries.front());
      this->Entries.pop_front();
      if (this->canMeetDeadline(Now, Front.Deadline)) {
        return std::move(Front.Value);
      }
      Expired.push_back(std::move(Front.Value));
    }
    return std::nullopt;
  }

  /// Removes all items whose deadline has passed, at any position, and appends
  /// them to Expired. Called periodically while no slot is free.
  void removeExpired(base::TimePoint Now, std::vector<Item> &Expired) {
    std::deque<Entry> Remaining;
    for (Entry &Candidate : this->Entries) {
      if (Now < Candidate.Deadline) {
        Remaining.push_back(std::move(Candidate));
      } else {
        Expired.push_back(std::move(Candidate.Value));
      }
    }
    this->Entries = std::move(Remaining);
  }

  /// Removes and returns the first item that satisfies the predicate, or
  /// nullopt.
  template <typename Predicate>
  std::optional<Item> remove(Predicate &&Matches) {
    auto It = std::find_if(this->Entries.begin(), this->Entries.end(),
                           [&](const Entry &Candidate) {
                             return Matches(std::as_const(Candidate.Value));
                           });
    if (It == this->Entries.end()) {
      return std::nullopt;
    }
    Item Value = std::move(It->Value);
    this->Entries.erase(It);
    return Value;
  }

  size_t size() const { return this->Entries.size(); }
  bool empty() const { return this->Entries.empty(); }
  /// The estimated wait of an item that is pushed now.
  base::Duration expectedWait() const {
    return this->Estimate.value() *
           static_cast<int64_t>(this->Entries.size() + 1) /
           static_cast<int64_t>(this->Slots);
  }

private:
  struct Entry {
    base::TimePoint Deadline;
    Item Value;
  };

  bool canMeetDeadline(base::TimePoint Now, base::TimePoint Deadline) {
    if (Now >= Deadline) {
      return false;
    }
    if (Now + this->Estimate.value() <= Deadline) {
      return true;
    }
    this->Estimate.recordRefusal();
    return false;
  }

  /// The expected wait may use at most 1/WaitDivisor of the time that remains
  /// after the service time is subtracted.
  static constexpr int WaitDivisor = 2;

  size_t MaxLength;
  uint32_t Slots = 1;
  ServiceTimeEstimate Estimate;
  std::deque<Entry> Entries;
};

} // namespace bilberry::admission

#endif
