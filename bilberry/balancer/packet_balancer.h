// The balancer that relays packets as a process: sockets, threads and the
// store around a routing::PacketRouter.

#ifndef BILBERRY_BALANCER_PACKET_BALANCER_H
#define BILBERRY_BALANCER_PACKET_BALANCER_H

#include "bilberry/members/member_watcher.h"
#include "bilberry/node/packet_node.h"
#include "bilberry/routing/packet_router.h"

#include <atomic>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/outcome/try.hpp>
#include <memory>

namespace bilberry::balancer {

/// How long a balancer that is to stop goes on forwarding: the fabric notices
/// after two missed checks, half a second apart, and what it has sent by then
/// must have come through.
inline constexpr base::Duration StopDelay = std::chrono::milliseconds(2500);
/// The listing of members is only repeated where a watch broke.
inline constexpr base::Duration MembersReread = std::chrono::hours(1);

/// The metrics of a router as a page's samples.
void addRouterMetrics(const routing::PacketRouter &Router,
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
    this->Node.open(runtime::PacketOutlets{this->Sockets->Relay,
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
    std::lock_guard Lock(this->Node.mutex());
    return !this->IsStopping && this->Router.isReady();
  }

  /// Forwards packets until a stop signal has come and StopDelay is over.
  /// OnReload is called for SIGHUP. Precondition: start() succeeded.
  template <typename ReloadHandler> void run(ReloadHandler OnReload) {
    boost::fibers::use_scheduling_algorithm<runtime::PollScheduler>();
    boost::fibers::fiber([this] { this->readCallers(); }).detach();
    boost::fibers::fiber([this] { this->readReturned(); }).detach();
    boost::fibers::fiber([this] { this->readMessages(); }).detach();
    this->Node.run([this](base::TimePoint Now) { return this->tick(Now); },
                   OnReload,
                   [this] {
                     this->IsStopping = true;
                     log::info("event=stopping flows=" +
                               std::to_string(this->Router.flows()));
                     return StopDelay;
                   });
  }

private:
  struct SocketSet {
    runtime::UdpSocket Front;
    runtime::UdpSocket Relay;
    runtime::UdpSocket Messages;
  };

  void readCallers() {
    this->Node.readPackets(
        this->Sockets->Front,
        [this](const base::Address &, const packet::Packet &P) {
          this->Router.onCallerPacket(this->Node.now(), P,
                                      this->Node.actions());
        },
        [this] { this->flush(); });
  }

  void readReturned() {
    this->Node.readPackets(
        this->Sockets->Relay,
        [this](const base::Address &From, const packet::Packet &P) {
          this->Router.onReturned(this->Node.now(), From, P,
                                  this->Node.actions());
        },
        [this] { this->flush(); });
  }

  void readMessages() {
    this->Node.readMessages(
        this->Sockets->Messages,
        [this](const base::Address &From, const wire::RelayMessage &Message) {
          this->Router.onMessage(this->Node.now(), From, Message,
                                 this->Node.actions());
        },
        [this] { this->flush(); });
  }

  wire::NewsMark tick(base::TimePoint Now) {
    if (Now - this->MembersAt >= MembersInterval) {
      this->MembersAt = Now;
      this->takeMembers(Now);
    }
    std::lock_guard Lock(this->Node.mutex());
    this->Router.onTick(Now, !this->Watcher.isStoreDown(),
                        this->Node.actions());
    this->flushLocked(Now);
    return this->Router.newsHeard();
  }

  void takeMembers(base::TimePoint Now) {
    this->Watcher.tick(Now);
    std::vector<members::Member> Announced = this->Members.all();
    std::erase_if(Announced, [this](const members::Member &Value) {
      return this->Members.isSilent(Value.Name);
    });
    std::lock_guard Lock(this->Node.mutex());
    this->Router.takeAnnounced(Now, Announced);
  }

  void flush() {
    std::lock_guard Lock(this->Node.mutex());
    this->flushLocked(this->Node.now());
  }

  // Precondition: the node's mutex is held.
  void flushLocked(base::TimePoint Now) {
    this->Router.flush(Now, this->Node.actions());
    this->Node.flushLocked();
  }

  std::string page() {
    metrics::Exposition Page;
    this->Node.addMetrics(Page);
    std::lock_guard Lock(this->Node.mutex());
    addRouterMetrics(this->Router, Page);
    return Page.text();
  }

  // The table of members is looked at this often.
  static constexpr base::Duration MembersInterval =
      std::chrono::milliseconds(200);

  settings::PacketSettings Settings;
  node::PacketNode<Format, S> Node;
  routing::PacketRouter Router;
  members::MemberTable Members;
  members::MemberWatcher<S, base::BootClock> Watcher;
  base::TimePoint MembersAt;
  std::unique_ptr<SocketSet> Sockets;
  std::atomic<bool> IsStopping{false};
  std::jthread WatcherThread;
};

} // namespace bilberry::balancer

#endif
