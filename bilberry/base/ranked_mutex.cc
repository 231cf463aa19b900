#include "bilberry/base/ranked_mutex.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>

namespace bilberry::base {

#ifndef NDEBUG
// A bit mask of the ranks that this thread holds.
static thread_local uint32_t HeldRanks = 0;

static uint32_t rankBit(LockRank Rank) { return 1U << static_cast<int>(Rank); }

static void checkLockOrder(LockRank Rank) {
  if (HeldRanks >= rankBit(Rank)) {
    std::fprintf(stderr,
                 "lock of rank %d acquired out of order, held ranks 0x%x\n",
                 static_cast<int>(Rank), HeldRanks);
    std::abort();
  }
}
static void markHeld(LockRank Rank) { HeldRanks |= rankBit(Rank); }
static void markReleased(LockRank Rank) { HeldRanks &= ~rankBit(Rank); }
#else
static void checkLockOrder(LockRank) {}
static void markHeld(LockRank) {}
static void markReleased(LockRank) {}
#endif

void RankedMutex::lock() {
  checkLockOrder(this->Rank);
  this->Mutex.lock();
  markHeld(this->Rank);
}

bool RankedMutex::try_lock() {
  checkLockOrder(this->Rank);
  if (!this->Mutex.try_lock()) {
    return false;
  }
  markHeld(this->Rank);
  return true;
}

void RankedMutex::unlock() {
  markReleased(this->Rank);
  this->Mutex.unlock();
}

} // namespace bilberry::base
