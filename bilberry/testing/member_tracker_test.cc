// Tests of MemberTracker with a table of event sequences, and of the announcer
// and MemberWatcher together on the fake store.

#include "bilberry/members/announcer.h"
#include "bilberry/members/member_watcher.h"
#include "bilberry/targets/fleet_list.h"
#include "bilberry/testing/fake_store.h"
#include "bilberry/testing/odd_entries.h"
#include "bilberry/testing/watch_log.h"

#include <gtest/gtest.h>
#include <thread>

namespace bilberry::members {
namespace {

using std::chrono::seconds;

const base::TimePoint Start{std::chrono::hours(24)};
const base::ServiceName Rounds("rounds");
constexpr base::Duration SmallestDuration(1);

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

// Drives a tracker with store events about one member "a" in simulated time.
struct TrackerDriver {
  MemberTable Table;
  MemberTracker Tracker{this->Table};
  base::TimePoint Now = Start;
  store::StoreRevision Revision = 10;

  store::KeyValue entry(const Member &Value) {
    return {store::memberKey(Value.Name), serializeMember(Value),
            ++this->Revision, 1};
  }
  void listEntries(std::vector<store::KeyValue> Entries) {
    this->Tracker.applyListing(this->Now, {std::move(Entries), this->Revision});
  }
  void listMember(const Member &Value) {
    this->listEntries({this->entry(Value)});
  }
  void listNoMember() { this->listEntries({}); }
  void putMember(const Member &Value) {
    this->Tracker.applyEvent(this->Now, {false, this->entry(Value)});
  }
  void deleteMember(store::StoreRevision At) {
    store::KeyValue Entry{store::memberKey(agent().Name), "", At, 0};
    this->Tracker.applyEvent(this->Now, {true, Entry});
  }
  void deleteMember() { this->deleteMember(++this->Revision); }
  void advanceTime(base::Duration Time) {
    this->Now += Time;
    this->Tracker.tick(this->Now);
  }
  // Lists the member and ends the recovery that follows the first listing.
  void finishRecovery() {
    this->listMember(agent());
    this->advanceTime(LeaseTtl);
  }

  // "placed", "unplaced" (in Lookup only), "silent" or "gone".
  std::string placementState() const {
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

TEST(MemberTracker, AppliesStoreEvents) {
  struct Case {
    const char *Description;
    std::function<void(TrackerDriver &)> Run;
    const char *State;
  };
  const Case Cases[] = {
      {"listed", [](TrackerDriver &Driver) { Driver.listMember(agent()); },
       "placed"},
      {"lease expired",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.deleteMember();
       },
       "silent"},
      {"silent for longer than the grace period",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.deleteMember();
         Driver.advanceTime(SilentGracePeriod + SmallestDuration);
       },
       "gone"},
      {"planned withdrawal",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.putMember(agent(7, MemberState::Leaving));
         Driver.deleteMember();
       },
       "gone"},
      {"withdrawn between listings: Leaving, then absent from a listing",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.putMember(agent(7, MemberState::Leaving));
         Driver.listNoMember();
       },
       "gone"},
      {"draining isn't a withdrawal",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.putMember(agent(7, MemberState::Draining));
       },
       "unplaced"},
      {"store down: unchanged for any time",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.Tracker.recordStoreFailure();
         Driver.advanceTime(std::chrono::hours(1));
       },
       "placed"},
      {"silent when the store goes down: unchanged",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.deleteMember();
         Driver.Tracker.recordStoreFailure();
         Driver.advanceTime(SilentGracePeriod + SmallestDuration);
       },
       "silent"},
      {"silent before the outage: kept for a lease after it",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.deleteMember();
         Driver.Tracker.recordStoreFailure();
         Driver.advanceTime(SilentGracePeriod + SmallestDuration);
         Driver.listNoMember();
         Driver.advanceTime(LeaseTtl - SmallestDuration);
       },
       "silent"},
      {"absent after an outage, for less than a lease",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.Tracker.recordStoreFailure();
         Driver.advanceTime(seconds(60));
         Driver.listNoMember();
         Driver.advanceTime(LeaseTtl - SmallestDuration);
       },
       "placed"},
      {"absent after an outage, for a lease",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.Tracker.recordStoreFailure();
         Driver.advanceTime(seconds(60));
         Driver.listNoMember();
         Driver.advanceTime(LeaseTtl);
       },
       "silent"},
      {"announced again after an outage",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.Tracker.recordStoreFailure();
         Driver.listNoMember();
         Driver.advanceTime(seconds(1));
         Driver.putMember(agent());
         Driver.advanceTime(LeaseTtl);
       },
       "placed"},
      {"lease expired when the store recovered",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.Tracker.recordStoreFailure();
         Driver.listMember(agent());
         Driver.deleteMember();
         Driver.advanceTime(LeaseTtl - SmallestDuration);
       },
       "placed"},
      {"down again during the recovery: the time restarts",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.Tracker.recordStoreFailure();
         Driver.listNoMember();
         Driver.advanceTime(LeaseTtl - SmallestDuration);
         Driver.Tracker.recordStoreFailure();
         Driver.advanceTime(seconds(60));
         Driver.listNoMember();
         Driver.advanceTime(LeaseTtl - SmallestDuration);
       },
       "placed"},
      {"further listings that lack it don't extend the time",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.listNoMember();
         Driver.advanceTime(LeaseTtl / 2);
         Driver.listNoMember();
         Driver.advanceTime(LeaseTtl / 2);
       },
       "silent"},
      {"announced again after silence",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.deleteMember();
         Driver.putMember(agent());
       },
       "placed"},
      {"a delete older than the listing",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.deleteMember(Driver.Revision);
       },
       "placed"},
      {"a delete older than the last put",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.putMember(agent());
         Driver.putMember(agent());
         Driver.deleteMember(Driver.Revision - 1);
       },
       "placed"},
      {"an announcement of an older run",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.deleteMember();
         Driver.putMember(agent(6));
       },
       "silent"},
      {"an older run in the listing counts as absent",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.listMember(agent(6));
         Driver.advanceTime(LeaseTtl);
       },
       "silent"},
      {"an announcement of a newer run",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.deleteMember();
         Driver.putMember(agent(8));
       },
       "placed"},
      {"an unreadable announcement",
       [](TrackerDriver &Driver) {
         Driver.finishRecovery();
         Driver.listEntries({{store::memberKey(agent().Name), "text", 50, 1},
                             {"/", "text", 50, 1}});
       },
       "placed"},
      {"an announcement under another's key",
       [](TrackerDriver &Driver) {
         Driver.listEntries({{store::memberKey(base::MemberName("b")),
                              serializeMember(agent()), 50, 1}});
       },
       "gone"},
  };
  for (const Case &Item : Cases) {
    TrackerDriver CaseDriver;
    Item.Run(CaseDriver);
    EXPECT_EQ(CaseDriver.placementState(), Item.State) << Item.Description;
  }
}

