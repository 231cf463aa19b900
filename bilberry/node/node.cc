#include "bilberry/node/node.h"

#include "bilberry/log/log.h"
#include "bilberry/node/view_exchange.h"
#include "bilberry/store/keys.h"
#include "bilberry/store/prefix_watcher.h"
#include "bilberry/targets/target_store.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bilberry::node {

// Peer messages that one call processes before it yields to other fibers.
static constexpr int MaxPeerMessagesPerCall = 32;

// Returns the start time in microseconds. A process that starts later under the
// same name on the same VM gets a higher incarnation, unless the VM's clock was
// set back in between.
static base::Incarnation newIncarnation(const base::SteadyClock &Clock) {
  return static_cast<base::Incarnation>(
      std::chrono::floor<std::chrono::microseconds>(
          Clock.now().time_since_epoch())
          .count());
}

static members::Member
makeLocalMember(const settings::ProcessSettings &Settings,
                members::MemberRole Role, const base::SteadyClock &Clock) {
  members::Member Self;
  Self.Name = Settings.Name;
  Self.Run = newIncarnation(Clock);
  Self.Role = Role;
  Self.State = Role == members::MemberRole::Agent
                   ? members::MemberState::Cold
                   : members::MemberState::InService;
  Self.DataCentre = Settings.DataCentre;
  Self.Service = Settings.Service;
  Self.Data = Settings.Data;
  Self.Control = Settings.Control;
  return Self;
}

Node::Node(const settings::ProcessSettings &Settings, members::MemberRole Role)
    : Settings(Settings), Self(makeLocalMember(Settings, Role, this->Clock)),
      Links(this->Self), Store(Settings.Store, Settings.StoreTimeout),
      Detector(this->Clock.now(), MaxPause),
      Announcer(this->Store, this->Clock, this->Self,
                static_cast<uint32_t>(this->Self.get().Run)),
      Watcher(this->Store, this->Clock, this->Members) {}

Node::~Node() {
  for (std::jthread &WatchThread : this->WatchThreads) {
    WatchThread.request_stop();
  }
}

base::Result<void> Node::start() {
  if (base::Result<void> ListenResult =
          this->Links.listen(this->Settings.Control);
      !ListenResult) {
    return ListenResult;
  }
  this->WatchThreads.emplace_back(
      [this](const std::stop_token &Stop) { this->Watcher.run(Stop); });
  this->WatchThreads.emplace_back(
      [this](const std::stop_token &Stop) { this->watchTargets(Stop); });
  return boost::outcome_v2::success();
}

base::Result<void> Node::startHttpServer(PageBuilder Metrics,
                                         PageBuilder Status) {
  if (!this->Settings.Metrics) {
    return boost::outcome_v2::success();
  }
  this->PageServer.emplace(std::move(Metrics), std::move(Status));
  return this->PageServer->start(*this->Settings.Metrics);
}

bool Node::tick(base::TimePoint Now) {
  bool IsUnfenced = this->Detector.checkUnfenced(Now);
  this->updateFence(Now);
  this->querySeeds(Now);
  this->Watcher.tick(Now);
  this->Links.tick(Now);
  return IsUnfenced;
}

bool Node::processPeerMessages(
    const std::function<void(base::TimePoint, const wire::PeerMessage &)>
        &OnMessage) {
  for (int I = 0; I < MaxPeerMessagesPerCall; ++I) {
    base::TimePoint Now = this->Clock.now();
    std::optional<wire::PeerMessage> Message = this->Links.receive(Now);
    if (!Message) {
      return false;
    }
    bool IsView = std::holds_alternative<wire::View>(Message->Body);
    bool IsAllowedWhileFenced =
        IsView || std::holds_alternative<wire::SnapshotPutReply>(Message->Body);
    if (this->Detector.checkUnfenced(Now) || IsAllowedWhileFenced) {
      OnMessage(Now, *Message);
    }
    if (IsView) {
      // A view from a peer refreshes the state as a read of the store does.
      this->Detector.onStateRefreshed();
    }
  }
  return true;
}

