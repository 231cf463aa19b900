// What a balancer and an agent that relay packets have in common: the clock,
// the operators' documents and their follower, the pages, the actions that
// wait to be carried out, and the log of decisions. One thread carries all
// packets; calls to the store block, and have threads of their own.

#ifndef BILBERRY_NODE_PACKET_NODE_H
#define BILBERRY_NODE_PACKET_NODE_H

#include "bilberry/base/rate_limiter.h"
#include "bilberry/log/log.h"
#include "bilberry/metrics/exposition.h"
#include "bilberry/node/job_thread.h"
#include "bilberry/node/page_client.h"
#include "bilberry/node/status_server.h"
#include "bilberry/runtime/packet_io.h"
#include "bilberry/runtime/poll_scheduler.h"
#include "bilberry/runtime/signals.h"
#include "bilberry/runtime/udp_socket.h"
#include "bilberry/settings/packet_settings.h"
#include "bilberry/targets/operator_follower.h"

#include <boost/fiber/operations.hpp>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace bilberry::node {

/// Lines on single flows that are written in a second at most; what goes
/// beyond is counted.
inline constexpr uint32_t MaxFlowLinesPerSecond = 100;
/// Lines on bad input that are written in a second at most.
inline constexpr uint32_t MaxFaultLinesPerSecond = 5;
/// How often timers are looked at: fine enough for the shortest timeout.
inline constexpr std::chrono::milliseconds TickInterval(50);
/// The page with the operators' documents.
inline constexpr char DocumentsPath[] = "/documents";

/// Reads one socket in a fiber of its own, for ever: each batch is given to
/// OnDatagram(sender, bytes) one by one, then OnBatch() is called. The socket
/// and the handlers must outlive the fiber's thread.
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
    // A batch that isn't full has emptied the socket.
    if (Batch.size() == runtime::BatchSize) {
      boost::this_fiber::yield();
    } else {
      runtime::PollScheduler::waitReadable(Socket.fd());
    }
  }
}

/// Where the operators' documents lie and how they are written.
struct DocumentSource {
  std::string Prefix;
  targets::DocumentFormat Format;
};