TEST(MemberWatcher, TracksAnnouncerThroughStoreOutage) {
  base::ManualClock Clock;
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
  standin::StoreFaults StoreOutage;
  StoreOutage.Mode = standin::Availability::Refusing;
  Store.setFaults(StoreOutage);
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

// Guards against a watcher that ends, or that no longer follows the members,
// after another writer has left an odd entry among theirs.
TEST(OddEntries, DoNotHideOtherMembers) {
  Member Other = agent();
  Other.Name = base::MemberName("b");
  for (const testing::OddEntry &Odd : testing::oddEntries(agent())) {
    SCOPED_TRACE(Odd.Name);
    TrackerDriver Driver;
    store::KeyValue Entry{store::memberKey(base::MemberName("aa")), Odd.Value,
                          11, 0};
    Driver.listEntries({Driver.entry(agent()), Entry, Driver.entry(Other)});
    EXPECT_EQ(Driver.Tracker.malformedEntries(), 1U);
    EXPECT_FALSE(Driver.Tracker.isStoreDown());
    EXPECT_EQ(Driver.Table.all().size(), 2U);
    Entry.Changed = ++Driver.Revision;
    Driver.Tracker.applyEvent(Driver.Now, {false, Entry});
    // Also under the key of a member that is known.
    Entry.Key = store::memberKey(agent().Name);
    Entry.Changed = ++Driver.Revision;
    Driver.Tracker.applyEvent(Driver.Now, {false, Entry});
    EXPECT_EQ(Driver.Tracker.malformedEntries(), 3U);
    Member Restarted = agent(agent().Run + 1);
    Driver.putMember(Restarted);
    EXPECT_EQ(Driver.Table.find(agent().Name), Restarted);
    targets::FleetList Fleet = targets::readFleet(
        {{Driver.entry(Restarted), Entry, Driver.entry(Other)}, 20});
    EXPECT_EQ(Fleet.Members.size(), 2U);
    EXPECT_EQ(Fleet.UnreadableKeys.size(), 1U);
  }
}

// The copy from which the store was restored is older than the announcement.
// Guards against placing nothing on an agent that is about to announce itself
// again, and against late input of the era before.
TEST(MemberTracker, RestoreOfTheStoreCountsAsAnOutage) {
  TrackerDriver Driver;
  Driver.finishRecovery();
  Driver.advanceTime(LeaseTtl);
  Driver.Tracker.applyListing(Driver.Now, {{}, 5, 1});
  Driver.advanceTime(LeaseTtl - SmallestDuration);
  EXPECT_EQ(Driver.placementState(), "placed");
  // Still of era 0.
  Driver.deleteMember();
  EXPECT_EQ(Driver.placementState(), "placed");
  Driver.advanceTime(2 * SmallestDuration);
  EXPECT_EQ(Driver.placementState(), "silent");
}

} // namespace
} // namespace bilberry::members
