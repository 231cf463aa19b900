// Every change of the targets against every interleaving of one rival and one
// fault of the store, and an omniscient record of what the store took. The
// same table condemns a writer that reads, modifies and writes without a
// comparison.

#include "bilberry/members/member_text.h"
#include "bilberry/targets/target_changer.h"

#include <functional>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bilberry::targets {
namespace {

using base::DataCentreName;
using base::Error;
using base::ErrorCode;
using base::Result;
using store::KeyValue;
using store::LeaseId;
using store::StoreRevision;

const std::string Document = "[service s]\n"
                             "slots = 4\n"
                             "connections = 100\n"
                             "cold-slots = 1\n"
                             "cold-connections = 10\n"
                             "completions-per-slot = 10\n"
                             "latency-bound = 250ms\n"
                             "[data-centre a]\n"
                             "in-service = yes\n"
                             "[data-centre b]\n"
                             "in-service = yes\n"
                             "[data-centre c]\n"
                             "in-service = yes\n";

enum class Fault {
  None,
  /// The call fails and has no effect.
  Refused,
  /// A write has its effect; the answer is lost.
  LostAfter,
  /// A write has no effect; nobody can tell.
  LostBefore,
  /// A write has its effect only when the change is over.
  Late,
};

struct Faults {
  int AtCall = -1;
  Fault Kind = Fault::None;
  /// Calls after the faulty one that find the store down.
  int CallsDown = 0;
};

// A store in memory. Records each value that stood under the targets' key.
class TestStore {
public:
  /// Called before each call, with its number. Calls of its own aren't
  /// counted and don't fail.
  std::function<void(int)> BeforeCall;
  std::vector<std::string> History;

  /// Sets the faults; calls are counted from here on.
  void plan(const Faults &Value) {
    this->Plan = Value;
    this->Calls = 0;
  }

  /// Lets a write that is still under way arrive.
  void finish() {
    if (this->LateWrite) {
      std::exchange(this->LateWrite, nullptr)();
    }
  }

  void setMember(const members::Member &Member) {
    this->write(store::memberKey(Member.Name), members::memberText(Member));
  }

  Result<std::optional<KeyValue>> get(std::string_view Key) {
    if (this->begin() != Fault::None) {
      return this->silent(ErrorCode::Unavailable);
    }
    auto It = this->Data.find(std::string(Key));
    return It == this->Data.end() ? std::optional<KeyValue>()
                                  : std::optional(It->second);
  }
  Result<store::Listing> list(std::string_view Prefix) {
    if (this->begin() != Fault::None) {
      return this->silent(ErrorCode::Unavailable);
    }
    store::Listing List;
    for (const auto &[Key, Entry] : this->Data) {
      if (Key.starts_with(Prefix)) {
        List.Entries.push_back(Entry);
      }
    }
    return List;
  }
  Result<store::SwapResult> swap(std::string_view Key, StoreRevision Expected,
                                 std::string_view Value, LeaseId /*Lease*/) {
    auto Write = [this, Key = std::string(Key), Expected,
                  Value = std::string(Value)] {
      store::SwapResult Swap;
      auto It = this->Data.find(Key);
      Swap.Swapped =
          (It == this->Data.end() ? 0 : It->second.Changed) == Expected;
      if (Swap.Swapped) {
        Swap.Changed = this->write(Key, Value);
      }
      return Swap;
    };
    return this->perform<store::SwapResult>(Write);
  }
  Result<StoreRevision> put(std::string_view Key, std::string_view Value,
                            LeaseId /*Lease*/) {
    return this->perform<StoreRevision>(
        [this, Key = std::string(Key), Value = std::string(Value)] {
          return this->write(Key, Value);
        });
  }
  Result<void> remove(std::string_view /*Key*/) { return this->unused(); }
  Result<LeaseId> grantLease(base::Duration /*Ttl*/) { return this->unused(); }
  Result<void> keepAlive(LeaseId /*Lease*/) { return this->unused(); }
  Result<void> revokeLease(LeaseId /*Lease*/) { return this->unused(); }
  Result<void> watch(std::string_view /*Key*/, StoreRevision /*After*/,
                     const store::WatchCallback & /*OnEvent*/,
                     const std::stop_token & /*Stop*/) {
    return this->unused();
  }

private:
  Fault begin() {
    if (this->IsInHook) {
      return Fault::None;
    }
    int Call = this->Calls++;
    if (this->BeforeCall) {
      this->IsInHook = true;
      this->BeforeCall(Call);
      this->IsInHook = false;
    }
    if (Call == this->Plan.AtCall) {
      return this->Plan.Kind;
    }
    bool IsDown = this->Plan.AtCall >= 0 && Call > this->Plan.AtCall &&
                  Call <= this->Plan.AtCall + this->Plan.CallsDown;
    return IsDown ? Fault::Refused : Fault::None;
  }

