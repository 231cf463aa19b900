#include "bilberry/routing/flow_cache.h"

#include <limits>

namespace bilberry::routing {

uint16_t MemberNumbers::acquire(const base::MemberName &Name) {
  std::lock_guard Lock(this->Mutex);
  auto Known = this->Numbers.find(Name);
  if (Known != this->Numbers.end()) {
    ++this->Entries[Known->second].Uses;
    return Known->second;
  }
  uint16_t Number = None;
  if (!this->Free.empty()) {
    Number = this->Free.back();
    this->Free.pop_back();
  } else if (this->Entries.size() <= std::numeric_limits<uint16_t>::max()) {
    Number = static_cast<uint16_t>(this->Entries.size());
    this->Entries.emplace_back();
  } else {
    return None;
  }
  this->Entries[Number] = {Name, 1};
  this->Numbers.emplace(Name, Number);
  return Number;
}

void MemberNumbers::release(uint16_t Number) {
  std::lock_guard Lock(this->Mutex);
  Entry &Used = this->Entries[Number];
  if (--Used.Uses == 0) {
    this->Numbers.erase(Used.Name);
    Used.Name = base::MemberName();
    this->Free.push_back(Number);
  }
}

base::MemberName MemberNumbers::name(uint16_t Number) const {
  std::lock_guard Lock(this->Mutex);
  return this->Entries[Number].Name;
}

size_t MemberNumbers::memoryBytes() const {
  std::lock_guard Lock(this->Mutex);
  size_t Bytes = this->Entries.capacity() * sizeof(Entry) +
                 this->Free.capacity() * sizeof(uint16_t) +
                 this->Numbers.bucket_count() * sizeof(void *);
  for (const auto &[Name, Number] : this->Numbers) {
    // The name's text twice, and the map's node: pair, hash and next pointer.
    Bytes += 2 * Name.text().capacity() + sizeof(base::MemberName) +
             sizeof(Number) + 2 * sizeof(void *);
  }
  return Bytes;
}

// Coarse enough that 32 bits last for nine years before they wrap, fine enough
// to tell entries of one bucket apart.
static uint32_t coarseTime(base::TimePoint Time) {
  constexpr unsigned NanosecondBits = 26;
  auto Nanoseconds = static_cast<uint64_t>(Time.time_since_epoch().count());
  return static_cast<uint32_t>(Nanoseconds >> NanosecondBits);
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
    if (Candidate.Member != MemberNumbers::None && Candidate.Tag == Key.High) {
      return &Candidate;
    }
  }
  return nullptr;
}

FlowCache::Entry &FlowCache::victim(Bucket &Entries, uint32_t Now) {
  Entry *Oldest = &Entries.front();
  for (Entry &Candidate : Entries) {
    if (Candidate.Member == MemberNumbers::None) {
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
  Found->UsedAt = coarseTime(Now);
  return this->Members.name(Found->Member);
}

void FlowCache::put(base::TimePoint Now, const base::FlowKey &Key,
                    const base::MemberName &Holder) {
  uint16_t Member = this->Members.acquire(Holder);
  if (Member == MemberNumbers::None) {
    return;
  }
  size_t Index = this->bucketIndex(Key);
  Stripe &Owner = this->stripeOf(Index);
  std::lock_guard Lock(Owner.Mutex);
  Bucket &Entries = this->Buckets[Index];
  Entry *Place = findEntry(Entries, Key);
  if (Place == nullptr) {
    Place = &victim(Entries, coarseTime(Now));
  }
  if (Place->Member == MemberNumbers::None) {
    ++Owner.Entries;
  } else {
    this->Members.release(Place->Member);
  }
  *Place = {Key.High, coarseTime(Now), Member};
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
  for (const Stripe &Part : this->Stripes) {
    std::lock_guard Lock(Part.Mutex);
    Total += Part.Entries;
  }
  return Total;
}

size_t FlowCache::memoryBytes() const {
  return sizeof(*this) + this->Buckets.capacity() * sizeof(Bucket) +
         this->Members.memoryBytes();
}

} // namespace bilberry::routing
