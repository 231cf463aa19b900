// What the store's news does to the member table: tables of event sequences,
// and the announcer and the watcher together on the fake store.

#include "bilberry/members/announcer.h"
#include "bilberry/members/member_watcher.h"
#include "bilberry/testing/fake_store.h"
#include "bilberry/testing/watch_log.h"

#include <gtest/gtest.h>
#include <thread>

namespace bilberry::members {
namespace {

using std::chrono::seconds;

const base::TimePoint Start{std::chrono::hours(24)};
const base::ServiceName Rounds("rounds");
constexpr base::Duration Instant(1);

Member agent(base::Incarnation Run = 7,
             MemberState State = MemberState::InService) {
  return {base::MemberName("a"),
          Run,
          MemberRole::Agent,
          State,
          base::DataCentreName("mobile"),
          Rounds,
          {0x7F000001, 4000},
          {0x7F000001, 4001},
          3};
}

// A tracker that is told what happens to the one member "a", at its own time.
struct Script {
  MemberTable Table;
  MemberTracker Tracker{this->Table};
  base::TimePoint Now = Start;
  store::StoreRevision Revision = 10;

  store::KeyValue entry(const Member &Value) {
    return {store::memberKey(Value.Name), memberText(Value), ++this->Revision,
            1};
  }
  void list(std::vector<store::KeyValue> Entries) {
    this->Tracker.takeListing(this->Now, {std::move(Entries), this->Revision});
  }
  void listed(const Member &Value) { this->list({this->entry(Value)}); }
  void listedEmpty() { this->list({}); }
  void put(const Member &Value) {
    this->Tracker.takeEvent(this->Now, {false, this->entry(Value)});
  }
  void erase(store::StoreRevision At) {
    store::KeyValue Entry{store::memberKey(agent().Name), "", At, 0};
    this->Tracker.takeEvent(this->Now, {true, Entry});
  }
  void erase() { this->erase(++this->Revision); }
  void pass(base::Duration Time) {
    this->Now += Time;
    this->Tracker.tick(this->Now);
  }
  // Listed, and beyond the recovery that follows the first listing.
  void settle() {
    this->listed(agent());
    this->pass(LeaseTtl);
  }

