#include "bilberry/balancer/balancer_pages.h"

#include "bilberry/metrics/exposition.h"
#include "bilberry/node/log_metrics.h"
#include "bilberry/routing/balancer_router.h"

#include <nlohmann/json.hpp>

namespace bilberry::balancer {

static std::string routeReasonName(size_t Index) {
  return std::string(
      routing::routeReasonText(static_cast<routing::RouteReason>(Index)));
}

std::string statusPage(const BalancerStatus &Status) {
  const BalancerCounts &Counts = *Status.Counts;
  nlohmann::json Routes = nlohmann::json::object();
  for (size_t I = 0; I < Counts.Routes.size(); ++I) {
    Routes[routeReasonName(I)] = Counts.Routes[I].load();
  }
  nlohmann::json Page = {
      {"name", Status.Self.Name.text()},
      {"role", members::roleText(Status.Self.Role)},
      {"state", members::stateText(Status.Self.State)},
      {"data_centre", Status.Self.DataCentre.text()},
      {"revision", Status.Self.Applied},
      {"members", Status.Members},
      {"fenced", Status.IsFenced},
      {"pauses", Status.Pauses},
      {"store_calls", Status.StoreCalls},
      {"peer_bytes_sent", Status.Links.SentBytes},
      {"redials", Status.Links.Redials},
      {"cached_flows", Status.CachedFlows},
      {"received", Counts.Received.load()},
      {"forwarded", Counts.Forwarded.load()},
      {"malformed", Counts.Malformed.load()},
      {"routes", Routes},
  };
  return Page.dump(2) + "\n";
}

std::string metricsPage(const BalancerStatus &Status) {
  const BalancerCounts &Counts = *Status.Counts;
  metrics::Exposition Page;
  Page.counter("bilberry_datagrams_received_total",
               "Callers' datagrams received.", Counts.Received.load());
  Page.counter("bilberry_datagrams_forwarded_total",
               "Callers' datagrams forwarded.", Counts.Forwarded.load());
  const char *Drops = "bilberry_dropped_datagrams_total";
  const char *Help = "Datagrams dropped, by cause.";
  Page.counter(Drops, Help, Counts.Malformed.load(), {{"cause", "malformed"}});
  Page.counter(Drops, Help, Status.FencedDatagrams, {{"cause", "paused"}});
  for (size_t I = 0; I < Counts.Routes.size(); ++I) {
    Page.counter("bilberry_routes_total", "Routing decisions, by reason.",
                 Counts.Routes[I].load(), {{"reason", routeReasonName(I)}});
  }
  Page.gauge("bilberry_cached_flows", "Flows in the route cache.",
             static_cast<double>(Status.CachedFlows));
  Page.counter("bilberry_store_calls_total", "Calls to the store.",
               Status.StoreCalls);
  Page.counter("bilberry_peer_bytes_total",
               "Bytes sent to other agents and balancers.",
               Status.Links.SentBytes);
  node::addLogMetrics(Page);
  return Page.text();
}

} // namespace bilberry::balancer
