// The searches of an agent for the holders of flows, and the callers' packets
// queued until a search ends. The queues are bounded: packets beyond the limits
// are dropped, and the callers retransmit them.

#ifndef BILBERRY_ROUTING_FLOW_SEARCH_H
#define BILBERRY_ROUTING_FLOW_SEARCH_H

#include "bilberry/base/clock.h"
#include "bilberry/routing/flow_table.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberry::routing {

/// How long to wait for a member's reply to a query.
inline constexpr base::Duration QueryTimeout = std::chrono::milliseconds(500);
/// Maximum number of packets queued for one flow.
inline constexpr size_t MaxQueuedPacketsPerFlow = 8;
/// Maximum size in bytes of all queued packets.
inline constexpr size_t MaxQueuedBytes = 4 * 1024 * 1024;

/// A set of member names, stored as a list because a service has few agents.
class MemberNameSet {
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

/// The state of the search for one flow.
struct FlowSearch {
  /// True if this agent claims the flow, that is, asks the other members
  /// whether it may become the holder; false if it looks for the holder.
  bool IsClaim = false;
  /// True while a connection slot of the connection limit is reserved for the
  /// claim.
  bool HoldsConnection = false;
  base::TimePoint StartedAt;
  /// Members whose reply is required to finish the search.
  MemberNameSet PendingReplies;
  /// Members that have replied that they don't carry the flow.
  MemberNameSet Replied;
  /// Members with a concurrent claim to the flow.
  MemberNameSet OtherClaimants;
  /// The holder named in another member's record.
  base::MemberName RecordedHolder;
  std::vector<StoredPacket> QueuedPackets;
};

/// Not thread-safe.
class FlowSearches {
public:
  using SearchMap = std::unordered_map<base::FlowKey, FlowSearch>;

  /// Returns the search for the flow, or null.
  FlowSearch *find(const base::FlowKey &Key);
  /// Starts a search. Precondition: there is none for the flow.
  FlowSearch &start(base::TimePoint Now, const base::FlowKey &Key,
                    bool IsClaim);
  /// Queues a packet until the search ends. Returns false if a limit is
  /// reached.
  bool queuePacket(FlowSearch &Search, StoredPacket Packet);
  /// Removes the search and returns it. Precondition: there is one.
  FlowSearch finish(const base::FlowKey &Key);
  /// Returns the flows whose searches started at least QueryTimeout ago.
  std::vector<base::FlowKey> timedOutFlows(base::TimePoint Now) const;
  /// Clears HoldsConnection of all searches, after the loss of the upstream.
  void clearHeldConnections();

private:
  SearchMap Searches;
  size_t QueuedBytes = 0;
};

} // namespace bilberry::routing

#endif
