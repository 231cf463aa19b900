// LeaseKeeper's decisions as tables, and the announcer on the fake store.

#include "bilberry/members/announcer.h"
#include "bilberry/testing/fake_store.h"

#include <gtest/gtest.h>

namespace bilberry::members {
namespace {

using base::ErrorCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::TimePoint Start{std::chrono::hours(24)};
constexpr uint32_t Seed = 20261204;
constexpr base::Duration Instant(1);

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

TEST(MemberText, RoundTrip) {
  for (MemberState State : {MemberState::Cold, MemberState::InService,
                            MemberState::Draining, MemberState::Leaving}) {
    Member Value = agent();
    Value.State = State;
    Value.Run = ~uint64_t(0);
    ASSERT_TRUE(parseMember(memberText(Value)));
    EXPECT_EQ(parseMember(memberText(Value)).value(), Value);
  }
}

TEST(MemberText, RejectsWhatIsNoAnnouncement) {
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
    std::string Text = memberText(agent());
    size_t Position = Text.find(Old);
    ASSERT_NE(Position, std::string::npos) << Old;
    Text.replace(Position, std::string(Old).size(), New);
    base::Result<Member> Parsed = parseMember(Text);
    ASSERT_FALSE(Parsed) << Text;
    EXPECT_EQ(Parsed.error().Code, ErrorCode::Malformed);
  }
  EXPECT_FALSE(parseMember(""));
}

// A keeper that was granted a lease at Start and has announced agent().
LeaseKeeper announced() {
  LeaseKeeper Keeper(Seed);
  Keeper.granted(Start, 9);
  Keeper.published(Start, agent(), 5);
  return Keeper;
}

std::string stepText(const LeaseStep &Step) {
  const char *const Words[] = {"grant",  "renew", "publish",
                               "revoke", "wait",  "end"};
  return Words[Step.index()];
}

TEST(LeaseKeeper, NextStep) {
  const base::Error Silent = {ErrorCode::Unavailable, ""};
  const base::Error Expired = {ErrorCode::LeaseExpired, ""};
  struct Case {
    const char *What;
    std::function<void(LeaseKeeper &)> Event;
    base::Duration At;
    MemberState Wanted;
    const char *Step;
  };
  const MemberState Cold = MemberState::Cold;
  const MemberState Changed = MemberState::InService;
  const auto Nothing = [](LeaseKeeper &) {};
  const auto Fail = [&](LeaseKeeper &K) {
    K.failed(Start + RenewInterval, Silent);
  };
  const Case Cases[] = {
      {"all is told", Nothing, Instant, Cold, "wait"},
      {"renewal not due", Nothing, RenewInterval - Instant, Cold, "wait"},
      {"renewal due", Nothing, RenewInterval, Cold, "renew"},
      {"renewal before news", Nothing, RenewInterval, Changed, "renew"},
      {"news too soon", Nothing, PublishInterval - Instant, Changed, "wait"},
      {"news", Nothing, PublishInterval, Changed, "publish"},
      {"store silent", Fail, RenewInterval + Instant, Cold, "wait"},
      {"retry", Fail, RenewInterval + MaxRetryDelay, Cold, "renew"},
      {"lease gone", [&](LeaseKeeper &K) { K.failed(Start, Expired); }, Instant,
       Cold, "grant"},
      {"new lease",
       [&](LeaseKeeper &K) {
         K.failed(Start, Expired);
         K.granted(Start, 10);
       },
       Instant, Cold, "publish"},
      {"planned stop", [](LeaseKeeper &K) { K.withdraw(); }, Instant, Cold,
       "publish"},
      {"stop in Leaving", [](LeaseKeeper &K) { K.withdraw(); }, Instant,
       MemberState::Leaving, "publish"},
      {"Leaving is told",
       [](LeaseKeeper &K) {
         Member Value = agent();
         Value.State = MemberState::Leaving;
         K.published(Start, Value, 6);
         K.withdraw();
       },
       Instant, Cold, "revoke"},
      {"withdrawn", [](LeaseKeeper &K) { K.revoked(); }, Instant, Cold, "end"},
  };
  for (const Case &Item : Cases) {
    LeaseKeeper Keeper = announced();
    Item.Event(Keeper);
    Member Wanted = agent();
    Wanted.State = Item.Wanted;
    EXPECT_EQ(stepText(Keeper.next(Start + Item.At, Wanted)), Item.Step)
        << Item.What;
  }
  EXPECT_EQ(stepText(LeaseKeeper(Seed).next(Start, agent())), "grant");
}

TEST(LeaseKeeper, LeaseHoldsFromWhenTheRenewalWasSent) {
  LeaseKeeper Keeper = announced();
  EXPECT_TRUE(Keeper.status().isHeld(Start + LeaseTtl - Instant));
  EXPECT_FALSE(Keeper.status().isHeld(Start + LeaseTtl));
  Keeper.renewed(Start + seconds(2));
  EXPECT_TRUE(Keeper.status().isHeld(Start + seconds(2) + LeaseTtl - Instant));
  EXPECT_EQ(Keeper.status().Lapses, 0U);
}

TEST(LeaseKeeper, PauseBeyondTheLeaseIsALapseThoughTheStoreWasLenient) {
  LeaseKeeper Keeper = announced();
  Keeper.renewed(Start + LeaseTtl);
  EXPECT_TRUE(Keeper.status().isHeld(Start + LeaseTtl));
  EXPECT_EQ(Keeper.status().Lapses, 1U);
}

TEST(LeaseKeeper, ConflictingAnnouncement) {
  PublishStep Step{9, 0, agent()};
  Member Older = agent();
  Older.Run = 6;
  Member Newer = agent();
  Newer.Run = 8;
  struct Case {
    const char *What;
    std::optional<FoundAnnouncement> Found;
    const char *Step;
    store::StoreRevision Expected;
  };
  const Case Cases[] = {
      {"key absent", {}, "publish", 0},
      {"older run", FoundAnnouncement{5, 8, Older}, "publish", 5},
      {"own lost write", FoundAnnouncement{5, 9, agent()}, "wait", 0},
      {"own, older lease", FoundAnnouncement{5, 8, agent()}, "publish", 5},
      {"newer run", FoundAnnouncement{5, 8, Newer}, "end", 0},
  };
  for (const Case &Item : Cases) {
    LeaseKeeper Keeper(Seed);
    Keeper.granted(Start, 9);
    Keeper.conflicted(Step, Item.Found);
    LeaseStep Next = Keeper.next(Start, agent());
    EXPECT_EQ(stepText(Next), Item.Step) << Item.What;
    if (const auto *Publish = std::get_if<PublishStep>(&Next)) {
      EXPECT_EQ(Publish->Expected, Item.Expected) << Item.What;
    }
  }
}

struct AnnouncerTest : ::testing::Test {
  using Subject = Announcer<testing::FakeStore, base::PausedClock>;

