// Which upstream a new flow is offered to first, and next where that one
// refused it.
//
// The load it answers: a steady stream of new flows of which some last and
// bring many requests; a burst of them; an upstream that is lost, and the
// others have to bear its part; one that comes back cold. Bytes between data
// centres are dear, so an upstream elsewhere is chosen only where those near
// have a queue that one there doesn't have.

#ifndef BILBERRY_ROUTING_UPSTREAM_CHOICE_H
#define BILBERRY_ROUTING_UPSTREAM_CHOICE_H

#include "bilberry/members/agent_views.h"

#include <vector>

namespace bilberry::routing {

/// What an open flow that asks for nothing at the moment weighs against one
/// that waits for an answer: long flows ask now and then.
inline constexpr double IdleFlowWeight = 0.05;
/// Above this many waiting flows a slot, an upstream elsewhere is looked at.
inline constexpr double BusyLoad = 1.0;

/// What a flow sent since the last status weighs in that: by the time of the
/// next status most have been answered.
inline constexpr double SentWeight = 0.25;
/// How much less loaded one elsewhere must be to be worth the bytes.
inline constexpr double RemoteMargin = 0.75;
/// An upstream that is cold works more slowly: its load counts for more.
inline constexpr double ColdLoad = 0.5;

/// Agents that have refused a flow, or to which it was sent.
using TriedAgents = std::vector<members::AgentIndex>;

struct ChoiceRequest {
  base::TimePoint Now;
  const base::ServiceName &Service;
  const base::DataCentreName &DataCentre;
  uint64_t FlowHash = 0;
  const TriedAgents &Tried;
};

/// The agent to try next, or NoAgent where none is left that may take it.
members::AgentIndex chooseUpstream(const members::AgentViews &Agents,
                                   const ChoiceRequest &Request);

/// The load of an agent's upstream, in waiting flows a slot.
double upstreamLoad(const members::AgentView &View);

} // namespace bilberry::routing

#endif