  // "placed", "unplaced" (in Lookup only), "silent" or "gone".
  std::string state() const {
    auto View = this->Table.view(Rounds);
    if (View->Lookup.empty()) {
      return "gone";
    }
    if (this->Table.isSilent(agent().Name)) {
      return "silent";
    }
    return View->Placement.empty() ? "unplaced" : "placed";
  }
};

TEST(MemberTracker, NewsToTable) {
  struct Case {
    const char *What;
    std::function<void(Script &)> Run;
    const char *State;
  };
  const Case Cases[] = {
      {"listed", [](Script &T) { T.listed(agent()); }, "placed"},
      {"lease expired",
       [](Script &T) {
         T.settle();
         T.erase();
       },
       "silent"},
      {"silent for longer than the grace period",
       [](Script &T) {
         T.settle();
         T.erase();
         T.pass(SilentGrace + Instant);
       },
       "gone"},
      {"planned withdrawal",
       [](Script &T) {
         T.settle();
         T.put(agent(7, MemberState::Leaving));
         T.erase();
       },
       "gone"},
      {"withdrawn unseen: Leaving, then absent from a listing",
       [](Script &T) {
         T.settle();
         T.put(agent(7, MemberState::Leaving));
         T.listedEmpty();
       },
       "gone"},
      {"draining is no withdrawal",
       [](Script &T) {
         T.settle();
         T.put(agent(7, MemberState::Draining));
       },
       "unplaced"},
      {"store down: frozen however long",
       [](Script &T) {
         T.settle();
         T.Tracker.noteDown();
         T.pass(std::chrono::hours(1));
       },
       "placed"},
      {"silent as the store goes down: frozen too",
       [](Script &T) {
         T.settle();
         T.erase();
         T.Tracker.noteDown();
         T.pass(SilentGrace + Instant);
       },
       "silent"},
      {"silent before the outage: has time to return after it",
       [](Script &T) {
         T.settle();
         T.erase();
         T.Tracker.noteDown();
         T.pass(SilentGrace + Instant);
         T.listedEmpty();
         T.pass(LeaseTtl - Instant);
       },
       "silent"},
      {"absent after an outage, for less than a lease",
       [](Script &T) {
         T.settle();
         T.Tracker.noteDown();
         T.pass(seconds(60));
         T.listedEmpty();
         T.pass(LeaseTtl - Instant);
       },
       "placed"},
      {"absent after an outage, for a lease",
       [](Script &T) {
         T.settle();
         T.Tracker.noteDown();
         T.pass(seconds(60));
         T.listedEmpty();
         T.pass(LeaseTtl);
       },
       "silent"},
      {"came back after an outage",
       [](Script &T) {
         T.settle();
         T.Tracker.noteDown();
         T.listedEmpty();
         T.pass(seconds(1));
         T.put(agent());
         T.pass(LeaseTtl);
       },
       "placed"},
      {"lease expired as the store came back",
       [](Script &T) {
         T.settle();
         T.Tracker.noteDown();
         T.listed(agent());
         T.erase();
         T.pass(LeaseTtl - Instant);
       },
       "placed"},
      {"down again while members return: the time starts anew",
       [](Script &T) {
         T.settle();
         T.Tracker.noteDown();
         T.listedEmpty();
         T.pass(LeaseTtl - Instant);
         T.Tracker.noteDown();
         T.pass(seconds(60));
         T.listedEmpty();
         T.pass(LeaseTtl - Instant);
       },
       "placed"},
      {"listings that lack it don't put the time off",
       [](Script &T) {
         T.settle();
         T.listedEmpty();
         T.pass(LeaseTtl / 2);
         T.listedEmpty();
         T.pass(LeaseTtl / 2);
       },
       "silent"},
      {"back after silence",
       [](Script &T) {
         T.settle();
         T.erase();
         T.put(agent());
       },
       "placed"},
      {"a delete older than the listing",
       [](Script &T) {
         T.settle();
         T.erase(T.Revision);
       },
       "placed"},
      {"a delete older than the last put",
       [](Script &T) {
         T.settle();
         T.put(agent());
         T.put(agent());
         T.erase(T.Revision - 1);
       },
       "placed"},
      {"an older run returns",
       [](Script &T) {
         T.settle();
         T.erase();
         T.put(agent(6));
       },
       "silent"},
      {"an older run in the listing hides no absence",
       [](Script &T) {
         T.settle();
         T.listed(agent(6));
         T.pass(LeaseTtl);
       },
       "silent"},
      {"a newer run",
       [](Script &T) {
         T.settle();
         T.erase();
         T.put(agent(8));
       },
       "placed"},
      {"an unreadable announcement",
       [](Script &T) {
         T.settle();
         T.list({{store::memberKey(agent().Name), "text", 50, 1},
                 {"/", "text", 50, 1}});
       },
       "placed"},
      {"an announcement under another's key",
       [](Script &T) {
         T.list({{store::memberKey(base::MemberName("b")), memberText(agent()),
                  50, 1}});
       },
       "gone"},
  };
  for (const Case &Item : Cases) {
    Script Events;
    Item.Run(Events);
    EXPECT_EQ(Events.state(), Item.State) << Item.What;
  }
}

TEST(MemberWatcher, FollowsAnnouncersThroughAnOutage) {
  base::PausedClock Clock;
  testing::FakeStore Store(Clock);
  board::LocalMember Local(agent(7, MemberState::Cold));
  Announcer Process(Store, Clock, Local, 1);
  MemberTable Table;
  MemberWatcher Watcher(Store, Clock, Table);
  auto WaitFor = [&](auto Condition) {
    auto End = std::chrono::steady_clock::now() + testing::WaitLimit;
    while (!Condition() && std::chrono::steady_clock::now() < End) {
      (void)Process.step();
      std::this_thread::yield();
    }
    return Condition();
  };
  std::jthread Thread(
      [&Watcher](const std::stop_token &Stop) { Watcher.run(Stop); });
  EXPECT_TRUE(WaitFor([&] { return Table.find(agent().Name).has_value(); }));
  standin::StoreFaults Down;
  Down.Mode = standin::Availability::Refusing;
  Store.setFaults(Down);
  EXPECT_TRUE(WaitFor([&] { return Watcher.isStoreDown(); }));
  Clock.advance(10 * LeaseTtl);
  Watcher.tick(Clock.now());
  EXPECT_EQ(Table.view(Rounds)->Placement.size(), 1U);
  Store.setFaults({});
  EXPECT_TRUE(WaitFor([&] {
    return !Watcher.isStoreDown() && Process.status().isHeld(Clock.now());
  }));
  Local.setState(MemberState::InService);
  Clock.advance(PublishInterval);
  EXPECT_TRUE(WaitFor([&] {
    return Table.find(agent().Name)->State == MemberState::InService;
  }));
  EXPECT_EQ(Table.view(Rounds)->Placement.size(), 1U);
  Process.withdraw();
  EXPECT_TRUE(WaitFor([&] { return !Table.find(agent().Name); }));
}

} // namespace
} // namespace bilberry::members
