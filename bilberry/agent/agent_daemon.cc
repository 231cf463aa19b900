#include "bilberry/agent/agent_daemon.h"

#include "bilberry/agent/agent_core.h"
#include "bilberry/agent/agent_pages.h"
#include "bilberry/agent/shard_follower.h"
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
// How long a start waits for the peers' answers about an earlier run.
static constexpr std::chrono::seconds MaxSnapshotWait(2);
static constexpr std::chrono::milliseconds SnapshotAskInterval(200);
// How long a restart waits for a peer to confirm that it keeps our state.
static constexpr std::chrono::seconds MaxHandOverWait(5);
// Peers that keep a copy of a restarting agent's state.
static constexpr size_t SnapshotCopies = 2;

std::string Remaining::text() const {
  return std::to_string(this->Flows) + " flows, " +
         std::to_string(this->Requests) + " requests, " +
         std::to_string(this->Shards) + " shards";
}

namespace {

using Follower = ShardFollower<base::SteadyClock, store::EtcdStore>;

// The core's outlet into real sockets.
class SocketOutlet {
public:
  SocketOutlet(node::Node &Node, const runtime::UdpSocket &Data)
      : Node(Node), Data(Data) {}

  void attach(links::UpstreamLink *Link, Follower *Shards) {
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
  void swapShard(const board::SwapShard &Swap) { this->Shards->swap(Swap); }
  void log(const board::LogDecision &Decision) { log::decision(Decision); }

private:
  node::Node &Node;
  const runtime::UdpSocket &Data;
  links::UpstreamLink *Upstream = nullptr;
  Follower *Shards = nullptr;
};

using Core = AgentCore<SocketOutlet>;

} // namespace

struct AgentDaemon::Impl {
  explicit Impl(const settings::ProcessSettings &Settings)
      : Node(Settings, members::MemberRole::Agent) {}

  base::Result<void> start();
  void addFibers();
  void readData();
  bool takeData(runtime::ReceiveBatch &Batch);
  void readPeers();
  void tick();
  void begin();
  void restoreFromPeers();
  void askForSnapshots(base::TimePoint Now, size_t &Asked);
  AgentStatus status() const;

