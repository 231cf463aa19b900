#include "bilberry/agent/agent_daemon.h"

#include "bilberry/agent/agent_core.h"
#include "bilberry/agent/agent_pages.h"
#include "bilberry/agent/shard_watcher.h"
#include "bilberry/links/upstream_link.h"
#include "bilberry/log/log.h"
#include "bilberry/node/node.h"
#include "bilberry/runtime/udp_socket.h"
#include "bilberry/runtime/worker_pool.h"

#include <boost/fiber/operations.hpp>
#include <optional>
#include <thread>
#include <utility>

namespace bilberry::agent {

static constexpr std::chrono::milliseconds TickInterval(25);
// How long a starting agent waits for snapshots of its previous run from peers.
static constexpr std::chrono::seconds MaxSnapshotWait(2);
static constexpr std::chrono::milliseconds SnapshotRetryInterval(200);
// How long a restarting agent waits for a peer to confirm its snapshot.
static constexpr std::chrono::seconds MaxHandoverWait(5);
// Number of peers to which a restarting agent sends its snapshot.
static constexpr size_t MaxSnapshotCopies = 2;

std::string RemainingWork::text() const {
  return std::to_string(this->Flows) + " flows, " +
         std::to_string(this->Requests) + " requests, " +
         std::to_string(this->Shards) + " shards";
}

namespace {

using EtcdShardWatcher = ShardWatcher<base::SteadyClock, store::EtcdStore>;

// Implements OutputSink with sockets.
class SocketSink {
public:
  SocketSink(node::Node &Node, const runtime::UdpSocket &Data)
      : Node(Node), Data(Data) {}

  void attach(links::UpstreamLink *Link, EtcdShardWatcher *Shards) {
    this->Upstream = Link;
    this->Shards = Shards;
  }

  void sendDatagram(const base::Address &To, std::string_view Header,
                    std::string_view Payload) {
    this->Data.sendOne(To, Header, Payload);
  }
  void sendPeer(const base::Address &To, const base::MemberName &Receiver,
                wire::PeerBody Body) {
    this->Node.links().send(this->Node.clock().now(), To, Receiver,
                            std::move(Body));
  }
  bool toUpstream(const wire::ToUpstream &Message) {
    return this->Upstream->send(Message);
  }
  void swapShard(const board::CompareAndSwapShard &Swap) {
    this->Shards->swap(Swap);
  }
  void log(const board::LogDecision &Decision) {
    log::logAgentDecision(this->Node.clock().now(), Decision);
  }

private:
  node::Node &Node;
  const runtime::UdpSocket &Data;
  links::UpstreamLink *Upstream = nullptr;
  EtcdShardWatcher *Shards = nullptr;
};

using Core = AgentCore<SocketSink>;

} // namespace

struct AgentDaemon::Impl {
  explicit Impl(const settings::ProcessSettings &Settings)
      : Node(Settings, members::MemberRole::Agent) {}

  base::Result<void> start();
  void addFibers();
  void readData();
  bool processDatagrams(runtime::ReceiveBatch &Batch);
  void readPeers();
  void tick();
  void startServing();
  void restoreFromPeers();
  void requestSnapshots(base::TimePoint Now, size_t &RequestedCount);
  AgentStatus status() const;