  // Makes steps until one waits or ends.
  static void settle(Subject &Process) {
    LeaseStep Step;
    do {
      Step = Process.step();
    } while (Step.index() < LeaseStep(WaitStep()).index());
  }
  void settleAfter(base::Duration Time) {
    this->Clock.advance(Time);
    settle(this->Process);
  }
  std::optional<store::KeyValue> entry() {
    return this->Store.get(store::memberKey(agent().Name)).value();
  }
  Member stored() { return parseMember(this->entry()->Value).value(); }

  base::PausedClock Clock;
  testing::FakeStore Store{this->Clock};
  board::LocalMember Local{agent()};
  Subject Process{this->Store, this->Clock, this->Local, Seed};
};

TEST_F(AnnouncerTest, AnnouncesChangesAndRenews) {
  settle(this->Process);
  EXPECT_EQ(this->stored(), agent());
  this->Local.setState(MemberState::InService);
  this->Local.setApplied(4);
  this->settleAfter(PublishInterval);
  EXPECT_EQ(this->stored(), this->Local.get());
  for (int Renewal = 0; Renewal < 10; ++Renewal) {
    this->settleAfter(RenewInterval);
  }
  EXPECT_EQ(this->stored(), this->Local.get());
  EXPECT_EQ(this->Store.counts().count(store::StoreCall::GrantLease), 1U);
  EXPECT_EQ(this->Store.counts().count(store::StoreCall::Swap), 2U);
  EXPECT_EQ(this->Process.status().Lapses, 0U);
}

TEST_F(AnnouncerTest, AnnouncesAnewAfterAPause) {
  settle(this->Process);
  this->Clock.advance(LeaseTtl);
  EXPECT_FALSE(this->Process.status().isHeld(this->Clock.now()));
  EXPECT_FALSE(this->entry());
  settle(this->Process);
  EXPECT_TRUE(this->Process.status().isHeld(this->Clock.now()));
  EXPECT_EQ(this->Process.status().Lapses, 1U);
  EXPECT_EQ(this->stored(), agent());
}

TEST_F(AnnouncerTest, ComesThroughEachFaultOfTheStore) {
  standin::StoreFaults Refusing;
  Refusing.Mode = standin::Availability::Refusing;
  standin::StoreFaults Hanging;
  Hanging.Mode = standin::Availability::Hanging;
  standin::StoreFaults Losing;
  Losing.AnswersToLose = 3;
  for (const standin::StoreFaults &Faults : {Refusing, Hanging, Losing}) {
    this->Store.setFaults(Faults);
    this->Local.setApplied(this->Local.get().Applied + 1);
    for (int Try = 0; Try < 20; ++Try) {
      this->settleAfter(MaxRetryDelay);
    }
    this->Store.setFaults({});
    this->settleAfter(MaxRetryDelay);
    EXPECT_EQ(this->stored(), this->Local.get());
    EXPECT_TRUE(this->Process.status().isHeld(this->Clock.now()));
  }
}

TEST_F(AnnouncerTest, OlderRunNeverWritesOverANewerOne) {
  settle(this->Process);
  Member Newer = agent();
  Newer.Run = 8;
  board::LocalMember Successor(Newer);
  Subject Second(this->Store, this->Clock, Successor, Seed + 1);
  settle(Second);
  EXPECT_EQ(this->stored().Run, 8U);
  this->Local.setState(MemberState::InService);
  this->settleAfter(PublishInterval);
  EXPECT_EQ(this->stored().Run, 8U);
  EXPECT_TRUE(this->Process.status().IsReplaced);
  EXPECT_FALSE(this->Process.status().isHeld(this->Clock.now()));
  // Nor does the older run's lease take the newer one's announcement along.
  for (int Renewal = 0; Renewal < 5; ++Renewal) {
    this->Clock.advance(RenewInterval);
    settle(Second);
  }
  EXPECT_EQ(this->stored().Run, 8U);
}

TEST_F(AnnouncerTest, PlannedStopTellsLeavingBeforeItDeletes) {
  settle(this->Process);
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
      this->Store.watch(store::MembersPrefix, 1, Record, Stop.get_token()));
  EXPECT_EQ(Seen, (std::vector<std::string>{"cold", "leaving", "delete"}));
}

} // namespace
} // namespace bilberry::members
