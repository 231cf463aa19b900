// A mutex with a place in one lock order. A thread may only take a mutex of a
// higher rank than those that it holds, which excludes deadlock; a debug build
// aborts at the first lock taken out of order, whether or not it would have
// deadlocked in that run. Cost in a release build: none over std::mutex.

#ifndef BILBERRY_BASE_RANKED_MUTEX_H
#define BILBERRY_BASE_RANKED_MUTEX_H

#include <mutex>

namespace bilberry::base {

/// The lock order of the board's tables, lowest first.
enum class LockRank : int {
  /// A controller's own state; held while it calls the board's tables.
  Controllers = 0,
  Targets = 1,
  Members = 2,
  Flows = 3,
  Requests = 4,
  Limits = 5,
  Counters = 6,
  /// Outer adapters' own state: links, sockets.
  Adapter = 7,
};

/// Meets the standard's Lockable, for std::lock_guard and std::unique_lock.
/// Never held across a fiber's suspension.
class RankedMutex {
public:
  explicit RankedMutex(LockRank Rank) : Rank(Rank) {}

  /// Precondition: this thread holds no mutex of this rank or a higher one.
  void lock();
  /// As lock(), but returns false where the mutex is taken.
  bool try_lock(); // NOLINT(readability-identifier-naming)
  /// Precondition: this thread holds the mutex.
  void unlock();

private:
  std::mutex Mutex;
  LockRank Rank;
};

} // namespace bilberry::base

#endif