/// Members are thread-safe but for open() and run(), which belong to the main
/// thread.
template <packet::PacketFormat Format, store::Store S> class PacketNode {
public:
  /// Precondition: Source outlives the node.
  PacketNode(const settings::PacketSettings &Settings, S &Source,
             DocumentSource Documents)
      : Settings(Settings), Run(runNow()), Board(std::move(Documents.Format)),
        Follower(Source, std::move(Documents.Prefix), Board,
                 [](const std::string &Line) { log::info(Line); }),
        FollowerThread([this](const std::stop_token &Stop) {
          this->Follower.run(Stop);
        }) {}

  base::TimePoint now() const { return this->Clock.now(); }
  const base::BootClock &clock() const { return this->Clock; }
  base::Incarnation run() const { return this->Run; }
  targets::OperatorBoard &board() { return this->Board; }
  /// Guards actions() and what the process decides by.
  std::mutex &mutex() { return this->Mutex; }
  /// What is to be carried out by the next flushLocked(). Precondition: mutex()
  /// is held.
  packet::PacketActions &actions() { return this->Actions; }

  /// Where flushLocked() sends to. The sockets must outlive the node's use.
  void open(runtime::PacketOutlets Outlets) { this->Sender.emplace(Outlets); }
  /// Logs and carries out the actions. Preconditions: open() was called, and
  /// mutex() is held.
  void flushLocked() {
    this->logDecisions(this->now());
    this->Refused += this->Sender->send(this->Actions);
  }

  /// Calls OnTick(now), which returns what was heard of the documents, each
  /// TickInterval until a stop signal has come and the time that OnStop()
  /// returned is over; OnReload() for SIGHUP. Precondition: the thread's fibers
  /// run under runtime::PollScheduler.
  template <typename TickHandler, typename ReloadHandler, typename StopHandler>
  void run(TickHandler OnTick, ReloadHandler OnReload, StopHandler OnStop) {
    std::optional<base::TimePoint> StopAt;
    while (!StopAt || this->now() < *StopAt) {
      boost::this_fiber::sleep_for(TickInterval);
      base::TimePoint Now = this->now();
      this->catchUp(Now, OnTick(Now));
      auto Signal = runtime::awaitSignal(std::chrono::milliseconds(0));
      if (Signal == runtime::StopSignal::Restart) {
        OnReload();
      } else if (Signal && !StopAt) {
        base::Duration Delay = OnStop();
        StopAt = this->now() + Delay;
      }
    }
  }

  /// Serves the metrics, and the documents for peers. Errors: System.
  base::Result<void> servePages(PageBuilder Metrics) {
    this->Pages.emplace(std::vector<Page>{
        {"/metrics", "text/plain; version=0.0.4", std::move(Metrics)},
        {DocumentsPath, "application/json",
         [this] { return targets::listingText(this->Board.documents()); }}});
    return this->Pages->start(this->Settings.pages());
  }

  /// Writes that something that came could not be read.
  void logFault(base::TimePoint Now, const std::string &What) {
    ++this->Faults;
    if (this->FaultLines.allow(Now)) {
      log::warn("event=malformed " + What);
    }
  }

  /// Adds what both kinds of process count.
  void addMetrics(metrics::Exposition &Page) const {
    Page.counter("bilberry_malformed_total", "Bytes that could not be read",
                 this->Faults);
    Page.counter("bilberry_log_lines_dropped_total",
                 "Decisions that were not logged", this->UnwrittenLines);
    auto Routes = this->Board.current()->Routes;
    Page.gauge("bilberry_route_version", "Version of the routes in force",
               Routes ? static_cast<double>(Routes->Version) : 0);
    Page.gauge("bilberry_store_up", "1 while the store answers",
               this->Follower.isStoreUp() ? 1 : 0);
    Page.counter("bilberry_datagrams_refused_total",
                 "Datagrams that the kernel didn't take", this->Refused);
  }

  /// Reads packets from a socket for ever, in a fiber of its own: each is given
  /// to OnPacket(sender, packet) under mutex(), and OnBatch() is called after
  /// each batch. Everything named must outlive the fiber's thread.
  template <typename PacketHandler, typename BatchHandler>
  void readPackets(const runtime::UdpSocket &Socket, PacketHandler OnPacket,
                   BatchHandler OnBatch) {
    readSocket(
        Socket,
        [&](const base::Address &From, std::span<char> Bytes) {
          std::optional<packet::Packet> Packet = Format::parse(Bytes);
          if (!Packet) {
            this->logFault(this->now(),
                           "packet from=" + base::addressText(From));
            return;
          }
          std::lock_guard Lock(this->Mutex);
          OnPacket(From, *Packet);
        },
        OnBatch);
  }
  /// The same for messages between our processes.
  template <typename MessageHandler, typename BatchHandler>
  void readMessages(const runtime::UdpSocket &Socket, MessageHandler OnMessage,
                    BatchHandler OnBatch) {
    readSocket(
        Socket,
        [&](const base::Address &From, std::span<char> Bytes) {
          base::Result<wire::RelayMessage> Message =
              wire::parseRelayMessage({Bytes.data(), Bytes.size()});
          if (!Message) {
            this->logFault(this->now(),
                           "message from=" + base::addressText(From));
            return;
          }
          std::lock_guard Lock(this->Mutex);
          OnMessage(From, Message.value());
        },
        OnBatch);
  }

private:
  static base::Incarnation runNow() {
    return static_cast<base::Incarnation>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
  }

  // Catches up with documents that a peer has.
  void catchUp(base::TimePoint Now, const wire::NewsMark &Heard) {
    bool IsBehind = this->Board.isBehind(Heard.Changed);
    switch (this->Behind.next(Now, IsBehind)) {
    case targets::CatchUpStep::Nothing:
      break;
    case targets::CatchUpStep::ReadStore:
      log::info("event=documents-behind heard=" +
                std::to_string(Heard.Changed) + " action=read-store");
      this->Follower.reread();
      break;
    case targets::CatchUpStep::AskPeer:
      this->Jobs.post([this, Peer = Heard.Pages] { this->askPeer(Peer); });
    }
  }

  // Writes the decisions on flows, as many as the log bears.
  void logDecisions(base::TimePoint Now) {
    for (const packet::FlowDecision &Decision : this->Actions.Decisions) {
      if (this->FlowLines.allow(Now)) {
        log::flow(Decision);
      } else {
        ++this->UnwrittenLines;
      }
    }
    // Not limited: one or two for each run of an agent.
    for (const std::string &Line : this->Actions.Events) {
      log::info(Line);
    }
  }

  void askPeer(const base::Address &Peer) {
    base::Result<std::string> Text = fetchPage(Peer, DocumentsPath);
    if (!Text) {
      log::warn("event=peer-documents-missing reason=\"" +
                Text.error().Message + "\"");
      return;
    }
    log::info("event=peer-documents from=" + base::addressText(Peer));
    this->Follower.takeFromPeer(Text.value());
  }

  settings::PacketSettings Settings;
  base::BootClock Clock;
  base::Incarnation Run;
  targets::OperatorBoard Board;
  targets::OperatorFollower<S> Follower;
  targets::CatchUp Behind;
  base::RateLimiter FlowLines{MaxFlowLinesPerSecond};
  base::RateLimiter FaultLines{MaxFaultLinesPerSecond};
  std::atomic<uint64_t> UnwrittenLines{0};
  std::atomic<uint64_t> Faults{0};
  std::atomic<uint64_t> Refused{0};
  std::mutex Mutex;
  packet::PacketActions Actions;
  std::optional<runtime::PacketSender<Format>> Sender;
  std::optional<StatusServer> Pages;
  JobThread Jobs;
  std::jthread FollowerThread;
};

} // namespace bilberry::node

#endif
