// The process of a balancer that relays packets: runs a routing::PacketRouter
// with its sockets, threads and store client.

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

/// How long a balancer continues to forward after a stop signal. The fabric
/// stops sending after two failed health checks, half a second apart, and the
/// packets that it has sent until then must still be forwarded.
inline constexpr base::Duration StopDelay = std::chrono::milliseconds(2500);
/// Interval at which members are listed although the watch works. Long, so that
/// in practice the listing is repeated only when the watch breaks.
inline constexpr base::Duration MembersRereadInterval = std::chrono::hours(1);

/// How long the watch of the members may be silent. When connections go silent,
/// the watch of the documents notices that much sooner, and the members are
/// then listed again too.
inline constexpr base::Duration MembersSilenceLimit = std::chrono::seconds(20);

/// Adds a router's metrics to a page.
void addRouterMetrics(base::TimePoint Now, const routing::PacketRouter &Router,
                      metrics::Exposition &Page);

/// One balancer process. Call run() from the main thread.
template <packet::PacketFormat Format, store::Store S> class PacketBalancer {
public:
  /// Precondition: Source outlives the balancer.
  PacketBalancer(const settings::PacketSettings &Settings, S &Source,
                 node::DocumentSource Documents)
      : Settings(Settings),
        Node(Settings, Source, std::move(Documents), /*IsFollower=*/true),
        Router({Settings.Name, Node.run(), Settings.DataCentre,
                Settings.httpAddress(), Settings.messageAddress(),
                Settings.MaxFlows, Settings.Placement, Settings.Overload},
               Node.now(), Node.stateCache()),
        Watcher(Source, Node.clock(), Members, MembersRereadInterval,
                targets::MaxStoreRetryDelay, MembersSilenceLimit) {}

  /// Opens the sockets and starts watching the store. Errors: System.
  base::Result<void> start() {
    BOOST_OUTCOME_TRY(FromCallers,
                      runtime::UdpSocket::bind(this->Settings.Callers));
    BOOST_OUTCOME_TRY(
        Relay, runtime::UdpSocket::bind(this->Settings.forwardingAddress()));
    BOOST_OUTCOME_TRY(
        Messages, runtime::UdpSocket::bind(this->Settings.messageAddress()));
    this->Sockets = std::make_unique<SocketSet>(SocketSet{
        std::move(FromCallers), std::move(Relay), std::move(Messages)});
    this->Node.configureSender(
        runtime::PacketSenderOptions{this->Sockets->Relay,
                                     this->Sockets->Messages,
                                     this->Settings.Callers.Port,
                                     {}});
    BOOST_OUTCOME_TRY(
        this->Node.startHttpServer([this] { return this->metricsPage(); }));
    this->WatcherThread = std::jthread(
        [this](const std::stop_token &Stop) { this->Watcher.run(Stop); });
    return boost::outcome_v2::success();
  }

  /// True while the fabric may send packets here. Thread-safe.
  bool isReady() {
    std::lock_guard Lock(this->Node.mutex());
    return !this->IsStopping && this->Router.isReady();
  }

  /// Forwards packets until StopDelay after a stop signal. Calls OnReload for
  /// SIGHUP. Precondition: start() succeeded.
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
                   },
                   [] { return false; });
  }

private:
  struct SocketSet {
    runtime::UdpSocket FromCallers;
    runtime::UdpSocket Relay;
    runtime::UdpSocket Messages;
  };

  void readCallers() {
    this->Node.readPackets(
        this->Sockets->FromCallers,
        [this](const base::Address &, const packet::Packet &Received) {
          this->Router.onCallerPacket(this->Node.now(), Received,
                                      this->Node.actions());
        },
        [this] { this->flush(); });
  }

  void readReturned() {
    this->Node.readPackets(
        this->Sockets->Relay,
        [this](const base::Address &From, const packet::Packet &Received) {
          this->Router.onReturned(this->Node.now(), From, Received,
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

  wire::DocumentsVersion tick(base::TimePoint Now) {
    if (Now - this->MembersReadAt >= MembersUpdateInterval) {
      this->MembersReadAt = Now;
      this->updateMembers(Now);
    }
    std::lock_guard Lock(this->Node.mutex());
    bool MustFollow = this->Router.mustFollowStore(Now);
    if (MustFollow == this->IsFollowingSuspended) {
      this->IsFollowingSuspended = !MustFollow;
      this->Watcher.setSuspended(!MustFollow);
      log::info(std::string("event=follow-members now=") +
                (MustFollow ? "yes" : "no"));
    }
    this->Node.setFollower(MustFollow);
    this->rereadMembersAfterBrokenWatch();
    this->Router.onTick(Now,
                        MustFollow && this->AreMembersCurrent &&
                            this->Watcher.isCurrent() && this->Node.isStoreUp(),
                        this->Node.actions());
    this->flushLocked(Now);
    return this->Router.newsHeard();
  }

  // Connections often go silent together.
  void rereadMembersAfterBrokenWatch() {
    uint64_t BrokenWatches = this->Node.brokenWatches();
    if (BrokenWatches != this->HandledBrokenWatches) {
      this->HandledBrokenWatches = BrokenWatches;
      this->Watcher.reread();
    }
  }

  void updateMembers(base::TimePoint Now) {
    this->Watcher.tick(Now);
    // Before the table is read, which may change at any time.
    this->AreMembersCurrent = this->Watcher.isCurrent();
    std::vector<members::Member> Announced = this->Members.all();
    std::erase_if(Announced, [this](const members::Member &Value) {
      return this->Members.isSilent(Value.Name);
    });
    std::lock_guard Lock(this->Node.mutex());
    this->Router.applyAnnouncements(Now, Announced);
  }

  void flush() {
    std::lock_guard Lock(this->Node.mutex());
    this->flushLocked(this->Node.now());
  }

  // Precondition: the caller holds the node's mutex.
  void flushLocked(base::TimePoint Now) {
    this->Router.flush(Now, this->Node.actions());
    this->Node.flushLocked();
  }

  std::string metricsPage() {
    metrics::Exposition Page;
    this->Node.addMetrics(Page);
    std::lock_guard Lock(this->Node.mutex());
    addRouterMetrics(this->Node.now(), this->Router, Page);
    return Page.text();
  }

  // Interval at which the router is updated from the member table.
  static constexpr base::Duration MembersUpdateInterval =
      std::chrono::milliseconds(200);

  settings::PacketSettings Settings;
  node::PacketNode<Format, S> Node;
  routing::PacketRouter Router;
  members::MemberTable Members;
  members::MemberWatcher<S, base::BootClock> Watcher;
  base::TimePoint MembersReadAt;
  // The members last passed to the router were up to date.
  bool AreMembersCurrent = false;
  bool IsFollowingSuspended = false;
  uint64_t HandledBrokenWatches = 0;
  std::unique_ptr<SocketSet> Sockets;
  std::atomic<bool> IsStopping{false};
  std::jthread WatcherThread;
};

} // namespace bilberry::balancer

#endif
