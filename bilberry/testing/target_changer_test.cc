// Runs each change of the targets with a concurrent change at each store call
// and with each store fault at each call, and compares the reported outcomes
// with the store's full history. A writer that reads, modifies and writes
// without compare-and-swap must fail the same checks.

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

// A fault of one store call.
enum class Fault {
  None,
  /// The call fails and has no effect.
  Refused,
  /// A write takes effect; its response is lost.
  ResponseLost,
  /// A write has no effect; the caller can't detect this.
  RequestLost,
  /// A write takes effect only after the change has returned.
  Delayed,
};

// The faults of one run.
struct Faults {
  int AtCall = -1;
  Fault Kind = Fault::None;
  /// The number of calls after the faulty one that fail with no effect.
  int CallsDown = 0;
};

// An in-memory store with faults. Records each value written to the targets'
// key.
class FaultyStore {
public:
  /// Called before each store call, with the call's number. Store calls made by
  /// the hook itself aren't counted and don't fail.
  std::function<void(int)> BeforeCall;
  std::vector<std::string> History;

  /// Sets the faults and restarts the count of calls.
  void setFaults(const Faults &Value) {
    this->PlannedFaults = Value;
    this->Calls = 0;
  }

  /// Executes a delayed write, if there is one.
  void executeDelayedWrite() {
    if (this->DelayedWrite) {
      std::exchange(this->DelayedWrite, nullptr)();
    }
  }

  // Announces a member. The tests don't use its addresses.
  void setMember(members::Member Member) {
    Member.Data = Member.Control = {0x7F000001, 4000};
    this->write(store::memberKey(Member.Name),
                members::serializeMember(Member));
  }

  Result<std::optional<KeyValue>> get(std::string_view Key) {
    if (this->beginCall() != Fault::None) {
      return this->noResponse(ErrorCode::Unavailable);
    }
    auto It = this->Data.find(std::string(Key));
    return It == this->Data.end() ? std::optional<KeyValue>()
                                  : std::optional(It->second);
  }
  Result<store::Listing> list(std::string_view Prefix) {
    if (this->beginCall() != Fault::None) {
      return this->noResponse(ErrorCode::Unavailable);
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
    return this->performWrite<store::SwapResult>(Write);
  }
  Result<StoreRevision> put(std::string_view Key, std::string_view Value,
                            LeaseId /*Lease*/) {
    return this->performWrite<StoreRevision>(
        [this, Key = std::string(Key), Value = std::string(Value)] {
          return this->write(Key, Value);
        });
  }
  Result<void> remove(std::string_view /*Key*/) {
    return this->notImplemented();
  }
  Result<LeaseId> grantLease(base::Duration /*Ttl*/) {
    return this->notImplemented();
  }
  Result<void> keepAlive(LeaseId /*Lease*/) { return this->notImplemented(); }
  Result<void> revokeLease(LeaseId /*Lease*/) { return this->notImplemented(); }
  static store::StoreEra era() { return 0; }
  Result<void> watch(std::string_view /*Key*/, store::WatchStart /*After*/,
                     const store::WatchCallback & /*OnEvent*/,
                     const std::stop_token & /*Stop*/,
                     base::Duration /*SilenceLimit*/) {
    return this->notImplemented();
  }

private:
  Fault beginCall() {
    if (this->IsInHook) {
      return Fault::None;
    }
    int Call = this->Calls++;
    if (this->BeforeCall) {
      this->IsInHook = true;
      this->BeforeCall(Call);
      this->IsInHook = false;
    }
    if (Call == this->PlannedFaults.AtCall) {
      return this->PlannedFaults.Kind;
    }
    bool IsDown =
        this->PlannedFaults.AtCall >= 0 && Call > this->PlannedFaults.AtCall &&
        Call <= this->PlannedFaults.AtCall + this->PlannedFaults.CallsDown;
    return IsDown ? Fault::Refused : Fault::None;
  }

  template <typename T, typename Effect>
  Result<T> performWrite(const Effect &Write) {
    Fault Kind = this->beginCall();
    if (Kind == Fault::None) {
      return Write();
    }
    if (Kind == Fault::Refused) {
      return this->noResponse(ErrorCode::Unavailable);
    }
    if (Kind == Fault::ResponseLost) {
      Write();
    }
    if (Kind == Fault::Delayed) {
      this->DelayedWrite = [Write] { Write(); };
    }
    return this->noResponse(ErrorCode::OutcomeUnknown);
  }

  StoreRevision write(const std::string &Key, const std::string &Value) {
    ++this->CurrentRevision;
    this->Data[Key] = {Key, Value, this->CurrentRevision, 0};
    if (Key == store::TargetsKey) {
      this->History.push_back(Value);
    }
    return this->CurrentRevision;
  }

  Error noResponse(ErrorCode Code) { return {Code, "no response"}; }
  Error notImplemented() { return {ErrorCode::System, "not implemented"}; }

  std::map<std::string, KeyValue> Data;
  StoreRevision CurrentRevision = 0;
  Faults PlannedFaults;
  int Calls = 0;
  bool IsInHook = false;
  std::function<void()> DelayedWrite;
};
static_assert(store::Store<FaultyStore>);

// Reads, modifies and writes without compare-and-swap, and reports every error
// as "not written".
class UnconditionalChanger {
public:
  explicit UnconditionalChanger(FaultyStore &StoreClient)
      : StoreClient(StoreClient) {}

