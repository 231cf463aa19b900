// A Boost.Fiber scheduler whose idle state is epoll_wait. Fibers of one thread
// take turns; a fiber that needs a socket to be readable suspends, and the
// thread sleeps in the kernel only when no fiber is ready. The structure is
// that of the suspend_until/notify pair in Boost.Fiber's customization guide.
// A fiber stays on the thread that created it, so sockets need no locks.

#ifndef BILBERRY_RUNTIME_POLL_SCHEDULER_H
#define BILBERRY_RUNTIME_POLL_SCHEDULER_H

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>
#include <chrono>
#include <unordered_map>

namespace bilberry::runtime {

/// Install with boost::fibers::use_scheduling_algorithm<PollScheduler>() as
/// the first thing that a thread does with fibers.
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

  /// Suspends the calling fiber until Fd is readable, has an error, or was
  /// released. Preconditions: this thread runs a PollScheduler, and no other
  /// fiber of it waits for Fd.
  static void waitReadable(int Fd);
  /// As waitReadable, for writing.
  static void waitWritable(int Fd);
  /// Forgets Fd and wakes the fiber that waits for it. Call before closing a
  /// descriptor that was waited for. Precondition: as for waitReadable.
  static void release(int Fd);

private:
  void wait(int Fd, uint32_t Events);
  void poll(int TimeoutMilliseconds) noexcept;

  int Epoll = -1;
  int Wakeup = -1;
  unsigned PicksSincePoll = 0;
  boost::fibers::scheduler::ready_queue_type Ready;
  std::unordered_map<int, boost::fibers::context *> Waiting;
};

} // namespace bilberry::runtime

#endif
