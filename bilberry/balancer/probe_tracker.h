// Which agents answer a balancer. Each agent is probed in turn, never more
// than a fixed number a second, so that the cost doesn't grow with the fleet:
// what grows is the time until a silent agent is noticed, and until then the
// lease and the other agents cover for it.

#ifndef BILBERRY_BALANCER_PROBE_TRACKER_H
#define BILBERRY_BALANCER_PROBE_TRACKER_H

#include "bilberry/base/clock.h"
#include "bilberry/base/name.h"
#include "bilberry/members/member.h"

#include <map>
#include <vector>

namespace bilberry::balancer {

/// Probes in each second: 50 at about 60 bytes stay under half of the budget
/// of 8 KB/s that control may take.
inline constexpr size_t MaxProbesPerSecond = 50;
/// Probes without an answer after which an agent counts as unresponsive.
inline constexpr unsigned MaxUnanswered = 3;

/// Not safe for two threads at once.
class ProbeTracker {
public:
  /// The agents to probe now. Call once a second with all agents in the
  /// order of their names. Counts each one returned as unanswered until
  /// onAnswer; forgets agents that are no longer listed.
  std::vector<members::Member> due(const std::vector<members::Member> &Agents);

  /// The agent has answered.
  void onAnswer(const base::MemberName &Name);

  /// True once MaxUnanswered probes in a row have gone unanswered.
  bool isUnresponsive(const base::MemberName &Name) const;

private:
  std::map<base::MemberName, unsigned> Unanswered;
  base::MemberName Last;
};

} // namespace bilberry::balancer

#endif
