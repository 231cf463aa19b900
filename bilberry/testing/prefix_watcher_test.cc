#include "bilberry/store/prefix_watcher.h"
#include "bilberry/testing/fake_store.h"
#include "bilberry/testing/watch_log.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <thread>

namespace bilberry::store {
namespace {

using ::testing::ElementsAre;
using testing::FakeStore;
using testing::WatchLog;

constexpr base::Duration Never = std::chrono::hours(24);

// A watcher in a thread of its own that writes down what it is told.
class Follower {
public:
  explicit Follower(FakeStore &Source, base::Duration Reread = Never)
      : Watcher(Source, "/a/", Reread),
        Thread([this](const std::stop_token &Stop) { this->run(Stop); }) {}

  WatchLog Log;

private:
  void run(const std::stop_token &Stop) {
    this->Watcher.run(
        Stop,
        [this](const Listing &List) {
          this->Log.add("list " + std::to_string(List.Entries.size()));
        },
        this->Log.callback(),
        [this](const base::Error &) { this->Log.add("down"); });
  }

  PrefixWatcher<FakeStore> Watcher;
  std::jthread Thread; // Last, so that it ends before the rest goes.
};

struct PrefixWatcherTest : ::testing::Test {
  base::PausedClock Clock;
  FakeStore Store{this->Clock};
};

TEST_F(PrefixWatcherTest, ListsThenReportsChanges) {
  ASSERT_TRUE(this->Store.put("/a/1", "x", 0));
  Follower Reader(this->Store);
  ASSERT_TRUE(Reader.Log.waitForCount(1));
  ASSERT_TRUE(this->Store.put("/b/1", "x", 0));
  ASSERT_TRUE(this->Store.put("/a/2", "y", 0));
  ASSERT_TRUE(this->Store.remove("/a/1"));
  ASSERT_TRUE(Reader.Log.waitForCount(3));
  EXPECT_THAT(Reader.Log.lines(),
              ElementsAre("list 1", "put /a/2=y", "delete /a/1"));
}

TEST_F(PrefixWatcherTest, ListsAnewAfterEachInterval) {
  Follower Reader(this->Store, std::chrono::milliseconds(1));
  ASSERT_TRUE(Reader.Log.waitForCount(3));
  EXPECT_THAT(Reader.Log.lines(), ::testing::Each("list 0"));
}

TEST_F(PrefixWatcherTest, ReportsAnOutageAndComesBack) {
  standin::StoreFaults Down;
  Down.Mode = standin::Availability::Refusing;
  Follower Reader(this->Store);
  ASSERT_TRUE(Reader.Log.waitForCount(1));
  this->Store.setFaults(Down);
  ASSERT_TRUE(Reader.Log.waitForCount(2));
  EXPECT_THAT(Reader.Log.lines(), ElementsAre("list 0", "down"));
  this->Store.setFaults({});
  ASSERT_TRUE(this->Store.put("/a/1", "x", 0));
  size_t Seen = 2;
  while (Reader.Log.lines().back() != "list 1") {
    ASSERT_TRUE(Reader.Log.waitForCount(++Seen));
  }
}

TEST_F(PrefixWatcherTest, ListsAnewAfterAWatchWentSilent) {
  standin::StoreFaults Silent;
  Silent.HasSilentWatches = true;
  this->Store.setFaults(Silent);
  Follower Reader(this->Store);
  ASSERT_TRUE(Reader.Log.waitForCount(1));
  ASSERT_TRUE(this->Store.put("/a/1", "x", 0));
  while (Reader.Log.lines().size() < 2) {
    this->Clock.advance(testing::FakeWatchSilence);
    this->Store.poll();
    std::this_thread::yield();
  }
  EXPECT_THAT(Reader.Log.lines(), ElementsAre("list 0", "list 1"));
}

TEST(Backoff, DoublesUpToItsBoundWithJitter) {
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
