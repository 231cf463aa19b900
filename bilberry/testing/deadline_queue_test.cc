// Tests of DeadlineQueue: order, deadlines and capacity.

#include "bilberry/admission/deadline_queue.h"

#include <gtest/gtest.h>

namespace bilberry::admission {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint Start{std::chrono::hours(1)};
constexpr base::Duration ServiceTime = milliseconds(100);
constexpr base::Duration FarDeadline = std::chrono::hours(1);

DeadlineQueue<int> makeQueue(int Length, uint32_t Slots = 1) {
  DeadlineQueue<int> Queue(100);
  Queue.setSlots(Slots);
  Queue.recordServiceTime(ServiceTime);
  for (int Item = 0; Item < Length; ++Item) {
    EXPECT_TRUE(Queue.push(Start, Start + FarDeadline, Item));
  }
  return Queue;
}

TEST(DeadlineQueueTest, RefusesItemsThatCannotMeetTheirDeadline) {
  struct Case {
    const char *Name;
    int Waiting;
    uint32_t Slots;
    base::Duration TimeLeft;
    bool Accepted;
  };
  const Case Cases[] = {
      // The service time is 100 ms. Twice the expected wait must fit into the
      // time that remains after it.
      {"past its deadline", 0, 1, milliseconds(0), false},
      {"empty queue, in time", 0, 1, milliseconds(300), true},
      {"empty queue, too late", 0, 1, milliseconds(299), false},
      {"three queued, in time", 3, 1, milliseconds(900), true},
      {"three queued, too late", 3, 1, milliseconds(899), false},
      {"three queued, two slots, in time", 3, 2, milliseconds(500), true},
      {"three queued, two slots, too late", 3, 2, milliseconds(499), false},
  };
  for (const Case &Item : Cases) {
    DeadlineQueue<int> Queue = makeQueue(Item.Waiting, Item.Slots);
    EXPECT_EQ(Queue.push(Start, Start + Item.TimeLeft, 99), Item.Accepted)
        << Item.Name;
    EXPECT_EQ(Queue.size(), Item.Waiting + (Item.Accepted ? 1U : 0U));
  }
}

TEST(DeadlineQueueTest, RefusesItemsWhenFull) {
  DeadlineQueue<int> Queue(2);
  EXPECT_TRUE(Queue.push(Start, Start + FarDeadline, 0));
  EXPECT_TRUE(Queue.push(Start, Start + FarDeadline, 1));
  EXPECT_FALSE(Queue.push(Start, Start + FarDeadline, 2));
}

TEST(DeadlineQueueTest, PopsInOrderAndReturnsExpiredItems) {
  DeadlineQueue<int> Queue(100);
  const base::Duration TimesLeft[] = {milliseconds(400), milliseconds(900),
                                      milliseconds(300), milliseconds(900)};
  int Next = 0;
  for (base::Duration RemainingTime : TimesLeft) {
    ASSERT_TRUE(Queue.push(Start, Start + RemainingTime, Next++));
  }
  Queue.recordServiceTime(ServiceTime);
  std::vector<int> Expired;
  EXPECT_EQ(Queue.popReady(Start + milliseconds(300), Expired), 0);
  EXPECT_EQ(Queue.popReady(Start + milliseconds(300), Expired), 1);
  EXPECT_TRUE(Expired.empty());
  EXPECT_EQ(Queue.popReady(Start + milliseconds(300), Expired), 3);
  EXPECT_EQ(Expired, std::vector<int>({2}));
  EXPECT_EQ(Queue.popReady(Start + milliseconds(300), Expired), std::nullopt);
}

TEST(DeadlineQueueTest, RemoveAndRemoveExpiredKeepTheOrder) {
  DeadlineQueue<int> Queue = makeQueue(4);
  ASSERT_TRUE(Queue.push(Start, Start + milliseconds(1200), 4));
  EXPECT_EQ(Queue.remove([](int Item) { return Item == 1; }), 1);
  EXPECT_EQ(Queue.remove([](int Item) { return Item == 1; }), std::nullopt);
  std::vector<int> Expired;
  Queue.removeExpired(Start + milliseconds(1200), Expired);
  EXPECT_EQ(Expired, std::vector<int>({4}));
  EXPECT_EQ(Queue.popReady(Start, Expired), 0);
  EXPECT_EQ(Queue.popReady(Start, Expired), 2);
}

// Under steady overload, refusals outnumber completions and must not lower the
// estimate.
TEST(DeadlineQueueTest, RefusalsKeepEstimateWhileCompletionsArrive) {
  DeadlineQueue<int> Queue = makeQueue(4);
  for (int Round = 0; Round < 1000; ++Round) {
    ASSERT_FALSE(Queue.push(Start, Start + milliseconds(900), 99));
    if (Round % 20 == 0) {
      Queue.recordServiceTime(ServiceTime);
    }
  }
}

TEST(DeadlineQueueTest, RefusalsLowerATooHighEstimate) {
  DeadlineQueue<int> Queue(100);
  Queue.recordServiceTime(std::chrono::minutes(1));
  int Refusals = 0;
  while (Refusals < 1000 && !Queue.push(Start, Start + milliseconds(500), 0)) {
    ++Refusals;
  }
  EXPECT_GT(Refusals, 0);
  EXPECT_LT(Refusals, 1000);
}

} // namespace
} // namespace bilberry::admission
