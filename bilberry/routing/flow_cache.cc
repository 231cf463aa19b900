#include "bilberry/routing/flow_cache.h"

#include <limits>

namespace bilberry::routing {

uint16_t MemberNameInterner::acquire(const base::MemberName &Name) {
  std::lock_guard Lock(this->Mutex);
  auto Known = this->IdsByName.find(Name);
  if (Known != this->IdsByName.end()) {
    ++this->Entries[Known->second].ReferenceCount;
    return Known->second;
  }
  uint16_t Id = NoId;
  if (!this->FreeIds.empty()) {
    Id = this->FreeIds.back();
    this->FreeIds.pop_back();
  } else if (this->Entries.size() <= std::numeric_limits<uint16_t>::max()) {
    Id = static_cast<uint16_t>(this->Entries.size());
    this->Entries.emplace_back();
  } else {
    return NoId;
  }
  this->Entries[Id] = {Name, 1};
  this->IdsByName.emplace(Name, Id);
  return Id;
}

void MemberNameInterner::release(uint16_t Id) {
  std::lock_guard Lock(this->Mutex);
  Entry &Used = this->Entries[Id];
  if (--Used.ReferenceCount == 0) {
    this->IdsByName.erase(Used.Name);
    Used.Name = base::MemberName();
    this->FreeIds.push_back(Id);
  }
}

base::MemberName MemberNameInterner::name(uint16_t Id) const {
  std::lock_guard Lock(this->Mutex);
  return this->Entries[Id].Name;
}

size_t MemberNameInterner::memoryBytes() const {
  std::lock_guard Lock(this->Mutex);
  size_t Bytes = this->Entries.capacity() * sizeof(Entry) +
                 this->FreeIds.capacity() * sizeof(uint16_t) +
                 this->IdsByName.bucket_count() * sizeof(void *);
  for (const auto &[Name, Id] : this->IdsByName) {
    // Two copies of the name's text, and the map node: pair, hash and next
    // pointer.
    Bytes += 2 * Name.text().capacity() + sizeof(base::MemberName) +
             sizeof(Id) + 2 * sizeof(void *);
  }
  return Bytes;
}

// Discards the low 26 bits of the nanoseconds: 32 bits then wrap only after
// nine years, and the resolution still orders the entries of a bucket.
static uint32_t coarseTimestamp(base::TimePoint Time) {
  constexpr unsigned DiscardedBits = 26;
  auto Nanoseconds = static_cast<uint64_t>(Time.time_since_epoch().count());
  return static_cast<uint32_t>(Nanoseconds >> DiscardedBits);
}

static size_t bucketCount(size_t MaxFlows, size_t EntriesPerBucket) {
  size_t Entries = MaxFlows + MaxFlows / 2;
  return Entries / EntriesPerBucket + 1;
}

FlowCache::FlowCache(size_t MaxFlows)
    : Buckets(bucketCount(MaxFlows, EntriesPerBucket)) {}

size_t FlowCache::bucketIndex(const base::FlowKey &Key) const {
  return Key.Low % this->Buckets.size();
}

FlowCache::Stripe &FlowCache::stripeOf(size_t BucketIndex) {
  return this->Stripes[BucketIndex % StripeCount];
}

FlowCache::Entry *FlowCache::findEntry(Bucket &Entries,
                                       const base::FlowKey &Key) {
  for (Entry &Candidate : Entries) {
    if (Candidate.Member != MemberNameInterner::NoId &&
        Candidate.Tag == Key.High) {
      return &Candidate;
    }
  }
  return nullptr;
}

FlowCache::Entry &FlowCache::selectVictim(Bucket &Entries, uint32_t Now) {
  Entry *Oldest = &Entries.front();
  for (Entry &Candidate : Entries) {
    if (Candidate.Member == MemberNameInterner::NoId) {
      return Candidate;
    }
    if (Now - Candidate.UsedAt > Now - Oldest->UsedAt) {
      Oldest = &Candidate;
    }
  }
  return *Oldest;
}

std::optional<base::MemberName> FlowCache::find(base::TimePoint Now,
                                                const base::FlowKey &Key) {
  size_t Index = this->bucketIndex(Key);
  std::lock_guard Lock(this->stripeOf(Index).Mutex);
  Entry *Found = findEntry(this->Buckets[Index], Key);
  if (Found == nullptr) {
    return std::nullopt;
  }
  Found->UsedAt = coarseTimestamp(Now);
  return this->Members.name(Found->Member);
}

void FlowCache::put(base::TimePoint Now, const base::FlowKey &Key,
                    const base::MemberName &Holder) {
  uint16_t Member = this->Members.acquire(Holder);
  if (Member == MemberNameInterner::NoId) {
    return;
  }
  size_t Index = this->bucketIndex(Key);
  Stripe &Owner = this->stripeOf(Index);
  std::lock_guard Lock(Owner.Mutex);
  Bucket &Entries = this->Buckets[Index];
  Entry *Slot = findEntry(Entries, Key);
  if (Slot == nullptr) {
    Slot = &selectVictim(Entries, coarseTimestamp(Now));
  }
  if (Slot->Member == MemberNameInterner::NoId) {
    ++Owner.Entries;
  } else {
    this->Members.release(Slot->Member);
  }
  *Slot = {Key.High, coarseTimestamp(Now), Member};
}

void FlowCache::erase(const base::FlowKey &Key) {
  size_t Index = this->bucketIndex(Key);
  Stripe &Owner = this->stripeOf(Index);
  std::lock_guard Lock(Owner.Mutex);
  Entry *Found = findEntry(this->Buckets[Index], Key);
  if (Found == nullptr) {
    return;
  }
  this->Members.release(Found->Member);
  *Found = Entry();
  --Owner.Entries;
}

size_t FlowCache::size() const {
  size_t Total = 0;
  for (const Stripe &Each : this->Stripes) {
    std::lock_guard Lock(Each.Mutex);
    Total += Each.Entries;
  }
  return Total;
}

size_t FlowCache::memoryBytes() const {
  return sizeof(*this) + this->Buckets.capacity() * sizeof(Bucket) +
         this->Members.memoryBytes();
}

} // namespace bilberry::routing
