// The other balancers of the same data centre: passes statuses of agents on to
// them, and decides which of them follow the agents' announcements and the
// operators' documents in the store.
//
// An agent sends its status to all balancers of its own data centre, but only
// to a few of each other one, and a new agent is known at first only to the
// balancers that follow the store. Those pass on what the others lack. A
// balancer that has just started gets all that the others know. Messages may be
// lost, so the lists of agents are compared (AgentListExchange).
//
// Each waiting watch and each change that it reports is a call to the store, so
// only FollowersPerDataCentre balancers follow it. They are ranked by
// rendezvous hashing. A balancer follows the store itself unless enough
// better-ranked ones say that they do and that their view is current. So a
// lost, cut off or paused follower is replaced without agreement, and a
// balancer without peers always does. While two balancers rank
// differently, more of them follow the store, never fewer.
//
// Designed for hundreds of machines, where changes of the members reach the
// store several times a second during a release.

#ifndef BILBERRY_ROUTING_PEER_BALANCERS_H
#define BILBERRY_ROUTING_PEER_BALANCERS_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ids.h"
#include "bilberry/members/agent_views.h"
#include "bilberry/packet/packet_actions.h"
#include "bilberry/routing/agent_list_exchange.h"
#include "bilberry/routing/peer_identity.h"

#include <map>
#include <vector>

namespace bilberry::routing {

/// The number of balancers of a data centre that follow the store.
inline constexpr size_t FollowersPerDataCentre = 2;
/// Interval of the messages to the other balancers.
inline constexpr base::Duration PassInterval = std::chrono::milliseconds(500);
/// Minimum time between two messages if the list of agents has changed.
inline constexpr base::Duration ListNewsInterval =
    std::chrono::milliseconds(200);
/// A balancer without a message for this long isn't relied on: four messages
/// were missed.
inline constexpr base::Duration PeerTimeout = std::chrono::milliseconds(2200);
/// A balancer that neither sends messages nor is named by an agent for this
/// long is forgotten.
inline constexpr base::Duration PeerExpiry = std::chrono::seconds(10);
/// How long after its start a balancer follows the store in any case: it learns
/// meanwhile which others do.
inline constexpr base::Duration FollowingGracePeriod = std::chrono::seconds(3);

/// What a balancer knows from the store.
struct StoreView {
  /// It follows the store, and its view is current.
  bool IsCurrent = false;
  /// When the announcements were last applied.
  base::TimePoint ReadAt;
  wire::DocumentsVersion Documents;
};

/// Not thread-safe.
class PeerBalancers {
public:
  /// Agents must outlive the object.
  PeerBalancers(PeerIdentity Self, base::TimePoint StartedAt,
                const members::AgentViews &Agents);

  /// Records the balancers that an agent of this data centre has heard.
  void learn(base::TimePoint Now, const std::vector<base::Address> &Addresses);
  /// Records that the others may lack the agent's last status.
  void passOn(members::AgentIndex Agent);
  /// Records a message. If it is the first one of a run, the sender is sent all
  /// statuses. The caller applies the statuses in it.
  void onMessage(base::TimePoint Now, const base::Address &From,
                 const wire::PassedStatuses &Message,
                 packet::PacketActions &Out);
  /// Handles another balancer's query for differences of the lists of agents.
  void onListQuery(const base::Address &From, const wire::AgentListQuery &Query,
                   packet::PacketActions &Out) const;
  /// Handles the answer to such a query.
  void onListAnswer(base::TimePoint Now, const base::Address &From,
                    const wire::AgentListAnswer &Answer,
                    packet::PacketActions &Out);
  /// Sends the statuses that another balancer asks for.
  void onStatusQuery(base::TimePoint Now, const base::Address &From,
                     const wire::StatusQuery &Query,
                     packet::PacketActions &Out) const;
  /// Sends what is due. Call several times a second, after the tick of the
  /// agents' views. FlowLifetime is how long an open flow may be idle. A
  /// follower sends a new version of the documents at once.
  void onTick(base::TimePoint Now, const StoreView &View,
              base::Duration FlowLifetime, packet::PacketActions &Out);

  /// True if this balancer must follow the store.
  bool mustFollowStore(base::TimePoint Now) const;
  /// The number of balancers that were heard recently.
  size_t heard(base::TimePoint Now) const;
  /// The comparison of the lists of agents.
  AgentListExchange &lists() { return this->Lists; }
  const AgentListExchange &lists() const { return this->Lists; }

private:
  struct Peer {
    base::MemberName Name;
    base::Incarnation Run = 0;
    uint64_t Score = 0;
    bool FollowsStore = false;
    base::TimePoint LastMessageAt;
    base::TimePoint LastNamedAt;

    bool isHeard(base::TimePoint Now) const {
      return this->Run != 0 && Now - this->LastMessageAt <= PeerTimeout;
    }
  };

  uint64_t scoreOf(const base::MemberName &Name) const;
  bool isHeard(base::TimePoint Now, const base::Address &From) const;
  void send(base::TimePoint Now, const std::vector<base::Address> &To,
            const std::vector<members::AgentIndex> &AgentIndexes,
            packet::PacketActions &Out) const;

  PeerIdentity Self;
  base::TimePoint StartedAt;
  const members::AgentViews &Agents;
  uint64_t Score;
  std::map<base::Address, Peer> Peers;
  AgentListExchange Lists;
  // Agents whose last status is to be passed on, each at most once.
  std::vector<members::AgentIndex> Pending;
  base::TimePoint LastPassAt;
  StoreView View;
  // The digest of the list of agents in the last message.
  uint64_t PassedDigest = 0;
};

} // namespace bilberry::routing

#endif
