// The parts that agents and balancers share: the process's own member record,
// the tables of targets and members, and the threads that update them from the
// store. While the store is unavailable, processes keep their last known state
// and exchange updates with each other.

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

/// A process that was paused for longer than this is fenced. Well under the
/// lease time, so that no decision uses state that may have changed because a
/// lease expired during the pause.
inline constexpr base::Duration MaxPause = std::chrono::seconds(2);
/// The fence is lifted after this time even if neither the store nor a peer
/// responds: a store that is down has accepted no change.
inline constexpr base::Duration MaxFenceDuration = std::chrono::seconds(5);
/// The interval at which a process without targets queries its seeds.
inline constexpr base::Duration SeedQueryInterval =
    std::chrono::milliseconds(500);

/// Accessors and the tables they return are thread-safe; start() and leave()
/// must be called from the same thread.
class Node {
public:
  Node(const settings::ProcessSettings &Settings, members::MemberRole Role);
  /// Stops all threads.
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Starts to listen for peers and to watch the store. Errors: System.
  base::Result<void> start();
  /// Starts the thread that announces this process in the store and renews its
  /// lease.
  void announce();
  /// Withdraws the announcement. Blocks until the store has accepted it, for at
  /// most members::WithdrawTimeout. A process that exits without this call
  /// stays announced until its lease expires, as a restart in place requires.
  void leave();

  const settings::ProcessSettings &settings() const { return this->Settings; }
  const base::SteadyClock &clock() const { return this->Clock; }
  board::LocalMember &self() { return this->Self; }
  targets::TargetTable &targets() { return this->Targets; }
  members::MemberTable &members() { return this->Members; }
  links::PeerLinks &links() { return this->Links; }
  store::EtcdStore &store() { return this->Store; }
  const store::EtcdStore &store() const { return this->Store; }
  runtime::PauseDetector &pauseDetector() { return this->Detector; }

  /// True once targets were received from the store or a peer.
  bool knowsTargets() const { return this->Targets.current()->Revision > 0; }

  /// Starts the HTTP server for metrics and status if the settings give an
  /// address for it. Call once. Errors: System.
  base::Result<void> startHttpServer(PageBuilder Metrics, PageBuilder Status);
  /// Stops the HTTP server. Call before destroying what the page builders read.
  void stopHttpServer() { this->PageServer.reset(); }

  /// Runs the timers of the fence, the seeds, the member watcher and the links.
  /// Call several times a second. Returns false while the process is fenced.
  bool tick(base::TimePoint Now);

  /// Passes received peer messages to OnMessage, up to a fixed number. Returns
  /// true if more may be queued. While the process is fenced, only views, which
  /// lift the fence, and replies that complete a restart are passed on; all
  /// other messages are dropped.
  bool processPeerMessages(
      const std::function<void(base::TimePoint, const wire::PeerMessage &)>
          &OnMessage);

private:
  void updateFence(base::TimePoint Now);
  void querySeeds(base::TimePoint Now);
  void runAnnouncer(const std::stop_token &Stop);
  void applyStoredTargets(const store::KeyValue &Entry);
  void refreshTargets();
  void watchTargets(const std::stop_token &Stop);

  settings::ProcessSettings Settings;
  base::SteadyClock Clock;
  board::LocalMember Self;
  targets::TargetTable Targets;
  members::MemberTable Members;
  links::PeerLinks Links;
  store::EtcdStore Store;
  runtime::PauseDetector Detector;
  std::atomic<bool> IsRefreshing{false};
  base::TimePoint FencedSince;
  bool HasRequestedViews = false;
  base::TimePoint LastSeedQuery;
  members::Announcer<store::EtcdStore, base::SteadyClock> Announcer;
  members::MemberWatcher<store::EtcdStore, base::SteadyClock> Watcher;
  std::vector<std::jthread> WatchThreads;
  std::jthread AnnouncerThread;
  JobThread StoreJobs;
  std::optional<StatusServer> PageServer;
};

} // namespace bilberry::node

#endif
