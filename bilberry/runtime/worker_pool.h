// A pool of threads, each running its own fibers on a PollScheduler. Fibers of
// different threads share only the tables that base::LockRank lists, under that
// lock order.

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

/// A flag that tells fibers to stop; they check it between two steps.
/// Thread-safe.
class StopFlag {
public:
  void request() { this->Requested.store(true); }
  bool isRequested() const { return this->Requested.load(); }

private:
  std::atomic<bool> Requested{false};
};

/// The function of a fiber; must return once the pool's stop flag is set.
using FiberBody = std::function<void()>;

/// Not thread-safe: must be created, started and stopped by the same thread.
class WorkerPool {
public:
  WorkerPool() = default;
  /// Stops the pool if it is running.
  ~WorkerPool();
  WorkerPool(const WorkerPool &) = delete;
  WorkerPool &operator=(const WorkerPool &) = delete;

  /// Adds a fiber to a worker. Precondition: start() was not called.
  void add(size_t Worker, FiberBody Body);

  /// Starts one thread for each worker.
  void start();

  /// The stop flag. A fiber must return when its next wait ends after the flag
  /// is set.
  const StopFlag &stopFlag() const { return this->Stop; }

  /// Sets the flag and joins the threads. A fiber that waits for a descriptor
  /// needs a StopWaker to see the flag.
  void stop();

private:
  StopFlag Stop;
  std::vector<std::vector<FiberBody>> Bodies;
  std::vector<std::thread> Threads;
};

/// Calls Step whenever Fd is readable, until Stop is set. Step must read
/// without blocking and return whether more data may be available.
void readLoop(int Fd, const StopFlag &Stop, const std::function<bool()> &Step);

/// Wakes the fiber that waits for Fd once Stop is set, even if no data arrives.
/// Create it in the waiting fiber, for as long as the fiber waits. The
/// destructor may block for the check interval of 50 ms.
class StopWaker {
public:
  StopWaker(int Fd, const StopFlag &Stop);
  /// Joins the waker fiber.
  ~StopWaker();
  StopWaker(const StopWaker &) = delete;
  StopWaker &operator=(const StopWaker &) = delete;

private:
  bool IsDone = false;
  boost::fibers::fiber WakerFiber;
};

/// Calls Step every Interval until Stop is set.
void tickLoop(std::chrono::nanoseconds Interval, const StopFlag &Stop,
              const std::function<void()> &Step);

} // namespace bilberry::runtime

#endif
