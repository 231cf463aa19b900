// Runs several complete RequestControllers on one thread, with a simulated
// store, network, membership and upstreams, under a clock that the test
// advances. It records everything that ran and every outcome that callers got,
// and checks these against the three guarantees (see violations). Seeds are
// fixed, and nothing here reads a real clock.

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

/// Faults that the network and the upstreams apply to each message.
struct ClusterFaults {
  int LossPercent = 0;
  int DuplicatePercent = 0;
  int ShedPercent = 0;
  base::Duration MaxDelay = std::chrono::milliseconds(3);
};

struct ClusterTotals {
  size_t Answered = 0;
  size_t NotRun = 0;
  size_t Unknown = 0;
  size_t NoOutcome = 0;
};

class RequestCluster {
public:
  RequestCluster(size_t Count, unsigned Seed, ClusterFaults Faults = {});

  /// Advances the clock, in steps of StepDuration.
  void advance(base::Duration Interval);
  base::TimePoint now() const { return this->Now; }

  /// Sends one copy of a request from a caller to a node.
  void send(size_t Node, base::RequestId Id, uint32_t Attempt,
            base::TimePoint Deadline, const std::string &Class = "check-off");
  void cancel(size_t Node, base::RequestId Id, uint32_t Attempt);

  void kill(size_t Node);
  void start(size_t Node, const std::string &Snapshot = "");
  void pause(size_t Node);
  void resume(size_t Node);
  /// Loses and re-establishes the connection to a node's upstream.
  void loseUpstream(size_t Node);
  void setState(size_t Node, members::MemberState State);
  /// Sets whether one node sees another as silent.
  void setSilent(size_t Observer, size_t Subject, bool IsSilent);
  void setTargets(const targets::Targets &Document);
  /// Partitions the network: the given nodes reach only each other, and not the
  /// store.
  void isolate(std::set<size_t> Nodes) {
    this->IsolatedNodes = std::move(Nodes);
  }
  /// If set, messages between nodes for which it returns true are lost.
  std::function<bool(const wire::PeerBody &)> DropFilter;

  bool IsStoreDown = false;
  /// The number of next swaps that take effect without a reply.
  int LostSwapReplies = 0;
  base::Duration ServiceTime = std::chrono::milliseconds(20);
  bool IsUpstreamUnresponsive = false;

  /// The node that the store names as owner or backup; the number of nodes if
  /// there is none.
  size_t ownerOf(uint32_t Shard) const;
  size_t backupOf(uint32_t Shard) const;
  uint64_t epochOf(uint32_t Shard) const;
  requests::RequestController &controller(size_t Node) {
    return *this->Nodes[Node].Controller;
  }
  bool isUp(size_t Node) const;

  int runCount(base::RequestId Id) const;
  /// Returns the first reported outcome of an attempt, on which its caller
  /// acts, or null.
  const wire::RequestOutcome *firstOutcome(base::RequestId Id,
                                           uint32_t Attempt) const;
  bool wasReportedNotRun(base::RequestId Id, uint32_t Attempt) const;
  ClusterTotals totals() const;
  /// Describes each violation of the guarantees: a request that isn't
  /// idempotent runs at most once, "not run" is reported only for attempts that
  /// did not run and never for idempotent requests, and an answer belongs to
  /// its own request. Empty if there is none.
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
    base::TimePoint LeaseExpiry;
    std::set<uint32_t> ShardsToRead;
  };
  struct Event {
    base::TimePoint Due;
    uint64_t Order = 0;
    size_t To = 0;
    base::Incarnation Run = 0;
    std::function<void(Node &, board::AgentActions &)> Handle;
  };

  void schedule(size_t To, base::Duration Delay,
                std::function<void(Node &, board::AgentActions &)> Handle);
  void
  deliver(size_t To, bool MayFail,
          const std::function<void(Node &, board::AgentActions &)> &Handle);
  void runDueEvents();
  void tickNodes();
  void renewLeases();
  void listShards(size_t Index);
  void performActions(size_t From, board::AgentActions &Actions);
  void performAction(size_t From, const board::AgentAction &Action);
  void sendPeer(size_t From, const board::SendToPeer &Action);
  void swap(size_t From, const board::CompareAndSwapShard &Action);
  void runOnUpstream(size_t From, const board::RunOnUpstream &Action);
  bool isPartitioned(size_t From, size_t To) const;
  bool reachesStore(size_t Index) const;
  size_t indexOf(const base::MemberName &Name) const;
  base::Duration delay();
  bool occurs(int Percent);

  std::vector<Node> Nodes;
  std::vector<Event> Events;
  std::map<uint32_t, requests::StoredShard> Store;
  store::StoreRevision LastChange = 0;
  std::set<size_t> IsolatedNodes;
  base::TimePoint Now{std::chrono::hours(24)};
  base::TimePoint LastListing;
  uint64_t NextOrder = 0;
  base::Incarnation NextRun = 1;
  std::mt19937 Random;
  ClusterFaults Faults;

  std::map<base::RequestId, std::vector<uint32_t>> Runs;
  std::map<std::pair<base::RequestId, uint32_t>,
           std::vector<wire::RequestOutcome>>
      ReportedOutcomes;
  std::set<std::pair<base::RequestId, uint32_t>> SentAttempts;
  std::set<base::RequestId> IdempotentIds;
  /// The attempt of each message id.
  std::map<uint32_t, uint32_t> AttemptByMessageId;
  uint32_t NextMessageId = 1;
};

/// The initial targets of the cluster.
targets::Targets requestTargets();

/// Returns a request id that belongs to that shard.
base::RequestId requestIdInShard(uint32_t Shard, uint64_t Number);

} // namespace bilberry::testing

#endif
