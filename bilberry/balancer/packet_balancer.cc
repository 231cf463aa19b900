#include "bilberry/balancer/packet_balancer.h"

namespace bilberry::balancer {

void addRouterMetrics(base::TimePoint Now, const routing::PacketRouter &Router,
                      metrics::Exposition &Page) {
  const routing::PacketRouterCounts &Counts = Router.counts();
  const routing::SearchCounts &Search = Router.searchCounts();
  Page.counter("bilberry_flows_placed_near_total",
               "Opening packets sent to agents of this data centre",
               Counts.PlacedNear);
  Page.counter("bilberry_flows_placed_elsewhere_total",
               "Opening packets sent to agents of other data centres",
               Counts.PlacedElsewhere);
  Page.gauge("bilberry_arrivals_per_second",
             "New flows per second that agents admit from all balancers",
             Router.arrivalsPerSecond());
  Page.counter("bilberry_packets_forwarded_total",
               "Packets sent to the holder of their flow", Counts.Forwarded);
  Page.counter("bilberry_packets_returned_total",
               "Packets that an agent returned", Counts.Returned);
  Page.counter("bilberry_flows_refused_total",
               "Opening packets that no upstream accepted", Counts.Refused);
  Page.counter(
      "bilberry_flows_refused_early_total",
      "Queued opening packets refused because no upstream would accept "
      "them in time",
      Counts.RefusedEarly);
  Page.gauge("bilberry_upstreams_slow",
             "Upstreams much slower than others of their service",
             static_cast<double>(Router.slowUpstreams()));
  Page.gauge("bilberry_queue_length", "Queued opening packets",
             static_cast<double>(Router.queuedOpenings()));
  Page.counter("bilberry_flows_held_total",
               "Opening packets queued until an agent has capacity",
               Counts.Held);
  Page.counter("bilberry_flows_given_up_total",
               "Opening packets dropped because no agent had capacity in time",
               Counts.GivenUp);
  Page.counter("bilberry_no_route_total", "Opening packets without a route",
               Counts.NoRoute);
  Page.counter("bilberry_searches_total",
               "Searches for the agent that holds a flow", Search.Searches);
  Page.counter("bilberry_searches_found_total", "Searches that found a holder",
               Search.Found);
  Page.counter("bilberry_searches_unknown_total",
               "Searches that found no holder", Search.Unknown);
  Page.counter("bilberry_searches_unconfirmed_total",
               "Searches that found no holder while the list of agents wasn't "
               "known to be whole",
               Search.Unconfirmed);
  Page.gauge("bilberry_agent_list_confirmed",
             "1 if the list of agents is known to be whole, else 0",
             Router.isListConfirmed(Now) ? 1 : 0);
  const routing::ListExchangeCounts &Lists = Router.listCounts();
  Page.counter("bilberry_agent_list_differences_total",
               "Queries to balancers whose list of agents differed",
               Lists.Differences);
  Page.counter("bilberry_agent_list_confirmations_total",
               "Queries to balancers whether the list of agents is whole",
               Lists.Confirmations);
  Page.counter("bilberry_agents_missing_total",
               "Agents that another balancer listed and that were missing here",
               Lists.MissingAgents);
  Page.counter("bilberry_holders_asked_total",
               "Queries to agents that were overdue to report a flow placed "
               "on them",
               Counts.HoldersAsked);
  Page.counter("bilberry_holders_in_doubt_total",
               "Searches for flows placed on an agent that was silent or gone "
               "before it reported them",
               Counts.HoldersInDoubt);
  Page.counter("bilberry_probes_total",
               "Packets sent to an upstream that might hold their flow",
               Search.Probes);
  Page.counter("bilberry_resets_total", "Flows reset towards their callers",
               Counts.Resets + Search.Resets);
  Page.counter("bilberry_packets_dropped_total", "Packets dropped",
               Counts.Dropped + Search.Dropped);
  Page.gauge("bilberry_flows_known", "Flows whose holder is known",
             static_cast<double>(Router.flows()));
}

} // namespace bilberry::balancer
