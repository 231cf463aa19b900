// Logging through log4cxx, as text or JSON. Each routing or placement decision
// is one line, with the same field names in every process.
//
//   decision=flow-placed subject=... to=... reason=...
//
// The functions never block on standard output: a LineWriter writes the lines.
// If its reader is slow, lines are left out by their Importance; the metrics
// and, once the reader is back, a line tell how many.

#ifndef BILBERRY_LOG_LOG_H
#define BILBERRY_LOG_LOG_H

#include "bilberry/base/clock.h"
#include "bilberry/board/agent_action.h"
#include "bilberry/log/line_writer.h"
#include "bilberry/log/log_options.h"
#include "bilberry/packet/packet_actions.h"
#include "bilberry/routing/balancer_router.h"

#include <string_view>

namespace bilberry::log {

/// The memory of lines that wait to be written: about 25 s of routine lines at
/// the limit of DecisionLimiter.
inline constexpr size_t MaxWaitingBytes = size_t{512} << 10U;
/// Longer messages are cut to this size.
inline constexpr size_t MaxMessageBytes = size_t{8} << 10U;
/// How long an ending process waits until its last lines are written.
inline constexpr base::Duration ExitFlushTimeout =
    std::chrono::milliseconds(200);

/// Configures logging to standard output. Process is the process name, which
/// text lines include. Starts the thread that writes, and waits for it at most
/// ExitFlushTimeout when the process exits through exit() or main(). Call once,
/// before any other thread starts and after runtime::blockSignals().
void configure(std::string_view Process, Level MinLevel, Layout Format);

/// Sets the minimum level that is logged. Thread-safe.
void setLevel(Level MinLevel);

/// Log a message at the given level. Thread-safe.
void info(std::string_view Message);
void warn(std::string_view Message);
void error(std::string_view Message);

/// The importance of the line about a decision. Never fail.
Importance importanceOf(const board::LogDecision &Decision);
Importance importanceOf(const packet::FlowDecision &Decision);
Importance importanceOf(const routing::Route &Route);

/// Logs a decision of an agent, as the functions below within the limits of
/// DecisionLimiter. Thread-safe.
void logAgentDecision(base::TimePoint Now, const board::LogDecision &Decision);
/// Logs a decision on a flow whose packets are relayed. Thread-safe.
void logFlowDecision(base::TimePoint Now, const packet::FlowDecision &Decision);
/// Logs a balancer's decision on a new flow or request. Thread-safe.
void logRoutingDecision(base::TimePoint Now, std::string_view Subject,
                        const routing::Route &Route);

/// Waits until the lines logged so far are written, at most for Timeout.
/// Thread-safe.
void flush(base::Duration Timeout);

/// The lines that are missing in the log since configure(). Thread-safe.
MissingLines missingLines();
/// The decisions that were not logged because of DecisionLimiter. Thread-safe.
uint64_t suppressedDecisions();
/// The memory of the lines that wait to be written. Thread-safe.
size_t waitingBytes();

} // namespace bilberry::log

#endif
