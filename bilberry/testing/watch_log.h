// Collects what a watch reports, for a test that waits for it.

#ifndef BILBERRY_TESTING_WATCH_LOG_H
#define BILBERRY_TESTING_WATCH_LOG_H

#include "bilberry/store/store.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace bilberry::testing {

/// Generous: only a test that is about to fail waits that long.
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

  /// Adds "put KEY=VALUE" or "delete KEY" for each event. The callback may be
  /// used for as long as the log lives.
  store::WatchCallback callback() {
    return [this](const store::WatchEvent &Event) {
      this->add(Event.IsDelete
                    ? "delete " + Event.Entry.Key
                    : "put " + Event.Entry.Key + "=" + Event.Entry.Value);
    };
  }

  /// Waits until there are so many lines. False where WaitLimit passed.
  bool waitForCount(size_t Count) {
    std::unique_lock Lock(this->Mutex);
    return this->Changed.wait_for(Lock, WaitLimit,
                                  [&] { return this->List.size() >= Count; });
  }

  /// The lines so far.
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
