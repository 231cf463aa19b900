// A balancer's view of the agents. Which agents exist is known from the store
// and from their status messages; the state of each is that of its last status.
//
// An agent that sends statuses is alive even if its announcement is missing
// from the store, which may have lost it. One that has stopped sending gets no
// new flows but may be alive. After a timeout longer than any restart it counts
// as gone, together with the flows of its upstream: nothing that is sent to it
// arrives, so its callers are better served by another agent. Pauses of this
// process don't count towards the timeout.
//
// Two kinds of silent agents may nevertheless have an upstream that serves: one
// that was stopped before its upstream, and one in a data centre of which no
// agent is heard, because the path to that data centre is cut. The latter may
// never have been heard here. Their flows are not reset before the idle timeout
// of flows has passed.

#ifndef BILBERRY_MEMBERS_AGENT_VIEWS_H
#define BILBERRY_MEMBERS_AGENT_VIEWS_H

#include "bilberry/base/clock.h"
#include "bilberry/members/arrival_rate.h"
#include "bilberry/members/decaying_count.h"
#include "bilberry/members/member.h"
#include "bilberry/wire/relay_message.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bilberry::members {

/// A status older than this is no longer used as a measure of the agent's load:
/// four statuses were missed.
inline constexpr base::Duration MaxStatusAge = std::chrono::milliseconds(1100);
/// The same for an agent in another data centre, whose statuses come less often
/// and through another balancer.
inline constexpr base::Duration MaxFarStatusAge =
    std::chrono::milliseconds(3300);
/// An agent without a status for this long is gone. Longer than a restart of a
/// process takes.
inline constexpr base::Duration AgentTimeout = std::chrono::seconds(5);
/// The same for an agent whose last status reported no upstream and therefore
/// no flows: six statuses were missed.
inline constexpr base::Duration EmptyAgentTimeout =
    std::chrono::milliseconds(1500);
/// The same for an agent in another data centre.
inline constexpr base::Duration EmptyFarAgentTimeout =
    std::chrono::milliseconds(4500);
/// An announced agent that sends no status within this time after its
/// announcement was first read is gone: an announcement stays in the store for
/// some time after its process has stopped.
inline constexpr base::Duration FirstStatusTimeout = std::chrono::seconds(2);
/// The maximum number of agents that a balancer tracks.
inline constexpr size_t MaxAgents = 4096;

/// The index of an agent in the views. Indexes are never reused.
using AgentIndex = uint16_t;
inline constexpr AgentIndex NoAgent = 0xFFFF;

/// The state of one agent as known to a balancer.
struct AgentView {
  base::MemberName Name;
  /// routing::memberHash() of the name.
  uint64_t NameHash = 0;
  /// Its data centre, as last announced or reported.
  base::DataCentreName DataCentre;
  /// UDP address for callers' packets.
  base::Address Data;
  /// UDP address for messages between balancers and agents.
  base::Address Control;
  /// The last status; its Run is 0 until the first status is received.
  wire::AgentStatus Status;
  base::TimePoint LastStatusAt;
  /// True if the store holds its announcement.
  bool IsAnnounced = false;
  bool IsGone = false;
  /// The number of opening packets sent to it since its last status.
  uint32_t NewFlowsSinceStatus = 0;
  /// The share of its upstream's slots that counts: below 1 for a slow one.
  double SlotShare = 1;
  /// The opening packets sent to it since its last status, without those that
  /// are expected to have been answered.
  DecayingCount Placements;
  /// The new flows that it admits, from all balancers.
  ArrivalRate Arrivals;
  base::TimePoint LastHelloSentAt;
  /// True if the agent is in another data centre than this balancer.
  bool IsFar = false;
  /// Another agent has received a packet for this one: its address is in use
  /// again. Until the next status.
  bool HasLostAddress = false;
  /// packet::receiverId() of the agent; 0 until its service is known.
  uint32_t ReceiverId = 0;

