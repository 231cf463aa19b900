// Several whole RequestControllers on one thread, with a modelled store,
// network, membership and upstreams, under a clock that the test advances.
// An omniscient record of what ran and what callers were told is checked
// against the three promises. Fixed seeds; nothing here reads a clock.

#ifndef BILBERRY_TESTING_REQUEST_CLUSTER_H
#define BILBERRY_TESTING_REQUEST_CLUSTER_H

#include "bilberry/requests/request_controller.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bilberry::testing {

/// What the network and the upstreams do to each message.
struct ClusterFaults {
  int LostPercent = 0;
  int DoubledPercent = 0;
  int ShedPercent = 0;
  base::Duration LongestDelay = std::chrono::milliseconds(3);
};

struct ClusterTotals {
  size_t Answered = 0;
  size_t NotRun = 0;
  size_t Unknown = 0;
  size_t Silent = 0;
};

class RequestCluster {
public:
  RequestCluster(size_t Count, unsigned Seed, ClusterFaults Faults = {});

  /// Lets time pass, in steps of StepLength.
  void advance(base::Duration Length);
  base::TimePoint now() const { return this->Now; }

  /// A caller sends one copy of a request to a node.
  void send(size_t Node, base::RequestId Id, uint32_t Attempt,
            base::TimePoint Deadline, const std::string &Class = "check-off");
  void cancel(size_t Node, base::RequestId Id, uint32_t Attempt);

  void kill(size_t Node);
  void start(size_t Node, const std::string &Snapshot = "");
  void pause(size_t Node);
  void resume(size_t Node);
  /// The connection to a node's upstream is lost and made anew.
  void loseUpstream(size_t Node);
  void setState(size_t Node, members::MemberState State);
  /// Makes one node believe that another is silent, or not.
  void setSilent(size_t Believer, size_t Subject, bool IsSilent);
  void setTargets(const targets::Targets &Document);
  /// Cuts the links between two groups: nodes in Cut reach only each other,
  /// and not the store.
  void cut(std::set<size_t> Nodes) { this->Cut = std::move(Nodes); }
  /// Loses what Drops says, between nodes.
  std::function<bool(const wire::PeerBody &)> Drops;

  bool IsStoreDown = false;
  /// How many swaps from now on take effect without an answer.
  int LostSwapAnswers = 0;
  base::Duration ServiceTime = std::chrono::milliseconds(20);
  bool IsUpstreamMute = false;

  /// The node that the store names as owner or backup; Count where none.
  size_t ownerOf(uint32_t Shard) const;
  size_t backupOf(uint32_t Shard) const;
  uint64_t epochOf(uint32_t Shard) const;
  requests::RequestController &controller(size_t Node) {
    return *this->Nodes[Node].Controller;
  }
  bool isUp(size_t Node) const;

  int runs(base::RequestId Id) const;
  /// The first outcome told of an attempt, which its caller acts on, or null.
  const wire::RequestOutcome *told(base::RequestId Id, uint32_t Attempt) const;
  bool wasToldNotRun(base::RequestId Id, uint32_t Attempt) const;
  ClusterTotals totals() const;
  /// What breaks a promise, as text; empty where none is broken.
  std::string violations() const;

private:
  struct Node {
    members::Member Value;
    std::unique_ptr<board::LocalMember> Self;
    std::unique_ptr<targets::TargetTable> Targets;
    std::unique_ptr<members::MemberTable> Members;
    std::unique_ptr<admission::UpstreamLimits> Limits;
    std::unique_ptr<requests::RequestController> Controller;
    bool IsAlive = true;
    bool IsPaused = false;
    base::TimePoint LeaseEnds;
    std::set<uint32_t> ToRead;
  };
  struct Event {
    base::TimePoint Due;
    uint64_t Order = 0;
    size_t To = 0;
    base::Incarnation Run = 0;
    std::function<void(Node &, board::AgentActions &)> Handle;
  };

  void post(size_t To, base::Duration Delay,
            std::function<void(Node &, board::AgentActions &)> Handle);
  void
  deliver(size_t To, bool MayFail,
          const std::function<void(Node &, board::AgentActions &)> &Handle);
  void runDue();
  void tickNodes();
  void renewLeases();
  void list(size_t Place);
  void carryOut(size_t From, board::AgentActions &Actions);
  void carryOutOne(size_t From, const board::AgentAction &Action);
  void sendPeer(size_t From, const board::SendPeer &Action);
  void swap(size_t From, const board::SwapShard &Action);
  void runOnUpstream(size_t From, const board::RunOnUpstream &Action);
  bool isCut(size_t From, size_t To) const;
  bool reachesStore(size_t Place) const;
  size_t placeOf(const base::MemberName &Name) const;
  base::Duration delay();
  bool happens(int Percent);

  std::vector<Node> Nodes;
  std::vector<Event> Events;
  std::map<uint32_t, requests::StoredShard> Store;
  store::StoreRevision LastChange = 0;
  std::set<size_t> Cut;
  base::TimePoint Now{std::chrono::hours(24)};
  base::TimePoint LastListing;
  uint64_t NextOrder = 0;
  base::Incarnation NextRun = 1;
  std::mt19937 Random;
  ClusterFaults Faults;

  std::map<base::RequestId, std::vector<uint32_t>> Runs;
  std::map<std::pair<base::RequestId, uint32_t>,
           std::vector<wire::RequestOutcome>>
      Told;
  std::set<std::pair<base::RequestId, uint32_t>> Sent;
  std::set<base::RequestId> IdempotentIds;
  /// Which attempt a message id stands for.
  std::map<uint32_t, uint32_t> AttemptOf;
  uint32_t NextMessageId = 1;
};

/// The targets that the cluster starts with.
targets::Targets requestTargets();

/// An id that falls into that shard.
base::RequestId idIn(uint32_t Shard, uint64_t Number);

} // namespace bilberry::testing

#endif
