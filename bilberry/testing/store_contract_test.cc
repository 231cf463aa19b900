// The contract that every Store implementation has to fulfil, tested on
// FakeStore and on EtcdStore with the stand-in store as its server.

#include "bilberry/standin/store_server.h"
#include "bilberry/store/etcd_store.h"
#include "bilberry/testing/fake_store.h"
#include "bilberry/testing/odd_entries.h"
#include "bilberry/testing/watch_log.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <optional>
#include <thread>

namespace bilberry::testing {
namespace {

using base::ErrorCode;
using standin::Availability;
using standin::StoreFaults;
using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::ElementsAre;

constexpr base::Duration LongTtl = seconds(60);
// How long a watch may be silent.
constexpr base::Duration Silence = seconds(2);

struct FakeBackend {
  base::ManualClock Clock;
  FakeStore Store{this->Clock};

  FakeStore &faults() { return this->Store; }
  // Advances the clock past the timeout of a silent watch.
  void passWatchTimeout() {
    this->Clock.advance(Silence);
    this->Store.notifyWatches();
  }
};

struct EtcdBackend {
  // Frequent progress notifications keep watches open in a slow test run.
  static constexpr base::Duration Progress = milliseconds(50);

  standin::StoreServer Server{16, Progress};
  store::EtcdStore Store{this->Server.start({0x7F000001, 0}).value(),
                         seconds(1)};

