// Tests of the announcement format, of LeaseStateMachine as tables of events,
// and of the announcer on the fake store.

#include "bilberry/members/announcer.h"
#include "bilberry/testing/fake_store.h"
#include "bilberry/testing/odd_entries.h"

#include <deque>
#include <gtest/gtest.h>
#include <set>

namespace bilberry::members {
namespace {

using base::ErrorCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::TimePoint Start{std::chrono::hours(24)};
constexpr uint32_t Seed = 20261204;
constexpr base::Duration SmallestDuration(1);

Member agent() {
  return {base::MemberName("rounds-1"),
          7,
          MemberRole::Agent,
          MemberState::Cold,
          base::DataCentreName("mobile"),
          base::ServiceName("rounds"),
          {0x7F000001, 4000},
          {0x7F000001, 4001},
          3};
}

TEST(MemberAnnouncement, RoundTrip) {
  for (MemberState State : {MemberState::Cold, MemberState::InService,
                            MemberState::Draining, MemberState::Leaving}) {
    Member Value = agent();
    Value.State = State;
    Value.Run = uint64_t(1) << 53U;
    ASSERT_TRUE(parseMember(serializeMember(Value)));
    EXPECT_EQ(parseMember(serializeMember(Value)).value(), Value);
  }
}

TEST(MemberAnnouncement, RejectsInvalidAnnouncements) {
  const std::pair<const char *, const char *> Edits[] = {
      {"\"cold\"", "\"warm\""},
      {"\"cold\"", "1"},
      {"\"agent\"", "\"balancer\""},
      {"\"rounds\"", "\"\""},
      {"\"rounds-1\"", "\"\""},
      {"\"mobile\"", "\"\""},
      {"127.0.0.1:4000", "localhost"},
      {"\"run\":7", "\"run\":-7"},
      {"\"run\":7", "\"run\":\"7\""},
      {"\"run\":7", "\"run\":7.5"},
      {"\"applied\":3", "\"other\":3"},
      {"{", "[{"},
      {"}", ""},
  };
  for (const auto &[Old, New] : Edits) {
    std::string Text = serializeMember(agent());
    size_t Position = Text.find(Old);
    ASSERT_NE(Position, std::string::npos) << Old;
    Text.replace(Position, std::string(Old).size(), New);
    base::Result<Member> Parsed = parseMember(Text);
    ASSERT_FALSE(Parsed) << Text;
    EXPECT_EQ(Parsed.error().Code, ErrorCode::Malformed);
  }
  EXPECT_FALSE(parseMember(""));
}

// A state machine that was granted a lease at Start and has announced agent().
LeaseStateMachine announcedStateMachine() {
  LeaseStateMachine StateMachine(Seed);
  StateMachine.onGranted(Start, 9);
  StateMachine.onPublished(Start, agent(), 5);
  return StateMachine;
}

std::string stepText(const LeaseStep &Step) {
  const char *const StepNames[] = {"grant",  "renew", "publish",
                                   "revoke", "wait",  "end"};
  return StepNames[Step.index()];
}

TEST(LeaseStateMachine, NextStep) {
  const base::Error StoreUnavailable = {ErrorCode::Unavailable, ""};
  const base::Error LeaseExpiredError = {ErrorCode::LeaseExpired, ""};
  struct Case {
    const char *Description;
    std::function<void(LeaseStateMachine &)> Event;
    base::Duration At;
    MemberState Wanted;
    const char *Step;
  };
  const MemberState Cold = MemberState::Cold;
  const MemberState Changed = MemberState::InService;
  const auto Nothing = [](LeaseStateMachine &) {};
  const auto FailRenewal = [&](LeaseStateMachine &Machine) {
    Machine.onFailed(Start + RenewInterval, StoreUnavailable);
  };
  const Case Cases[] = {
      {"nothing to publish", Nothing, SmallestDuration, Cold, "wait"},
      {"renewal not due", Nothing, RenewInterval - SmallestDuration, Cold,
       "wait"},
      {"renewal due", Nothing, RenewInterval, Cold, "renew"},
      {"renewal before publishing", Nothing, RenewInterval, Changed, "renew"},
      {"change within PublishInterval", Nothing,
       PublishInterval - SmallestDuration, Changed, "wait"},
      {"change after PublishInterval", Nothing, PublishInterval, Changed,
       "publish"},
      {"store unavailable", FailRenewal, RenewInterval + SmallestDuration, Cold,
       "wait"},
      {"retry", FailRenewal, RenewInterval + MaxRetryDelay, Cold, "renew"},
      {"lease expired",
       [&](LeaseStateMachine &Machine) {
         Machine.onFailed(Start, LeaseExpiredError);
       },
       SmallestDuration, Cold, "grant"},
      {"new lease",
       [&](LeaseStateMachine &Machine) {
         Machine.onFailed(Start, LeaseExpiredError);
         Machine.onGranted(Start, 10);
       },
       SmallestDuration, Cold, "publish"},
      {"planned stop", [](LeaseStateMachine &Machine) { Machine.withdraw(); },
       SmallestDuration, Cold, "publish"},
      {"planned stop in state Leaving",
       [](LeaseStateMachine &Machine) { Machine.withdraw(); }, SmallestDuration,
       MemberState::Leaving, "publish"},
      {"planned stop, Leaving published",
       [](LeaseStateMachine &Machine) {
         Member Value = agent();
         Value.State = MemberState::Leaving;
         Machine.onPublished(Start, Value, 6);
         Machine.withdraw();
       },
       SmallestDuration, Cold, "revoke"},
      {"withdrawn", [](LeaseStateMachine &Machine) { Machine.onRevoked(); },
       SmallestDuration, Cold, "end"},
  };
  for (const Case &Item : Cases) {
    LeaseStateMachine StateMachine = announcedStateMachine();
    Item.Event(StateMachine);
    Member Wanted = agent();
    Wanted.State = Item.Wanted;
    EXPECT_EQ(stepText(StateMachine.next(Start + Item.At, Wanted)), Item.Step)
        << Item.Description;
  }
  EXPECT_EQ(stepText(LeaseStateMachine(Seed).next(Start, agent())), "grant");
}

TEST(LeaseStateMachine, LeaseIsMeasuredFromSendingTheRenewal) {
  LeaseStateMachine StateMachine = announcedStateMachine();
  EXPECT_TRUE(
      StateMachine.status().isHeld(Start + LeaseTtl - SmallestDuration));
  EXPECT_FALSE(StateMachine.status().isHeld(Start + LeaseTtl));
  StateMachine.onRenewed(Start + seconds(2));
  EXPECT_TRUE(StateMachine.status().isHeld(Start + seconds(2) + LeaseTtl -
                                           SmallestDuration));
  EXPECT_EQ(StateMachine.status().Lapses, 0U);
}

TEST(LeaseStateMachine, RenewalAfterExpiryCountsAsLapse) {
  LeaseStateMachine StateMachine = announcedStateMachine();
  StateMachine.onRenewed(Start + LeaseTtl);
  EXPECT_TRUE(StateMachine.status().isHeld(Start + LeaseTtl));
  EXPECT_EQ(StateMachine.status().Lapses, 1U);
}

TEST(LeaseStateMachine, ConflictingAnnouncement) {
  PublishStep Step{9, 0, agent()};
  Member Older = agent();
  Older.Run = 6;
  Member Newer = agent();
  Newer.Run = 8;
  struct Case {
    const char *Description;
    std::optional<FoundAnnouncement> Found;
    const char *Step;
    store::StoreRevision Expected;
  };
  const Case Cases[] = {
      {"key absent", {}, "publish", 0},
      {"older run", FoundAnnouncement{5, 8, Older}, "publish", 5},
      {"own write, response lost", FoundAnnouncement{5, 9, agent()}, "wait", 0},
      {"own write, older lease", FoundAnnouncement{5, 8, agent()}, "publish",
       5},
      {"newer run", FoundAnnouncement{5, 8, Newer}, "end", 0},
  };
  for (const Case &Item : Cases) {
    LeaseStateMachine StateMachine(Seed);
    StateMachine.onGranted(Start, 9);
    StateMachine.onConflict(Step, Item.Found);
    LeaseStep Next = StateMachine.next(Start, agent());
    EXPECT_EQ(stepText(Next), Item.Step) << Item.Description;
    if (const auto *Publish = std::get_if<PublishStep>(&Next)) {
      EXPECT_EQ(Publish->Expected, Item.Expected) << Item.Description;
    }
  }
}

struct AnnouncerTest : ::testing::Test {
  using TestAnnouncer = Announcer<testing::FakeStore, base::ManualClock>;

