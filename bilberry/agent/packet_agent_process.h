// The process of an agent that relays packets: runs a PacketAgent with its
// sockets, threads and store client.

#ifndef BILBERRY_AGENT_PACKET_AGENT_PROCESS_H
#define BILBERRY_AGENT_PACKET_AGENT_PROCESS_H

#include "bilberry/agent/packet_agent.h"
#include "bilberry/board/local_member.h"
#include "bilberry/members/announcer.h"
#include "bilberry/node/packet_node.h"

#include <atomic>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/outcome/try.hpp>
#include <memory>
#include <optional>

namespace bilberry::agent {

/// Added to this run's incarnation if the store holds a higher one under the
/// same name, because the wall clock was set back between the two runs.
inline constexpr base::Incarnation IncarnationStep = 60000;

/// TTL of the lease under which an agent is announced. Balancers get statuses
/// from agents directly, so the announcement serves only for discovery; a
/// longer lease needs fewer calls and outlives short outages of the store.
inline constexpr base::Duration AgentLeaseTtl = std::chrono::seconds(30);

/// How long before the end of its grace period a stopping agent exits at the
/// latest.
inline constexpr base::Duration StopMargin = std::chrono::seconds(1);

/// How long a stopping agent waits for the store to take its withdrawal.
/// Without it the announcement ends with its lease.
inline constexpr base::Duration MaxWithdrawalWait = std::chrono::seconds(1);

/// Adds an agent's metrics to a page.
void addAgentMetrics(base::TimePoint Now, const PacketAgent &Agent,
                     metrics::Exposition &Page);

/// One agent process. Call run() from the main thread; onReport(), onLeave()
/// and onMalformedHeartbeat() are thread-safe.
template <packet::PacketFormat Format, store::Store S>
class PacketAgentProcess {
public:
  /// Precondition: Source outlives the process.
  PacketAgentProcess(const settings::PacketSettings &Settings, S &Source,
                     node::DocumentSource Documents)
      : Settings(Settings), Source(Source),
        Node(Settings, Source, std::move(Documents), /*IsFollower=*/false),
        Agent({Settings.Name, Node.run(), Settings.DataCentre, Settings.Callers,
               Settings.httpAddress(), Settings.Service, Settings.Upstream,
               Settings.DampsFlapping, Settings.Overload},
              Settings.Cold, Node.now(), Node.stateCache()),
        Self(members::Member{
            Settings.Name, Node.run(), members::MemberRole::Agent,
            members::MemberState::InService, Settings.DataCentre,
            Settings.Service, Settings.Callers, Settings.messageAddress(), 0}) {
  }

  /// Opens the sockets and announces this agent. Errors: System.
  base::Result<void> start() {
    BOOST_OUTCOME_TRY(Callers,
                      runtime::UdpSocket::bind(this->Settings.Callers));
    BOOST_OUTCOME_TRY(Upstream,
                      runtime::UdpSocket::bind(this->Settings.FromUpstream));
    BOOST_OUTCOME_TRY(
        Messages, runtime::UdpSocket::bind(this->Settings.messageAddress()));
    this->Sockets = std::make_unique<SocketSet>(SocketSet{
        std::move(Callers), std::move(Upstream), std::move(Messages)});
    this->Node.configureSender(runtime::PacketSenderOptions{
        this->Sockets->Callers, this->Sockets->Messages,
        this->Settings.Callers.Port, this->Settings.Upstream});
    BOOST_OUTCOME_TRY(
        this->Node.startHttpServer([this] { return this->metricsPage(); }));
    this->AnnouncerThread = std::jthread([this](const std::stop_token &Stop) {
      this->maintainAnnouncement(Stop);
    });
    return boost::outcome_v2::success();
  }

  /// Applies a heartbeat of the upstream before it returns. Returns false if
  /// the heartbeat was ignored: it is out of date, or not of this agent's
  /// upstream.
  bool onReport(const members::UpstreamHeartbeat &Report) {
    std::lock_guard Lock(this->Node.mutex());
    bool WasDraining = this->isDraining();
    auto Outcome =
        this->Agent.onReport(this->Node.now(), Report, this->Node.actions());
    if (Outcome == members::HeartbeatOutcome::NewRun) {
      log::info("event=upstream-started id=" + Report.Id +
                " service=" + Report.Service.text() +
                " sequence=" + std::to_string(Report.Sequence) +
                " cold-left=" + std::to_string(Report.ColdLeft.count()) + "ms");
    } else if (Outcome == members::HeartbeatOutcome::Foreign) {
      this->Node.logMalformedInput(
          this->Node.now(),
          "heartbeat from another process: id=" + Report.Id +
              " service=" + Report.Service.text() +
              " address=" + base::addressText(Report.Address) +
              " data-centre=" + Report.DataCentre.text());
    } else if (Outcome == members::HeartbeatOutcome::Stale) {
      log::info("event=upstream-report-stale id=" + Report.Id +
                " sequence=" + std::to_string(Report.Sequence));
    } else if (!WasDraining && this->isDraining()) {
      log::info("event=upstream-draining id=" + Report.Id);
    }
    this->Node.flushLocked();
    return members::isApplied(Outcome);
  }

