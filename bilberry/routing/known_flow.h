// What a balancer knows of the agent that holds a flow, and what it may do with
// a packet of that flow.
//
// Placing a flow on an agent doesn't show that the agent took it: the opening
// packet may have been lost with the agent, and a copy may have opened the flow
// elsewhere, through another balancer. Only the agent's own word makes it the
// holder: the list of flows in its status, or its reply to a query. Until then
// the placement is an assumption, on which no flow is reset. Agents report a
// flow within about half a second after it opened. If a report is overdue, the
// agent is asked; if it is silent, the flow is searched for at all agents. An
// agent that a search has found is probed first: it may not know the flow.
//
// Designed for the loss of a data centre while flows open, and for balancers
// that join or leave meanwhile, so that most flows move between balancers.

#ifndef BILBERRY_ROUTING_KNOWN_FLOW_H
#define BILBERRY_ROUTING_KNOWN_FLOW_H

#include "bilberry/members/agent_views.h"

namespace bilberry::routing {

/// How long a placement is retained. Callers retransmit an opening packet
/// within this time.
inline constexpr base::Duration PlacementLifetime =
    std::chrono::milliseconds(1500);
/// An agent has reported a flow that it holds this long after its placement,
/// unless the report was lost: the last copy of the opening packet comes after
/// 600 ms, the report within agent::MinPublishAge and agent::StatusInterval
/// after the flow opened.
inline constexpr base::Duration HolderReportTimeout =
    std::chrono::milliseconds(1500);

/// A flow whose holder is known or assumed.
struct KnownFlow {
  members::AgentIndex Holder = members::NoAgent;
  /// The agent has confirmed that it holds the flow.
  bool IsConfirmed = false;
  /// Only the opening packet has been received so far.
  bool IsOpening = false;
  bool IsClosing = false;
  /// The assumed holder was found by a search: when the flow was recorded, it
  /// had just replied that its upstream may hold the flow.
  bool IsFromSearch = false;
  /// The assumed holder was asked whether it holds the flow and hasn't replied.
  bool IsHolderAsked = false;
  base::TimePoint LastPacketAt;
  base::TimePoint PlacedAt;
  /// When the report or the reply of the assumed holder is overdue.
  base::TimePoint ReportDueAt;
};

/// What to do with a packet that doesn't open a flow.
enum class ForwardDecision : uint8_t {
  /// Send it to the holder.
  Send,
  /// Send it to the assumed holder, and ask that whether it holds the flow.
  SendAndAsk,
  /// Send it to the assumed holder, which may hold the flow although it is
  /// silent, and search for the flow.
  SendAndSearch,
  /// Search for the flow: the assumed holder is gone.
  Search,
  /// Reset the flow: its holder is gone.
  Reset,
};

/// Decides on a packet of a known flow. Holder is the agent of Flow.Holder.
/// MayStillServe tells whether the upstream of an agent that is gone may still
/// serve, by what this balancer and the others know.
ForwardDecision decideForward(base::TimePoint Now, const KnownFlow &Flow,
                              const members::AgentView &Holder,
                              bool MayStillServe);

/// True if the flow's holder is only assumed, and silent: a copy of the opening
/// packet is better sent to another agent.
bool isHolderInDoubt(base::TimePoint Now, const KnownFlow &Flow,
                     const members::AgentView &Holder);

} // namespace bilberry::routing

#endif
