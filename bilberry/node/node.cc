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

// Messages taken from the peers before the other fibers have their turn.
static constexpr int PeerMessagesPerTurn = 32;

// A run's number: later runs of one name on one VM are higher as long as the
// VM's clock doesn't go back between them.
static base::Incarnation newIncarnation(const base::SteadyClock &Clock) {
  return static_cast<base::Incarnation>(
      std::chrono::floor<std::chrono::microseconds>(
          Clock.now().time_since_epoch())
          .count());
}

static members::Member selfOf(const settings::ProcessSettings &Settings,
                              members::MemberRole Role,
                              const base::SteadyClock &Clock) {
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
    : Settings(Settings), Self(selfOf(Settings, Role, this->Clock)),
      Links(this->Self), Store(Settings.Store, Settings.StoreTimeout),
      Pauses(this->Clock.now(), PauseBound),
      Announcer(this->Store, this->Clock, this->Self,
                static_cast<uint32_t>(this->Self.get().Run)),
      Watcher(this->Store, this->Clock, this->Members) {}

Node::~Node() {
  for (std::jthread &Follower : this->Followers) {
    Follower.request_stop();
  }
}

base::Result<void> Node::start() {
  if (base::Result<void> Listening = this->Links.listen(this->Settings.Control);
      !Listening) {
    return Listening;
  }
  this->Followers.emplace_back(
      [this](const std::stop_token &Stop) { this->Watcher.run(Stop); });
  this->Followers.emplace_back(
      [this](const std::stop_token &Stop) { this->followTargets(Stop); });
  return boost::outcome_v2::success();
}

base::Result<void> Node::servePages(PageBuilder Metrics, PageBuilder Status) {
  if (!this->Settings.Metrics) {
    return boost::outcome_v2::success();
  }
  this->Pages.emplace(std::move(Metrics), std::move(Status));
  return this->Pages->start(*this->Settings.Metrics);
}

bool Node::tick(base::TimePoint Now) {
  bool IsOpen = this->Pauses.check(Now);
  this->tickFence(Now);
  this->tickSeeds(Now);
  this->Watcher.tick(Now);
  this->Links.tick(Now);
  return IsOpen;
}

bool Node::takePeers(
    const std::function<void(base::TimePoint, const wire::PeerMessage &)>
        &OnMessage) {
  for (int I = 0; I < PeerMessagesPerTurn; ++I) {
    base::TimePoint Now = this->Clock.now();
    std::optional<wire::PeerMessage> Message = this->Links.receive(Now);
    if (!Message) {
      return false;
    }
    bool IsView = std::holds_alternative<wire::View>(Message->Body);
    bool PassesFence =
        IsView || std::holds_alternative<wire::SnapshotPutReply>(Message->Body);
    if (this->Pauses.check(Now) || PassesFence) {
      OnMessage(Now, *Message);
    }
    if (IsView) {
      // A peer's view is as good as the store's.
      this->Pauses.refreshed();
    }
  }
  return true;
}

void Node::announce() {
  this->AnnouncerThread = std::jthread(
      [this](const std::stop_token &Stop) { this->keepAnnounced(Stop); });
}

void Node::keepAnnounced(const std::stop_token &Stop) {
  while (!Stop.stop_requested()) {
    members::LeaseStep Step = this->Announcer.step();
    if (std::holds_alternative<members::EndStep>(Step)) {
      log::error("event=replaced reason=\"a newer run has this name\"");
      return;
    }
    if (const auto *Wait = std::get_if<members::WaitStep>(&Step)) {
      base::Duration Left = Wait->Until - this->Clock.now();
      store::waitFor(std::min<base::Duration>(Left, members::ChangePoll), Stop);
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

void Node::takeTargets(const store::KeyValue &Entry) {
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

void Node::followTargets(const std::stop_token &Stop) {
  store::PrefixWatcher Followed(this->Store, store::TargetsKey);
  Followed.run(
      Stop,
      [this](const store::Listing &Listing) {
        for (const store::KeyValue &Entry : Listing.Entries) {
          this->takeTargets(Entry);
        }
      },
      [this](const store::WatchEvent &Event) {
        if (!Event.IsDelete) {
          this->takeTargets(Event.Entry);
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
      this->takeTargets(*Entry.value());
    }
    this->Pauses.refreshed();
  }
  this->IsRefreshing.store(false);
}

void Node::tickFence(base::TimePoint Now) {
  if (!this->Pauses.isFenced() || this->Pauses.isClosed()) {
    this->FenceWasSeen = false;
    return;
  }
  if (!this->FenceWasSeen) {
    this->FenceWasSeen = true;
    this->FenceSeenAt = Now;
    log::warn("event=paused action=\"reading the targets anew\"");
    for (const members::Member &Peer : this->Members.all()) {
      this->Links.send(Now, Peer.Control, Peer.Name, wire::ViewFetch());
    }
  }
  if (Now - this->FenceSeenAt >= MaxFence) {
    this->Pauses.refreshed();
    return;
  }
  if (!this->IsRefreshing.exchange(true)) {
    this->StoreJobs.post([this] { this->refreshTargets(); });
  }
}

void Node::tickSeeds(base::TimePoint Now) {
  if (this->knowsTargets() || Now - this->LastSeedAsk < SeedInterval) {
    return;
  }
  this->LastSeedAsk = Now;
  for (const base::Address &Seed : this->Settings.Seeds) {
    if (Seed != this->Settings.Control) {
      this->Links.send(Now, Seed, {}, wire::ViewFetch());
    }
  }
}

} // namespace bilberry::node
