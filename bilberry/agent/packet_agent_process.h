// The agent that relays packets as a process: sockets, threads and the store
// around a PacketAgent.

#ifndef BILBERRY_AGENT_PACKET_AGENT_PROCESS_H
#define BILBERRY_AGENT_PACKET_AGENT_PROCESS_H

#include "bilberry/agent/packet_agent.h"
#include "bilberry/board/local_member.h"
#include "bilberry/members/announcer.h"
#include "bilberry/node/packet_node.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/outcome/try.hpp>
#include <memory>

namespace bilberry::agent {

/// What is added to this run's incarnation where the store has a higher one
/// of the same name: the wall clock was set back between the two runs.
inline constexpr base::Incarnation RunStep = 60000;

/// How long an agent stays announced without a word to the store. It is heard
/// of directly, so the announcement only introduces it; a longer lease costs
/// fewer calls and outlasts the store's short outages.
inline constexpr base::Duration AgentLeaseTtl = std::chrono::seconds(15);

/// The metrics of an agent as a page's samples.
void addAgentMetrics(const PacketAgent &Agent, metrics::Exposition &Page);

/// One process. run() belongs to the main thread; onReport() and onLeave() are
/// thread-safe.
template <packet::PacketFormat Format, store::Store S>
class PacketAgentProcess {
public:
  /// Precondition: Source outlives the process.
  PacketAgentProcess(const settings::PacketSettings &Settings, S &Source,
                     node::DocumentSource Documents)
      : Settings(Settings), Source(Source),
        Node(Settings, Source, std::move(Documents)),
        Agent({Settings.Name, Node.run(), Settings.DataCentre, Settings.Callers,
               Settings.pages()},
              Settings.Cold, Node.now(), Node.board()),
        Self(members::Member{
            Settings.Name, Node.run(), members::MemberRole::Agent,
            members::MemberState::InService, Settings.DataCentre,
            Settings.Service, Settings.Callers, Settings.messages(), 0}) {}

  /// Opens the sockets and announces this agent. Errors: System.
  base::Result<void> start() {
    BOOST_OUTCOME_TRY(Callers,
                      runtime::UdpSocket::bind(this->Settings.Callers));
    BOOST_OUTCOME_TRY(Upstream,
                      runtime::UdpSocket::bind(this->Settings.FromUpstream));
    BOOST_OUTCOME_TRY(Messages,
                      runtime::UdpSocket::bind(this->Settings.messages()));
    this->Sockets = std::make_unique<SocketSet>(SocketSet{
        std::move(Callers), std::move(Upstream), std::move(Messages)});
    this->Node.open(runtime::PacketOutlets{
        this->Sockets->Callers, this->Sockets->Messages,
        this->Settings.Callers.Port, this->Settings.Upstream});
    BOOST_OUTCOME_TRY(this->Node.servePages([this] { return this->page(); }));
    this->AnnouncerThread = std::jthread(
        [this](const std::stop_token &Stop) { this->keepAnnounced(Stop); });
    return boost::outcome_v2::success();
  }

  /// A heartbeat of the upstream; in force when this returns.
  void onReport(const members::UpstreamReport &Report) {
    std::lock_guard Lock(this->Node.mutex());
    bool WasDraining = this->isDraining();
    auto Outcome =
        this->Agent.onReport(this->Node.now(), Report, this->Node.actions());
    if (Outcome == members::ReportOutcome::NewRun) {
      log::info("event=upstream-started id=" + Report.Id +
                " service=" + Report.Service.text() +
                " sequence=" + std::to_string(Report.Sequence) +
                " cold-left=" + std::to_string(Report.ColdLeft.count()) + "ms");
    } else if (Outcome == members::ReportOutcome::Stale) {
      log::info("event=upstream-report-stale id=" + Report.Id +
                " sequence=" + std::to_string(Report.Sequence));
    } else if (!WasDraining && this->isDraining()) {
      log::info("event=upstream-draining id=" + Report.Id);
    }
    this->Node.flushLocked();
  }

  /// The upstream of that id says that it ends.
  void onLeave(const std::string &Id) {
    std::lock_guard Lock(this->Node.mutex());
    log::info("event=upstream-left id=" + Id);
    this->Agent.onLeave(this->Node.now(), Id, this->Node.actions());
    this->Node.flushLocked();
  }

  /// A heartbeat could not be read.
  void onFault(const std::string &Reason) {
    this->Node.logFault(this->Node.now(), Reason);
  }

  /// Relays packets until a stop signal comes. OnReload is called for SIGHUP.
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
                     return base::Duration(0);
                   });
  }

private:
  struct SocketSet {
    runtime::UdpSocket Callers;
    runtime::UdpSocket Upstream;
    runtime::UdpSocket Messages;
  };

  // Beside an upstream that lives on, the announcement stays for the next run.
  // Otherwise it is withdrawn, so that nobody waits for this agent.
  void stop() {
    bool HasUpstream = false;
    {
      std::lock_guard Lock(this->Node.mutex());
      HasUpstream = this->Agent.upstream().present().has_value();
      log::info("event=stopping flows=" + std::to_string(this->Agent.flows()) +
                (HasUpstream ? " upstream=present" : " upstream=gone"));
      this->Agent.onStop(this->Node.now(), this->Node.actions());
      this->Node.flushLocked();
    }
    if (!HasUpstream) {
      this->AnnouncerThread.request_stop();
      this->AnnouncerThread.join();
    }
  }

  bool isDraining() const {
    const auto &Report = this->Agent.upstream().present();
    return Report && Report->IsDraining;
  }

  void readCallers() {
    this->Node.readPackets(
        this->Sockets->Callers,
        [this](const base::Address &From, const packet::Packet &P) {
          this->Agent.onCallerPacket(this->Node.now(), From, P,
                                     this->Node.actions());
        },
        [this] { this->flush(); });
  }

  void readUpstream() {
    this->Node.readPackets(
        this->Sockets->Upstream,
        [this](const base::Address &, const packet::Packet &P) {
          this->Agent.onUpstreamPacket(this->Node.now(), P,
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

  wire::NewsMark tick(base::TimePoint Now) {
    std::lock_guard Lock(this->Node.mutex());
    this->Agent.onTick(Now, this->Node.actions());
    this->Node.flushLocked();
    return this->Agent.newsHeard();
  }

  void flush() {
    std::lock_guard Lock(this->Node.mutex());
    this->Node.flushLocked();
  }

  void keepAnnounced(const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      members::Announcer<S, base::BootClock> Announcer(
          this->Source, this->Node.clock(), this->Self,
          static_cast<uint32_t>(this->Node.run()), AgentLeaseTtl);
      Announcer.run(Stop);
      if (!Stop.stop_requested()) {
        base::Incarnation Next = this->Self.get().Run + RunStep;
        log::warn("event=announcement-older next-run=" + std::to_string(Next));
        this->Self.setRun(Next);
      }
    }
  }

  std::string page() {
    metrics::Exposition Page;
    this->Node.addMetrics(Page);
    std::lock_guard Lock(this->Node.mutex());
    addAgentMetrics(this->Agent, Page);
    return Page.text();
  }

  settings::PacketSettings Settings;
  S &Source;
  node::PacketNode<Format, S> Node;
  PacketAgent Agent;
  board::LocalMember Self;
  std::unique_ptr<SocketSet> Sockets;
  std::jthread AnnouncerThread;
};

} // namespace bilberry::agent

#endif
