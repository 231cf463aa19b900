// Text of flow keys and decision reasons in logs and replies.

#ifndef BILBERRY_ROUTING_FLOW_TEXT_H
#define BILBERRY_ROUTING_FLOW_TEXT_H

#include "bilberry/base/ids.h"
#include "bilberry/board/agent_action.h"

#include <string>

namespace bilberry::routing {

inline constexpr const char *FencedReason = "data centre out of service";
inline constexpr const char *UpstreamLostReason = "upstream lost";
inline constexpr const char *UnknownFlowReason = "no agent carries the flow";

/// Formats the key as 32 hexadecimal digits. Thread-safe.
std::string flowText(const base::FlowKey &Key);

/// Appends a log action for a decision about a flow.
void logDecision(board::AgentActions &Out, board::DecisionKind Kind,
                 const base::FlowKey &Key, const base::MemberName &To,
                 std::string Reason);

} // namespace bilberry::routing

#endif
