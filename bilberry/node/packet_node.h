// The parts that packet-relaying balancers and agents share: the clock, the
// operators' documents and their watcher, the HTTP pages, the queue of pending
// actions, and the decision log. One thread handles all packets; calls to the
// store block, and run in threads of their own.

#ifndef BILBERRY_NODE_PACKET_NODE_H
#define BILBERRY_NODE_PACKET_NODE_H

#include "bilberry/base/rate_limiter.h"
#include "bilberry/log/log.h"
#include "bilberry/metrics/exposition.h"
#include "bilberry/node/job_thread.h"
#include "bilberry/node/log_metrics.h"
#include "bilberry/node/page_client.h"
#include "bilberry/node/status_server.h"
#include "bilberry/runtime/packet_io.h"
#include "bilberry/runtime/poll_scheduler.h"
#include "bilberry/runtime/signals.h"
#include "bilberry/runtime/udp_socket.h"
#include "bilberry/settings/packet_settings.h"
#include "bilberry/targets/operator_watcher.h"

#include <boost/fiber/operations.hpp>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace bilberry::node {

/// Rate limit of log lines about malformed input.
inline constexpr uint32_t MaxMalformedLogLinesPerSecond = 5;
/// The interval of timer checks; short enough for the shortest timeout.
inline constexpr std::chrono::milliseconds TickInterval(50);
/// The HTTP path of the operators' documents.
inline constexpr char DocumentsPath[] = "/documents";

/// Reads a socket in the calling fiber and never returns. Calls
/// OnDatagram(sender, bytes) for each datagram of a batch, then OnBatch(). The
/// socket and the handlers must outlive the fiber's thread.
template <typename DatagramHandler, typename BatchHandler>
void readSocket(const runtime::UdpSocket &Socket, DatagramHandler OnDatagram,
                BatchHandler OnBatch) {
  runtime::ReceiveBatch Batch(packet::MaxPacketBytes);
  while (true) {
    Socket.receive(Batch);
    for (size_t I = 0; I < Batch.size(); ++I) {
      OnDatagram(Batch.sender(I), Batch.buffer(I));
    }
    if (Batch.size() > 0) {
      OnBatch();
    }
    // A batch that is not full has drained the socket.
    if (Batch.size() == runtime::BatchSize) {
      boost::this_fiber::yield();
    } else {
      runtime::PollScheduler::waitReadable(Socket.fd());
    }
  }
}

/// The store prefix and the format of the operators' documents.
struct DocumentSource {
  std::string Prefix;
  targets::DocumentFormat Format;
};

