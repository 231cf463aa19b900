// A pool of threads, each with its own fibers over a PollScheduler. Fibers
// share the board's tables under the stated lock order; nothing else.

#ifndef BILBERRY_RUNTIME_WORKER_POOL_H
#define BILBERRY_RUNTIME_WORKER_POOL_H

#include <atomic>
#include <boost/fiber/fiber.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace bilberry::runtime {

/// Told to the fibers, which ask it between two steps.
class StopFlag {
public:
  void request() { this->Requested.store(true); }
  bool isRequested() const { return this->Requested.load(); }

private:
  std::atomic<bool> Requested{false};
};

/// A fiber's body; returns when the pool's stop flag is set.
using FiberBody = std::function<void()>;

/// Not thread-safe itself: built, started and stopped by one thread.
class WorkerPool {
public:
  WorkerPool() = default;
  /// Stops the pool if it runs.
  ~WorkerPool();
  WorkerPool(const WorkerPool &) = delete;
  WorkerPool &operator=(const WorkerPool &) = delete;

  /// Adds a fiber to one worker. Precondition: not started yet.
  void add(size_t Worker, FiberBody Body);

  /// Starts one thread a worker that has a fiber.
  void start();

  /// The flag that every fiber must obey within its next wait.
  const StopFlag &stopFlag() const { return this->Stop; }

  /// Sets the flag and joins the threads. Fibers that wait for a descriptor
  /// see the flag through waitReadableOrStop.
  void stop();

private:
  StopFlag Stop;
  std::vector<std::vector<FiberBody>> Bodies;
  std::vector<std::thread> Threads;
};

/// Calls Step whenever Fd is readable, until Stop is set. Step must take what
/// is there without waiting and say whether more may be left.
void readLoop(int Fd, const StopFlag &Stop, const std::function<bool()> &Step);

/// Wakes the fiber that waits for Fd once Stop is set, however silent the
/// descriptor is. Lives as long as the waiting; ends within a moment of it.
/// Use in the fiber's own thread.
class StopWaker {
public:
  StopWaker(int Fd, const StopFlag &Stop);
  /// Joins the waker.
  ~StopWaker();
  StopWaker(const StopWaker &) = delete;
  StopWaker &operator=(const StopWaker &) = delete;

private:
  bool IsDone = false;
  boost::fibers::fiber Waker;
};

/// Calls Step each Interval until Stop is set.
void tickLoop(std::chrono::nanoseconds Interval, const StopFlag &Stop,
              const std::function<void()> &Step);

} // namespace bilberry::runtime

#endif