  mutable node::Node Node;
  std::optional<runtime::UdpSocket> Data;
  std::optional<SocketSink> Out;
  std::optional<Core> Agent;
  std::optional<links::UpstreamLink> Upstream;
  std::optional<EtcdShardWatcher> Shards;
  std::atomic<bool> IsServing{false};
  std::atomic<uint64_t> FencedDatagrams{0};
  std::jthread ShardThread;
  runtime::WorkerPool Pool;
};

base::Result<void> AgentDaemon::Impl::start() {
  const settings::ProcessSettings &Settings = this->Node.settings();
  base::Result<runtime::UdpSocket> Socket =
      runtime::UdpSocket::bind(Settings.Data);
  if (!Socket) {
    return Socket.error();
  }
  this->Data = std::move(Socket.value());
  this->Out.emplace(this->Node, *this->Data);
  this->Agent.emplace(AgentTables{this->Node.self(), this->Node.targets(),
                                  this->Node.members()},
                      *this->Out);
  Core &Agent = *this->Agent;
  this->Upstream.emplace(
      this->Node.clock(), Settings.Upstream,
      links::UpstreamEvents{
          [&Agent](base::TimePoint Now) { Agent.onUpstreamConnected(Now); },
          [&Agent](base::TimePoint Now) { Agent.onUpstreamDisconnected(Now); },
          [&Agent](base::TimePoint Now, const wire::FromUpstream &Message) {
            Agent.onUpstream(Now, Message);
          }});
  const base::SteadyClock &Clock = this->Node.clock();
  this->Shards.emplace(Clock, this->Node.store(), Settings.Service,
                       ShardEvents{[&](const requests::StoredShard &Record) {
                                     Agent.onShardRecord(Clock.now(), Record);
                                   },
                                   [&](base::TimePoint ListingStartedAt) {
                                     Agent.onShardsListed(ListingStartedAt);
                                   },
                                   [&](uint32_t Shard) {
                                     Agent.onSwapFailed(Clock.now(), Shard);
                                   }});
  this->Out->attach(&*this->Upstream, &*this->Shards);
  if (base::Result<void> Started = this->Node.start(); !Started) {
    return Started;
  }
  if (base::Result<void> Serving = this->Node.startHttpServer(
          [this] {
            return metricsPage(this->status(), this->Agent->runTimes());
          },
          [this] { return statusPage(this->status()); });
      !Serving) {
    return Serving;
  }
  this->addFibers();
  this->Pool.start();
  return boost::outcome_v2::success();
}

void AgentDaemon::Impl::addFibers() {
  for (size_t Worker = 0; Worker < this->Node.settings().Workers; ++Worker) {
    this->Pool.add(Worker, [this] { this->readData(); });
  }
  this->Pool.add(0, [this] { this->readPeers(); });
  this->Pool.add(0, [this] {
    runtime::tickLoop(TickInterval, this->Pool.stopFlag(),
                      [this] { this->tick(); });
  });
  this->Pool.add(0, [this] { this->startServing(); });
}

// Starts up in order: waits for the targets, restores the previous run's state,
// follows the shard records, announces this agent, and runs the upstream's
// link. Packets that arrive earlier stay in the socket's buffer.
void AgentDaemon::Impl::startServing() {
  const runtime::StopFlag &Stop = this->Pool.stopFlag();
  while (!this->Node.knowsTargets() && !Stop.isRequested()) {
    boost::this_fiber::sleep_for(TickInterval);
  }
  this->restoreFromPeers();
  this->Agent->beginServing();
  this->ShardThread = std::jthread(
      [this](const std::stop_token &Token) { this->Shards->run(Token); });
  this->IsServing.store(true);
  this->Node.announce();
  log::info("event=serving service=" + this->Node.settings().Service.text());
  this->Upstream->run(Stop);
}

void AgentDaemon::Impl::requestSnapshots(base::TimePoint Now,
                                         size_t &RequestedCount) {
  members::Member Self = this->Node.self().get();
  RequestedCount = 0;
  for (const members::Member &Peer : this->Node.members().all()) {
    if (Peer.Service == Self.Service && Peer.Name != Self.Name) {
      ++RequestedCount;
      this->Node.links().send(Now, Peer.Control, Peer.Name,
                              wire::SnapshotFetch{Self.Name});
    }
  }
}

void AgentDaemon::Impl::restoreFromPeers() {
  const runtime::StopFlag &Stop = this->Pool.stopFlag();
  base::TimePoint StartedAt = this->Node.clock().now();
  size_t RequestedCount = 0;
  while (!Stop.isRequested() && !this->Agent->newestSnapshot()) {
    base::TimePoint Now = this->Node.clock().now();
    bool AllAnswered =
        RequestedCount > 0 && this->Agent->snapshotAnswers() >= RequestedCount;
    if (AllAnswered || Now - StartedAt >= MaxSnapshotWait) {
      break;
    }
    this->requestSnapshots(Now, RequestedCount);
    boost::this_fiber::sleep_for(SnapshotRetryInterval);
  }
  std::optional<wire::SnapshotReply> Found = this->Agent->newestSnapshot();
  if (!Found) {
    return;
  }
  base::Result<void> Restored =
      this->Agent->restore(this->Node.clock().now(), Found->State);
  if (Restored) {
    log::info("event=restored run=" + std::to_string(Found->Run) + " flows=" +
              std::to_string(this->Agent->flows().carriedFlowCount()));
  } else {
    log::error("event=restore-failed reason=\"" + Restored.error().Message +
               "\"");
  }
}

bool AgentDaemon::Impl::processDatagrams(runtime::ReceiveBatch &Batch) {
  this->Data->receive(Batch);
  base::TimePoint Now = this->Node.clock().now();
  if (Batch.size() > 0 && !this->Node.pauseDetector().checkUnfenced(Now)) {
    this->FencedDatagrams += Batch.size();
    return Batch.size() == runtime::BatchSize;
  }
  for (size_t I = 0; I < Batch.size(); ++I) {
    this->Agent->onDatagram(Now, Batch.sender(I), Batch.bytes(I));
  }
  return Batch.size() == runtime::BatchSize;
}

void AgentDaemon::Impl::readData() {
  const runtime::StopFlag &Stop = this->Pool.stopFlag();
  while (!this->IsServing.load() && !Stop.isRequested()) {
    boost::this_fiber::sleep_for(TickInterval);
  }
  runtime::ReceiveBatch Batch;
  runtime::readLoop(this->Data->fd(), Stop,
                    [&] { return this->processDatagrams(Batch); });
}

void AgentDaemon::Impl::readPeers() {
  auto HandleMessage = [this](base::TimePoint Now,
                              const wire::PeerMessage &Message) {
    this->Agent->onPeer(Now, Message);
  };
  runtime::readLoop(this->Node.links().receiveFd(), this->Pool.stopFlag(), [&] {
    return this->Node.processPeerMessages(HandleMessage);
  });
}

void AgentDaemon::Impl::tick() {
  base::TimePoint Now = this->Node.clock().now();
  bool IsOpen = this->Node.tick(Now);
  this->Upstream->tick(Now);
  if (!IsOpen || !this->IsServing.load()) {
    return;
  }
  this->Agent->onTick(Now);
  if (this->Agent->limits().IsCold) {
    this->Node.self().changeState(members::MemberState::InService,
                                  members::MemberState::Cold);
  } else {
    this->Node.self().changeState(members::MemberState::Cold,
                                  members::MemberState::InService);
  }
}

AgentStatus AgentDaemon::Impl::status() const {
  AgentStatus Status;
  Status.Self = this->Node.self().get();
  Status.Members = this->Node.members().all().size();
  Status.IsFenced = this->Node.pauseDetector().isFenced();
  Status.Pauses = this->Node.pauseDetector().pauseCount();
  Status.UpstreamConnected = this->Upstream->isConnected();
  Status.FencedDatagrams = this->FencedDatagrams.load();
  Status.StoreCalls = this->Node.store().counts().total();
  Status.Flows = this->Agent->flows().counts();
  Status.Requests = this->Agent->requests().counts();
  Status.RequestsInHand = this->Agent->requests().requestsInFlight();
  Status.ShardsHeld = this->Agent->requests().shardsHeld();
  Status.Limits = this->Agent->limits();
  Status.Links = this->Node.links().counts();
  Status.Malformed = this->Agent->drops().Malformed.load();
  Status.WrongService = this->Agent->drops().WrongService.load();
  Status.WrongReceiver = this->Agent->drops().WrongReceiver.load();
  return Status;
}

AgentDaemon::AgentDaemon(const settings::ProcessSettings &Settings)
    : Inner(std::make_unique<Impl>(Settings)) {}

AgentDaemon::~AgentDaemon() {
  this->Inner->Node.stopHttpServer();
  this->Inner->Pool.stop();
}

base::Result<void> AgentDaemon::start() { return this->Inner->start(); }

void AgentDaemon::drain() {
  this->Inner->Node.self().setState(members::MemberState::Draining);
}

RemainingWork AgentDaemon::remaining() const {
  const Core &Agent = *this->Inner->Agent;
  return {Agent.flows().carriedFlowCount(), Agent.requests().requestsInFlight(),
          Agent.requests().shardsHeld()};
}

bool AgentDaemon::handOver() {
  Impl &State = *this->Inner;
  // The state must not change after the snapshot is taken.
  State.IsServing.store(false);
  State.Node.pauseDetector().fencePermanently();
  members::Member Self = State.Node.self().get();
  wire::SnapshotPut Put{Self.Name, Self.Run, State.Agent->snapshot()};
  std::chrono::milliseconds Waited(0);
  while (State.Agent->snapshotCopies() == 0 && Waited < MaxHandoverWait) {
    size_t Sent = 0;
    for (const members::Member &Peer : State.Node.members().all()) {
      bool IsPeer = Peer.Service == Self.Service && Peer.Name != Self.Name &&
                    !State.Node.members().isSilent(Peer.Name);
      if (IsPeer && Sent < MaxSnapshotCopies) {
        ++Sent;
        State.Node.links().send(State.Node.clock().now(), Peer.Control,
                                Peer.Name, Put);
      }
    }
    std::this_thread::sleep_for(SnapshotRetryInterval);
    Waited += SnapshotRetryInterval;
  }
  return State.Agent->snapshotCopies() > 0;
}

void AgentDaemon::leave() { this->Inner->Node.leave(); }

} // namespace bilberry::agent
