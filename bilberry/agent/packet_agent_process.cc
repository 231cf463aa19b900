#include "bilberry/agent/packet_agent_process.h"

namespace bilberry::agent {

void addAgentMetrics(const PacketAgent &Agent, metrics::Exposition &Page) {
  const PacketAgentCounts &Counts = Agent.counts();
  Page.counter("bilberry_flows_taken_total",
               "Opening packets given to the upstream", Counts.Opened);
  Page.counter("bilberry_packets_returned_total",
               "Packets given back to balancers", Counts.Returned);
  Page.counter("bilberry_packets_delivered_total",
               "Packets given to the upstream", Counts.Delivered);
  Page.counter("bilberry_packets_to_callers_total",
               "The upstream's packets sent to callers", Counts.ToCallers);
  Page.counter("bilberry_packets_bounced_total",
               "Packets that the upstream gave back", Counts.Bounced);
  Page.counter("bilberry_probes_total",
               "Packets given to the upstream to see whether it knows them",
               Counts.Probes);
  Page.counter("bilberry_resets_total", "Flows reset at their callers",
               Counts.Resets);
  Page.counter("bilberry_packets_dropped_total", "Packets dropped",
               Counts.Dropped);
  Page.counter("bilberry_upstream_reports_stale_total",
               "Heartbeats older than what is known", Counts.StaleReports);
  Page.gauge("bilberry_flows_held", "Flows that the upstream holds",
             static_cast<double>(Agent.flows()));
}

} // namespace bilberry::agent
