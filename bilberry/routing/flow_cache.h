// A bounded cache from a flow to the member that carries it. Memory is fixed
// when it is built; the oldest entry of a full bucket makes room for a new
// one. Losing an entry costs a hop.
//
// Layout: a set-associative table, as in a processor's cache. The low half of
// a key picks a bucket of eight entries, the high half is its tag. An entry
// takes 16 bytes, since it holds a small number for the member; the names are
// kept once each, and their numbers are used again when no entry needs them.

#ifndef BILBERRY_ROUTING_FLOW_CACHE_H
#define BILBERRY_ROUTING_FLOW_CACHE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ids.h"
#include "bilberry/base/name.h"
#include "bilberry/base/ranked_mutex.h"

#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberry::routing {

/// Numbers for members' names, counted by use. Thread-safe: one mutex of rank
/// Counters.
class MemberNumbers {
public:
  /// Stands for no member.
  static constexpr uint16_t None = 0;

  /// The name's number with one more use, or None when all are taken.
  uint16_t acquire(const base::MemberName &Name);
  /// Gives back one use. Precondition: the number is in use.
  void release(uint16_t Number);
  /// The name. Precondition: the number is in use.
  base::MemberName name(uint16_t Number) const;
  /// Bytes taken, names included.
  size_t memoryBytes() const;

private:
  struct Entry {
    base::MemberName Name;
    uint32_t Uses = 0;
  };

  mutable base::RankedMutex Mutex{base::LockRank::Counters};
  std::vector<Entry> Entries{1};
  std::vector<uint16_t> Free;
  std::unordered_map<base::MemberName, uint16_t> Numbers;
};

/// Thread-safe, striped by key: one mutex of rank Flows a stripe.
class FlowCache {
public:
  /// Makes room for MaxFlows, and half as many again, so that few buckets
  /// overflow before MaxFlows are held. Precondition: MaxFlows is at least 1.
  explicit FlowCache(size_t MaxFlows);

  /// The member that carries the flow, if known; marks the entry as used.
  std::optional<base::MemberName> find(base::TimePoint Now,
                                       const base::FlowKey &Key);
  /// Adds or replaces an entry. Ignored while as many different members are
  /// held as there are numbers for, 65,535.
  void put(base::TimePoint Now, const base::FlowKey &Key,
           const base::MemberName &Holder);
  /// Drops an entry, if there is one.
  void erase(const base::FlowKey &Key);

  /// Entries held.
  size_t size() const;
  /// The most entries that it can hold.
  size_t capacity() const { return this->Buckets.size() * EntriesPerBucket; }
  /// Bytes taken, all tables included.
  size_t memoryBytes() const;

private:
  static constexpr size_t EntriesPerBucket = 8;
  static constexpr size_t StripeCount = 64;

  struct Entry {
    uint64_t Tag = 0;
    uint32_t UsedAt = 0;
    uint16_t Member = MemberNumbers::None;
  };
  using Bucket = std::array<Entry, EntriesPerBucket>;
  struct Stripe {
    mutable base::RankedMutex Mutex{base::LockRank::Flows};
    size_t Entries = 0;
  };

  size_t bucketIndex(const base::FlowKey &Key) const;
  Stripe &stripeOf(size_t BucketIndex);
  // Precondition for both: the bucket's stripe is held.
  static Entry *findEntry(Bucket &Entries, const base::FlowKey &Key);
  static Entry &victim(Bucket &Entries, uint32_t Now);

  std::vector<Bucket> Buckets;
  std::array<Stripe, StripeCount> Stripes;
  MemberNumbers Members;
};

} // namespace bilberry::routing

#endif
