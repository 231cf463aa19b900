#include "bilberry/base/ranked_mutex.h"

#include <gtest/gtest.h>
#include <mutex>

namespace bilberry::base {
namespace {

TEST(RankedMutex, AllowsAscendingRanks) {
  RankedMutex Low(LockRank::Targets);
  RankedMutex High(LockRank::Requests);
  std::lock_guard First(Low);
  std::lock_guard Second(High);
}

#ifndef NDEBUG
TEST(RankedMutexDeathTest, AbortsOnDescendingRanks) {
  RankedMutex Low(LockRank::Targets);
  RankedMutex High(LockRank::Requests);
  EXPECT_DEATH(
      {
        std::lock_guard First(High);
        std::lock_guard Second(Low);
      },
      "out of order");
}
#endif

} // namespace
} // namespace bilberry::base
