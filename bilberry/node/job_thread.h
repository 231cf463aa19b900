// One thread that runs jobs in turn, for calls that block: the store's. Fibers
// hand a job over and go on.

#ifndef BILBERRY_NODE_JOB_THREAD_H
#define BILBERRY_NODE_JOB_THREAD_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>

namespace bilberry::node {

/// Thread-safe.
class JobThread {
public:
  JobThread() : Thread([this](const std::stop_token &Stop) { run(Stop); }) {}

  /// Runs Job after those posted before it. Jobs not begun when the thread is
  /// destroyed are dropped.
  void post(std::function<void()> Job) {
    {
      std::lock_guard Lock(this->Mutex);
      this->Jobs.push_back(std::move(Job));
    }
    this->Wakeup.notify_one();
  }

private:
  void run(const std::stop_token &Stop) {
    while (true) {
      std::function<void()> Job;
      {
        std::unique_lock Lock(this->Mutex);
        this->Wakeup.wait(Lock, Stop, [this] { return !this->Jobs.empty(); });
        if (Stop.stop_requested()) {
          return;
        }
        Job = std::move(this->Jobs.front());
        this->Jobs.pop_front();
      }
      Job();
    }
  }

  mutable std::mutex Mutex;
  std::condition_variable_any Wakeup;
  std::deque<std::function<void()>> Jobs;
  std::jthread Thread; // Last: joined before the queue is destroyed.
};

} // namespace bilberry::node

#endif
