// What an agent and a balancer have in common: who they are, what they know
// of the targets and of the others, and the threads that keep this up to date
// from the store. With the store down they go on with what they know, and
// learn news from each other.

#ifndef BILBERRY_NODE_NODE_H
#define BILBERRY_NODE_NODE_H

#include "bilberry/base/clock.h"
#include "bilberry/board/local_member.h"
#include "bilberry/links/peer_links.h"
#include "bilberry/members/announcer.h"
#include "bilberry/members/member_table.h"
#include "bilberry/members/member_watcher.h"
#include "bilberry/node/job_thread.h"
#include "bilberry/node/status_server.h"
#include "bilberry/runtime/pause_detector.h"
#include "bilberry/settings/process_settings.h"
#include "bilberry/store/etcd_store.h"
#include "bilberry/targets/target_table.h"

#include <atomic>
#include <functional>
#include <optional>
#include <thread>
#include <vector>

namespace bilberry::node {

/// A pause longer than this closes the fence: well under the lease, so that
/// nothing is done on knowledge that a whole lease may have made untrue.
inline constexpr base::Duration PauseBound = std::chrono::seconds(2);
/// With neither store nor peer to ask, the fence opens after this: a store
/// that is down has accepted no change.
inline constexpr base::Duration MaxFence = std::chrono::seconds(5);
/// How often a process that knows no targets asks its seeds.
inline constexpr base::Duration SeedInterval = std::chrono::milliseconds(500);

/// Accessors are thread-safe, as are the tables; start() and leave() belong to
/// one thread.
class Node {
public:
  Node(const settings::ProcessSettings &Settings, members::MemberRole Role);
  /// Stops all threads.
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Listens to peers and follows the store. Errors: System.
  base::Result<void> start();
  /// Announces this process to the others, and keeps the lease.
  void announce();
  /// Withdraws the announcement. Blocks until the store has taken it, or for
  /// members::WithdrawTimeout. A process that ends without it stays announced
  /// until its lease expires, which is what a restart in place wants.
  void leave();

  const settings::ProcessSettings &settings() const { return this->Settings; }
  const base::SteadyClock &clock() const { return this->Clock; }
  board::LocalMember &self() { return this->Self; }
  targets::TargetTable &targets() { return this->Targets; }
  members::MemberTable &members() { return this->Members; }
  links::PeerLinks &links() { return this->Links; }
  store::EtcdStore &store() { return this->Store; }
  const store::EtcdStore &store() const { return this->Store; }
  runtime::PauseDetector &pauses() { return this->Pauses; }

  /// True once this process knows targets, from the store or a peer.
  bool knowsTargets() const { return this->Targets.current()->Revision > 0; }

  /// Serves the pages where the settings name an address for them. Call once.
  /// Errors: System.
  base::Result<void> servePages(PageBuilder Metrics, PageBuilder Status);
  /// Stops serving pages, before what they look at is destroyed.
  void stopPages() { this->Pages.reset(); }

  /// Heartbeats, silent members, seeds, and the fence. Call several times a
  /// second. False while the fence is closed.
  bool tick(base::TimePoint Now);

  /// Gives each message that has come from a peer to OnMessage, up to a turn's
  /// worth; true where more may be left. While the fence is closed, only those
  /// pass that open it or end a restart.
  bool takePeers(
      const std::function<void(base::TimePoint, const wire::PeerMessage &)>
          &OnMessage);

private:
  void tickFence(base::TimePoint Now);
  void tickSeeds(base::TimePoint Now);
  void keepAnnounced(const std::stop_token &Stop);
  void takeTargets(const store::KeyValue &Entry);
  void refreshTargets();
  void followTargets(const std::stop_token &Stop);

  settings::ProcessSettings Settings;
  base::SteadyClock Clock;
  board::LocalMember Self;
  targets::TargetTable Targets;
  members::MemberTable Members;
  links::PeerLinks Links;
  store::EtcdStore Store;
  runtime::PauseDetector Pauses;
  std::atomic<bool> IsRefreshing{false};
  base::TimePoint FenceSeenAt;
  bool FenceWasSeen = false;
  base::TimePoint LastSeedAsk;
  members::Announcer<store::EtcdStore, base::SteadyClock> Announcer;
  members::MemberWatcher<store::EtcdStore, base::SteadyClock> Watcher;
  std::vector<std::jthread> Followers;
  std::jthread AnnouncerThread;
  JobThread StoreJobs;
  std::optional<StatusServer> Pages;
};

} // namespace bilberry::node

#endif
