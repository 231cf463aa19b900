// Health probes from a balancer to agents. They are unrelated to the probes
// that look for the holder of a flow (holder_search.h). Agents are probed
// round-robin, at most a fixed number a second, so that the cost doesn't grow
// with the number of agents. What grows is the time to detect an unresponsive
// agent; until then, the expiry of its lease and the other agents compensate
// for it.

#ifndef BILBERRY_BALANCER_PROBE_TRACKER_H
#define BILBERRY_BALANCER_PROBE_TRACKER_H

#include "bilberry/base/clock.h"
#include "bilberry/base/name.h"
#include "bilberry/members/member.h"

#include <map>
#include <vector>

namespace bilberry::balancer {

/// The maximum number of probes per call of selectAgentsToProbe(), which is
/// called once a second: 50 of about 60 bytes each use less than half of the
/// control traffic's budget of 8 KB/s.
inline constexpr size_t MaxProbesPerCall = 50;
/// An agent is unresponsive after more than this many unanswered probes in a
/// row.
inline constexpr unsigned MaxUnansweredProbes = 3;

/// Not thread-safe.
class ProbeTracker {
public:
  /// Returns the agents to probe now, and counts a probe of each as unanswered
  /// until onAnswer(). Removes agents that are no longer listed. Call once a
  /// second with all agents, ordered by name.
  std::vector<members::Member>
  selectAgentsToProbe(const std::vector<members::Member> &Agents);

  /// Resets the agent's count of unanswered probes.
  void onAnswer(const base::MemberName &Name);

  /// True once more than MaxUnansweredProbes probes in a row are unanswered.
  bool isUnresponsive(const base::MemberName &Name) const;

private:
  std::map<base::MemberName, unsigned> Unanswered;
  base::MemberName LastProbed;
};

} // namespace bilberry::balancer

#endif
