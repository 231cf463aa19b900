// A Boost.Fiber scheduler that idles in epoll_wait. The fibers of a thread run
// round-robin; a fiber that needs a socket to become readable suspends, and the
// thread blocks only when no fiber is ready. The structure follows the
// suspend_until/notify pair in Boost.Fiber's customization guide. Fibers do not
// migrate between threads, so sockets need no locks.

#ifndef BILBERRY_RUNTIME_POLL_SCHEDULER_H
#define BILBERRY_RUNTIME_POLL_SCHEDULER_H

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>
#include <chrono>
#include <unordered_map>

namespace bilberry::runtime {

/// Install with boost::fibers::use_scheduling_algorithm<PollScheduler>() before
/// any other use of fibers in a thread. Not thread-safe except for notify().
class PollScheduler : public boost::fibers::algo::algorithm {
public:
  PollScheduler();
  ~PollScheduler() override;
  PollScheduler(const PollScheduler &) = delete;
  PollScheduler &operator=(const PollScheduler &) = delete;

  void awakened(boost::fibers::context *Fiber) noexcept override;
  boost::fibers::context *pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point &Until) noexcept override;
  void notify() noexcept override;

  /// Suspends the calling fiber until Fd is readable, has an error, or is
  /// released. Preconditions: this thread runs a PollScheduler, and no other
  /// fiber of the thread waits for Fd.
  static void waitReadable(int Fd);
  /// Like waitReadable(), for writing.
  static void waitWritable(int Fd);
  /// Removes Fd from the poll set and wakes the fiber that waits for it. Call
  /// before closing a descriptor that was waited for. Precondition: this thread
  /// runs a PollScheduler.
  static void release(int Fd);

private:
  void wait(int Fd, uint32_t Events);
  void poll(int TimeoutMilliseconds) noexcept;

  int EpollFd = -1;
  int WakeupFd = -1;
  unsigned PicksSincePoll = 0;
  boost::fibers::scheduler::ready_queue_type ReadyFibers;
  std::unordered_map<int, boost::fibers::context *> WaitingFibers;
};

} // namespace bilberry::runtime

#endif
