// A short queue before the slots of one upstream that sheds by deadline. What
// can't start in time is refused when it arrives, since that is when its
// caller can still go elsewhere; what has waited too long is handed back
// instead of run, since its answer would come late. Strictly first in, first
// out otherwise.
//
// "In time" is judged by the service time that was seen (a moving average) and
// by how many wait before. Waiting may take up half of the time that is left:
// a queue that fills up to the deadline answers all it has at the last moment,
// and late as soon as the estimate is off.
//
// An estimate that only refuses would never be corrected, so after many
// refusals without an observation each further one shrinks it a little.

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

/// The service time of one upstream as a moving average. A plain value.
class ServiceTimeEstimate {
public:
  /// A request took this long on the upstream.
  void observe(base::Duration Took) {
    bool IsFirst = this->Average.count() == 0;
    this->Average = IsFirst ? Took : this->Average + (Took - this->Average) / 8;
    this->Refusals = 0;
  }
  /// A refusal rested on the estimate.
  void noteRefusal() {
    ++this->Refusals;
    if (this->Refusals > TrustedRefusals) {
      this->Average -= this->Average / 64;
    }
  }
  /// The estimate; 0 before the first observation.
  base::Duration value() const { return this->Average; }

private:
  /// Refusals in a row that an estimate may give rise to unchanged.
  static constexpr uint32_t TrustedRefusals = 64;

  base::Duration Average{0};
  uint32_t Refusals = 0;
};

/// Not safe for two threads at once.
template <typename Item> class DeadlineQueue {
public:
  /// Holds at most MaxLength items.
  explicit DeadlineQueue(size_t MaxLength) : MaxLength(MaxLength) {}

  /// How many items are served at once; 0 is taken as 1.
  void setSlots(uint32_t Count) { this->Slots = std::max(1U, Count); }
  /// An item that was popped took this long on the upstream.
  void noteServiceTime(base::Duration Took) { this->Estimate.observe(Took); }

  /// Adds an item. False, and nothing is kept, where the queue is full or the
  /// item would wait too long behind those that wait already.
  bool push(base::TimePoint Now, base::TimePoint Deadline, Item Value) {
    if (this->Waiting.size() >= this->MaxLength || Now >= Deadline) {
      return false;
    }
    base::Duration Left = Deadline - Now - this->Estimate.value();
    if (this->expectedWait() > Left / WaitDivisor) {
      this->Estimate.noteRefusal();
      return false;
    }
    this->Waiting.push_back({Deadline, std::move(Value)});
    return true;
  }

  /// Takes the first item that can still end before its deadline, or none.
  /// Those before it that can't are appended to Expired.
  std::optional<Item> popReady(base::TimePoint Now,
                               std::vector<Item> &Expired) {
    while (!this->Waiting.empty()) {
      Entry First = std::move(this->Waiting.front());
      this->Waiting.pop_front();
      if (this->canEndInTime(Now, First.Deadline)) {
        return std::move(First.Value);
      }
      Expired.push_back(std::move(First.Value));
    }
    return std::nullopt;
  }

  /// Takes out all items past their deadline, wherever they stand. For a tick
  /// while no slot is free.
  void removeExpired(base::TimePoint Now, std::vector<Item> &Expired) {
    std::deque<Entry> Kept;
    for (Entry &Each : this->Waiting) {
      if (Now < Each.Deadline) {
        Kept.push_back(std::move(Each));
      } else {
        Expired.push_back(std::move(Each.Value));
      }
    }
    this->Waiting = std::move(Kept);
  }

  /// Takes out the first item that the predicate holds for, or none.
  template <typename Predicate>
  std::optional<Item> remove(Predicate &&Matches) {
    auto It = std::find_if(
        this->Waiting.begin(), this->Waiting.end(),
        [&](const Entry &Each) { return Matches(std::as_const(Each.Value)); });
    if (It == this->Waiting.end()) {
      return std::nullopt;
    }
    Item Value = std::move(It->Value);
    this->Waiting.erase(It);
    return Value;
  }

  size_t size() const { return this->Waiting.size(); }
  bool empty() const { return this->Waiting.empty(); }
  /// How long an item that is pushed now will wait.
  base::Duration expectedWait() const {
    return this->Estimate.value() *
           static_cast<int64_t>(this->Waiting.size() + 1) /
           static_cast<int64_t>(this->Slots);
  }

private:
  struct Entry {
    base::TimePoint Deadline;
    Item Value;
  };

  bool canEndInTime(base::TimePoint Now, base::TimePoint Deadline) {
    if (Now >= Deadline) {
      return false;
    }
    if (Now + this->Estimate.value() <= Deadline) {
      return true;
    }
    this->Estimate.noteRefusal();
    return false;
  }

  /// Waiting may take up this part of the time that service leaves.
  static constexpr int WaitDivisor = 2;

  size_t MaxLength;
  uint32_t Slots = 1;
  ServiceTimeEstimate Estimate;
  std::deque<Entry> Waiting;
};

} // namespace bilberry::admission

#endif
