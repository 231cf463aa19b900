// Logging through log4cxx, as text or JSON. Each routing or placement decision
// is one line, with the same field names in every process.
//
//   decision=flow-placed subject=... to=... reason=...

#ifndef BILBERRY_LOG_LOG_H
#define BILBERRY_LOG_LOG_H

#include "bilberry/board/agent_action.h"
#include "bilberry/log/log_options.h"
#include "bilberry/packet/packet_actions.h"
#include "bilberry/routing/balancer_router.h"

#include <string_view>

namespace bilberry::log {

/// Configures logging to standard output. Process is the process name, which
/// text lines include. Call once, before any other thread starts.
void configure(std::string_view Process, Level MinLevel, Layout Format);

/// Sets the minimum level that is logged. Thread-safe.
void setLevel(Level MinLevel);

/// Log a message at the given level. Thread-safe.
void info(std::string_view Message);
void warn(std::string_view Message);
void error(std::string_view Message);

/// Logs a decision of an agent. Thread-safe.
void logAgentDecision(const board::LogDecision &Decision);
/// Logs a decision on a flow whose packets are relayed. Thread-safe.
void logFlowDecision(const packet::FlowDecision &Decision);
/// Logs a balancer's decision on a new flow or request. Thread-safe.
void logRoutingDecision(std::string_view Subject, const routing::Route &Route);

} // namespace bilberry::log

#endif
