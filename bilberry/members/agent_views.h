// What a balancer believes of the agents: who there is, by the store and by
// their own statuses, and how each is, by its last status.
//
// An agent that is heard lives, whatever the store lost; one that is silent is
// passed over for new flows but may live. It counts as gone, with the flows of
// its upstream, after a silence that is longer than any restart: nothing that
// is sent to it arrives, so its callers are better off elsewhere. A pause of
// this process itself is no silence of theirs.

#ifndef BILBERRY_MEMBERS_AGENT_VIEWS_H
#define BILBERRY_MEMBERS_AGENT_VIEWS_H

#include "bilberry/base/clock.h"
#include "bilberry/members/member.h"
#include "bilberry/wire/relay_message.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bilberry::members {

/// A status older than this says little of the load: four were missed.
inline constexpr base::Duration FreshStatus = std::chrono::milliseconds(1100);
/// An agent that was silent for this long is gone. Longer than a process takes
/// to be started again.
inline constexpr base::Duration GoneSilence = std::chrono::seconds(5);
/// The same for an agent that had no upstream, and so no flows, by its last
/// word: six statuses were missed.
inline constexpr base::Duration EmptySilence = std::chrono::milliseconds(1500);
/// An announced agent that has never answered within this time of its first
/// greeting is gone: its announcement only outlives it.
inline constexpr base::Duration IntroductionTime = std::chrono::seconds(2);
/// Agents that a balancer knows at most.
inline constexpr size_t MaxAgents = 4096;

/// An agent's place in the views; places are never used again.
using AgentIndex = uint16_t;
inline constexpr AgentIndex NoAgent = 0xFFFF;

struct AgentView {
  base::MemberName Name;
  /// UDP: callers' packets.
  base::Address Data;
  /// UDP: messages between our processes.
  base::Address Control;
  /// By the last status; run 0 before the first.
  wire::AgentStatus Status;
  base::TimePoint HeardAt;
  /// The store has an announcement of it.
  bool IsAnnounced = false;
  bool IsGone = false;
  /// Opening packets sent to it since its last status.
  uint32_t SentSince = 0;
  base::TimePoint HelloAt;

  bool isHeard() const { return this->Status.Run != 0; }
  /// By its last status there is no flow that only it could know.
  bool holdsNothing() const {
    bool HasUpstream =
        this->Status.Condition != wire::AgentCondition::NoUpstream &&
        this->Status.Condition != wire::AgentCondition::Stopping;
    return this->isHeard() && !HasUpstream && this->Status.KnowsAllFlows &&
           this->Status.Flows == 0;
  }
  bool isFresh(base::TimePoint Now) const {
    return this->isHeard() && Now - this->HeardAt <= FreshStatus;
  }
};

/// Not thread-safe.
class AgentViews {
public:
  /// Takes the announcements that the store holds now; what it lacks is no
  /// longer announced.
  void takeAnnounced(base::TimePoint Now, const std::vector<Member> &Members);
  /// Takes a status. The agent's place, and in IsNewRun whether this is the
  /// first of a run. NoAgent where there is no room.
  AgentIndex takeStatus(base::TimePoint Now, const base::Address &From,
                        const wire::AgentStatus &Status, bool &IsNewRun);
  /// Marks what is silent as gone; returns those that weren't before. Call
  /// several times a second.
  std::vector<AgentIndex> tick(base::TimePoint Now);

  AgentView &at(AgentIndex Index) { return this->Views[Index]; }
  const AgentView &at(AgentIndex Index) const { return this->Views[Index]; }
  /// The agent that receives callers' packets there, or NoAgent.
  AgentIndex byData(const base::Address &Data) const;
  /// The agent of that name, or NoAgent.
  AgentIndex byName(const base::MemberName &Name) const;
  size_t size() const { return this->Views.size(); }

private:
  AgentIndex add(const base::MemberName &Name);
  void place(AgentIndex Index, const base::Address &Data,
             const base::Address &Control);

  base::TimePoint TickedAt;
  // A deque, so that references stay valid.
  std::deque<AgentView> Views;
  std::map<base::MemberName, AgentIndex> Names;
  std::map<base::Address, AgentIndex> ByData;
};

} // namespace bilberry::members

#endif
