#include "bilberry/store/prefix_watcher.h"
#include "bilberry/testing/fake_store.h"
#include "bilberry/testing/watch_log.h"

#include <atomic>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <thread>

namespace bilberry::store {
namespace {

using ::testing::ElementsAre;
using testing::FakeStore;
using testing::WatchLog;

constexpr base::Duration Never = std::chrono::hours(24);

// Runs a watcher in its own thread and records its callbacks.
class RecordingWatcher {
public:
  explicit RecordingWatcher(FakeStore &Source,
                            base::Duration RereadInterval = Never)
      : Watcher(Source, "/a/", RereadInterval),
        Thread([this](const std::stop_token &Stop) { this->run(Stop); }) {}

  bool isCurrent() const { return this->Watcher.isCurrent(); }
  void setSuspended(bool Value) { this->Watcher.setSuspended(Value); }
  /// Changes how long the watch may be silent.
  void setSilenceLimit(base::Duration Value) {
    this->Watcher.setSilenceLimit(Value);
  }

  WatchLog Log;
  std::atomic<int> BrokenWatches = 0;

private:
  void run(const std::stop_token &Stop) {
    this->Watcher.run(
        Stop,
        [this](const Listing &List) {
          this->Log.add("list " + std::to_string(List.Entries.size()));
        },
        this->Log.callback(),
        [this](const base::Error &) { this->Log.add("down"); },
        [this](const base::Error &) { ++this->BrokenWatches; });
  }

  PrefixWatcher<FakeStore> Watcher;
  std::jthread Thread; // Last, so that it stops before the rest is destroyed.
};

struct PrefixWatcherTest : ::testing::Test {
  base::ManualClock Clock;
  FakeStore Store{this->Clock};
};

TEST_F(PrefixWatcherTest, ListsThenReportsChanges) {
  ASSERT_TRUE(this->Store.put("/a/1", "x", 0));
  RecordingWatcher Recorder(this->Store);
  ASSERT_TRUE(Recorder.Log.waitForCount(1));
  ASSERT_TRUE(this->Store.put("/b/1", "x", 0));
  ASSERT_TRUE(this->Store.put("/a/2", "y", 0));
  ASSERT_TRUE(this->Store.remove("/a/1"));
  ASSERT_TRUE(Recorder.Log.waitForCount(3));
  EXPECT_THAT(Recorder.Log.lines(),
              ElementsAre("list 1", "put /a/2=y", "delete /a/1"));
}

// Guards against a view from before a suspension that passes for the present
// one.
TEST_F(PrefixWatcherTest, IsCurrentOnlyOnceItHasListedAgain) {
  RecordingWatcher Recorder(this->Store);
  auto WaitUntilCurrent = [&] {
    while (!Recorder.isCurrent()) {
      std::this_thread::yield();
    }
  };
  WaitUntilCurrent();
  Recorder.setSuspended(true);
  EXPECT_FALSE(Recorder.isCurrent());
  standin::StoreFaults Outage;
  Outage.Mode = standin::Availability::Refusing;
  this->Store.setFaults(Outage);
  Recorder.setSuspended(false);
  EXPECT_FALSE(Recorder.isCurrent());
  ASSERT_TRUE(Recorder.Log.waitForCount(2));
  EXPECT_FALSE(Recorder.isCurrent());
  this->Store.setFaults({});
  WaitUntilCurrent();
}

TEST_F(PrefixWatcherTest, ListsAgainAfterEachInterval) {
  RecordingWatcher Recorder(this->Store, std::chrono::milliseconds(1));
  ASSERT_TRUE(Recorder.Log.waitForCount(3));
  EXPECT_THAT(Recorder.Log.lines(), ::testing::Each("list 0"));
}

TEST_F(PrefixWatcherTest, ReportsAnOutageAndRecovers) {
  standin::StoreFaults Outage;
  Outage.Mode = standin::Availability::Refusing;
  RecordingWatcher Recorder(this->Store);
  ASSERT_TRUE(Recorder.Log.waitForCount(1));
  this->Store.setFaults(Outage);
  ASSERT_TRUE(Recorder.Log.waitForCount(2));
  EXPECT_THAT(Recorder.Log.lines(), ElementsAre("list 0", "down"));
  this->Store.setFaults({});
  ASSERT_TRUE(this->Store.put("/a/1", "x", 0));
  size_t LineCount = 2;
  while (Recorder.Log.lines().back() != "list 1") {
    ASSERT_TRUE(Recorder.Log.waitForCount(++LineCount));
  }
}

TEST_F(PrefixWatcherTest, ListsAgainAfterASilentWatchFails) {
  standin::StoreFaults Silent;
  Silent.HasSilentWatches = true;
  this->Store.setFaults(Silent);
  RecordingWatcher Recorder(this->Store);
  ASSERT_TRUE(Recorder.Log.waitForCount(1));
  ASSERT_TRUE(this->Store.put("/a/1", "x", 0));
  while (Recorder.Log.lines().size() < 2) {
    this->Clock.advance(DefaultSilenceLimit);
    this->Store.notifyWatches();
    std::this_thread::yield();
  }
  EXPECT_THAT(Recorder.Log.lines(), ElementsAre("list 0", "list 1"));
  EXPECT_GE(Recorder.BrokenWatches, 1);
}

// A process that must follow changes closely from now on may have a watch that
// went silent long ago.
TEST_F(PrefixWatcherTest, ListsAgainWhenTheSilenceLimitChanges) {
  standin::StoreFaults Silent;
  Silent.HasSilentWatches = true;
  this->Store.setFaults(Silent);
  RecordingWatcher Recorder(this->Store);
  ASSERT_TRUE(Recorder.Log.waitForCount(1));
  while (this->Store.counts().count(StoreCall::Watch) == 0) {
    std::this_thread::yield();
  }
  ASSERT_TRUE(this->Store.put("/a/1", "x", 0));
  Recorder.setSilenceLimit(DefaultSilenceLimit);
  Recorder.setSilenceLimit(std::chrono::seconds(2));
  ASSERT_TRUE(Recorder.Log.waitForCount(2));
  EXPECT_THAT(Recorder.Log.lines(), ElementsAre("list 0", "list 1"));
  EXPECT_EQ(Recorder.BrokenWatches, 0);
  while (Recorder.Log.lines().size() < 3) {
    this->Clock.advance(std::chrono::seconds(2));
    this->Store.notifyWatches();
    std::this_thread::yield();
  }
  EXPECT_GE(Recorder.BrokenWatches, 1);
}

TEST(Backoff, DoublesUpToTheMaximumWithJitter) {
  Backoff Delays(20261204);
  base::Duration Bound = MinBackoff;
  for (int Attempt = 0; Attempt < 10; ++Attempt) {
    base::Duration Delay = Delays.next();
    EXPECT_GE(Delay, Bound / 2);
    EXPECT_LE(Delay, Bound);
    Bound = std::min(2 * Bound, MaxBackoff);
  }
  EXPECT_GE(Delays.next(), MaxBackoff / 2);
  Delays.reset();
  EXPECT_LE(Delays.next(), MinBackoff);
}

} // namespace
} // namespace bilberry::store
