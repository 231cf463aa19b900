#include "bilberry/balancer/packet_balancer.h"

namespace bilberry::balancer {

void addRouterMetrics(const routing::PacketRouter &Router,
                      metrics::Exposition &Page) {
  const routing::PacketRouterCounts &Counts = Router.counts();
  const routing::SearchCounts &Search = Router.searchCounts();
  Page.counter("bilberry_flows_placed_total", "Opening packets sent to agents",
               Counts.Placed);
  Page.counter("bilberry_packets_forwarded_total",
               "Packets sent to the holder of their flow", Counts.Forwarded);
  Page.counter("bilberry_packets_returned_total",
               "Packets that an agent gave back", Counts.Returned);
  Page.counter("bilberry_flows_refused_total",
               "Opening packets that no upstream took", Counts.Refused);
  Page.counter("bilberry_flows_held_total",
               "Opening packets that waited for room", Counts.Held);
  Page.counter("bilberry_flows_given_up_total",
               "Opening packets that found no room in time", Counts.GivenUp);
  Page.counter("bilberry_no_route_total", "Opening packets without a route",
               Counts.NoRoute);
  Page.counter("bilberry_searches_total", "Flows whose holder was asked for",
               Search.Searches);
  Page.counter("bilberry_searches_found_total", "Searches with a holder",
               Search.Found);
  Page.counter("bilberry_searches_unknown_total", "Searches without a holder",
               Search.Unknown);
  Page.counter("bilberry_probes_total",
               "Packets sent to an upstream that might hold their flow",
               Search.Probes);
  Page.counter("bilberry_resets_total", "Flows reset at their callers",
               Counts.Resets + Search.Resets);
  Page.counter("bilberry_packets_dropped_total", "Packets dropped",
               Counts.Dropped + Search.Dropped);
  Page.gauge("bilberry_flows_known", "Flows whose holder is known",
             static_cast<double>(Router.flows()));
}

} // namespace bilberry::balancer
