// A bounded cache from a flow to the member that carries it. Memory is fixed
// when it is built; the oldest entry of a full bucket makes room for a new
// one. Losing an entry costs a hop.

#ifndef BILBERRY_ROUTING_FLOW_CACHE_H
#define BILBERRY_ROUTING_FLOW_CACHE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ids.h"
#include "bilberry/base/name.h"

#include <optional>

namespace bilberry::routing {

/// Thread-safe, striped by key.
class FlowCache {
public:
  /// Precondition: MaxFlows is at least 1.
  explicit FlowCache(size_t MaxFlows);

  /// The member that carries the flow, if known; marks the entry as used.
  std::optional<base::MemberName> find(base::TimePoint Now,
                                       const base::FlowKey &Key);
  /// Adds or replaces an entry.
  void put(base::TimePoint Now, const base::FlowKey &Key,
           const base::MemberName &Holder);
  /// Drops an entry, if there is one.
  void erase(const base::FlowKey &Key);

  /// Entries held.
  size_t size() const;
  /// Bytes taken, all tables included.
  size_t memoryBytes() const;
};

} // namespace bilberry::routing

#endif
