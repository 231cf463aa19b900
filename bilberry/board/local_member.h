// What this process says of itself, shared by its controllers.

#ifndef BILBERRY_BOARD_LOCAL_MEMBER_H
#define BILBERRY_BOARD_LOCAL_MEMBER_H

#include "bilberry/base/ranked_mutex.h"
#include "bilberry/members/member.h"

#include <mutex>
#include <utility>

namespace bilberry::board {

/// Thread-safe: one mutex of rank Members. Never held while a MemberTable is
/// called.
class LocalMember {
public:
  explicit LocalMember(members::Member Value) : Value(std::move(Value)) {}

  /// The present value.
  members::Member get() const {
    std::lock_guard Lock(this->Mutex);
    return this->Value;
  }
  /// Sets the state that the next announcement tells.
  void setState(members::MemberState State) {
    std::lock_guard Lock(this->Mutex);
    this->Value.State = State;
  }
  /// Sets the state, but only where it is From. A process that drains is so
  /// never put back into service by a report that came before.
  void changeState(members::MemberState From, members::MemberState To) {
    std::lock_guard Lock(this->Mutex);
    if (this->Value.State == From) {
      this->Value.State = To;
    }
  }
  /// Sets the incarnation, where the one in use turns out not to be newest.
  void setRun(base::Incarnation Run) {
    std::lock_guard Lock(this->Mutex);
    this->Value.Run = Run;
  }
  /// Sets the revision of the targets that this process has applied.
  void setApplied(base::Revision Revision) {
    std::lock_guard Lock(this->Mutex);
    this->Value.Applied = Revision;
  }

private:
  mutable base::RankedMutex Mutex{base::LockRank::Members};
  members::Member Value;
};

} // namespace bilberry::board

#endif
