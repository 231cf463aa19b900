#include "bilberry/routing/flow_cache.h"

#include "bilberry/routing/rendezvous.h"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <thread>

namespace bilberry::routing {
namespace {

constexpr base::TimePoint Start{std::chrono::hours(24)};

base::FlowKey keyOf(uint64_t Connection) {
  return flowKey(base::ServiceName("rounds"), {0x7F000001, 4000}, Connection);
}

base::MemberName memberOf(uint64_t Index) {
  return base::MemberName("agent-" + std::to_string(Index));
}

TEST(FlowCache, AgreesWithMapWhileThereIsRoom) {
  constexpr uint64_t Flows = 200;
  constexpr int Steps = 20000;
  FlowCache Cache(100 * Flows);
  std::map<base::FlowKey, base::MemberName> Reference;
  std::mt19937_64 Random(7);
  for (int Step = 0; Step < Steps; ++Step) {
    base::FlowKey Key = keyOf(Random() % Flows);
    switch (Random() % 3) {
    case 0: {
      base::MemberName Holder = memberOf(Random() % 9);
      Cache.put(Start, Key, Holder);
      Reference[Key] = Holder;
      break;
    }
    case 1:
      Cache.erase(Key);
      Reference.erase(Key);
      break;
    default: {
      auto Expected = Reference.find(Key);
      auto Found = Cache.find(Start, Key);
      ASSERT_EQ(Found.has_value(), Expected != Reference.end());
      if (Found) {
        ASSERT_EQ(*Found, Expected->second);
      }
    }
    }
    ASSERT_EQ(Cache.size(), Reference.size());
  }
}

TEST(FlowCache, HoldsItsCapacityInFixedMemory) {
  constexpr uint64_t Flows = 300000;
  constexpr size_t MemoryGoal = 16U << 20;
  FlowCache Cache(Flows);
  for (uint64_t Index = 0; Index < Flows; ++Index) {
    Cache.put(Start, keyOf(Index), memberOf(Index % 3600));
  }
  size_t Bytes = Cache.memoryBytes();
  EXPECT_LT(Bytes, MemoryGoal);
  EXPECT_GT(Cache.size(), Flows * 95 / 100);
  for (uint64_t Index = 0; Index < Flows; ++Index) {
    Cache.put(Start, keyOf(Flows + Index), memberOf(Index % 3600));
  }
  EXPECT_EQ(Cache.memoryBytes(), Bytes);
  EXPECT_LE(Cache.size(), Cache.capacity());
}

TEST(FlowCache, EvictsOldestEntry) {
  FlowCache Cache(1); // One bucket of eight.
  ASSERT_EQ(Cache.capacity(), 8U);
  for (uint64_t Index = 0; Index < 8; ++Index) {
    Cache.put(Start + std::chrono::seconds(Index), keyOf(Index), memberOf(1));
  }
  base::TimePoint Later = Start + std::chrono::seconds(10);
  EXPECT_TRUE(Cache.find(Later, keyOf(0)));
  Cache.put(Later, keyOf(8), memberOf(2));
  EXPECT_TRUE(Cache.find(Later, keyOf(0)));
  EXPECT_FALSE(Cache.find(Later, keyOf(1)));
  EXPECT_EQ(Cache.find(Later, keyOf(8)), memberOf(2));
  EXPECT_EQ(Cache.size(), 8U);
}

TEST(MemberNameInterner, ReusesReleasedIds) {
  MemberNameInterner Interner;
  for (uint64_t Index = 0; Index < 70000; ++Index) {
    uint16_t Id = Interner.acquire(memberOf(Index));
    ASSERT_NE(Id, MemberNameInterner::NoId);
    ASSERT_EQ(Interner.name(Id), memberOf(Index));
    ASSERT_EQ(Interner.acquire(memberOf(Index)), Id);
    Interner.release(Id);
    Interner.release(Id);
  }
}

TEST(MemberNameInterner, ReportsIdExhaustion) {
  MemberNameInterner Interner;
  for (uint64_t Index = 0; Index < 65535; ++Index) {
    ASSERT_NE(Interner.acquire(memberOf(Index)), MemberNameInterner::NoId);
  }
  EXPECT_EQ(Interner.acquire(memberOf(65535)), MemberNameInterner::NoId);
  Interner.release(Interner.acquire(memberOf(0)));
  EXPECT_EQ(Interner.acquire(memberOf(65535)), MemberNameInterner::NoId);
}

// Two threads use the same few buckets, to detect data races under
// ThreadSanitizer.
TEST(FlowCache, SupportsConcurrentUse) {
  FlowCache Cache(64);
  auto Work = [&Cache](uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    for (int Step = 0; Step < 5000; ++Step) {
      base::FlowKey Key = keyOf(Random() % 200);
      Cache.put(Start, Key, memberOf(Random() % 5));
      Cache.find(Start, keyOf(Random() % 200));
      Cache.erase(keyOf(Random() % 200));
    }
  };
  std::thread First(Work, 1);
  std::thread Second(Work, 2);
  First.join();
  Second.join();
  EXPECT_LE(Cache.size(), Cache.capacity());
}

} // namespace
} // namespace bilberry::routing
