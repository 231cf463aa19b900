// An agent without its sockets: datagrams, messages and upstream events in,
// and everything out through an Outlet. The daemon's outlet has sockets, a
// test's has vectors, and another program can embed the agent with its own.

#ifndef BILBERRY_AGENT_AGENT_CORE_H
#define BILBERRY_AGENT_AGENT_CORE_H

#include "bilberry/admission/upstream_limits.h"
#include "bilberry/agent/run_table.h"
#include "bilberry/agent/snapshot_keeper.h"
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

/// Where an agent's output goes. Every call returns at once and may be made
/// from any thread. toUpstream is false where nothing was sent.
template <typename T>
concept Outlet = requires(T &O, const base::Address &To, std::string_view Bytes,
                          std::string Header, const base::MemberName &Receiver,
                          wire::PeerBody Body, const wire::ToUpstream &Message,
                          const board::SwapShard &Swap,
                          const board::LogDecision &Decision) {
  O.sendDatagram(To, Header, Bytes);
  O.sendPeer(To, Receiver, Body);
  { O.toUpstream(Message) } -> std::same_as<bool>;
  O.swapShard(Swap);
  O.log(Decision);
};

/// How long an upstream may stay lost before its flows are given up. A
/// restarted agent or a cut link comes back sooner, and the upstream has kept
/// its flows.
inline constexpr base::Duration UpstreamGrace = std::chrono::seconds(5);

/// Datagrams and messages that were dropped, by cause.
struct DropCounts {
  std::atomic<uint64_t> Malformed{0};
  std::atomic<uint64_t> WrongService{0};
  std::atomic<uint64_t> WrongReceiver{0};
  std::atomic<uint64_t> Unexpected{0};
};

/// The tables that an agent shares with the rest of its process.
struct AgentBoard {
  board::LocalMember &Self;
  targets::TargetTable &Targets;
  members::MemberTable &Members;
};

/// Thread-safe: workers may bring events at the same time.
template <Outlet O> class AgentCore {
public:
  /// All references must outlive the core.
  AgentCore(AgentBoard Board, O &Out)
      : Board(Board), Out(Out),
        Flows(Board.Self, Board.Targets, Board.Members, this->Limits),
        Requests(Board.Self, Board.Targets, Board.Members, this->Limits),
        Views(Board.Self, Board.Targets, Board.Members) {
    this->Limits.setReachable(false);
  }

  /// Call once restore() was called or there is nothing to restore. Until
  /// then, messages of flows and requests are dropped: an answer from an agent
  /// that hasn't its state yet would be untrue. Datagrams must not come before.
  void beginServing() { this->IsServing.store(true); }

  /// A datagram has come to the data port. Any bytes are allowed.
  void onDatagram(base::TimePoint Now, const base::Address &From,
                  std::string_view Bytes);

  /// A message has come from another of our processes.
  void onPeer(base::TimePoint Now, const wire::PeerMessage &Message);

  /// The upstream's connection was made, lost, or has brought a message.
  void onUpstreamConnected(base::TimePoint Now);
  void onUpstreamDisconnected(base::TimePoint Now);
  void onUpstream(base::TimePoint Now, const wire::FromUpstream &Message);

  /// The store's shard records, as RequestController documents.
  void onShardRecord(base::TimePoint Now, const requests::StoredShard &Record);
  void onShardsListed(base::TimePoint Now) {
    this->Requests.onShardsListed(Now);
  }
  void onSwapFailed(base::TimePoint Now, uint32_t Shard);

  /// Call several times a second.
  void onTick(base::TimePoint Now);

  /// The whole state for a planned restart, and back. After snapshot() this
  /// run decides nothing more in the shards that it held.
  std::string snapshot();
  base::Result<void> restore(base::TimePoint Now, std::string_view State);
  /// The newest snapshot of ours that peers have sent since the start.
  std::optional<wire::SnapshotReply> foundSnapshot() const;
  /// Peers that have confirmed that they keep our snapshot.
  size_t snapshotCopies() const { return this->SnapshotCopies.load(); }
  /// Peers that have answered our SnapshotFetch, found or not.
  size_t snapshotAnswers() const { return this->SnapshotAnswers.load(); }

  const routing::FlowController &flows() const { return this->Flows; }
  const requests::RequestController &requests() const { return this->Requests; }
  admission::LimitStatus limits() const { return this->Limits.status(); }
  const DropCounts &drops() const { return this->Drops; }
  /// Time from a request's arrival at the upstream to its answer.
  const metrics::LatencyHistogram &runTimes() const { return this->RunTimes; }

private:
  void onForward(base::TimePoint Now, const wire::ForwardHeader &Header,
                 std::string_view Payload);
  void onProbe(base::TimePoint Now, const base::Address &From,
               const wire::Probe &Probe);
  void onSnapshotMessage(base::TimePoint Now, const wire::PeerMessage &Message);
  void noteRevision(base::TimePoint Now, const members::Member &Sender);
  void applyCapacity();
  void onRunEnded(base::TimePoint Now, uint32_t MessageId,
                  wire::RunOutcome Outcome, wire::RefusalReason Reason,
                  std::string Body);
  void perform(base::TimePoint Now, board::AgentActions &Actions);
  void performOne(base::TimePoint Now, board::AgentAction &Action,
                  board::AgentActions &More);
  void run(base::TimePoint Now, board::RunOnUpstream &Action,
           board::AgentActions &More);

  AgentBoard Board;
  O &Out;
  admission::UpstreamLimits Limits;
  routing::FlowController Flows;
  requests::RequestController Requests;
  node::ViewExchange Views;
  RunTable Runs;
  SnapshotKeeper Keeper;
  DropCounts Drops;
  metrics::LatencyHistogram RunTimes;
  std::atomic<base::Revision> CapacityRevision{0};
  std::atomic<bool> IsServing{false};
  std::atomic<size_t> SnapshotCopies{0};
  std::atomic<size_t> SnapshotAnswers{0};
  mutable base::RankedMutex Mutex{base::LockRank::Adapter};
  std::optional<wire::SnapshotReply> Found;
  std::optional<base::TimePoint> UpstreamLostAt;
};

} // namespace bilberry::agent

#include "bilberry/agent/agent_core_impl.h"

#endif
