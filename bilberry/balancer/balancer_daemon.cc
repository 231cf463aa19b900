#include "bilberry/balancer/balancer_daemon.h"

#include "bilberry/balancer/balancer_core.h"
#include "bilberry/balancer/balancer_pages.h"
#include "bilberry/log/log.h"
#include "bilberry/node/node.h"
#include "bilberry/runtime/udp_socket.h"
#include "bilberry/runtime/worker_pool.h"

#include <boost/fiber/operations.hpp>
#include <optional>
#include <utility>

namespace bilberry::balancer {

static constexpr std::chrono::milliseconds TickInterval(50);
static constexpr std::chrono::seconds ProbeInterval(1);

namespace {

// Implements OutputSink with sockets. Datagrams are sent in batches; peer
// messages are sent at once.
class BatchSink {
public:
  BatchSink(node::Node &Node, const runtime::UdpSocket &Data)
      : Node(Node), Data(Data) {}

  void sendDatagram(const base::Address &To, std::string Header,
                    std::string_view Payload) {
    this->Batch.add(To, std::move(Header), Payload);
    if (this->Batch.isFull()) {
      this->flush();
    }
  }
  void sendPeer(const base::Address &To, const base::MemberName &Receiver,
                wire::PeerBody Body) {
    this->Node.links().send(this->Node.clock().now(), To, Receiver,
                            std::move(Body));
  }
  void flush() {
    if (!this->Batch.empty()) {
      this->Data.send(this->Batch);
    }
  }

private:
  node::Node &Node;
  const runtime::UdpSocket &Data;
  runtime::SendBatch Batch;
};

} // namespace

struct BalancerDaemon::Impl {
  explicit Impl(const settings::ProcessSettings &Settings)
      : Node(Settings, members::MemberRole::Balancer),
        Balancer(
            {this->Node.self(), this->Node.targets(), this->Node.members()},
            Settings.CacheFlows),
        LastEnvelopeNs(this->Node.clock().now().time_since_epoch().count()) {}

  base::Result<void> start();
  void addFibers();
  void readData();
  bool processDatagrams(runtime::ReceiveBatch &Batch, BatchSink &Out);
  void readPeers();
  void probe();
  void announceWhenReady();
  BalancerStatus status() const;

  mutable node::Node Node;
  BalancerCore Balancer;
  std::optional<runtime::UdpSocket> Data;
  std::atomic<int64_t> LastEnvelopeNs;
  std::atomic<uint64_t> FencedDatagrams{0};
  runtime::WorkerPool Pool;
};

base::Result<void> BalancerDaemon::Impl::start() {
  const settings::ProcessSettings &Settings = this->Node.settings();
  base::Result<runtime::UdpSocket> Socket =
      runtime::UdpSocket::bind(Settings.Data);
  if (!Socket) {
    return Socket.error();
  }
  this->Data = std::move(Socket.value());
  if (base::Result<void> Started = this->Node.start(); !Started) {
    return Started;
  }
  if (base::Result<void> Serving = this->Node.startHttpServer(
          [this] { return metricsPage(this->status()); },
          [this] { return statusPage(this->status()); });
      !Serving) {
    return Serving;
  }
  this->addFibers();
  this->Pool.start();
  return boost::outcome_v2::success();
}

void BalancerDaemon::Impl::addFibers() {
  for (size_t Worker = 0; Worker < this->Node.settings().Workers; ++Worker) {
    this->Pool.add(Worker, [this] { this->readData(); });
  }
  this->Pool.add(0, [this] { this->readPeers(); });
  this->Pool.add(0, [this] {
    runtime::tickLoop(TickInterval, this->Pool.stopFlag(),
                      [this] { this->Node.tick(this->Node.clock().now()); });
  });
  this->Pool.add(0, [this] {
    runtime::tickLoop(ProbeInterval, this->Pool.stopFlag(),
                      [this] { this->probe(); });
  });
  this->Pool.add(0, [this] { this->announceWhenReady(); });
}

void BalancerDaemon::Impl::announceWhenReady() {
  const runtime::StopFlag &Stop = this->Pool.stopFlag();
  while (!this->Node.knowsTargets() && !Stop.isRequested()) {
    boost::this_fiber::sleep_for(TickInterval);
  }
  this->Node.announce();
  log::info("event=serving");
}

bool BalancerDaemon::Impl::processDatagrams(runtime::ReceiveBatch &Batch,
                                            BatchSink &Out) {
  this->Data->receive(Batch);
  if (Batch.size() == 0) {
    return false;
  }
  base::TimePoint Now = this->Node.clock().now();
  if (!this->Node.pauseDetector().checkUnfenced(Now)) {
    this->FencedDatagrams += Batch.size();
    return Batch.size() == runtime::BatchSize;
  }
  uint64_t Before = this->Balancer.counts().Received.load();
  for (size_t I = 0; I < Batch.size(); ++I) {
    this->Balancer.onDatagram(Now, Batch.bytes(I), Out);
  }
  Out.flush();
  if (this->Balancer.counts().Received.load() != Before) {
    this->LastEnvelopeNs.store(Now.time_since_epoch().count());
  }
  return Batch.size() == runtime::BatchSize;
}

void BalancerDaemon::Impl::readData() {
  runtime::ReceiveBatch Batch;
  BatchSink Out(this->Node, *this->Data);
  runtime::readLoop(this->Data->fd(), this->Pool.stopFlag(),
                    [&] { return this->processDatagrams(Batch, Out); });
}

void BalancerDaemon::Impl::readPeers() {
  BatchSink Out(this->Node, *this->Data);
  auto HandleMessage = [&](base::TimePoint Now,
                           const wire::PeerMessage &Message) {
    this->Balancer.onPeer(Now, Message, Out);
  };
  runtime::readLoop(this->Node.links().receiveFd(), this->Pool.stopFlag(), [&] {
    return this->Node.processPeerMessages(HandleMessage);
  });
}

void BalancerDaemon::Impl::probe() {
  BatchSink Out(this->Node, *this->Data);
  this->Balancer.sendProbes(Out);
  Out.flush();
}

BalancerStatus BalancerDaemon::Impl::status() const {
  BalancerStatus Status;
  Status.Self = this->Node.self().get();
  Status.Members = this->Node.members().all().size();
  Status.IsFenced = this->Node.pauseDetector().isFenced();
  Status.Pauses = this->Node.pauseDetector().pauseCount();
  Status.FencedDatagrams = this->FencedDatagrams.load();
  Status.StoreCalls = this->Node.store().counts().total();
  Status.CachedFlows = this->Balancer.cachedFlows();
  Status.Links = this->Node.links().counts();
  Status.Counts = &this->Balancer.counts();
  return Status;
}

BalancerDaemon::BalancerDaemon(const settings::ProcessSettings &Settings)
    : Inner(std::make_unique<Impl>(Settings)) {}

BalancerDaemon::~BalancerDaemon() {
  this->Inner->Node.stopHttpServer();
  this->Inner->Pool.stop();
}

base::Result<void> BalancerDaemon::start() { return this->Inner->start(); }

void BalancerDaemon::leave() { this->Inner->Node.leave(); }

base::Duration BalancerDaemon::timeSinceLastDatagram() const {
  base::TimePoint Last{base::Duration(this->Inner->LastEnvelopeNs.load())};
  return this->Inner->Node.clock().now() - Last;
}

} // namespace bilberry::balancer
