// Decides which balancers get an agent's status, and how often.
//
// A caller's packets reach only balancers of its own data centre, so most
// placements need the load of the agents in the same data centre. Balancers
// there get every status. Of each other data centre, only RelaysPerDataCentre
// balancers get one, less often, and pass it on to the others there. They are
// chosen by rendezvous hashing over the balancers that were heard recently, so
// that the work is spread evenly and a lost balancer is replaced by itself.
//
// When the upstreams of a data centre have a queue, its balancers place flows
// in others. A balancer that has done so lately gets every status too: with
// loads that are a second old, all balancers would send their queued flows to
// the same upstreams at once, and find them full.
//
// Designed for hundreds of machines in several data centres, where a status
// from each agent to each balancer costs more than all callers' packets.

#ifndef BILBERRY_AGENT_STATUS_RECEIVERS_H
#define BILBERRY_AGENT_STATUS_RECEIVERS_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ids.h"
#include "bilberry/wire/relay_message.h"

#include <map>
#include <vector>

namespace bilberry::agent {

/// A balancer without a message for this long gets no more statuses. This is
/// longer than a store outage, during which a restarted balancer can learn of
/// agents only from the agents themselves.
inline constexpr base::Duration BalancerExpiry = std::chrono::seconds(60);
/// The number of balancers of another data centre that get a status. One may be
/// lost without notice.
inline constexpr size_t RelaysPerDataCentre = 2;
/// A balancer of another data centre without a message for this long isn't
/// chosen to pass statuses on: two of its messages were missed.
inline constexpr base::Duration RelayExpiry = std::chrono::seconds(25);
/// How long a balancer of another data centre gets every status after it has
/// sent an opening packet.
inline constexpr base::Duration PlacementMemory = std::chrono::seconds(3);
/// A balancer of this data centre that was heard within this time is named to
/// the others there: three of its messages may be missed.
inline constexpr base::Duration NearBalancerExpiry =
    std::chrono::milliseconds(3500);

/// A balancer of this data centre that follows the store is relied on for
/// changes of the documents for this long after its last message: two of its
/// messages may be missed.
inline constexpr base::Duration FollowerTimeout =
    std::chrono::milliseconds(2200);

/// The balancers that one agent knows. Not thread-safe.
class StatusReceivers {
public:
  StatusReceivers(const base::MemberName &Agent,
                  base::DataCentreName DataCentre);

  /// Records a message of a balancer. Returns true if it is the first one of
  /// its run. A balancer that names no data centre counts as one of this data
  /// centre.
  bool record(base::TimePoint Now, const base::Address &From,
              const wire::BalancerHello &Hello);
  /// Records an opening packet from the machine with this IP address.
  void recordOpening(base::TimePoint Now, uint32_t Ip);
  /// Forgets balancers without a message for BalancerExpiry.
  void expire(base::TimePoint Now);

  /// The data centre of the balancer on the machine with this IP address; this
  /// agent's own if the balancer is unknown.
  const base::DataCentreName &dataCentreOf(uint32_t Ip) const;
  /// All balancers of a data centre.
  std::vector<base::Address>
  balancersIn(const base::DataCentreName &Name) const;
  /// The balancers of this data centre that were heard recently.
  std::vector<base::Address> nearBalancers(base::TimePoint Now) const;
  /// True if a balancer of this data centre that follows the store has sent a
  /// message within FollowerTimeout.
  bool hasFollower(base::TimePoint Now) const;
  /// The balancers of the other data centres that pass statuses on, without
  /// those of farPlacers().
  std::vector<base::Address> relays(base::TimePoint Now) const;
  /// The balancers of other data centres that have sent opening packets lately.
  std::vector<base::Address> farPlacers(base::TimePoint Now) const;
  /// The data centre of this agent.
  const base::DataCentreName &local() const { return this->DataCentre; }

private:
  struct Balancer {
    base::Incarnation Run = 0;
    base::DataCentreName DataCentre;
    base::TimePoint LastMessageAt;
    uint64_t NameHash = 0;
    base::TimePoint LastOpeningAt;
    bool FollowsStore = false;
  };

  bool isFarPlacer(base::TimePoint Now, const Balancer &Known) const;

  base::FlowKey AgentKey;
  base::DataCentreName DataCentre;
  std::map<base::Address, Balancer> Balancers;
};

} // namespace bilberry::agent

#endif