  mutable node::Node Node;
  std::optional<runtime::UdpSocket> Data;
  std::optional<SocketOutlet> Out;
  std::optional<Core> Agent;
  std::optional<links::UpstreamLink> Upstream;
  std::optional<Follower> Shards;
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
  this->Agent.emplace(
      AgentBoard{this->Node.self(), this->Node.targets(), this->Node.members()},
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
  this->Shards.emplace(
      Clock, this->Node.store(), Settings.Service,
      ShardEvents{
          [&](const requests::StoredShard &Record) {
            Agent.onShardRecord(Clock.now(), Record);
          },
          [&](base::TimePoint Began) { Agent.onShardsListed(Began); },
          [&](uint32_t Shard) { Agent.onSwapFailed(Clock.now(), Shard); }});
  this->Out->attach(&*this->Upstream, &*this->Shards);
  if (base::Result<void> Started = this->Node.start(); !Started) {
    return Started;
  }
  if (base::Result<void> Serving = this->Node.servePages(
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
  this->Pool.add(0, [this] { this->begin(); });
}

// Becomes ready in order: targets, an earlier run's state, the upstream and
// the shards, the announcement. Packets that come before wait in the socket.
void AgentDaemon::Impl::begin() {
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

void AgentDaemon::Impl::askForSnapshots(base::TimePoint Now, size_t &Asked) {
  members::Member Self = this->Node.self().get();
  Asked = 0;
  for (const members::Member &Peer : this->Node.members().all()) {
    if (Peer.Service == Self.Service && Peer.Name != Self.Name) {
      ++Asked;
      this->Node.links().send(Now, Peer.Control, Peer.Name,
                              wire::SnapshotFetch{Self.Name});
    }
  }
}

void AgentDaemon::Impl::restoreFromPeers() {
  const runtime::StopFlag &Stop = this->Pool.stopFlag();
  base::TimePoint Began = this->Node.clock().now();
  size_t Asked = 0;
  while (!Stop.isRequested() && !this->Agent->foundSnapshot()) {
    base::TimePoint Now = this->Node.clock().now();
    bool AllAnswered = Asked > 0 && this->Agent->snapshotAnswers() >= Asked;
    if (AllAnswered || Now - Began >= MaxSnapshotWait) {
      break;
    }
    this->askForSnapshots(Now, Asked);
    boost::this_fiber::sleep_for(SnapshotAskInterval);
  }
  std::optional<wire::SnapshotReply> Found = this->Agent->foundSnapshot();
  if (!Found) {
    return;
  }
  base::Result<void> Restored =
      this->Agent->restore(this->Node.clock().now(), Found->State);
  if (Restored) {
    log::info("event=restored run=" + std::to_string(Found->Run) +
              " flows=" + std::to_string(this->Agent->flows().carried()));
  } else {
    log::error("event=restore-failed reason=\"" + Restored.error().Message +
               "\"");
  }
}

bool AgentDaemon::Impl::takeData(runtime::ReceiveBatch &Batch) {
  this->Data->receive(Batch);
  base::TimePoint Now = this->Node.clock().now();
  if (Batch.size() > 0 && !this->Node.pauses().check(Now)) {
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
                    [&] { return this->takeData(Batch); });
}

void AgentDaemon::Impl::readPeers() {
  auto Take = [this](base::TimePoint Now, const wire::PeerMessage &Message) {
    this->Agent->onPeer(Now, Message);
  };
  runtime::readLoop(this->Node.links().receiveFd(), this->Pool.stopFlag(),
                    [&] { return this->Node.takePeers(Take); });
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
  Status.IsFenced = this->Node.pauses().isFenced();
  Status.Pauses = this->Node.pauses().pauses();
  Status.UpstreamConnected = this->Upstream->isConnected();
  Status.FencedDatagrams = this->FencedDatagrams.load();
  Status.StoreCalls = this->Node.store().counts().total();
  Status.Flows = this->Agent->flows().counts();
  Status.Requests = this->Agent->requests().counts();
  Status.RequestsInHand = this->Agent->requests().inHand();
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
  this->Inner->Node.stopPages();
  this->Inner->Pool.stop();
}

base::Result<void> AgentDaemon::start() { return this->Inner->start(); }

void AgentDaemon::drain() {
  this->Inner->Node.self().setState(members::MemberState::Draining);
}

Remaining AgentDaemon::remaining() const {
  const Core &Agent = *this->Inner->Agent;
  return {Agent.flows().carried(), Agent.requests().inHand(),
          Agent.requests().shardsHeld()};
}

bool AgentDaemon::handOver() {
  Impl &State = *this->Inner;
  // Nothing may change the state once it has been written down.
  State.IsServing.store(false);
  State.Node.pauses().close();
  members::Member Self = State.Node.self().get();
  wire::SnapshotPut Put{Self.Name, Self.Run, State.Agent->snapshot()};
  std::chrono::milliseconds Waited(0);
  while (State.Agent->snapshotCopies() == 0 && Waited < MaxHandOverWait) {
    size_t Sent = 0;
    for (const members::Member &Peer : State.Node.members().all()) {
      bool IsPeer = Peer.Service == Self.Service && Peer.Name != Self.Name &&
                    !State.Node.members().isSilent(Peer.Name);
      if (IsPeer && Sent < SnapshotCopies) {
        ++Sent;
        State.Node.links().send(State.Node.clock().now(), Peer.Control,
                                Peer.Name, Put);
      }
    }
    std::this_thread::sleep_for(SnapshotAskInterval);
    Waited += SnapshotAskInterval;
  }
  return State.Agent->snapshotCopies() > 0;
}

void AgentDaemon::leave() { this->Inner->Node.leave(); }

} // namespace bilberry::agent