  ChangeResult apply(const ChangeRequest &Request, const std::string &Text,
                     base::Revision /*ExpectedRevision*/) {
    return this->write(Request, [&](const std::string &) { return Text; });
  }
  ChangeResult setDataCentre(const ChangeRequest &Request,
                             const DataCentreName &Name, bool InService) {
    return this->write(Request, [&](const std::string &Text) {
      return withDataCentreState(Text, Name, InService);
    });
  }

private:
  template <typename TextEdit>
  ChangeResult write(const ChangeRequest &Request, const TextEdit &Change) {
    auto Value = this->StoreClient.get(store::TargetsKey);
    if (!Value) {
      return StoreFailed{Value.error()};
    }
    StoredTargets Current;
    if (Value.value()) {
      Current = parseStoredTargets(Value.value()->Value).value();
    }
    base::Revision Revision = Current.Revision + 1;
    std::string Next = storedTargetsText(
        nextTargets(Current, Request, Change(Current.Text), Revision));
    auto Put = this->StoreClient.put(store::TargetsKey, Next, 0);
    if (!Put) {
      return StoreFailed{Put.error()};
    }
    return Accepted{Revision, Request.At, false, {}};
  }

  FaultyStore &StoreClient;
};

ChangeRequest makeRequest(const std::string &Id) {
  return {Id, "author-" + Id, "summary", base::TimePoint(), {}};
}

members::Member makeAgent(const std::string &Name,
                          const std::string &DataCentre) {
  members::Member Member;
  Member.Name = base::MemberName(Name);
  Member.Service = base::ServiceName("s");
  Member.DataCentre = DataCentreName(DataCentre);
  return Member;
}

TargetChanger<FaultyStore> makeChanger(FaultyStore &Store) {
  return {Store, [](base::Duration) {}};
}

// Writes the document at revision 1 and an agent in each data centre.
void writeInitialState(FaultyStore &Store) {
  for (const char *DataCentre : {"a", "b", "c"}) {
    Store.setMember(makeAgent(std::string("agent-") + DataCentre, DataCentre));
  }
  makeChanger(Store).apply(makeRequest("first"), Document, 0);
}

// A change made by the operator under test or by the concurrent operator.
enum class Action { None, Apply, TakeOutA, TakeOutB, ManyChanges };

std::string changedDocument(const std::string &Id) {
  return "; by " + Id + "\n" + Document;
}

template <typename Changer>
ChangeResult applyAction(Changer &&Writer, Action Requested,
                         const std::string &Id) {
  switch (Requested) {
  case Action::Apply:
    return Writer.apply(makeRequest(Id), changedDocument(Id), 1);
  case Action::TakeOutA:
    return Writer.setDataCentre(makeRequest(Id), DataCentreName("a"), false);
  case Action::TakeOutB:
    return Writer.setDataCentre(makeRequest(Id), DataCentreName("b"), false);
  default:
    return NoChangeNeeded{};
  }
}

// One test run: the change under test, the concurrent change and the faults.
struct Run {
  Action TestedAction;
  Action ConcurrentAction;
  int ConcurrentAtCall;
  Faults PlannedFaults;

