// Records the events of a watch, so that a test can wait for them.

#ifndef BILBERRY_TESTING_WATCH_LOG_H
#define BILBERRY_TESTING_WATCH_LOG_H

#include "bilberry/store/store.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace bilberry::testing {

/// Long enough that only a failing test waits until the limit.
inline constexpr std::chrono::seconds WaitLimit(60);

/// An ordered list of lines. Thread-safe.
class WatchLog {
public:
  /// Adds a line.
  void add(std::string Line) {
    {
      std::lock_guard Lock(this->Mutex);
      this->List.push_back(std::move(Line));
    }
    this->Changed.notify_all();
  }

  /// Returns a callback that adds "put KEY=VALUE" or "delete KEY" for each
  /// event. The log must outlive it.
  store::WatchCallback callback() {
    return [this](const store::WatchEvent &Event) {
      this->add(Event.IsDelete
                    ? "delete " + Event.Entry.Key
                    : "put " + Event.Entry.Key + "=" + Event.Entry.Value);
    };
  }

  /// Blocks until there are at least Count lines. Returns false after
  /// WaitLimit.
  bool waitForCount(size_t Count) {
    std::unique_lock Lock(this->Mutex);
    return this->Changed.wait_for(Lock, WaitLimit,
                                  [&] { return this->List.size() >= Count; });
  }

  /// The lines added so far.
  std::vector<std::string> lines() const {
    std::lock_guard Lock(this->Mutex);
    return this->List;
  }

private:
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> List;
};

} // namespace bilberry::testing

#endif
