// The membership record of this process, shared by its controllers.

#ifndef BILBERRY_BOARD_LOCAL_MEMBER_H
#define BILBERRY_BOARD_LOCAL_MEMBER_H

#include "bilberry/base/ranked_mutex.h"
#include "bilberry/members/member.h"

#include <mutex>
#include <utility>

namespace bilberry::board {

/// Holds the record that is announced to other processes. Thread-safe: one
/// mutex of rank Members, which is never held while a MemberTable is called.
class LocalMember {
public:
  explicit LocalMember(members::Member Value) : Value(std::move(Value)) {}

  /// Returns a copy of the current record.
  members::Member get() const {
    std::lock_guard Lock(this->Mutex);
    return this->Value;
  }
  /// Sets the state for the next announcement.
  void setState(members::MemberState State) {
    std::lock_guard Lock(this->Mutex);
    this->Value.State = State;
  }
  /// Sets the state to To only if it is From, so that a report from before the
  /// start of a drain can't put the process back into service.
  void changeState(members::MemberState From, members::MemberState To) {
    std::lock_guard Lock(this->Mutex);
    if (this->Value.State == From) {
      this->Value.State = To;
    }
  }
  /// Sets the incarnation, if the current one is found not to be the newest.
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
