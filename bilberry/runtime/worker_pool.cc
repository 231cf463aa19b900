#include "bilberry/runtime/worker_pool.h"

#include "bilberry/runtime/poll_scheduler.h"

#include <boost/fiber/operations.hpp>
#include <utility>

namespace bilberry::runtime {

// The longest delay until a fiber that waits for a descriptor sees the stop
// flag.
static constexpr std::chrono::milliseconds StopCheckInterval(50);

WorkerPool::~WorkerPool() { this->stop(); }

void WorkerPool::add(size_t Worker, FiberBody Body) {
  if (this->Bodies.size() <= Worker) {
    this->Bodies.resize(Worker + 1);
  }
  this->Bodies[Worker].push_back(std::move(Body));
}

static void runWorker(const std::vector<FiberBody> &Bodies) {
  boost::fibers::use_scheduling_algorithm<PollScheduler>();
  std::vector<boost::fibers::fiber> Fibers;
  Fibers.reserve(Bodies.size());
  for (const FiberBody &Body : Bodies) {
    Fibers.emplace_back(Body);
  }
  for (boost::fibers::fiber &Fiber : Fibers) {
    Fiber.join();
  }
}

void WorkerPool::start() {
  for (const std::vector<FiberBody> &Worker : this->Bodies) {
    this->Threads.emplace_back([&Worker] { runWorker(Worker); });
  }
}

void WorkerPool::stop() {
  this->Stop.request();
  for (std::thread &Thread : this->Threads) {
    if (Thread.joinable()) {
      Thread.join();
    }
  }
  this->Threads.clear();
}

StopWaker::StopWaker(int Fd, const StopFlag &Stop)
    : WakerFiber([this, Fd, &Stop] {
        while (!Stop.isRequested() && !this->IsDone) {
          boost::this_fiber::sleep_for(StopCheckInterval);
        }
        if (!this->IsDone) {
          PollScheduler::release(Fd);
        }
      }) {}

StopWaker::~StopWaker() {
  this->IsDone = true;
  this->WakerFiber.join();
}

void readLoop(int Fd, const StopFlag &Stop, const std::function<bool()> &Step) {
  StopWaker StopNotifier(Fd, Stop);
  while (!Stop.isRequested()) {
    if (Step()) {
      boost::this_fiber::yield();
    } else {
      PollScheduler::waitReadable(Fd);
    }
  }
}

void tickLoop(std::chrono::nanoseconds Interval, const StopFlag &Stop,
              const std::function<void()> &Step) {
  while (!Stop.isRequested()) {
    boost::this_fiber::sleep_for(Interval);
    Step();
  }
}

} // namespace bilberry::runtime
