// Flows that an agent has asked the others about, and the callers' packets
// that wait for the answer. Bounded: what doesn't fit is dropped, and the
// caller sends it again.

#ifndef BILBERRY_ROUTING_FLOW_SEARCH_H
#define BILBERRY_ROUTING_FLOW_SEARCH_H

#include "bilberry/base/clock.h"
#include "bilberry/routing/flow_table.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberry::routing {

/// How long an answer may take before its sender counts as silent.
inline constexpr base::Duration QueryTimeout = std::chrono::milliseconds(500);
/// Packets that wait for one flow.
inline constexpr size_t MaxParkedPerFlow = 8;
/// Bytes of all packets that wait.
inline constexpr size_t MaxParkedBytes = 4 * 1024 * 1024;

/// A list of members that is as short as a service has agents.
class MemberList {
public:
  bool contains(const base::MemberName &Name) const {
    return std::find(this->Names.begin(), this->Names.end(), Name) !=
           this->Names.end();
  }
  void add(const base::MemberName &Name) {
    if (!this->contains(Name)) {
      this->Names.push_back(Name);
    }
  }
  void remove(const base::MemberName &Name) { std::erase(this->Names, Name); }
  bool empty() const { return this->Names.empty(); }
  auto begin() const { return this->Names.begin(); }
  auto end() const { return this->Names.end(); }

private:
  std::vector<base::MemberName> Names;
};

/// What is known so far of one flow that we ask about.
struct FlowSearch {
  /// True where we want to carry it, false where we want to find it.
  bool IsClaim = false;
  /// True while a connection is held for the claim.
  bool HoldsConnection = false;
  base::TimePoint AskedAt;
  /// Members whose answer the decision waits for.
  MemberList Waiting;
  /// Members that have said that they don't carry it.
  MemberList Answered;
  /// Members that claim it at the same time.
  MemberList Rivals;
  /// The holder by somebody else's record.
  base::MemberName Recorded;
  std::vector<KeptPacket> Parked;
};

/// Not safe for use by two threads at once.
class FlowSearches {
public:
  using SearchMap = std::unordered_map<base::FlowKey, FlowSearch>;

  /// The search for the flow, or null.
  FlowSearch *find(const base::FlowKey &Key);
  /// Begins a search. Precondition: there is none for the flow.
  FlowSearch &start(base::TimePoint Now, const base::FlowKey &Key,
                    bool IsClaim);
  /// Keeps a packet until the search ends. False where there is no room.
  bool park(FlowSearch &Search, KeptPacket Packet);
  /// Ends a search. Precondition: there is one.
  FlowSearch take(const base::FlowKey &Key);
  /// The flows whose searches have waited for longer than QueryTimeout.
  std::vector<base::FlowKey> timedOut(base::TimePoint Now) const;
  /// Notes that the upstream's connections are gone.
  void forgetConnections();

private:
  SearchMap Searches;
  size_t ParkedBytes = 0;
};

} // namespace bilberry::routing

#endif