  template <typename T, typename Effect>
  Result<T> perform(const Effect &Write) {
    Fault Kind = this->begin();
    if (Kind == Fault::None) {
      return Write();
    }
    if (Kind == Fault::Refused) {
      return this->silent(ErrorCode::Unavailable);
    }
    if (Kind == Fault::LostAfter) {
      Write();
    }
    if (Kind == Fault::Late) {
      this->LateWrite = [Write] { Write(); };
    }
    return this->silent(ErrorCode::OutcomeUnknown);
  }

  StoreRevision write(const std::string &Key, const std::string &Value) {
    ++this->Now;
    this->Data[Key] = {Key, Value, this->Now, 0};
    if (Key == store::TargetsKey) {
      this->History.push_back(Value);
    }
    return this->Now;
  }

  Error silent(ErrorCode Code) { return {Code, "no answer"}; }
  Error unused() { return {ErrorCode::System, "not used here"}; }

  std::map<std::string, KeyValue> Data;
  StoreRevision Now = 0;
  Faults Plan;
  int Calls = 0;
  bool IsInHook = false;
  std::function<void()> LateWrite;
};
static_assert(store::Store<TestStore>);

// Reads, modifies and writes; takes an error for "not written".
class NaiveChanger {
public:
  explicit NaiveChanger(TestStore &Source) : Source(Source) {}

  ChangeResult apply(const ChangeRequest &Request, const std::string &Text,
                     base::Revision /*Expected*/) {
    return this->write(Request, [&](const std::string &) { return Text; });
  }
  ChangeResult setDataCentre(const ChangeRequest &Request,
                             const DataCentreName &Name, bool InService) {
    return this->write(Request, [&](const std::string &Text) {
      return withDataCentre(Text, Name, InService);
    });
  }

private:
  template <typename Edit>
  ChangeResult write(const ChangeRequest &Request, const Edit &Change) {
    auto Value = this->Source.get(store::TargetsKey);
    if (!Value) {
      return StoreFailed{Value.error()};
    }
    StoredTargets Present;
    if (Value.value()) {
      Present = parseStoredTargets(Value.value()->Value).value();
    }
    base::Revision Revision = Present.Revision + 1;
    std::string Next = storedTargetsText(
        nextTargets(Present, Request, Change(Present.Text), Revision));
    auto Put = this->Source.put(store::TargetsKey, Next, 0);
    if (!Put) {
      return StoreFailed{Put.error()};
    }
    return Accepted{Revision, Request.At, false, {}};
  }