  standin::StoreServer &faults() { return this->Server; }
  // Nothing to do: EtcdStore's timeout passes in real time.
  void passWatchTimeout() {}
};

template <typename Backend> class StoreContract : public ::testing::Test {
protected:
  void setFaults(const StoreFaults &Faults) {
    this->Platform.faults().setFaults(Faults);
  }

  Backend Platform;
  decltype(Backend::Store) &Store = this->Platform.Store;
};

using Backends = ::testing::Types<FakeBackend, EtcdBackend>;
TYPED_TEST_SUITE(StoreContract, Backends);

std::vector<std::string> keys(const store::Listing &List) {
  std::vector<std::string> Keys;
  Keys.reserve(List.Entries.size());
  for (const store::KeyValue &Entry : List.Entries) {
    Keys.push_back(Entry.Key);
  }
  return Keys;
}

TYPED_TEST(StoreContract, ListsTheKeysUnderAPrefixInOrder) {
  const std::string Bytes("\0\xFF\n", 3);
  for (const char *Key : {"/b/2", "/a/2", "/a/1", "/a"}) {
    ASSERT_TRUE(this->Store.put(Key, Bytes, 0));
  }
  auto List = this->Store.list("/a/");
  ASSERT_TRUE(List);
  EXPECT_THAT(keys(List.value()), ElementsAre("/a/1", "/a/2"));
  EXPECT_EQ(List.value().Entries[0].Value, Bytes);
  EXPECT_GE(List.value().AtRevision, List.value().Entries[0].Changed);
}

TYPED_TEST(StoreContract, GetReturnsTheWrittenValue) {
  auto Changed = this->Store.put("/a", "x", 0);
  ASSERT_TRUE(Changed);
  auto Found = this->Store.get("/a");
  ASSERT_TRUE(Found && Found.value());
  EXPECT_EQ(Found.value()->Value, "x");
  EXPECT_EQ(Found.value()->Changed, Changed.value());
  ASSERT_TRUE(this->Store.remove("/a"));
  ASSERT_TRUE(this->Store.remove("/a")); // Absent by now: no error.
  EXPECT_FALSE(this->Store.get("/a").value());
}

TYPED_TEST(StoreContract, SwapsOnlyAtTheExpectedRevision) {
  struct Case {
    const char *Description;
    bool IsPresent;
    int Offset;
    bool Swaps;
  };
  const Case Cases[] = {
      {"absent, expected absent", false, 0, true},
      {"absent, expected present", false, 7, false},
      {"present, expected that", true, 0, true},
      {"present, expected older", true, -1, false},
      {"present, expected newer", true, 1, false},
  };
  for (const Case &Item : Cases) {
    ASSERT_TRUE(this->Store.remove("/a"));
    store::StoreRevision Present =
        Item.IsPresent ? this->Store.put("/a", "old", 0).value() : 0;
    auto Swap = this->Store.swap("/a", Present + Item.Offset, "new", 0);
    ASSERT_TRUE(Swap);
    EXPECT_EQ(Swap.value().Swapped, Item.Swaps) << Item.Description;
    auto Found = this->Store.get("/a").value();
    if (Item.Swaps) {
      EXPECT_EQ(Found->Changed, Swap.value().Changed) << Item.Description;
      EXPECT_EQ(Found->Value, "new") << Item.Description;
      continue;
    }
    ASSERT_EQ(Swap.value().Present.has_value(), Item.IsPresent)
        << Item.Description;
    EXPECT_EQ(Found.has_value(), Item.IsPresent) << Item.Description;
    if (Item.IsPresent) {
      EXPECT_EQ(Swap.value().Present->Value, "old") << Item.Description;
      EXPECT_EQ(Swap.value().Present->Changed, Present) << Item.Description;
    }
  }
}

TYPED_TEST(StoreContract, OneOfConcurrentSwapsSucceeds) {
  std::atomic<int> Successes = 0;
  {
    constexpr size_t ThreadCount = 32;
    std::vector<std::jthread> Threads;
    Threads.reserve(ThreadCount);
    for (size_t Index = 0; Index < ThreadCount; ++Index) {
      Threads.emplace_back([this, &Successes] {
        auto Swap = this->Store.swap("/a", 0, "x", 0);
        Successes += Swap && Swap.value().Swapped;
      });
    }
  }
  EXPECT_EQ(Successes, 1);
}

TYPED_TEST(StoreContract, KeysAreDeletedWithTheirLease) {
  for (bool IsRevoked : {true, false}) {
    auto Lease = this->Store.grantLease(LongTtl);
    ASSERT_TRUE(Lease);
    ASSERT_TRUE(this->Store.put("/a", "x", Lease.value()));
    ASSERT_TRUE(this->Store.swap("/b", 0, "x", Lease.value()));
    ASSERT_TRUE(this->Store.put("/c", "x", 0));
    EXPECT_EQ(this->Store.get("/a").value()->Lease, Lease.value());
    ASSERT_TRUE(this->Store.keepAlive(Lease.value()));
    if (IsRevoked) {
      ASSERT_TRUE(this->Store.revokeLease(Lease.value()));
    } else {
      this->Platform.faults().expireLease(Lease.value());
    }
    EXPECT_THAT(keys(this->Store.list("/").value()), ElementsAre("/c"));
  }
}

TYPED_TEST(StoreContract, UnknownLeaseIsAnError) {
  const store::LeaseId Unknown = 999;
  EXPECT_EQ(this->Store.put("/a", "x", Unknown).error().Code,
            ErrorCode::LeaseExpired);
  EXPECT_EQ(this->Store.swap("/a", 0, "x", Unknown).error().Code,
            ErrorCode::LeaseExpired);
  EXPECT_EQ(this->Store.keepAlive(Unknown).error().Code,
            ErrorCode::LeaseExpired);
  EXPECT_EQ(this->Store.revokeLease(Unknown).error().Code,
            ErrorCode::LeaseExpired);
  EXPECT_FALSE(this->Store.get("/a").value());
}

TYPED_TEST(StoreContract, WatchReportsChangesInOrder) {
  auto Lease = this->Store.grantLease(LongTtl);
  ASSERT_TRUE(this->Store.put("/a/0", "before", 0));
  store::StoreRevision After = this->Store.list("/a/").value().AtRevision;
  // Some changes before the watch opens, some after.
  ASSERT_TRUE(this->Store.put("/a/1", "x", 0));
  ASSERT_TRUE(this->Store.put("/b/1", "elsewhere", 0));
  WatchLog Log;
  std::stop_source Stop;
  std::optional<base::Result<void>> Ended;
  std::jthread Watcher([&] {
    Ended = this->Store.watch("/a/", {After}, Log.callback(), Stop.get_token());
  });
  ASSERT_TRUE(Log.waitForCount(1));
  ASSERT_TRUE(this->Store.put("/a/2", "y", Lease.value()));
  ASSERT_TRUE(this->Store.remove("/a/1"));
  this->Platform.faults().expireLease(Lease.value());
  ASSERT_TRUE(Log.waitForCount(4));
  Stop.request_stop();
  Watcher.join();
  EXPECT_TRUE(Ended->has_value());
  EXPECT_THAT(Log.lines(), ElementsAre("put /a/1=x", "put /a/2=y",
                                       "delete /a/1", "delete /a/2"));
}

// Another writer has left odd entries: all others are still listed and
// reported.
TYPED_TEST(StoreContract, OddEntriesDoNotHideOthers) {
  members::Member Member;
  Member.Name = base::MemberName("a");
  Member.DataCentre = base::DataCentreName("mobile");
  Member.Service = base::ServiceName("rounds");
  Member.Run = 7;
  Member.Data = Member.Control = {0x7F000001, 4000};
  store::StoreRevision After = this->Store.list("/a/").value().AtRevision;
  size_t Count = 0;
  for (const OddEntry &Odd : oddEntries(Member)) {
    ASSERT_TRUE(this->Store.put("/a/" + std::to_string(Count++), Odd.Value, 0));
  }
  ASSERT_TRUE(this->Store.put("/a/last", serializeMember(Member), 0));
  auto Listed = this->Store.list("/a/");
  ASSERT_TRUE(Listed);
  ASSERT_EQ(Listed.value().Entries.size(), Count + 1);
  EXPECT_EQ(members::parseMember(Listed.value().Entries.back().Value).value(),
            Member);
  WatchLog Log;
  std::stop_source Stop;
  std::jthread Watcher([&] {
    EXPECT_TRUE(
        this->Store.watch("/a/", {After}, Log.callback(), Stop.get_token()));
  });
  EXPECT_TRUE(Log.waitForCount(Count + 1));
  Stop.request_stop();
}

TYPED_TEST(StoreContract, StoppedWatchEndsAtOnce) {
  std::stop_source Stop;
  Stop.request_stop();
  WatchLog Log;
  EXPECT_TRUE(this->Store.watch("/", {0}, Log.callback(), Stop.get_token()));
}

TYPED_TEST(StoreContract, BrokenWatchReturnsAnError) {
  StoreFaults Silent;
  Silent.HasSilentWatches = true;
  StoreFaults Refusing;
  Refusing.Mode = Availability::Refusing;
  for (const StoreFaults &Faults : {Silent, Refusing}) {
    this->setFaults({});
    store::StoreRevision After = this->Store.list("/").value().AtRevision;
    WatchLog Log;
    std::optional<base::Result<void>> Ended;
    std::jthread Watcher([&] {
      Ended = this->Store.watch("/", {After}, Log.callback(), {}, Silence);
    });
    ASSERT_TRUE(this->Store.put("/a", "x", 0));
    ASSERT_TRUE(Log.waitForCount(1));
    this->setFaults(Faults);
    this->Platform.passWatchTimeout();
    Watcher.join();
    EXPECT_EQ(Ended->error().Code, ErrorCode::Unavailable);
  }
}

// A write call, and a check whether it took effect.
template <typename S> struct WriteCase {
  const char *Description;
  std::function<ErrorCode(S &, store::LeaseId)> Write;
  std::function<bool(S &, store::LeaseId)> HasEffect;
};

template <typename S> const std::vector<WriteCase<S>> &writeCases() {
  static const std::vector<WriteCase<S>> Cases = {
      {"put", [](S &T, auto) { return T.put("/a", "x", 0).error().Code; },
       [](S &T, auto) { return T.get("/a").value()->Value == "x"; }},
      {"swap",
       [](S &T, auto) {
         auto Old = T.get("/a");
         store::StoreRevision Expected = Old ? Old.value()->Changed : 0;
         return T.swap("/a", Expected, "x", 0).error().Code;
       },
       [](S &T, auto) { return T.get("/a").value()->Value == "x"; }},
      {"remove", [](S &T, auto) { return T.remove("/a").error().Code; },
       [](S &T, auto) { return !T.get("/a").value(); }},
      {"revokeLease",
       [](S &T, auto Lease) { return T.revokeLease(Lease).error().Code; },
       [](S &T, auto Lease) { return !T.keepAlive(Lease); }},
  };
  return Cases;
}

TYPED_TEST(StoreContract, LostAnswerMakesTheOutcomeUnknown) {
  using S = decltype(this->Platform.Store);
  for (const WriteCase<S> &Item : writeCases<S>()) {
    this->setFaults({});
    ASSERT_TRUE(this->Store.put("/a", "old", 0));
    store::LeaseId Lease = this->Store.grantLease(LongTtl).value();
    StoreFaults Faults;
    Faults.ResponsesToDrop = 1;
    this->setFaults(Faults);
    EXPECT_EQ(Item.Write(this->Store, Lease), ErrorCode::OutcomeUnknown)
        << Item.Description;
    EXPECT_TRUE(Item.HasEffect(this->Store, Lease)) << Item.Description;
  }
}

TYPED_TEST(StoreContract, EachCallFailsWhileTheStoreIsDown) {
  struct Case {
    Availability Mode;
    ErrorCode WriteError;
  };
  const Case Cases[] = {
      {Availability::Refusing, ErrorCode::Unavailable},
      {Availability::Hanging, ErrorCode::OutcomeUnknown},
  };
  for (const Case &Item : Cases) {
    this->setFaults({});
    ASSERT_TRUE(this->Store.put("/a", "old", 0));
    StoreFaults Faults;
    Faults.Mode = Item.Mode;
    this->setFaults(Faults);
    EXPECT_EQ(this->Store.get("/a").error().Code, ErrorCode::Unavailable);
    EXPECT_EQ(this->Store.list("/").error().Code, ErrorCode::Unavailable);
    EXPECT_EQ(this->Store.grantLease(LongTtl).error().Code, Item.WriteError);
    EXPECT_EQ(this->Store.keepAlive(1).error().Code, Item.WriteError);
    EXPECT_EQ(this->Store.swap("/a", 0, "x", 0).error().Code, Item.WriteError);
    EXPECT_EQ(this->Store.remove("/b").error().Code, Item.WriteError);
  }
  this->setFaults({});
  EXPECT_EQ(this->Store.get("/a").value()->Value, "old");
}

TYPED_TEST(StoreContract, CountsEachCallOnce) {
  (void)this->Store.get("/a");
  (void)this->Store.list("/a");
  (void)this->Store.keepAlive(1);
  StoreFaults Faults;
  Faults.Mode = Availability::Refusing;
  this->setFaults(Faults);
  (void)this->Store.get("/a"); // A call that failed is billed too.
  EXPECT_EQ(this->Store.counts().count(store::StoreCall::Get), 2U);
  EXPECT_EQ(this->Store.counts().count(store::StoreCall::List), 1U);
  EXPECT_EQ(this->Store.counts().total(), 4U);
}

} // namespace
} // namespace bilberry::testing