  std::string text() const {
    return "tested " + std::to_string(static_cast<int>(this->TestedAction)) +
           " concurrent " +
           std::to_string(static_cast<int>(this->ConcurrentAction)) +
           " at call " + std::to_string(this->ConcurrentAtCall) + " fault " +
           std::to_string(static_cast<int>(this->PlannedFaults.Kind)) +
           " at call " + std::to_string(this->PlannedFaults.AtCall) +
           " down for " + std::to_string(this->PlannedFaults.CallsDown);
  }
};

// The outcomes reported in a run, and the store's history of values.
struct RunResult {
  ChangeResult TestedResult;
  ChangeResult ConcurrentResult;
  std::vector<StoredTargets> History;
};

void makeManyChanges(FaultyStore &Store) {
  for (size_t Round = 0; Round < MaxStoredChanges + 2; ++Round) {
    makeChanger(Store).setDataCentre(
        makeRequest("many" + std::to_string(Round)), DataCentreName("c"),
        Round % 2 == 1);
  }
  makeChanger(Store).setDataCentre(makeRequest("many"), DataCentreName("a"),
                                   true);
}

template <typename MakeChanger>
RunResult executeRun(const Run &Case, const MakeChanger &MakeWriter) {
  FaultyStore Store;
  writeInitialState(Store);
  RunResult Outcome = {NoChangeNeeded{}, NoChangeNeeded{}, {}};
  Store.BeforeCall = [&](int Call) {
    if (Call != Case.ConcurrentAtCall) {
      return;
    }
    if (Case.ConcurrentAction == Action::ManyChanges) {
      makeManyChanges(Store);
    } else {
      Outcome.ConcurrentResult =
          applyAction(MakeWriter(Store), Case.ConcurrentAction, "concurrent");
    }
  };
  Store.setFaults(Case.PlannedFaults);
  Outcome.TestedResult =
      applyAction(MakeWriter(Store), Case.TestedAction, "tested");
  Store.executeDelayedWrite();
  for (const std::string &Value : Store.History) {
    Outcome.History.push_back(parseStoredTargets(Value).value());
  }
  return Outcome;
}

// The revisions that a change has in the store's history.
std::vector<base::Revision> revisionsOf(const std::string &Id,
                                        const RunResult &Outcome) {
  std::vector<base::Revision> Revisions;
  for (const StoredTargets &Value : Outcome.History) {
    if (Value.Changes.back().Id == Id) {
      Revisions.push_back(Value.Revision);
    }
  }
  return Revisions;
}

// Whether the outcome reported for a change agrees with the store's history.
bool agreesWithHistory(const ChangeResult &Reported, const std::string &Id,
                       const RunResult &Outcome) {
  std::vector<base::Revision> Revisions = revisionsOf(Id, Outcome);
  if (const auto *Change = std::get_if<Accepted>(&Reported)) {
    return Revisions == std::vector{Change->Revision};
  }
  if (std::holds_alternative<OutcomeUnknown>(Reported)) {
    return Revisions.size() <= 1;
  }
  return Revisions.empty();
}

// Whether no accepted change was reverted by another change, except by the last
// one of makeManyChanges(), which does so on purpose.
bool keepsAcceptedChanges(const RunResult &Outcome) {
  for (size_t Index = 1; Index < Outcome.History.size(); ++Index) {
    const StoredTargets &Before = Outcome.History[Index - 1];
    const StoredTargets &After = Outcome.History[Index];
    if (After.Revision != Before.Revision + 1) {
      return false;
    }
    if (After.Changes.back().Id == "many") {
      continue;
    }
    base::Findings Problems;
    auto OutBefore = parseTargets(Before.Text, "", Problems).outOfService();
    Targets Next = parseTargets(After.Text, "", Problems);
    for (const char *Name : {"a", "b"}) {
      if (OutBefore.contains(DataCentreName(Name)) &&
          Next.isInService(DataCentreName(Name))) {
        return false;
      }
    }
  }
  return true;
}

// Whether an unknown outcome is allowed: a write's response was lost, and then
// the store stayed down or the change dropped out of the recorded changes.
bool allowsUnknownOutcome(const Run &Case) {
  bool IsLost = Case.PlannedFaults.Kind == Fault::ResponseLost ||
                Case.PlannedFaults.Kind == Fault::RequestLost ||
                Case.PlannedFaults.Kind == Fault::Delayed;
  return IsLost && (Case.PlannedFaults.CallsDown >= MaxChangeAttempts - 1 ||
                    Case.ConcurrentAction == Action::ManyChanges);
}

std::vector<Run> allRuns() {
  constexpr int Calls = 7;
  std::vector<Run> Runs;
  for (Action TestedAction : {Action::Apply, Action::TakeOutA}) {
    for (Action ConcurrentAction :
         {Action::None, Action::Apply, Action::TakeOutA, Action::TakeOutB,
          Action::ManyChanges}) {
      // Many changes are slow, and have an effect only near the write.
      bool HasManyChanges = ConcurrentAction == Action::ManyChanges;
      for (int ConcurrentAt = HasManyChanges ? 2 : 0;
           ConcurrentAt < (HasManyChanges ? 4 : Calls); ++ConcurrentAt) {
        Runs.push_back({TestedAction, ConcurrentAction, ConcurrentAt, {}});
        for (Fault Kind : {Fault::Refused, Fault::ResponseLost,
                           Fault::RequestLost, Fault::Delayed}) {
          for (int FaultAt = 0; FaultAt < Calls; ++FaultAt) {
            for (int DownCalls : {0, 1, 3, 100}) {
              Runs.push_back({TestedAction,
                              ConcurrentAction,
                              ConcurrentAt,
                              {FaultAt, Kind, DownCalls}});
            }
          }
        }
      }
    }
  }
  return Runs;
}

template <typename MakeChanger>
std::vector<std::string> findViolations(const MakeChanger &MakeWriter) {
  std::vector<std::string> Violations;
  for (const Run &Case : allRuns()) {
    RunResult Outcome = executeRun(Case, MakeWriter);
    if (!agreesWithHistory(Outcome.TestedResult, "tested", Outcome) ||
        !agreesWithHistory(Outcome.ConcurrentResult, "concurrent", Outcome)) {
      Violations.push_back("reported a wrong outcome: " + Case.text());
    }
    if (!keepsAcceptedChanges(Outcome)) {
      Violations.push_back("reverted a change: " + Case.text());
    }
    if (std::holds_alternative<OutcomeUnknown>(Outcome.TestedResult) &&
        !allowsUnknownOutcome(Case)) {
      Violations.push_back("reported an avoidable unknown outcome: " +
                           Case.text());
    }
  }
  return Violations;
}

TEST(TargetChanger, ReportsTrueOutcomesUnderAllFaultsAndRaces) {
  EXPECT_THAT(findViolations(makeChanger), testing::IsEmpty());
}

TEST(TargetChanger, WriterWithoutCompareAndSwapFailsTheSameChecks) {
  auto Violations = findViolations(
      [](FaultyStore &Store) { return UnconditionalChanger(Store); });
  EXPECT_THAT(Violations, testing::Contains(testing::HasSubstr(
                              "reported a wrong outcome: tested 1 concurrent 0 "
                              "at call 0 fault 2 at call 1")));
  EXPECT_THAT(
      Violations,
      testing::Contains(testing::HasSubstr(
          "reverted a change: tested 1 concurrent 3 at call 1 fault 0")));
}

// A concurrent change before each store call of the change under test. Of two
// whole-document changes one is accepted; changes of two data centres are both
// accepted.
TEST(TargetChanger, ConcurrentChangesConflictOrAreBothAccepted) {
  constexpr int SwapCall = 2;
  for (int ConcurrentAt = 0; ConcurrentAt <= SwapCall + 1; ++ConcurrentAt) {
    RunResult Outcome = executeRun(
        {Action::Apply, Action::Apply, ConcurrentAt, {}}, makeChanger);
    if (ConcurrentAt > SwapCall) {
      EXPECT_TRUE(std::holds_alternative<Accepted>(Outcome.TestedResult));
      continue;
    }
    const auto *Conflict = std::get_if<RevisionConflict>(&Outcome.TestedResult);
    ASSERT_TRUE(Conflict) << ConcurrentAt;
    EXPECT_EQ(Conflict->ExpectedRevision, 1u);
    EXPECT_EQ(Conflict->Current, 2u);
    ASSERT_EQ(Conflict->ChangesSince.size(), 1u);
    EXPECT_EQ(Conflict->ChangesSince[0].Author, "author-concurrent");
    EXPECT_EQ(Conflict->Difference,
              "@ line 1\n- ; by concurrent\n+ ; by tested\n");

    Outcome = executeRun({Action::TakeOutA, Action::TakeOutB, ConcurrentAt, {}},
                         makeChanger);
    EXPECT_TRUE(std::holds_alternative<Accepted>(Outcome.TestedResult))
        << ConcurrentAt;
    base::Findings Problems;
    EXPECT_EQ(parseTargets(Outcome.History.back().Text, "", Problems)
                  .outOfService()
                  .size(),
              2u);
  }
}

TEST(TargetChanger, RejectsADocumentBasedOnAnOldRevision) {
  FaultyStore Store;
  writeInitialState(Store);
  applyAction(makeChanger(Store), Action::Apply, "newer");
  ChangeResult Rejected =
      applyAction(makeChanger(Store), Action::Apply, "older");
  EXPECT_TRUE(std::holds_alternative<RevisionConflict>(Rejected));
  // A document with equal text gets a new revision.
  ChangeResult Again =
      makeChanger(Store).apply(makeRequest("again"), Document, 2);
  ASSERT_TRUE(std::holds_alternative<Accepted>(Again));
  EXPECT_EQ(std::get<Accepted>(Again).Revision, 3u);
}

TEST(TargetChanger, DoesNotWriteTheSameIdTwice) {
  FaultyStore Store;
  writeInitialState(Store);
  applyAction(makeChanger(Store), Action::TakeOutA, "x");
  ChangeResult Again = applyAction(makeChanger(Store), Action::TakeOutA, "x");
  ASSERT_TRUE(std::holds_alternative<Accepted>(Again));
  EXPECT_EQ(std::get<Accepted>(Again).Revision, 2u);
  EXPECT_EQ(Store.History.size(), 2u);
}

TEST(TargetChanger, DoesNotReuseRevisionsAfterStoreIsEmptied) {
  FaultyStore Store;
  members::Member Ahead = makeAgent("agent-a", "a");
  Ahead.Applied = 7;
  Store.setMember(Ahead);
  ChangeResult Result = makeChanger(Store).apply(makeRequest("x"), Document, 0);
  ASSERT_TRUE(std::holds_alternative<Accepted>(Result));
  EXPECT_EQ(std::get<Accepted>(Result).Revision, 8u);
}

TEST(TargetChanger, RefusesUnsafeChangesUnlessForced) {
  FaultyStore Store;
  writeInitialState(Store);
  for (const char *Name : {"a", "b"}) {
    ChangeResult Result = makeChanger(Store).setDataCentre(
        makeRequest(Name), DataCentreName(Name), false);
    EXPECT_TRUE(std::holds_alternative<Accepted>(Result)) << Name;
  }
  ChangeRequest Last = makeRequest("c");
  ChangeResult Result =
      makeChanger(Store).setDataCentre(Last, DataCentreName("c"), false);
  ASSERT_TRUE(std::holds_alternative<RefusedUnsafe>(Result));
  EXPECT_EQ(std::get<RefusedUnsafe>(Result).Reasons[0].Reason,
            "no agent of service s that takes new work would stay in service");
  EXPECT_EQ(Store.History.size(), 3u);
  Last.ForcedKinds.insert(UnsafeKind::LastDataCentre);
  Result = makeChanger(Store).setDataCentre(Last, DataCentreName("c"), false);
  EXPECT_TRUE(std::holds_alternative<Accepted>(Result));
  Result = makeChanger(Store).setDataCentre(makeRequest("d"),
                                            DataCentreName("d"), false);
  EXPECT_TRUE(std::holds_alternative<BadInput>(Result));
}

// The response to a write is lost, and on the next attempt the change is
// unsafe. Since the write may still take effect, the outcome must be unknown.
TEST(TargetChanger, RefusalAfterALostResponseIsUnknown) {
  FaultyStore Store;
  writeInitialState(Store);
  members::Member Draining = makeAgent("agent-b", "b");
  Draining.State = members::MemberState::Draining;
  members::Member Leaving = makeAgent("agent-c", "c");
  Leaving.State = members::MemberState::Leaving;
  Store.BeforeCall = [&](int Call) {
    if (Call == 3) {
      Store.setMember(Draining);
      Store.setMember(Leaving);
    }
  };
  Store.setFaults({2, Fault::Delayed, 0});
  ChangeResult Result =
      applyAction(makeChanger(Store), Action::TakeOutA, "tested");
  ASSERT_TRUE(std::holds_alternative<OutcomeUnknown>(Result));
  EXPECT_EQ(std::get<OutcomeUnknown>(Result).AttemptedRevision, 2u);
  Store.executeDelayedWrite();
  StoredTargets Current = *makeChanger(Store).read().value();
  EXPECT_EQ(resolveChangeState(Current, "tested", 2), ChangeState::Accepted);
}

TEST(TargetChanger, DeterminesTheStateOfAChangeByItsId) {
  StoredTargets Current;
  for (base::Revision Revision = 1; Revision <= MaxStoredChanges + 5;
       ++Revision) {
    Current = nextTargets(Current, makeRequest(std::to_string(Revision)), "",
                          Revision);
  }
  struct Case {
    std::string Id;
    base::Revision AttemptedRevision;
    ChangeState State;
  };
  const Case Cases[] = {
      {"37", 37, ChangeState::Accepted},    {"37", 0, ChangeState::Accepted},
      {"x", 37, ChangeState::NotAccepted},  {"x", 6, ChangeState::NotAccepted},
      {"x", 5, ChangeState::BeyondHistory}, {"x", 38, ChangeState::NotSeen},
      {"x", 0, ChangeState::NotSeen},
  };
  ASSERT_EQ(Current.Changes.size(), MaxStoredChanges);
  for (const Case &Item : Cases) {
    EXPECT_EQ(resolveChangeState(Current, Item.Id, Item.AttemptedRevision),
              Item.State)
        << Item.Id << " " << Item.AttemptedRevision;
  }
}

TEST(ChangeSafety, ChecksTheChangeBetweenTwoDocuments) {
  struct Case {
    std::string Name;
    std::string OldText;
    std::string NewText;
    std::vector<UnsafeKind> Unsafe;
    size_t UncheckedRisks;
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
      {"lower limits",
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
  std::vector<members::Member> LiveMembers = {makeAgent("x", "a"),
                                              makeAgent("y", "b")};
  LiveMembers[1].State = members::MemberState::Draining;
  for (const Case &Item : Cases) {
    std::string After = Document;
    size_t Offset = After.find(Item.OldText);
    if (Offset != std::string::npos) {
      After.replace(Offset, Item.OldText.size(), Item.NewText);
    }
    base::Findings Problems;
    SafetyReport Report =
        checkSafety(parseTargets(Document, "", Problems),
                    parseTargets(After, "", Problems), LiveMembers);
    std::vector<UnsafeKind> Kinds;
    for (const UnsafeChange &Change : Report.Unsafe) {
      Kinds.push_back(Change.Kind);
    }
    EXPECT_EQ(Kinds, Item.Unsafe) << Item.Name;
    EXPECT_EQ(Report.UncheckedRisks.size(), Item.UncheckedRisks) << Item.Name;
  }
}

} // namespace
} // namespace bilberry::targets