  TestStore &Source;
};

ChangeRequest request(const std::string &Id) {
  return {Id, "author-" + Id, "summary", base::TimePoint(), {}};
}

members::Member agent(const std::string &Name, const std::string &DataCentre) {
  members::Member Member;
  Member.Name = base::MemberName(Name);
  Member.Service = base::ServiceName("s");
  Member.DataCentre = DataCentreName(DataCentre);
  return Member;
}

TargetChanger<TestStore> changer(TestStore &Store) {
  return {Store, [](base::Duration) {}};
}

// A store with the document at revision 1 and an agent in each data centre.
void fill(TestStore &Store) {
  for (const char *DataCentre : {"a", "b", "c"}) {
    Store.setMember(agent(std::string("agent-") + DataCentre, DataCentre));
  }
  changer(Store).apply(request("first"), Document, 0);
}

// What the operator under test does, and what the rival does meanwhile.
enum class Action { None, Apply, OutA, OutB, Many };

std::string changedDocument(const std::string &Id) {
  return "; by " + Id + "\n" + Document;
}

template <typename Changer>
ChangeResult act(Changer &&By, Action What, const std::string &Id) {
  switch (What) {
  case Action::Apply:
    return By.apply(request(Id), changedDocument(Id), 1);
  case Action::OutA:
    return By.setDataCentre(request(Id), DataCentreName("a"), false);
  case Action::OutB:
    return By.setDataCentre(request(Id), DataCentreName("b"), false);
  default:
    return AlreadySo{};
  }
}

struct Run {
  Action Mine;
  Action Rival;
  int RivalAtCall;
  Faults Plan;

