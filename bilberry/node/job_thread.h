// A thread that runs jobs in order, for blocking calls such as those to the
// store. Fibers post a job and continue without waiting.

#ifndef BILBERRY_NODE_JOB_THREAD_H
#define BILBERRY_NODE_JOB_THREAD_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>

namespace bilberry::node {

/// A job queue with one thread. Thread-safe.
class JobThread {
public:
  JobThread() : Thread([this](const std::stop_token &Stop) { run(Stop); }) {}

  /// Queues Job behind earlier ones. Does not wait. Jobs that have not started
  /// when the object is destroyed are discarded.
  void post(std::function<void()> Job) {
    {
      std::lock_guard Lock(this->Mutex);
      this->Jobs.push_back(std::move(Job));
    }
    this->JobAvailable.notify_one();
  }

private:
  void run(const std::stop_token &Stop) {
    while (true) {
      std::function<void()> Job;
      {
        std::unique_lock Lock(this->Mutex);
        this->JobAvailable.wait(Lock, Stop,
                                [this] { return !this->Jobs.empty(); });
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
  std::condition_variable_any JobAvailable;
  std::deque<std::function<void()>> Jobs;
  std::jthread Thread; // Last: joined before the queue is destroyed.
};

} // namespace bilberry::node

#endif
