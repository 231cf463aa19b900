#include "bilberry/base/ranked_mutex.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>

namespace bilberry::base {

#ifndef NDEBUG
// One bit a rank that this thread holds.
static thread_local uint32_t HeldRanks = 0;

static uint32_t rankBit(LockRank Rank) { return 1U << static_cast<int>(Rank); }

static void checkOrder(LockRank Rank) {
  if (HeldRanks >= rankBit(Rank)) {
    std::fprintf(stderr, "lock of rank %d taken out of order, held ranks %x\n",
                 static_cast<int>(Rank), HeldRanks);
    std::abort();
  }
}
static void noteHeld(LockRank Rank) { HeldRanks |= rankBit(Rank); }
static void noteReleased(LockRank Rank) { HeldRanks &= ~rankBit(Rank); }
#else
static void checkOrder(LockRank) {}
static void noteHeld(LockRank) {}
static void noteReleased(LockRank) {}
#endif

void RankedMutex::lock() {
  checkOrder(this->Rank);
  this->Mutex.lock();
  noteHeld(this->Rank);
}

bool RankedMutex::try_lock() {
  checkOrder(this->Rank);
  if (!this->Mutex.try_lock()) {
    return false;
  }
  noteHeld(this->Rank);
  return true;
}

void RankedMutex::unlock() {
  noteReleased(this->Rank);
  this->Mutex.unlock();
}

} // namespace bilberry::base