  /// The recent service time of its upstream; 0 if unknown.
  base::Duration serviceTime() const {
    return std::chrono::microseconds(this->Status.ServiceTimeUs);
  }
  /// The number of slots of its upstream that count.
  double slots() const {
    return std::max(1U, this->Status.Slots) * this->SlotShare;
  }
  bool hasStatus() const { return this->Status.Run != 0; }
  /// True if, by its last status, the agent has no upstream and no flows that
  /// only it could know of.
  bool hasNoFlows() const {
    bool HasUpstream =
        this->Status.Condition != wire::AgentCondition::NoUpstream &&
        this->Status.Condition != wire::AgentCondition::Stopping;
    return this->hasStatus() && !HasUpstream && this->Status.KnowsAllFlows &&
           this->Status.Flows == 0;
  }
  bool hasRecentStatus(base::TimePoint Now) const {
    return this->hasStatus() &&
           Now - this->LastStatusAt <=
               (this->IsFar ? MaxFarStatusAge : MaxStatusAge);
  }
};

/// All agents that a balancer knows of. Not thread-safe.
class AgentViews {
public:
  /// Local is the balancer's data centre.
  explicit AgentViews(base::DataCentreName Local = {})
      : Local(std::move(Local)) {}

  /// Applies the full list of announcements in the store; agents that it lacks
  /// are no longer announced.
  void applyAnnouncements(base::TimePoint Now,
                          const std::vector<Member> &Members);
  /// Applies a status. Returns the agent's index, and sets IsNewRun to whether
  /// this is the first status of a run. Returns NoAgent if MaxAgents is
  /// reached; IsNewRun is then unchanged.
  AgentIndex applyStatus(base::TimePoint Now, const base::Address &From,
                         const wire::AgentStatus &Status, bool &IsNewRun);
  /// Applies a status that another balancer has received. A status that isn't
  /// newer than the known one is ignored, and NoAgent returned.
  AgentIndex applyPassedStatus(base::TimePoint Now,
                               const wire::PassedStatus &Passed,
                               bool &IsNewRun);
  /// Marks agents whose timeout has passed as gone, and returns those that are
  /// newly gone. Must be called several times a second.
  std::vector<AgentIndex> tick(base::TimePoint Now);

  /// True if the agent is gone, but its upstream may still serve the flows that
  /// it held: the agent was stopped while its upstream had flows, or no agent
  /// of its data centre, which isn't this one, is heard. FlowLifetime is how
  /// long an open flow may be idle.
  bool mayStillServe(base::TimePoint Now, AgentIndex Index,
                     base::Duration FlowLifetime) const;
  /// True if the agent's upstream may hold flows: the agent isn't gone or may
  /// still serve, and its last status doesn't rule it out. Balancers compare
  /// their lists of these agents.
  bool mayHoldFlows(base::TimePoint Now, AgentIndex Index,
                    base::Duration FlowLifetime) const {
    return !this->Views[Index].hasNoFlows() &&
           (!this->Views[Index].IsGone ||
            this->mayStillServe(Now, Index, FlowLifetime));
  }

  AgentView &at(AgentIndex Index) { return this->Views[Index]; }
  const AgentView &at(AgentIndex Index) const { return this->Views[Index]; }
  /// The agent that receives callers' packets at this address, or NoAgent.
  AgentIndex findByDataAddress(const base::Address &Data) const;
  /// The agent of that name, or NoAgent.
  AgentIndex findByName(const base::MemberName &Name) const;
  size_t size() const { return this->Views.size(); }
  /// How often an agent was heard for the first time or after it was gone. A
  /// search that was under way then has not asked it.
  uint64_t arrivals() const { return this->Arrivals; }

private:
  AgentIndex add(const base::MemberName &Name);
  void setDataCentre(AgentIndex Index, const base::DataCentreName &Name);
  void setService(AgentIndex Index, const base::ServiceName &Name);
  void setAddresses(AgentIndex Index, const base::Address &Data,
                    const base::Address &Control);

  base::DataCentreName Local;
  uint64_t Arrivals = 0;
  base::TimePoint LastTickAt;
  // The data centres of which at least one agent isn't gone.
  std::set<base::DataCentreName> Reachable;
  // A deque keeps references valid when agents are added.
  std::deque<AgentView> Views;
  std::map<base::MemberName, AgentIndex> IndexByName;
  std::map<base::Address, AgentIndex> IndexByDataAddress;
};

} // namespace bilberry::members

#endif
