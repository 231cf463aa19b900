#include "bilberry/agent/packet_agent_process.h"

namespace bilberry::agent {

void addAgentMetrics(base::TimePoint Now, const PacketAgent &Agent,
                     metrics::Exposition &Page) {
  const PacketAgentCounts &Counts = Agent.counts();
  Page.counter("bilberry_flows_taken_total",
               "Opening packets delivered to the upstream", Counts.Opened);
  Page.counter("bilberry_packets_returned_total",
               "Packets returned to balancers", Counts.Returned);
  Page.counter("bilberry_packets_delivered_total",
               "Packets delivered to the upstream", Counts.Delivered);
  Page.counter("bilberry_packets_to_callers_total",
               "Packets sent from the upstream to callers",
               Counts.SentToCallers);
  Page.counter("bilberry_packets_bounced_total",
               "Packets that the upstream returned", Counts.Bounced);
  Page.counter("bilberry_probes_total",
               "Packets delivered to find out whether the upstream holds their "
               "flow",
               Counts.Probes);
  Page.counter("bilberry_probes_unanswered_total",
               "Packets returned because the upstream is silent, so that it "
               "couldn't be found out whether it holds their flow",
               Counts.UnansweredProbes);
  Page.counter("bilberry_resets_total", "Flows reset towards their callers",
               Counts.Resets);
  Page.counter("bilberry_packets_dropped_total", "Packets dropped",
               Counts.Dropped);
  Page.counter("bilberry_upstream_reports_stale_total",
               "Heartbeats older than the newest one", Counts.StaleReports);
  Page.counter("bilberry_upstream_reports_foreign_total",
               "Heartbeats of another service or address than the upstream's",
               Counts.ForeignReports);
  Page.counter("bilberry_upstream_restarts_suspected_total",
               "Times that the upstream's packets showed a restart before its "
               "heartbeats did",
               Counts.SuspectedRestarts);
  Page.counter(
      "bilberry_upstream_restarts_ruled_out_total",
      "Times that such a suspicion was withdrawn, because the upstream "
      "sent a packet on a flow that it held before",
      Counts.WithdrawnSuspicions);
  Page.counter("bilberry_flows_reserved_total",
               "New flows returned because the remaining capacity is reserved "
               "for routes with a higher priority",
               Counts.Reserved);
  Page.counter("bilberry_packets_misaddressed_total",
               "Packets returned because they were meant for another agent, "
               "which had this address before",
               Counts.Misaddressed);
  Page.counter("bilberry_upstream_unstable_total",
               "Times that the upstream became unstable",
               Counts.BecameUnstable);
  Page.gauge("bilberry_upstream_penalty",
             "Failures of the upstream, halved every 4 s", Agent.penalty(Now));
  Page.gauge("bilberry_upstream_service_time_seconds",
             "Recent service time of the upstream, with its queue",
             std::chrono::duration<double>(Agent.serviceTime(Now)).count());
  Page.gauge("bilberry_flows_held", "Flows that the upstream holds",
             static_cast<double>(Agent.flows()));
}

} // namespace bilberry::agent