void Node::announce() {
  this->AnnouncerThread = std::jthread(
      [this](const std::stop_token &Stop) { this->runAnnouncer(Stop); });
}

void Node::runAnnouncer(const std::stop_token &Stop) {
  while (!Stop.stop_requested()) {
    members::LeaseStep Step = this->Announcer.step();
    if (std::holds_alternative<members::EndStep>(Step)) {
      log::error("event=replaced reason=\"a newer process has the same name\"");
      return;
    }
    if (const auto *Wait = std::get_if<members::WaitStep>(&Step)) {
      base::Duration Remaining = Wait->Until - this->Clock.now();
      store::waitFor(
          std::min<base::Duration>(Remaining, members::ChangePollInterval),
          Stop);
    }
  }
}

void Node::leave() {
  this->Self.setState(members::MemberState::Leaving);
  if (this->AnnouncerThread.joinable()) {
    this->AnnouncerThread.request_stop();
    this->AnnouncerThread.join();
    this->Announcer.withdraw();
  }
}

void Node::applyStoredTargets(const store::KeyValue &Entry) {
  base::Result<targets::StoredTargets> Stored =
      targets::parseStoredTargets(Entry.Value);
  if (!Stored) {
    log::error("event=bad-targets reason=\"" + Stored.error().Message + "\"");
    return;
  }
  const targets::StoredTargets &Value = Stored.value();
  if (applyTargets(Value.Revision, Value.Text, this->Targets, this->Members,
                   this->Self)) {
    log::info("event=targets-applied revision=" +
              std::to_string(Value.Revision));
  }
}

void Node::watchTargets(const std::stop_token &Stop) {
  store::PrefixWatcher TargetsWatcher(this->Store, store::TargetsKey);
  TargetsWatcher.run(
      Stop,
      [this](const store::Listing &Listing) {
        for (const store::KeyValue &Entry : Listing.Entries) {
          this->applyStoredTargets(Entry);
        }
      },
      [this](const store::WatchEvent &Event) {
        if (!Event.IsDelete) {
          this->applyStoredTargets(Event.Entry);
        }
      },
      [](const base::Error &Failure) {
        log::warn("event=store-unavailable reason=\"" + Failure.Message + "\"");
      });
}

void Node::refreshTargets() {
  base::Result<std::optional<store::KeyValue>> Entry =
      this->Store.get(store::TargetsKey);
  if (Entry) {
    if (Entry.value()) {
      this->applyStoredTargets(*Entry.value());
    }
    this->Detector.onStateRefreshed();
  }
  this->IsRefreshing.store(false);
}

void Node::updateFence(base::TimePoint Now) {
  if (!this->Detector.isFenced() || this->Detector.isPermanentlyFenced()) {
    this->HasRequestedViews = false;
    return;
  }
  if (!this->HasRequestedViews) {
    this->HasRequestedViews = true;
    this->FencedSince = Now;
    log::warn("event=paused action=\"reading the targets anew\"");
    for (const members::Member &Peer : this->Members.all()) {
      this->Links.send(Now, Peer.Control, Peer.Name, wire::ViewFetch());
    }
  }
  if (Now - this->FencedSince >= MaxFenceDuration) {
    this->Detector.onStateRefreshed();
    return;
  }
  if (!this->IsRefreshing.exchange(true)) {
    this->StoreJobs.post([this] { this->refreshTargets(); });
  }
}

void Node::querySeeds(base::TimePoint Now) {
  if (this->knowsTargets() || Now - this->LastSeedQuery < SeedQueryInterval) {
    return;
  }
  this->LastSeedQuery = Now;
  for (const base::Address &Seed : this->Settings.Seeds) {
    if (Seed != this->Settings.Control) {
      this->Links.send(Now, Seed, {}, wire::ViewFetch());
    }
  }
}

} // namespace bilberry::node
