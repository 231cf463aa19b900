// Renders the agent's /status and /metrics pages.

#ifndef BILBERRY_AGENT_AGENT_PAGES_H
#define BILBERRY_AGENT_AGENT_PAGES_H

#include "bilberry/admission/upstream_limits.h"
#include "bilberry/agent/agent_core.h"
#include "bilberry/links/peer_links.h"
#include "bilberry/members/member.h"
#include "bilberry/requests/request_controller.h"
#include "bilberry/routing/flow_controller.h"

#include <string>

namespace bilberry::agent {

/// The state of an agent at one moment, as the pages show it. A plain value.
struct AgentStatus {
  members::Member Self;
  size_t Members = 0;
  bool IsFenced = false;
  bool UpstreamConnected = false;
  uint64_t Pauses = 0;
  uint64_t FencedDatagrams = 0;
  uint64_t StoreCalls = 0;
  routing::FlowCounts Flows;
  requests::RequestCounts Requests;
  size_t RequestsInHand = 0;
  size_t ShardsHeld = 0;
  admission::LimitStatus Limits;
  links::LinkCounts Links;
  uint64_t Malformed = 0;
  uint64_t WrongService = 0;
  uint64_t WrongReceiver = 0;
};

/// Render the pages: JSON and the Prometheus text format. Thread-safe.
std::string statusPage(const AgentStatus &Status);
std::string metricsPage(const AgentStatus &Status,
                        const metrics::LatencyHistogram &RunTimes);

} // namespace bilberry::agent

#endif