  // Makes steps until one is WaitStep or EndStep.
  static void runUntilIdle(TestAnnouncer &Process) {
    LeaseStep Step;
    do {
      Step = Process.step();
    } while (Step.index() < LeaseStep(WaitStep()).index());
  }
  void advanceAndRun(base::Duration Time) {
    this->Clock.advance(Time);
    runUntilIdle(this->Process);
  }
  std::optional<store::KeyValue> entry() {
    return this->Store.get(store::memberKey(agent().Name)).value();
  }
  Member stored() { return parseMember(this->entry()->Value).value(); }

  base::ManualClock Clock;
  testing::FakeStore Store{this->Clock};
  board::LocalMember Local{agent()};
  TestAnnouncer Process{this->Store, this->Clock, this->Local, Seed};
};

TEST_F(AnnouncerTest, AnnouncesChangesAndRenews) {
  runUntilIdle(this->Process);
  EXPECT_EQ(this->stored(), agent());
  this->Local.setState(MemberState::InService);
  this->Local.setApplied(4);
  this->advanceAndRun(PublishInterval);
  EXPECT_EQ(this->stored(), this->Local.get());
  for (int Renewal = 0; Renewal < 10; ++Renewal) {
    this->advanceAndRun(RenewInterval);
  }
  EXPECT_EQ(this->stored(), this->Local.get());
  EXPECT_EQ(this->Store.counts().count(store::StoreCall::GrantLease), 1U);
  EXPECT_EQ(this->Store.counts().count(store::StoreCall::Swap), 2U);
  EXPECT_EQ(this->Process.status().Lapses, 0U);
}

TEST_F(AnnouncerTest, AnnouncesAgainAfterLeaseExpiry) {
  runUntilIdle(this->Process);
  this->Clock.advance(LeaseTtl);
  EXPECT_FALSE(this->Process.status().isHeld(this->Clock.now()));
  EXPECT_FALSE(this->entry());
  runUntilIdle(this->Process);
  EXPECT_TRUE(this->Process.status().isHeld(this->Clock.now()));
  EXPECT_EQ(this->Process.status().Lapses, 1U);
  EXPECT_EQ(this->stored(), agent());
}

TEST_F(AnnouncerTest, RecoversFromEachStoreFault) {
  standin::StoreFaults Refusing;
  Refusing.Mode = standin::Availability::Refusing;
  standin::StoreFaults Hanging;
  Hanging.Mode = standin::Availability::Hanging;
  standin::StoreFaults Losing;
  Losing.ResponsesToDrop = 3;
  for (const standin::StoreFaults &Faults : {Refusing, Hanging, Losing}) {
    this->Store.setFaults(Faults);
    this->Local.setApplied(this->Local.get().Applied + 1);
    for (int Attempt = 0; Attempt < 20; ++Attempt) {
      this->advanceAndRun(MaxRetryDelay);
    }
    this->Store.setFaults({});
    this->advanceAndRun(MaxRetryDelay);
    EXPECT_EQ(this->stored(), this->Local.get());
    EXPECT_TRUE(this->Process.status().isHeld(this->Clock.now()));
  }
}

TEST_F(AnnouncerTest, OlderRunNeverOverwritesNewerRun) {
  runUntilIdle(this->Process);
  Member Newer = agent();
  Newer.Run = 8;
  board::LocalMember Successor(Newer);
  TestAnnouncer Second(this->Store, this->Clock, Successor, Seed + 1);
  runUntilIdle(Second);
  EXPECT_EQ(this->stored().Run, 8U);
  this->Local.setState(MemberState::InService);
  this->advanceAndRun(PublishInterval);
  EXPECT_EQ(this->stored().Run, 8U);
  EXPECT_TRUE(this->Process.status().IsReplaced);
  EXPECT_FALSE(this->Process.status().isHeld(this->Clock.now()));
  // The end of the older run's lease doesn't delete the newer announcement.
  for (int Renewal = 0; Renewal < 5; ++Renewal) {
    this->Clock.advance(RenewInterval);
    runUntilIdle(Second);
  }
  EXPECT_EQ(this->stored().Run, 8U);
}

// The store comes back from a copy of before the announcement, and gives the
// id of the lease to another process. Guards against a process that stays
// unannounced, or renews and revokes the other's lease.
TEST_F(AnnouncerTest, AnnouncesAgainAfterARestoreOfTheStore) {
  this->Store.saveCopy();
  runUntilIdle(this->Process);
  this->Store.restoreCopy();
  ASSERT_TRUE(this->Store.grantLease(LeaseTtl));
  ASSERT_TRUE(this->Store.put("/other", "x", 1));
  runUntilIdle(this->Process);
  this->advanceAndRun(RestoreSpread);
  EXPECT_EQ(this->stored(), agent());
  EXPECT_NE(this->entry()->Lease, 1);
  EXPECT_EQ(this->Process.status().Lapses, 1U);
  this->Process.withdraw();
  EXPECT_TRUE(this->Store.get("/other").value());
}

// Guards against all processes writing at the same moment.
TEST_F(AnnouncerTest, AnnouncementsAfterARestoreAreSpread) {
  constexpr uint32_t ProcessCount = 20;
  std::deque<TestAnnouncer> Processes;
  for (uint32_t I = 0; I < ProcessCount; ++I) {
    Processes.emplace_back(this->Store, this->Clock, this->Local, I);
    runUntilIdle(Processes.back());
  }
  this->Store.saveCopy();
  this->Store.restoreCopy();
  std::set<base::TimePoint> Times;
  for (TestAnnouncer &Process : Processes) {
    LeaseStep Step = Process.step();
    ASSERT_TRUE(std::holds_alternative<WaitStep>(Step));
    base::TimePoint Until = std::get<WaitStep>(Step).Until;
    EXPECT_LE(Until, this->Clock.now() + RestoreSpread);
    Times.insert(Until);
  }
  EXPECT_GT(Times.size(), ProcessCount / 2);
}

// Another writer has left an odd entry under the member's key.
TEST_F(AnnouncerTest, ReplacesOddEntries) {
  for (const testing::OddEntry &Odd : testing::oddEntries(agent())) {
    SCOPED_TRACE(Odd.Name);
    ASSERT_TRUE(this->Store.put(store::memberKey(agent().Name), Odd.Value, 0));
    TestAnnouncer Announcer(this->Store, this->Clock, this->Local, Seed);
    runUntilIdle(Announcer);
    ASSERT_TRUE(parseMember(this->entry()->Value));
    EXPECT_EQ(this->stored(), agent());
  }
}

TEST_F(AnnouncerTest, PlannedStopPublishesLeavingBeforeDelete) {
  runUntilIdle(this->Process);
  this->Process.withdraw();
  EXPECT_FALSE(this->entry());
  std::stop_source Stop;
  std::vector<std::string> Seen;
  auto Record = [&](const store::WatchEvent &Event) {
    Seen.push_back(Event.IsDelete
                       ? "delete"
                       : std::string(stateText(
                             parseMember(Event.Entry.Value).value().State)));
    if (Event.IsDelete) {
      Stop.request_stop();
    }
  };
  ASSERT_TRUE(
      this->Store.watch(store::MembersPrefix, {1}, Record, Stop.get_token()));
  EXPECT_EQ(Seen, (std::vector<std::string>{"cold", "leaving", "delete"}));
}

} // namespace
} // namespace bilberry::members
