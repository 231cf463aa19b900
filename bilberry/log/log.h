// Logs by log4cxx: one line for each routing or placement decision, with the
// same field names in every process, as text or as JSON.
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

/// Sets up logging to standard output. Call once, before any other thread
/// starts. Process is the name that each line carries.
void configure(std::string_view Process, Level Lowest, Layout Format);

/// Changes the lowest level that is written. Thread-safe.
void setLevel(Level Lowest);

/// Write a line. Thread-safe.
void info(std::string_view Message);
void warn(std::string_view Message);
void error(std::string_view Message);

/// An agent's decision. Thread-safe.
void decision(const board::LogDecision &Decision);
/// A decision on a flow whose packets are relayed. Thread-safe.
void flow(const packet::FlowDecision &Decision);
/// A balancer's decision on a new flow or request. Thread-safe.
void route(std::string_view Subject, const routing::Route &Route);

} // namespace bilberry::log

#endif
