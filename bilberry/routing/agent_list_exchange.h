// Keeps the lists of agents of the balancers of one data centre equal, and
// tells whether this balancer's list is known to be whole.
//
// A new agent is announced in the store, which only some balancers follow, and
// passed on to the others by messages that may be lost. A balancer that misses
// them takes the agent's flows for unknown ones. So each message between the
// balancers carries a digest of the sender's list (members/agent_list.h). If
// another balancer's digest differs for longer than news take, this one asks
// it which agents it lists in the buckets that differ, and then for the
// statuses of those that are missing here (anti-entropy, see Demers et al.,
// "Epidemic algorithms for replicated database maintenance", 1987).
//
// The list is whole if a balancer that follows the store, this one or another,
// has the same list, and if no other one lists an agent that is missing here.
// That holds only as of the messages that show it: confirmedAt() is their time.
// A flow may be declared unknown only if the list was whole after the search
// began.
//
// Designed for the loss of any single message, for cuts of seconds during a
// release, and for fleets whose list doesn't fit a datagram.

#ifndef BILBERRY_ROUTING_AGENT_LIST_EXCHANGE_H
#define BILBERRY_ROUTING_AGENT_LIST_EXCHANGE_H

#include "bilberry/base/clock.h"
#include "bilberry/members/agent_list.h"
#include "bilberry/members/agent_views.h"
#include "bilberry/packet/packet_actions.h"
#include "bilberry/routing/peer_identity.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace bilberry::routing {

/// Minimum time between two queries for differences. A query or its answer may
/// be lost.
inline constexpr base::Duration ListQueryInterval =
    std::chrono::milliseconds(100);
/// The list of a balancer that follows the store is asked for if it differs for
/// this long. Most differences end sooner, with an agent's own status.
inline constexpr base::Duration FollowerSettleTime =
    std::chrono::milliseconds(150);
/// The same for a balancer that doesn't follow the store: that one usually
/// lacks an agent, and asks a follower itself.
inline constexpr base::Duration PeerSettleTime = std::chrono::seconds(1);
/// A digest is evidence for this long: two messages of its sender, each
/// PassInterval apart, and some delay.
inline constexpr base::Duration MaxListEvidenceAge =
    std::chrono::milliseconds(1200);
/// The maximum number of balancers that are queried at a time: those that
/// follow the store.
inline constexpr size_t MaxListQueriesAtOnce = 2;

/// Counters exported as metrics.
struct ListExchangeCounts {
  /// Queries sent because another balancer's list differed.
  uint64_t Differences = 0;
  /// Queries sent because a search needed to know whether the list is whole.
  uint64_t Confirmations = 0;
  /// Agents that another balancer listed and that were missing here.
  uint64_t MissingAgents = 0;
};

/// Not thread-safe.
class AgentListExchange {
public:
  /// Agents must outlive the object.
  AgentListExchange(PeerIdentity Self, const members::AgentViews &Agents)
      : Self(std::move(Self)), Agents(Agents) {}

  /// Brings this balancer's list up to date. Call after each tick of the
  /// agents' views. StoreReadAt is when the announcements were last applied, if
  /// this balancer follows the store and its view is current; FlowLifetime is
  /// how long an open flow may be idle.
  void update(base::TimePoint Now, std::optional<base::TimePoint> StoreReadAt,
              base::Duration FlowLifetime);
  /// The digest of this balancer's list.
  uint64_t digest() const { return this->Own.Digest; }

  /// Records the digest in a message of another balancer. 0 is ignored: that
  /// balancer doesn't send digests.
  void recordDigest(base::TimePoint Now, const base::Address &From,
                    uint64_t Digest, bool FollowsStore);
  /// Forgets what a balancer has said, because it is no longer heard.
  void forget(const base::Address &From) { this->Others.erase(From); }
  /// Answers a query. Precondition: it comes from this data centre.
  void onQuery(const base::Address &From, const wire::AgentListQuery &Query,
               packet::PacketActions &Out) const;
  /// Compares an answer with this balancer's list, and asks for the statuses of
  /// agents that are missing here. Answers of balancers whose digest isn't
  /// known are ignored.
  void onAnswer(base::TimePoint Now, const base::Address &From,
                const wire::AgentListAnswer &Answer,
                packet::PacketActions &Out);
  /// Makes the next tick ask the balancers that follow the store for their
  /// digest, unless they have sent it since this time.
  void requestConfirmation(base::TimePoint Since) {
    this->ConfirmationSince = std::max(this->ConfirmationSince, Since);
  }
  /// Sends the queries that are due. Call several times a second.
  void onTick(base::TimePoint Now, packet::PacketActions &Out);

  /// The latest time at which the list was whole, or nothing if that isn't
  /// known.
  std::optional<base::TimePoint> confirmedAt(base::TimePoint Now) const;
  /// True if no other balancer of this data centre lists an agent that is
  /// missing or gone here, by evidence not older than MaxListEvidenceAge.
  bool coversOthers(base::TimePoint Now) const;

  const ListExchangeCounts &counts() const { return this->Counts; }

private:
  /// What another balancer has said of its list.
  struct OtherList {
    uint64_t Digest = 0;
    bool FollowsStore = false;
    base::TimePoint LastHeardAt;
    base::TimePoint LastQueriedAt;
    /// Since when its list isn't covered by this balancer's.
    std::optional<base::TimePoint> DiffersSince;
    /// An answer has shown that a list with the digest CoveredDigest has no
    /// agent that this balancer's list with the digest CoveredBy lacks.
    uint64_t CoveredDigest = 0;
    uint64_t CoveredBy = 0;
  };

  bool isCovered(const OtherList &Other) const {
    return Other.Digest == this->Own.Digest ||
           (Other.Digest == Other.CoveredDigest &&
            this->Own.Digest == Other.CoveredBy);
  }
  bool isQueryDue(base::TimePoint Now, const OtherList &Other) const;

  PeerIdentity Self;
  const members::AgentViews &Agents;
  members::AgentList Own;
  std::optional<base::TimePoint> StoreReadAt;
  std::map<base::Address, OtherList> Others;
  base::TimePoint LastQueryAt;
  // The start of the latest search that waits for a confirmation.
  base::TimePoint ConfirmationSince;
  ListExchangeCounts Counts;
};

} // namespace bilberry::routing

#endif
