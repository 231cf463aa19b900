// A hash map by flow that holds a bounded number of entries: the entry that
// was put first makes room for a new one.

#ifndef BILBERRY_ROUTING_BOUNDED_FLOW_MAP_H
#define BILBERRY_ROUTING_BOUNDED_FLOW_MAP_H

#include "bilberry/base/ids.h"

#include <list>
#include <unordered_map>
#include <utility>

namespace bilberry::routing {

/// Not safe for use by two threads at once.
template <typename T> class BoundedFlowMap {
public:
  /// Precondition: MaxEntries is at least 1.
  explicit BoundedFlowMap(size_t MaxEntries) : MaxEntries(MaxEntries) {}

  /// The entry, or null. Good until the next put or erase.
  const T *find(const base::FlowKey &Key) const {
    auto It = this->Entries.find(Key);
    return It == this->Entries.end() ? nullptr : &It->second.Value;
  }

  /// Adds an entry or replaces it, as the youngest.
  void put(const base::FlowKey &Key, T Value) {
    this->erase(Key);
    if (this->Entries.size() >= this->MaxEntries) {
      this->Entries.erase(this->Order.front());
      this->Order.pop_front();
    }
    this->Order.push_back(Key);
    this->Entries.emplace(Key, Entry{std::move(Value), std::prev(Order.end())});
  }

  /// Drops an entry, if there is one.
  void erase(const base::FlowKey &Key) {
    auto It = this->Entries.find(Key);
    if (It == this->Entries.end()) {
      return;
    }
    this->Order.erase(It->second.Place);
    this->Entries.erase(It);
  }

  /// Drops the oldest entries while IsPast is true of them.
  template <typename Predicate> void eraseOldestWhile(Predicate IsPast) {
    while (!this->Order.empty() &&
           IsPast(this->Entries.at(this->Order.front()).Value)) {
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
    std::list<base::FlowKey>::iterator Place;
  };

  size_t MaxEntries;
  std::list<base::FlowKey> Order;
  std::unordered_map<base::FlowKey, Entry> Entries;
};

} // namespace bilberry::routing

#endif
