#include "bilberry/agent/agent_pages.h"

#include "bilberry/metrics/exposition.h"
#include "bilberry/node/log_metrics.h"

#include <nlohmann/json.hpp>

namespace bilberry::agent {

static nlohmann::json flowsJson(const routing::FlowCounts &Flows) {
  return {{"carried", Flows.Carried},
          {"opened", Flows.Opened},
          {"refused", Flows.Refused},
          {"passed_on", Flows.PassedOn},
          {"reset", Flows.Reset},
          {"closed", Flows.Closed},
          {"wrong_service", Flows.WrongService},
          {"wrong_receiver", Flows.WrongReceiver},
          {"fenced", Flows.Fenced},
          {"records", Flows.Records}};
}

static nlohmann::json requestsJson(const AgentStatus &Status) {
  const requests::RequestCounts &Requests = Status.Requests;
  return {{"arrived", Requests.Arrived},
          {"run", Requests.Run},
          {"passed_on", Requests.PassedOn},
          {"answered", Requests.Answered},
          {"not_run", Requests.NotRun},
          {"unknown", Requests.Unknown},
          {"duplicates", Requests.Duplicates},
          {"shards_owned", Requests.ShardsOwned},
          {"shards_backed_up", Requests.ShardsBackedUp},
          {"records", Requests.Records},
          {"in_hand", Status.RequestsInHand},
          {"shards_held", Status.ShardsHeld}};
}

static nlohmann::json limitsJson(const admission::LimitStatus &Limits) {
  return {{"slot_limit", Limits.SlotLimit},
          {"slots_in_use", Limits.SlotsInUse},
          {"connection_limit", Limits.ConnectionLimit},
          {"connections_in_use", Limits.ConnectionsInUse},
          {"is_cold", Limits.IsCold},
          {"sheds", Limits.Sheds},
          {"falls_to_floor", Limits.FallsToFloor}};
}

std::string statusPage(const AgentStatus &Status) {
  nlohmann::json Page = {
      {"name", Status.Self.Name.text()},
      {"role", members::roleText(Status.Self.Role)},
      {"state", members::stateText(Status.Self.State)},
      {"data_centre", Status.Self.DataCentre.text()},
      {"service", Status.Self.Service.text()},
      {"revision", Status.Self.Applied},
      {"members", Status.Members},
      {"fenced", Status.IsFenced},
      {"pauses", Status.Pauses},
      {"upstream_connected", Status.UpstreamConnected},
      {"store_calls", Status.StoreCalls},
      {"peer_bytes_sent", Status.Links.SentBytes},
      {"redials", Status.Links.Redials},
      {"flows", flowsJson(Status.Flows)},
      {"requests", requestsJson(Status)},
      {"limits", limitsJson(Status.Limits)},
  };
  return Page.dump(2) + "\n";
}

static void flowMetrics(metrics::Exposition &Page,
                        const routing::FlowCounts &Flows) {
  Page.gauge("bilberry_flows_carried", "Flows carried now.",
             static_cast<double>(Flows.Carried));
  const char *Name = "bilberry_flow_decisions_total";
  const char *Help = "Decisions on flows, by kind.";
  Page.counter(Name, Help, Flows.Opened, {{"kind", "opened"}});
  Page.counter(Name, Help, Flows.Refused, {{"kind", "refused"}});
  Page.counter(Name, Help, Flows.PassedOn, {{"kind", "passed-on"}});
  Page.counter(Name, Help, Flows.Reset, {{"kind", "reset"}});
  Page.counter(Name, Help, Flows.Closed, {{"kind", "closed"}});
  Page.counter(Name, Help, Flows.Fenced, {{"kind", "fenced"}});
}

static void requestMetrics(metrics::Exposition &Page,
                           const AgentStatus &Status) {
  const requests::RequestCounts &Requests = Status.Requests;
  const char *Name = "bilberry_requests_total";
  const char *Help = "Requests, by outcome.";
  Page.counter(Name, Help, Requests.Answered, {{"outcome", "answered"}});
  Page.counter(Name, Help, Requests.NotRun, {{"outcome", "not-run"}});
  Page.counter(Name, Help, Requests.Unknown, {{"outcome", "unknown"}});
  Page.gauge("bilberry_requests_in_hand", "Requests in progress.",
             static_cast<double>(Status.RequestsInHand));
  Page.gauge("bilberry_shards_owned", "Shards that this agent owns.",
             static_cast<double>(Requests.ShardsOwned));
  Page.gauge("bilberry_request_records", "Request records held.",
             static_cast<double>(Requests.Records));
}

static void limitMetrics(metrics::Exposition &Page,
                         const admission::LimitStatus &Limits) {
  Page.gauge("bilberry_slot_limit",
             "Limit of concurrent requests to the upstream.", Limits.SlotLimit);
  Page.gauge("bilberry_slots_in_use", "Slots in use.", Limits.SlotsInUse);
  Page.gauge("bilberry_connection_limit",
             "Limit of concurrent flows to the upstream.",
             Limits.ConnectionLimit);
  Page.counter("bilberry_sheds_total",
               "Requests and flows that the upstream shed.", Limits.Sheds);
  Page.counter("bilberry_falls_to_floor_total",
               "Resets of the limits to the cold floor.", Limits.FallsToFloor);
}

std::string metricsPage(const AgentStatus &Status,
                        const metrics::LatencyHistogram &RunTimes) {
  metrics::Exposition Page;
  flowMetrics(Page, Status.Flows);
  requestMetrics(Page, Status);
  limitMetrics(Page, Status.Limits);
  const char *Drops = "bilberry_dropped_datagrams_total";
  const char *Help = "Datagrams dropped, by cause.";
  Page.counter(Drops, Help, Status.Malformed, {{"cause", "malformed"}});
  Page.counter(Drops, Help, Status.WrongService + Status.Flows.WrongService,
               {{"cause", "wrong-service"}});
  Page.counter(Drops, Help, Status.WrongReceiver + Status.Flows.WrongReceiver,
               {{"cause", "wrong-receiver"}});
  Page.counter(Drops, Help, Status.FencedDatagrams, {{"cause", "paused"}});
  Page.counter("bilberry_store_calls_total", "Calls to the store.",
               Status.StoreCalls);
  Page.counter("bilberry_peer_bytes_total",
               "Bytes sent to other agents and balancers.",
               Status.Links.SentBytes);
  Page.histogram("bilberry_run_seconds", "Latency of requests at the upstream.",
                 RunTimes);
  node::addLogMetrics(Page);
  return Page.text();
}

} // namespace bilberry::agent
