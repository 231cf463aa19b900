// A bounded cache that maps a flow to the member that carries it. Memory is
// allocated at construction; when a bucket is full, its least recently used
// entry is evicted. Losing an entry costs one extra hop.
//
// The layout is a set-associative table, as in a CPU cache. The low half of a
// key selects a bucket of eight entries, the high half is the tag. An entry
// takes 16 bytes, because it stores a 16-bit member id instead of the name.
// Names are interned, and an id is reused when no entry refers to it.

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

/// Maps member names to reference-counted 16-bit ids. Thread-safe: one mutex of
/// rank Counters.
class MemberNameInterner {
public:
  /// The id that refers to no member.
  static constexpr uint16_t NoId = 0;

  /// Returns the name's id and adds a reference to it, or returns NoId if all
  /// ids are in use.
  uint16_t acquire(const base::MemberName &Name);
  /// Removes one reference. Precondition: the id is in use.
  void release(uint16_t Id);
  /// Returns the name. Precondition: the id is in use.
  base::MemberName name(uint16_t Id) const;
  /// Memory used in bytes, including the names.
  size_t memoryBytes() const;

private:
  struct Entry {
    base::MemberName Name;
    uint32_t ReferenceCount = 0;
  };

  mutable base::RankedMutex Mutex{base::LockRank::Counters};
  std::vector<Entry> Entries{1};
  std::vector<uint16_t> FreeIds;
  std::unordered_map<base::MemberName, uint16_t> IdsByName;
};

/// Thread-safe, with lock striping by key: one mutex of rank Flows per stripe.
class FlowCache {
public:
  /// Allocates 1.5 times MaxFlows entries, so that few buckets overflow before
  /// the cache holds MaxFlows. Precondition: MaxFlows is at least 1.
  explicit FlowCache(size_t MaxFlows);

  /// Returns the member that carries the flow, if cached, and updates the
  /// entry's last use.
  std::optional<base::MemberName> find(base::TimePoint Now,
                                       const base::FlowKey &Key);
  /// Adds or replaces an entry. Has no effect if the member has no id yet and
  /// all 65,535 ids are in use.
  void put(base::TimePoint Now, const base::FlowKey &Key,
           const base::MemberName &Holder);
  /// Removes an entry, if present.
  void erase(const base::FlowKey &Key);

  /// Number of entries in use.
  size_t size() const;
  /// Maximum number of entries.
  size_t capacity() const { return this->Buckets.size() * EntriesPerBucket; }
  /// Memory used in bytes, including all tables.
  size_t memoryBytes() const;

private:
  static constexpr size_t EntriesPerBucket = 8;
  static constexpr size_t StripeCount = 64;

  struct Entry {
    uint64_t Tag = 0;
    uint32_t UsedAt = 0;
    uint16_t Member = MemberNameInterner::NoId;
  };
  using Bucket = std::array<Entry, EntriesPerBucket>;
  struct Stripe {
    mutable base::RankedMutex Mutex{base::LockRank::Flows};
    size_t Entries = 0;
  };

  size_t bucketIndex(const base::FlowKey &Key) const;
  Stripe &stripeOf(size_t BucketIndex);
  // Precondition for both: the mutex of the bucket's stripe is held.
  static Entry *findEntry(Bucket &Entries, const base::FlowKey &Key);
  static Entry &selectVictim(Bucket &Entries, uint32_t Now);

  std::vector<Bucket> Buckets;
  std::array<Stripe, StripeCount> Stripes;
  MemberNameInterner Members;
};

} // namespace bilberry::routing

#endif
