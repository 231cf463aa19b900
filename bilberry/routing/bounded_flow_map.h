// A hash map keyed by flow with a bounded number of entries. When the map is
// full, the entry that was put first is evicted.

#ifndef BILBERRY_ROUTING_BOUNDED_FLOW_MAP_H
#define BILBERRY_ROUTING_BOUNDED_FLOW_MAP_H

#include "bilberry/base/ids.h"

#include <list>
#include <unordered_map>
#include <utility>

namespace bilberry::routing {

/// Not thread-safe.
template <typename T> class BoundedFlowMap {
public:
  /// Precondition: MaxEntries is at least 1.
  explicit BoundedFlowMap(size_t MaxEntries) : MaxEntries(MaxEntries) {}

  /// Returns the entry, or null. The pointer is valid until the next put or
  /// erase.
  const T *find(const base::FlowKey &Key) const {
    auto It = this->Entries.find(Key);
    return It == this->Entries.end() ? nullptr : &It->second.Value;
  }

  /// Adds or replaces an entry and makes it the newest one.
  void put(const base::FlowKey &Key, T Value) {
    this->erase(Key);
    if (this->Entries.size() >= this->MaxEntries) {
      this->Entries.erase(this->Order.front());
      this->Order.pop_front();
    }
    this->Order.push_back(Key);
    this->Entries.emplace(Key, Entry{std::move(Value), std::prev(Order.end())});
  }

  /// Removes an entry, if present.
  void erase(const base::FlowKey &Key) {
    auto It = this->Entries.find(Key);
    if (It == this->Entries.end()) {
      return;
    }
    this->Order.erase(It->second.OrderPosition);
    this->Entries.erase(It);
  }

  /// Removes entries, oldest first, until IsExpired returns false for one.
  template <typename Predicate> void eraseOldestWhile(Predicate IsExpired) {
    while (!this->Order.empty() &&
           IsExpired(this->Entries.at(this->Order.front()).Value)) {
      this->Entries.erase(this->Order.front());
      this->Order.pop_front();
    }
  }

  /// Calls Visit(key, value) for each entry, oldest first.
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const base::FlowKey &Key : this->Order) {
      Visit(Key, this->Entries.at(Key).Value);
    }
  }

  size_t size() const { return this->Entries.size(); }

private:
  struct Entry {
    T Value;
    std::list<base::FlowKey>::iterator OrderPosition;
  };

  size_t MaxEntries;
  std::list<base::FlowKey> Order;
  std::unordered_map<base::FlowKey, Entry> Entries;
};

} // namespace bilberry::routing

#endif