  /// Call when the upstream with this id announces that it is exiting. Returns
  /// false if that is ignored because another run is the current one.
  bool onLeave(const std::string &Id) {
    std::lock_guard Lock(this->Node.mutex());
    bool IsGone =
        this->Agent.onLeave(this->Node.now(), Id, this->Node.actions());
    log::info((IsGone ? "event=upstream-left id="
                      : "event=upstream-leave-ignored id=") +
              Id);
    this->Node.flushLocked();
    return IsGone;
  }

  /// Call when a heartbeat could not be parsed.
  void onMalformedHeartbeat(const std::string &Reason) {
    this->Node.logMalformedInput(this->Node.now(), Reason);
  }

  /// Relays packets until a stop signal arrives. Calls OnReload for SIGHUP.
  /// Precondition: start() succeeded.
  template <typename ReloadHandler> void run(ReloadHandler OnReload) {
    boost::fibers::use_scheduling_algorithm<runtime::PollScheduler>();
    boost::fibers::fiber([this] { this->readCallers(); }).detach();
    boost::fibers::fiber([this] { this->readUpstream(); }).detach();
    boost::fibers::fiber([this] { this->readMessages(); }).detach();
    this->Node.run([this](base::TimePoint Now) { return this->tick(Now); },
                   OnReload,
                   [this] {
                     this->stop();
                     return this->Settings.StopGrace - StopMargin;
                   },
                   [this] { return this->isStopped(); });
  }

private:
  struct SocketSet {
    runtime::UdpSocket Callers;
    runtime::UdpSocket Upstream;
    runtime::UdpSocket Messages;
  };

  void stop() {
    std::lock_guard Lock(this->Node.mutex());
    bool HasUpstream = this->Agent.upstream().currentRun().has_value();
    log::info("event=stopping flows=" + std::to_string(this->Agent.flows()) +
              (HasUpstream ? " upstream=present" : " upstream=gone"));
    this->Agent.onStop(this->Node.now(), this->Node.actions());
    this->Node.flushLocked();
  }

  // Whether the process may exit before its grace period ends. If the upstream
  // keeps running, the announcement stays for the next run of this process.
  // Otherwise it is withdrawn, so that no balancer waits for this agent.
  bool isStopped() {
    bool HasUpstream = false;
    {
      std::lock_guard Lock(this->Node.mutex());
      if (!this->Agent.isReadyToExit(this->Node.now())) {
        return false;
      }
      HasUpstream = this->Agent.upstream().currentRun().has_value();
    }
    if (HasUpstream) {
      return true;
    }
    if (!this->WithdrawalStartedAt) {
      this->WithdrawalStartedAt = this->Node.now();
      this->AnnouncerThread.request_stop();
    }
    return this->IsWithdrawn ||
           this->Node.now() - *this->WithdrawalStartedAt >= MaxWithdrawalWait;
  }

  bool isDraining() const {
    const auto &Report = this->Agent.upstream().currentRun();
    return Report && Report->IsDraining;
  }

  void readCallers() {
    this->Node.readPackets(
        this->Sockets->Callers,
        [this](const base::Address &From, const packet::Packet &Received) {
          this->Agent.onCallerPacket(this->Node.now(), From, Received,
                                     this->Node.actions());
        },
        [this] { this->flush(); });
  }

  void readUpstream() {
    this->Node.readPackets(
        this->Sockets->Upstream,
        [this](const base::Address &, const packet::Packet &Received) {
          this->Agent.onUpstreamPacket(this->Node.now(), Received,
                                       this->Node.actions());
        },
        [this] { this->flush(); });
  }

  void readMessages() {
    this->Node.readMessages(
        this->Sockets->Messages,
        [this](const base::Address &From, const wire::RelayMessage &Message) {
          this->Agent.onMessage(this->Node.now(), From, Message,
                                this->Node.actions());
        },
        [this] { this->flush(); });
  }

  wire::DocumentsVersion tick(base::TimePoint Now) {
    std::lock_guard Lock(this->Node.mutex());
    this->Node.setFollower(this->Agent.mustFollowStore(Now));
    this->Agent.onTick(Now, this->Node.actions());
    this->Node.flushLocked();
    return this->Agent.newestDocuments();
  }

  void flush() {
    std::lock_guard Lock(this->Node.mutex());
    this->Node.flushLocked();
  }

  void maintainAnnouncement(const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      members::Announcer<S, base::BootClock> Announcer(
          this->Source, this->Node.clock(), this->Self,
          static_cast<uint32_t>(this->Node.run()), AgentLeaseTtl);
      Announcer.run(Stop);
      if (!Stop.stop_requested()) {
        base::Incarnation Next = this->Self.get().Run + IncarnationStep;
        log::warn("event=announcement-older next-run=" + std::to_string(Next));
        this->Self.setRun(Next);
      }
    }
    this->IsWithdrawn = true;
  }

  std::string metricsPage() {
    metrics::Exposition Page;
    this->Node.addMetrics(Page);
    std::lock_guard Lock(this->Node.mutex());
    addAgentMetrics(this->Node.now(), this->Agent, Page);
    return Page.text();
  }

  settings::PacketSettings Settings;
  S &Source;
  node::PacketNode<Format, S> Node;
  PacketAgent Agent;
  board::LocalMember Self;
  std::unique_ptr<SocketSet> Sockets;
  // The announcement was withdrawn, or WithdrawTimeout has passed.
  std::atomic<bool> IsWithdrawn{false};
  std::optional<base::TimePoint> WithdrawalStartedAt;
  std::jthread AnnouncerThread;
};

} // namespace bilberry::agent

#endif