  std::string text() const {
    return "mine " + std::to_string(static_cast<int>(this->Mine)) + " rival " +
           std::to_string(static_cast<int>(this->Rival)) + " at call " +
           std::to_string(this->RivalAtCall) + " fault " +
           std::to_string(static_cast<int>(this->Plan.Kind)) + " at call " +
           std::to_string(this->Plan.AtCall) + " down for " +
           std::to_string(this->Plan.CallsDown);
  }
};

// What a run left behind: what each was told, and what is true.
struct Ending {
  ChangeResult Mine;
  ChangeResult Rival;
  std::vector<StoredTargets> History;
};

void actManyTimes(TestStore &Store) {
  for (size_t Round = 0; Round < KeptChanges + 2; ++Round) {
    changer(Store).setDataCentre(request("many" + std::to_string(Round)),
                                 DataCentreName("c"), Round % 2 == 1);
  }
  changer(Store).setDataCentre(request("many"), DataCentreName("a"), true);
}

template <typename MakeChanger>
Ending play(const Run &Case, const MakeChanger &Make) {
  TestStore Store;
  fill(Store);
  Ending End = {AlreadySo{}, AlreadySo{}, {}};
  Store.BeforeCall = [&](int Call) {
    if (Call != Case.RivalAtCall) {
      return;
    }
    if (Case.Rival == Action::Many) {
      actManyTimes(Store);
    } else {
      End.Rival = act(Make(Store), Case.Rival, "rival");
    }
  };
  Store.plan(Case.Plan);
  End.Mine = act(Make(Store), Case.Mine, "mine");
  Store.finish();
  for (const std::string &Value : Store.History) {
    End.History.push_back(parseStoredTargets(Value).value());
  }
  return End;
}

// The revisions under which a change stood in the store, each once.
std::vector<base::Revision> revisionsOf(const std::string &Id,
                                        const Ending &End) {
  std::vector<base::Revision> Revisions;
  for (const StoredTargets &Value : End.History) {
    if (Value.Changes.back().Id == Id) {
      Revisions.push_back(Value.Revision);
    }
  }
  return Revisions;
}

// Whether what was said of a change is true.
bool isTrue(const ChangeResult &Said, const std::string &Id,
            const Ending &End) {
  std::vector<base::Revision> Revisions = revisionsOf(Id, End);
  if (const auto *Done = std::get_if<Accepted>(&Said)) {
    return Revisions == std::vector{Done->Revision};
  }
  if (std::holds_alternative<OutcomeUnknown>(Said)) {
    return Revisions.size() <= 1;
  }
  return Revisions.empty();
}

// Whether nothing that was accepted was undone by another's change, but for
// the one of actManyTimes() that is made to.
bool keepsChanges(const Ending &End) {
  for (size_t Index = 1; Index < End.History.size(); ++Index) {
    const StoredTargets &Before = End.History[Index - 1];
    const StoredTargets &After = End.History[Index];
    if (After.Revision != Before.Revision + 1) {
      return false;
    }
    if (After.Changes.back().Id == "many") {
      continue;
    }
    base::Findings Problems;
    auto Out = parseTargets(Before.Text, "", Problems).outOfService();
    Targets Next = parseTargets(After.Text, "", Problems);
    for (const char *Name : {"a", "b"}) {
      if (Out.contains(DataCentreName(Name)) &&
          Next.isInService(DataCentreName(Name))) {
        return false;
      }
    }
  }
  return true;
}

// An unknown outcome must have a cause: a lost answer, and then a store that
// stays down or changes past the record.
bool mayBeUnknown(const Run &Case) {
  bool IsLost = Case.Plan.Kind == Fault::LostAfter ||
                Case.Plan.Kind == Fault::LostBefore ||
                Case.Plan.Kind == Fault::Late;
  return IsLost && (Case.Plan.CallsDown >= MaxChangeAttempts - 1 ||
                    Case.Rival == Action::Many);
}

std::vector<Run> allRuns() {
  constexpr int Calls = 7;
  std::vector<Run> Runs;
  for (Action Mine : {Action::Apply, Action::OutA}) {
    for (Action Rival : {Action::None, Action::Apply, Action::OutA,
                         Action::OutB, Action::Many}) {
      // Many changes take long, and matter only around the write.
      bool IsMany = Rival == Action::Many;
      for (int RivalAt = IsMany ? 2 : 0; RivalAt < (IsMany ? 4 : Calls);
           ++RivalAt) {
        Runs.push_back({Mine, Rival, RivalAt, {}});
        for (Fault Kind : {Fault::Refused, Fault::LostAfter, Fault::LostBefore,
                           Fault::Late}) {
          for (int FaultAt = 0; FaultAt < Calls; ++FaultAt) {
            for (int Down : {0, 1, 3, 100}) {
              Runs.push_back({Mine, Rival, RivalAt, {FaultAt, Kind, Down}});
            }
          }
        }
      }
    }
  }
  return Runs;
}

template <typename MakeChanger>
std::vector<std::string> violations(const MakeChanger &Make) {
  std::vector<std::string> Found;
  for (const Run &Case : allRuns()) {
    Ending End = play(Case, Make);
    if (!isTrue(End.Mine, "mine", End) || !isTrue(End.Rival, "rival", End)) {
      Found.push_back("told a falsehood: " + Case.text());
    }
    if (!keepsChanges(End)) {
      Found.push_back("undid a change: " + Case.text());
    }
    if (std::holds_alternative<OutcomeUnknown>(End.Mine) &&
        !mayBeUnknown(Case)) {
      Found.push_back("needn't be unknown: " + Case.text());
    }
  }
  return Found;
}

TEST(TargetChanger, TellsTheTruthWhateverHappens) {
  EXPECT_THAT(violations(changer), testing::IsEmpty());
}

TEST(TargetChanger, TheNaiveWriterFailsTheSameTable) {
  auto Found = violations([](TestStore &Store) { return NaiveChanger(Store); });
  EXPECT_THAT(Found, testing::Contains(
                         testing::HasSubstr("told a falsehood: mine 1 rival 0 "
                                            "at call 0 fault 2 at call 1")));
  EXPECT_THAT(Found, testing::Contains(testing::HasSubstr(
                         "undid a change: mine 1 rival 3 at call 1 fault 0")));
}

// Two operators at once, at every step of the first one's change.
TEST(TargetChanger, OfTwoOperatorsOneWinsOrBothDo) {
  constexpr int SwapCall = 2;
  for (int RivalAt = 0; RivalAt <= SwapCall + 1; ++RivalAt) {
    Ending End = play({Action::Apply, Action::Apply, RivalAt, {}}, changer);
    if (RivalAt > SwapCall) {
      EXPECT_TRUE(std::holds_alternative<Accepted>(End.Mine));
      continue;
    }
    const auto *Race = std::get_if<LostRace>(&End.Mine);
    ASSERT_TRUE(Race) << RivalAt;
    EXPECT_EQ(Race->Expected, 1u);
    EXPECT_EQ(Race->Present, 2u);
    ASSERT_EQ(Race->Since.size(), 1u);
    EXPECT_EQ(Race->Since[0].Author, "author-rival");
    EXPECT_EQ(Race->Difference, "@ line 1\n- ; by rival\n+ ; by mine\n");

    End = play({Action::OutA, Action::OutB, RivalAt, {}}, changer);
    EXPECT_TRUE(std::holds_alternative<Accepted>(End.Mine)) << RivalAt;
    base::Findings Problems;
    EXPECT_EQ(parseTargets(End.History.back().Text, "", Problems)
                  .outOfService()
                  .size(),
              2u);
  }
}

TEST(TargetChanger, AnOldDocumentThatReturnsLateIsRefused) {
  TestStore Store;
  fill(Store);
  act(changer(Store), Action::Apply, "newer");
  ChangeResult Late = act(changer(Store), Action::Apply, "older");
  EXPECT_TRUE(std::holds_alternative<LostRace>(Late));
  // Equal text takes a revision of its own.
  ChangeResult Again = changer(Store).apply(request("again"), Document, 2);
  ASSERT_TRUE(std::holds_alternative<Accepted>(Again));
  EXPECT_EQ(std::get<Accepted>(Again).Revision, 3u);
}

TEST(TargetChanger, TheSameIdIsNotWrittenTwice) {
  TestStore Store;
  fill(Store);
  act(changer(Store), Action::OutA, "x");
  ChangeResult Again = act(changer(Store), Action::OutA, "x");
  ASSERT_TRUE(std::holds_alternative<Accepted>(Again));
  EXPECT_EQ(std::get<Accepted>(Again).Revision, 2u);
  EXPECT_EQ(Store.History.size(), 2u);
}

TEST(TargetChanger, AnEmptiedStoreHandsOutNoRevisionAgain) {
  TestStore Store;
  members::Member Ahead = agent("agent-a", "a");
  Ahead.Applied = 7;
  Store.setMember(Ahead);
  ChangeResult Result = changer(Store).apply(request("x"), Document, 0);
  ASSERT_TRUE(std::holds_alternative<Accepted>(Result));
  EXPECT_EQ(std::get<Accepted>(Result).Revision, 8u);
}

TEST(TargetChanger, RefusesWhatWouldDoHarmUnlessForced) {
  TestStore Store;
  fill(Store);
  for (const char *Name : {"a", "b"}) {
    ChangeResult Result = changer(Store).setDataCentre(
        request(Name), DataCentreName(Name), false);
    EXPECT_TRUE(std::holds_alternative<Accepted>(Result)) << Name;
  }
  ChangeRequest Last = request("c");
  ChangeResult Result =
      changer(Store).setDataCentre(Last, DataCentreName("c"), false);
  ASSERT_TRUE(std::holds_alternative<RefusedUnsafe>(Result));
  EXPECT_EQ(std::get<RefusedUnsafe>(Result).Reasons[0].Reason,
            "no agent of service s that takes new work would stay in service");
  EXPECT_EQ(Store.History.size(), 3u);
  Last.Forced.insert(UnsafeKind::LastDataCentre);
  Result = changer(Store).setDataCentre(Last, DataCentreName("c"), false);
  EXPECT_TRUE(std::holds_alternative<Accepted>(Result));
  Result =
      changer(Store).setDataCentre(request("d"), DataCentreName("d"), false);
  EXPECT_TRUE(std::holds_alternative<BadInput>(Result));
}

// A write is under way when what it would do turns out to be unsafe: that it
// wasn't written can't be said.
TEST(TargetChanger, ARefusalAfterALostAnswerIsUnknown) {
  TestStore Store;
  fill(Store);
  members::Member Draining = agent("agent-b", "b");
  Draining.State = members::MemberState::Draining;
  members::Member Leaving = agent("agent-c", "c");
  Leaving.State = members::MemberState::Leaving;
  Store.BeforeCall = [&](int Call) {
    if (Call == 3) {
      Store.setMember(Draining);
      Store.setMember(Leaving);
    }
  };
  Store.plan({2, Fault::Late, 0});
  ChangeResult Result = act(changer(Store), Action::OutA, "mine");
  ASSERT_TRUE(std::holds_alternative<OutcomeUnknown>(Result));
  EXPECT_EQ(std::get<OutcomeUnknown>(Result).Attempted, 2u);
  Store.finish();
  StoredTargets Present = *changer(Store).read().value();
  EXPECT_EQ(settleChange(Present, "mine", 2), ChangeState::Accepted);
}

TEST(TargetChanger, SettlesAChangeByItsId) {
  StoredTargets Present;
  for (base::Revision Revision = 1; Revision <= KeptChanges + 5; ++Revision) {
    Present =
        nextTargets(Present, request(std::to_string(Revision)), "", Revision);
  }
  struct Case {
    std::string Id;
    base::Revision Attempted;
    ChangeState State;
  };
  const Case Cases[] = {
      {"37", 37, ChangeState::Accepted},   {"37", 0, ChangeState::Accepted},
      {"x", 37, ChangeState::NotAccepted}, {"x", 6, ChangeState::NotAccepted},
      {"x", 5, ChangeState::Forgotten},    {"x", 38, ChangeState::NotSeen},
      {"x", 0, ChangeState::NotSeen},
  };
  ASSERT_EQ(Present.Changes.size(), KeptChanges);
  for (const Case &Item : Cases) {
    EXPECT_EQ(settleChange(Present, Item.Id, Item.Attempted), Item.State)
        << Item.Id << " " << Item.Attempted;
  }
}

TEST(ChangeSafety, JudgesTheStepBetweenTwoDocuments) {
  struct Case {
    std::string Name;
    std::string Edit;
    std::string With;
    std::vector<UnsafeKind> Unsafe;
    size_t Unchecked;
  };
  const std::string OutBoth = "[data-centre b]\nin-service = no\n";
  const Case Cases[] = {
      {"nothing", "", "", {}, 0},
      {"a data centre without agents", OutBoth, OutBoth, {}, 0},
      {"the only one with agents",
       "[data-centre a]\nin-service = yes",
       "[data-centre a]\nin-service = no",
       {UnsafeKind::LastDataCentre},
       0},
      {"lower ceilings",
       "slots = 4\nconnections = 100",
       "slots = 3\nconnections = 99",
       {},
       2},
      {"a service that has agents",
       "[service s]",
       "[service t]",
       {UnsafeKind::RemovedService},
       0},
  };
  std::vector<members::Member> Live = {agent("x", "a"), agent("y", "b")};
  Live[1].State = members::MemberState::Draining;
  for (const Case &Item : Cases) {
    std::string After = Document;
    size_t At = After.find(Item.Edit);
    if (At != std::string::npos) {
      After.replace(At, Item.Edit.size(), Item.With);
    }
    base::Findings Problems;
    SafetyReport Report = checkSafety(parseTargets(Document, "", Problems),
                                      parseTargets(After, "", Problems), Live);
    std::vector<UnsafeKind> Kinds;
    for (const UnsafeChange &Change : Report.Unsafe) {
      Kinds.push_back(Change.Kind);
    }
    EXPECT_EQ(Kinds, Item.Unsafe) << Item.Name;
    EXPECT_EQ(Report.Unchecked.size(), Item.Unchecked) << Item.Name;
  }
}

} // namespace
} // namespace bilberry::targets
