// A mutex with a rank in a global lock order. A thread may only acquire a mutex
// of a higher rank than those that it holds, which prevents deadlock. A debug
// build aborts on the first lock acquired out of order, whether or not that run
// would have deadlocked. A release build has no overhead over std::mutex.

#ifndef BILBERRY_BASE_RANKED_MUTEX_H
#define BILBERRY_BASE_RANKED_MUTEX_H

#include <mutex>

namespace bilberry::base {

/// The global lock order, lowest rank first.
enum class LockRank : int {
  /// State of a controller. Held while the controller accesses the tables
  /// below.
  Controllers = 0,
  Targets = 1,
  Members = 2,
  Flows = 3,
  Requests = 4,
  Limits = 5,
  Counters = 6,
  /// State of I/O adapters: links and sockets.
  Adapter = 7,
};

/// Meets the Lockable requirements, for std::lock_guard and std::unique_lock.
/// Must not be held while a fiber is suspended.
class RankedMutex {
public:
  explicit RankedMutex(LockRank Rank) : Rank(Rank) {}

  /// Precondition: this thread holds no mutex of this rank or a higher one.
  void lock();
  /// Like lock(), but returns false if another thread holds the mutex.
  bool try_lock(); // NOLINT(readability-identifier-naming)
  /// Precondition: this thread holds the mutex.
  void unlock();

private:
  std::mutex Mutex;
  LockRank Rank;
};

} // namespace bilberry::base

#endif
