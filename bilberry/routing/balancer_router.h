// Selects the agent to which a balancer forwards a caller's datagram. The
// selection is a hint: a wrong one costs an extra hop but never correctness.
// The router has a bounded flow cache, whose contents may be lost at any time.

#ifndef BILBERRY_ROUTING_BALANCER_ROUTER_H
#define BILBERRY_ROUTING_BALANCER_ROUTER_H

#include "bilberry/members/member_table.h"
#include "bilberry/routing/flow_cache.h"
#include "bilberry/targets/target_table.h"
#include "bilberry/wire/caller_message.h"
#include "bilberry/wire/data_message.h"

#include <memory>
#include <set>
#include <string_view>
#include <variant>

namespace bilberry::routing {

/// Why the agent was selected or the datagram dropped, for logs and metrics.
enum class RouteReason : uint8_t {
  /// A new flow, sent to the first member in placement order.
  NewFlow,
  /// A flow found in the cache.
  Cached,
  /// An existing flow that is not cached, sent to the first member in lookup
  /// order.
  LookupFirst,
  /// A request or cancellation, sent to the first member in its shard's order.
  RequestShard,
  /// Dropped: the service has no eligible member.
  NoMember,
  /// Dropped: the class doesn't belong to this service.
  WrongService,
};
/// Returns the log name of the reason. Never fails.
std::string_view routeReasonText(RouteReason Reason);

/// The routing decision for one datagram.
struct Route {
  RouteReason Reason = RouteReason::NoMember;
  /// Empty, with To left at port 0, if the datagram is dropped.
  base::MemberName Receiver;
  base::Address To;
};

/// Thread-safe: the cache and both tables do their own locking.
class BalancerRouter {
public:
  /// Both tables must outlive the router. CacheFlows is the cache capacity in
  /// flows.
  BalancerRouter(const targets::TargetTable &Targets,
                 const members::MemberTable &Members, size_t CacheFlows);

  /// Selects the agent for a caller's datagram. On a cache miss this computes
  /// one hash per member of the service.
  Route route(base::TimePoint Now, const base::ServiceName &Service,
              const base::Address &Caller, const wire::CallerPacket &Packet);

  /// Caches the member that carries a flow.
  void onHolderHint(base::TimePoint Now, const wire::HolderHint &Hint);

  /// Sets whether a member has failed to answer several probes. Unresponsive
  /// members are skipped for new flows and requests.
  void setUnresponsive(const base::MemberName &Name, bool IsUnresponsive);

  /// Number of flows in the cache.
  size_t cachedFlows() const;

private:
  using MemberNames = std::set<base::MemberName>;

  Route routeFlow(base::TimePoint Now, const base::ServiceName &Service,
                  const base::Address &Caller, const wire::FlowPacket &Packet);
  Route routeRequest(const base::ServiceName &Service, base::RequestId Id);
  // Returns the first member in placement order that is responsive and in
  // service. Falls back to unresponsive members, then to the lookup order, and
  // returns null if no member is in service.
  const members::HashedMember *
  selectForNewWork(const targets::Targets &Document,
                   const members::ServiceView &View, const base::FlowKey &Key);
  std::shared_ptr<const MemberNames> unresponsive() const;

  const targets::TargetTable &Targets;
  const members::MemberTable &Members;
  FlowCache Cache;
  mutable base::RankedMutex Mutex{base::LockRank::Counters};
  // Copy-on-write, so that readers need no lock while they use the set.
  std::shared_ptr<const MemberNames> Unresponsive =
      std::make_shared<const MemberNames>();
};

} // namespace bilberry::routing

#endif