/// Thread-safe, except that the main thread alone may set up the sender and
/// call run() with handlers.
template <packet::PacketFormat Format, store::Store S> class PacketNode {
public:
  /// Precondition: Source outlives the node. IsFollower is the initial value of
  /// setFollower().
  PacketNode(const settings::PacketSettings &Settings, S &Source,
             DocumentSource Documents, bool IsFollower)
      : Settings(Settings), RunIncarnation(newIncarnation()),
        StateCache(std::move(Documents.Format)),
        Watcher(
            Source, std::move(Documents.Prefix), StateCache,
            [](const std::string &Line) { log::info(Line); }, IsFollower),
        IsFollower(IsFollower),
        WatcherThread(
            [this](const std::stop_token &Stop) { this->Watcher.run(Stop); }) {}

  base::TimePoint now() const { return this->Clock.now(); }
  const base::BootClock &clock() const { return this->Clock; }
  base::Incarnation run() const { return this->RunIncarnation; }
  targets::OperatorStateCache &stateCache() { return this->StateCache; }
  /// Sets whether this process follows the operators' documents closely, so
  /// that others can rely on it (targets::OperatorWatcher). Call from the
  /// thread of run().
  void setFollower(bool Value) {
    if (this->IsFollower != Value) {
      this->IsFollower = Value;
      this->Watcher.setFollower(Value);
      log::info(std::string("event=follow-documents now=") +
                (Value ? "yes" : "no"));
    }
  }
  /// True if the documents could be read from the store lately.
  bool isStoreUp() const { return this->Watcher.isStoreUp(); }
  /// The number of broken watches of the documents so far.
  uint64_t brokenWatches() const { return this->Watcher.brokenWatches(); }
  /// Guards actions() and the state on which decisions are based.
  std::mutex &mutex() { return this->Mutex; }
  /// The actions that the next flushLocked() executes. Precondition: mutex() is
  /// held.
  packet::PacketActions &actions() { return this->Actions; }

  /// Sets the sockets and addresses that flushLocked() uses. The sockets must
  /// outlive the node.
  void configureSender(runtime::PacketSenderOptions SenderOptions) {
    this->Sender.emplace(SenderOptions);
  }
  /// Logs and executes the pending actions. Preconditions: the sender was set
  /// up, and mutex() is held.
  void flushLocked() {
    this->logDecisions(this->now());
    this->RefusedDatagrams += this->Sender->send(this->Actions);
  }

  /// Calls OnTick(now) every TickInterval; it returns the latest document
  /// change that peers have reported. Calls OnReload() for SIGHUP. On a stop
  /// signal, calls OnStop() once and returns after the delay that OnStop()
  /// returned, or as soon as MayExit() returns true. Precondition: the thread's
  /// fibers run under runtime::PollScheduler.
  template <typename TickHandler, typename ReloadHandler, typename StopHandler,
            typename ExitCondition>
  void run(TickHandler OnTick, ReloadHandler OnReload, StopHandler OnStop,
           ExitCondition MayExit) {
    std::optional<base::TimePoint> StopAt;
    while (!StopAt || (this->now() < *StopAt && !MayExit())) {
      boost::this_fiber::sleep_for(TickInterval);
      base::TimePoint Now = this->now();
      this->Watcher.tick(Now);
      this->catchUp(Now, OnTick(Now));
      auto Signal = runtime::waitForSignal(std::chrono::milliseconds(0));
      if (Signal == runtime::StopSignal::Restart) {
        OnReload();
      } else if (Signal && !StopAt) {
        base::Duration Delay = OnStop();
        StopAt = this->now() + Delay;
      }
    }
  }

  /// Starts the HTTP server for the metrics, and for the documents that peers
  /// fetch. Errors: System.
  base::Result<void> startHttpServer(PageBuilder Metrics) {
    this->Pages.emplace(std::vector<Page>{
        {"/metrics", "text/plain; version=0.0.4", std::move(Metrics)},
        {DocumentsPath, "application/json", [this] {
           return targets::listingText(this->StateCache.documents());
         }}});
    return this->Pages->start(this->Settings.httpAddress());
  }

  /// Counts and logs input that could not be parsed. Log lines are
  /// rate-limited.
  void logMalformedInput(base::TimePoint Now, const std::string &What) {
    ++this->MalformedInputs;
    if (this->MalformedLogLimiter.allow(Now)) {
      log::warn("event=malformed " + What);
    }
  }

  /// Adds the metrics that balancers and agents share.
  void addMetrics(metrics::Exposition &Page) const {
    Page.counter("bilberry_malformed_total", "Malformed inputs received",
                 this->MalformedInputs);
    addLogMetrics(Page);
    auto Routes = this->StateCache.current()->Routes;
    Page.gauge("bilberry_route_version", "Version of the active routes",
               Routes ? static_cast<double>(Routes->Version) : 0);
    Page.gauge("bilberry_store_up", "1 if the store responds, else 0",
               this->Watcher.isStoreUp() ? 1 : 0);
    Page.counter("bilberry_store_watches_broken_total",
                 "Watches of the operators' documents that broke or went "
                 "silent",
                 this->Watcher.brokenWatches());
    Page.gauge("bilberry_store_era",
               "Era of the store, which rises when it is restored from a copy",
               static_cast<double>(this->StateCache.era()));
    Page.counter("bilberry_store_restores_total",
                 "Restores of the store that this process has noticed",
                 this->StateCache.restores());
    Page.counter("bilberry_datagrams_refused_total",
                 "Datagrams that the kernel failed to send",
                 this->RefusedDatagrams);
  }

  /// Reads packets from a socket in the calling fiber and never returns. Calls
  /// OnPacket(sender, packet) for each packet with mutex() held, and OnBatch()
  /// after each batch, without it. The node, the socket and what the handlers
  /// refer to must outlive the fiber's thread.
  template <typename PacketHandler, typename BatchHandler>
  void readPackets(const runtime::UdpSocket &Socket, PacketHandler OnPacket,
                   BatchHandler OnBatch) {
    readSocket(
        Socket,
        [&](const base::Address &From, std::span<char> Bytes) {
          std::optional<packet::Packet> Packet = Format::parse(Bytes);
          if (!Packet) {
            this->logMalformedInput(this->now(),
                                    "packet from=" + base::addressText(From));
            return;
          }
          std::lock_guard Lock(this->Mutex);
          OnPacket(From, *Packet);
        },
        OnBatch);
  }
  /// Like readPackets(), for messages between agents and balancers.
  template <typename MessageHandler, typename BatchHandler>
  void readMessages(const runtime::UdpSocket &Socket, MessageHandler OnMessage,
                    BatchHandler OnBatch) {
    readSocket(
        Socket,
        [&](const base::Address &From, std::span<char> Bytes) {
          base::Result<wire::RelayMessage> Message =
              wire::parseRelayMessage({Bytes.data(), Bytes.size()});
          if (!Message) {
            this->logMalformedInput(this->now(),
                                    "message from=" + base::addressText(From));
            return;
          }
          std::lock_guard Lock(this->Mutex);
          OnMessage(From, Message.value());
        },
        OnBatch);
  }

private:
  static base::Incarnation newIncarnation() {
    return static_cast<base::Incarnation>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
  }

  // Rereads the store, or fetches the documents from the peer, if the peer has
  // reported newer documents than the local ones.
  void catchUp(base::TimePoint Now,
               const wire::DocumentsVersion &PeerDocuments) {
    bool IsBehind = this->StateCache.lacks(PeerDocuments);
    switch (this->DocumentCatchUp.next(Now, IsBehind)) {
    case targets::CatchUpAction::Nothing:
      break;
    case targets::CatchUpAction::ReadStore:
      log::info("event=documents-behind heard=" +
                std::to_string(PeerDocuments.Changed) + " era=" +
                std::to_string(PeerDocuments.Era) + " action=read-store");
      this->Watcher.reread();
      break;
    case targets::CatchUpAction::AskPeer:
      this->Jobs.post([this, Peer = PeerDocuments.Pages] {
        this->fetchPeerDocuments(Peer);
      });
    }
  }

  // Logs the flow decisions within their rate limit, and all events.
  void logDecisions(base::TimePoint Now) {
    for (const packet::FlowDecision &Decision : this->Actions.Decisions) {
      log::logFlowDecision(Now, Decision);
    }
    // Not rate-limited: there are only one or two for each run of an agent.
    for (const std::string &Line : this->Actions.Events) {
      log::info(Line);
    }
  }

  void fetchPeerDocuments(const base::Address &Peer) {
    base::Result<std::string> Text = fetchPage(Peer, DocumentsPath);
    if (!Text) {
      log::warn("event=peer-documents-missing reason=\"" +
                Text.error().Message + "\"");
      return;
    }
    log::info("event=peer-documents from=" + base::addressText(Peer));
    this->Watcher.applyPeerDocuments(Text.value());
  }

  settings::PacketSettings Settings;
  base::BootClock Clock;
  base::Incarnation RunIncarnation;
  targets::OperatorStateCache StateCache;
  targets::OperatorWatcher<S> Watcher;
  bool IsFollower;
  targets::CatchUpPolicy DocumentCatchUp;
  base::RateLimiter MalformedLogLimiter{MaxMalformedLogLinesPerSecond};
  std::atomic<uint64_t> MalformedInputs{0};
  std::atomic<uint64_t> RefusedDatagrams{0};
  std::mutex Mutex;
  packet::PacketActions Actions;
  std::optional<runtime::PacketSender<Format>> Sender;
  std::optional<StatusServer> Pages;
  JobThread Jobs;
  std::jthread WatcherThread;
};

} // namespace bilberry::node

#endif
