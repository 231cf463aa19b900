// The agent's logic without sockets or threads. Datagrams, peer messages and
// upstream events are passed in; all output goes to an OutputSink. The daemon
// implements the sink with sockets and tests with vectors; a program that
// embeds the agent supplies its own.

#ifndef BILBERRY_AGENT_AGENT_CORE_H
#define BILBERRY_AGENT_AGENT_CORE_H

#include "bilberry/admission/upstream_limits.h"
#include "bilberry/agent/peer_snapshot_cache.h"
#include "bilberry/agent/run_table.h"
#include "bilberry/board/agent_action.h"
#include "bilberry/board/local_member.h"
#include "bilberry/members/member_table.h"
#include "bilberry/metrics/latency_histogram.h"
#include "bilberry/node/view_exchange.h"
#include "bilberry/requests/request_controller.h"
#include "bilberry/routing/flow_controller.h"
#include "bilberry/targets/target_table.h"

#include <atomic>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry::agent {

/// Receives an agent's output. Calls must not block and must be thread-safe.
/// toUpstream returns false if nothing was sent.
template <typename T>
concept OutputSink = requires(T &O, const base::Address &To,
                              std::string_view Bytes, std::string Header,
                              const base::MemberName &Receiver,
                              wire::PeerBody Body,
                              const wire::ToUpstream &Message,
                              const board::CompareAndSwapShard &Swap,
                              const board::LogDecision &Decision) {
  O.sendDatagram(To, Header, Bytes);
  O.sendPeer(To, Receiver, Body);
  { O.toUpstream(Message) } -> std::same_as<bool>;
  O.swapShard(Swap);
  O.log(Decision);
};

/// How long the upstream's connection may be down before its flows are
/// dropped. After an agent restart or a link failure it is re-established
/// sooner, and the upstream has kept its flows.
inline constexpr base::Duration UpstreamLossTimeout = std::chrono::seconds(5);

/// Numbers of dropped datagrams and messages, by cause.
struct DropCounts {
  std::atomic<uint64_t> Malformed{0};
  std::atomic<uint64_t> WrongService{0};
  std::atomic<uint64_t> WrongReceiver{0};
  std::atomic<uint64_t> Unexpected{0};
};

/// The tables that an agent shares with the rest of its process. They must
/// outlive it.
struct AgentTables {
  board::LocalMember &Self;
  targets::TargetTable &Targets;
  members::MemberTable &Members;
};

/// Thread-safe: worker threads may pass in events concurrently.
template <OutputSink O> class AgentCore {
public:
  /// All references must outlive the core.
  AgentCore(AgentTables Tables, O &Out)
      : Tables(Tables), Out(Out),
        Flows(Tables.Self, Tables.Targets, Tables.Members, this->Limits),
        Requests(Tables.Self, Tables.Targets, Tables.Members, this->Limits),
        Views(Tables.Self, Tables.Targets, Tables.Members) {
    this->Limits.setReachable(false);
  }

  /// Call after restore(), or at once if there is no state to restore. Until
  /// then, messages about flows and requests are dropped, because an agent
  /// without its state would answer them wrongly. Precondition: no datagrams
  /// are passed in before this call.
  void beginServing() { this->IsServing.store(true); }

  /// Handles a datagram received on the data port. Any bytes are allowed.
  void onDatagram(base::TimePoint Now, const base::Address &From,
                  std::string_view Bytes);

  /// Handles a message from another agent or balancer.
  void onPeer(base::TimePoint Now, const wire::PeerMessage &Message);

  /// Call when the upstream's connection is established or lost, and for each
  /// message received on it.
  void onUpstreamConnected(base::TimePoint Now);
  void onUpstreamDisconnected(base::TimePoint Now);
  void onUpstream(base::TimePoint Now, const wire::FromUpstream &Message);

  /// Shard records read from the store; see RequestController.
  void onShardRecord(base::TimePoint Now, const requests::StoredShard &Record);
  void onShardsListed(base::TimePoint Now) {
    this->Requests.onShardsListed(Now);
  }
  void onSwapFailed(base::TimePoint Now, uint32_t Shard);

  /// Call several times a second.
  void onTick(base::TimePoint Now);

  /// Serializes the whole state for a planned restart, and loads it again.
  /// After snapshot() this run makes no more decisions in the shards that it
  /// held. Errors of restore(): those of decoding State.
  std::string snapshot();
  base::Result<void> restore(base::TimePoint Now, std::string_view State);
  /// The newest snapshot of this agent that peers have sent since the start.
  std::optional<wire::SnapshotReply> newestSnapshot() const;
  /// The number of confirmations from peers that hold this run's snapshot.
  size_t snapshotCopies() const { return this->SnapshotCopies.load(); }
  /// The number of answers to SnapshotFetch, whether a snapshot was found or
  /// not.
  size_t snapshotAnswers() const { return this->SnapshotAnswers.load(); }

  const routing::FlowController &flows() const { return this->Flows; }
  const requests::RequestController &requests() const { return this->Requests; }
  admission::LimitStatus limits() const { return this->Limits.status(); }
  const DropCounts &drops() const { return this->Drops; }
  /// Latency of the upstream, from sending it a request to its answer.
  const metrics::LatencyHistogram &runTimes() const { return this->RunTimes; }

private:
  void onForward(base::TimePoint Now, const wire::ForwardHeader &Header,
                 std::string_view Payload);
  void onProbe(base::TimePoint Now, const base::Address &From,
               const wire::Probe &Probe);
  void onSnapshotMessage(base::TimePoint Now, const wire::PeerMessage &Message);
  void fetchNewerView(base::TimePoint Now, const members::Member &Sender);
  void applyCapacity();
  void onRunEnded(base::TimePoint Now, uint32_t MessageId,
                  wire::RunOutcome Outcome, wire::RefusalReason Reason,
                  std::string Body);
  void perform(base::TimePoint Now, board::AgentActions &Actions);
  void performOne(base::TimePoint Now, board::AgentAction &Action,
                  board::AgentActions &More);
  void run(base::TimePoint Now, board::RunOnUpstream &Action,
           board::AgentActions &More);

  AgentTables Tables;
  O &Out;
  admission::UpstreamLimits Limits;
  routing::FlowController Flows;
  requests::RequestController Requests;
  node::ViewExchange Views;
  RunTable Runs;
  PeerSnapshotCache PeerSnapshots;
  DropCounts Drops;
  metrics::LatencyHistogram RunTimes;
  std::atomic<base::Revision> CapacityRevision{0};
  std::atomic<bool> IsServing{false};
  std::atomic<size_t> SnapshotCopies{0};
  std::atomic<size_t> SnapshotAnswers{0};
  mutable base::RankedMutex Mutex{base::LockRank::Adapter};
  std::optional<wire::SnapshotReply> NewestSnapshot;
  std::optional<base::TimePoint> UpstreamLostAt;
};

} // namespace bilberry::agent

#include "bilberry/agent/agent_core_impl.h"

#endif
