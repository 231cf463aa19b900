// Where a balancer sends a caller's datagram. Its choice is a hint that finds
// the right agent quickly: a wrong one costs a hop, never a promise. It keeps
// a bounded cache of flows, which may be lost at any moment.

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

/// Why the agent was chosen, or the datagram dropped; for the log line.
enum class RouteReason : uint8_t {
  /// A new flow, to the first of the placement order.
  NewFlow,
  /// A known flow, by the cache.
  Cached,
  /// A flow that the cache doesn't know, to the first of the lookup order.
  LookupFirst,
  /// A request or cancellation, to the first of its shard's order.
  RequestShard,
  /// Dropped: the service has no member.
  NoMember,
  /// Dropped: the class isn't one of this service's.
  WrongService,
};
/// The reason as a word. Never fails.
std::string_view routeReasonText(RouteReason Reason);

struct Route {
  RouteReason Reason = RouteReason::NoMember;
  /// Empty and port 0 where the datagram is dropped.
  base::MemberName Receiver;
  base::Address To;
};

/// Thread-safe: the cache has its own locks, and the tables theirs.
class BalancerRouter {
public:
  /// Both tables must outlive the router. CacheFlows bounds the cache.
  BalancerRouter(const targets::TargetTable &Targets,
                 const members::MemberTable &Members, size_t CacheFlows);

  /// Chooses the agent for a caller's datagram. Cost: one hash a member of
  /// the service where the cache doesn't know the flow.
  Route route(base::TimePoint Now, const base::ServiceName &Service,
              const base::Address &Caller, const wire::CallerPacket &Packet);

  /// Learns who carries a flow.
  void onHolderHint(base::TimePoint Now, const wire::HolderHint &Hint);

  /// Notes that a member has not answered several probes, or has again.
  /// An unresponsive member is passed over for new flows and requests.
  void setUnresponsive(const base::MemberName &Name, bool IsUnresponsive);

  /// Flows that the cache holds.
  size_t cachedFlows() const;

private:
  using MemberNames = std::set<base::MemberName>;

  Route routeFlow(base::TimePoint Now, const base::ServiceName &Service,
                  const base::Address &Caller, const wire::FlowPacket &Packet);
  Route routeRequest(const base::ServiceName &Service, base::RequestId Id);
  // The first of the placement order that responds and is in service, or the
  // best that there is.
  const members::RankedMember *firstForNewWork(const targets::Targets &Document,
                                               const members::ServiceView &View,
                                               const base::FlowKey &Key);
  std::shared_ptr<const MemberNames> unresponsive() const;

  const targets::TargetTable &Targets;
  const members::MemberTable &Members;
  FlowCache Cache;
  mutable base::RankedMutex Mutex{base::LockRank::Counters};
  // Replaced, never changed, so that readers need no lock while they use it.
  std::shared_ptr<const MemberNames> Unresponsive =
      std::make_shared<const MemberNames>();
};

} // namespace bilberry::routing

#endif
