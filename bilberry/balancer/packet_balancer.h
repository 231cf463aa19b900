// The balancer that relays packets as a process: sockets, threads and the
// store around a routing::PacketRouter.

#ifndef BILBERRY_BALANCER_PACKET_BALANCER_H
#define BILBERRY_BALANCER_PACKET_BALANCER_H

#include "bilberry/members/member_watcher.h"
#include "bilberry/node/packet_node.h"
#include "bilberry/routing/packet_router.h"
#include "bilberry/runtime/packet_io.h"

#include <atomic>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/outcome/try.hpp>
#include <memory>
#include <mutex>

namespace bilberry::balancer {

/// How long a balancer that is to stop goes on forwarding: the fabric notices
/// after two missed checks, half a second apart, and what it has sent by then
/// must have come through.
inline constexpr base::Duration StopDelay = std::chrono::milliseconds(2500);
/// The listing of members is only repeated where a watch broke.
inline constexpr base::Duration MembersReread = std::chrono::hours(1);

/// The metrics of a router as a page's samples.
void addRouterMetrics(const routing::PacketRouterCounts &Counts, size_t Flows,
                      metrics::Exposition &Page);

/// One process. run() belongs to the main thread.
template <packet::PacketFormat Format, store::Store S> class PacketBalancer {
public:
  /// Precondition: Source outlives the balancer.
  PacketBalancer(const settings::PacketSettings &Settings, S &Source,
                 node::DocumentSource Documents)
      : Settings(Settings), Node(Settings, Source, std::move(Documents)),
        Router({Settings.Name, Node.run(), Settings.DataCentre,
                Settings.pages(), Settings.MaxFlows},
               Node.now(), Node.board()),
        Watcher(Source, Node.clock(), Members, MembersReread,
                targets::LongestStoreDelay) {}

  /// Opens the sockets and begins to follow the store. Errors: System.
  base::Result<void> start() {
    BOOST_OUTCOME_TRY(Front, runtime::UdpSocket::bind(this->Settings.Callers));
    BOOST_OUTCOME_TRY(Relay, runtime::UdpSocket::bind(this->Settings.relay()));
    BOOST_OUTCOME_TRY(Messages,
                      runtime::UdpSocket::bind(this->Settings.messages()));
    this->Sockets = std::make_unique<SocketSet>(
        SocketSet{std::move(Front), std::move(Relay), std::move(Messages)});
    this->Sender.emplace(runtime::PacketOutlets{this->Sockets->Relay,
                                                this->Sockets->Messages,
                                                this->Settings.Callers.Port,
                                                {}});
    BOOST_OUTCOME_TRY(this->Node.servePages([this] { return this->page(); }));
    this->WatcherThread = std::jthread(
        [this](const std::stop_token &Stop) { this->Watcher.run(Stop); });
    return boost::outcome_v2::success();
  }

  /// True while the fabric may send packets here. Thread-safe.
  bool isReady() {
    std::lock_guard Lock(this->Mutex);
    return !this->IsStopping && this->Router.isReady();
  }

  /// Forwards packets until a stop signal has come and StopDelay is over.
  /// OnReload is called for SIGHUP. Precondition: start() succeeded.
  template <typename ReloadHandler> void run(ReloadHandler OnReload) {
    boost::fibers::use_scheduling_algorithm<runtime::PollScheduler>();
    boost::fibers::fiber([this] { this->readCallers(); }).detach();
    boost::fibers::fiber([this] { this->readReturned(); }).detach();
    boost::fibers::fiber([this] { this->readMessages(); }).detach();
    std::optional<base::TimePoint> StopAt;
    while (!StopAt || this->Node.now() < *StopAt) {
      boost::this_fiber::sleep_for(node::TickInterval);
      this->tick();
      auto Signal = runtime::awaitSignal(std::chrono::milliseconds(0));
      if (Signal == runtime::StopSignal::Restart) {
        OnReload();
      } else if (Signal && !StopAt) {
        StopAt = this->Node.now() + StopDelay;
        this->IsStopping = true;
        log::info("event=stopping flows=" +
                  std::to_string(this->Router.flows()));
      }
    }
  }

private:
  struct SocketSet {
    runtime::UdpSocket Front;
    runtime::UdpSocket Relay;
    runtime::UdpSocket Messages;
  };

  void readCallers() {
    this->Node.template readPackets<Format>(
        this->Sockets->Front, this->Mutex,
        [this](const base::Address &, const packet::Packet &P) {
          this->Router.onCallerPacket(this->Node.now(), P, this->Actions);
        },
        [this] { this->flush(); });
  }

  void readReturned() {
    this->Node.template readPackets<Format>(
        this->Sockets->Relay, this->Mutex,
        [this](const base::Address &From, const packet::Packet &P) {
          this->Router.onReturned(this->Node.now(), From, P, this->Actions);
        },
        [this] { this->flush(); });
  }

  void readMessages() {
    this->Node.readMessages(
        this->Sockets->Messages, this->Mutex,
        [this](const base::Address &From, const wire::RelayMessage &Message) {
          this->Router.onMessage(this->Node.now(), From, Message,
                                 this->Actions);
        },
        [this] { this->flush(); });
  }

  void tick() {
    base::TimePoint Now = this->Node.now();
    if (Now - this->MembersAt >= MembersInterval) {
      this->MembersAt = Now;
      this->Watcher.tick(Now);
      std::vector<members::Member> Announced = this->Members.all();
      std::erase_if(Announced, [this](const members::Member &Value) {
        return this->Members.isSilent(Value.Name);
      });
      std::lock_guard Lock(this->Mutex);
      this->Router.takeAnnounced(Now, Announced);
    }
    wire::NewsMark Heard;
    {
      std::lock_guard Lock(this->Mutex);
      this->Router.onTick(Now, !this->Watcher.isStoreDown(), this->Actions);
      Heard = this->Router.newsHeard();
    }
    this->flush();
    this->Node.tick(Now, Heard);
  }

  void flush() {
    std::lock_guard Lock(this->Mutex);
    base::TimePoint Now = this->Node.now();
    this->Router.flush(Now, this->Actions);
    this->Node.logDecisions(Now, this->Actions);
    this->Refused += this->Sender->send(this->Actions);
  }

  std::string page() {
    metrics::Exposition Page;
    this->Node.addMetrics(Page);
    std::lock_guard Lock(this->Mutex);
    Page.counter("bilberry_datagrams_refused_total",
                 "Datagrams that the kernel didn't take", this->Refused);
    addRouterMetrics(this->Router.counts(), this->Router.flows(), Page);
    return Page.text();
  }

  // The table of members is looked at this often.
  static constexpr base::Duration MembersInterval =
      std::chrono::milliseconds(200);

  settings::PacketSettings Settings;
  node::PacketNode<S> Node;
  std::mutex Mutex;
  routing::PacketRouter Router;
  packet::PacketActions Actions;
  members::MemberTable Members;
  members::MemberWatcher<S, base::BootClock> Watcher;
  base::TimePoint MembersAt;
  std::unique_ptr<SocketSet> Sockets;
  std::optional<runtime::PacketSender<Format>> Sender;
  std::atomic<bool> IsStopping{false};
  uint64_t Refused = 0;
  std::jthread WatcherThread;
};

} // namespace bilberry::balancer

#endif
