// Changes the targets in the store by compare-and-swap, and determines the
// outcome of a change when the store's response was lost.
//
// A write names the store revision it replaces, so only one of two writes based
// on the same value takes effect. After a lost response, the change's id
// decides: if it is among the stored changes, the write was accepted; if
// another change took its revision, the write can no longer be accepted; if the
// value is unchanged, the same write is sent again, since at most one of the
// two can succeed. If the store remains unavailable, the outcome is reported as
// unknown, never guessed.

#ifndef BILBERRY_TARGETS_TARGET_CHANGER_H
#define BILBERRY_TARGETS_TARGET_CHANGER_H

#include "bilberry/store/backoff.h"
#include "bilberry/store/keys.h"
#include "bilberry/store/store.h"
#include "bilberry/targets/fleet_list.h"
#include "bilberry/targets/line_diff.h"
#include "bilberry/targets/target_change.h"
#include "bilberry/targets/target_document.h"

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bilberry::targets {

/// The maximum number of attempts, each a read and a write, for one change.
inline constexpr int MaxChangeAttempts = 6;
/// The largest value that is written; the store's limit is slightly higher.
inline constexpr size_t MaxStoredBytes = 1000000;

/// Blocks the calling thread for that time; tests pass one that returns at
/// once.
using SleepFunction = std::function<void(base::Duration)>;

/// Reads and changes the targets. Not thread-safe. The store must outlive it.
/// Keeps no state between calls. All functions block.
template <store::Store S> class TargetChanger {
public:
  TargetChanger(S &StoreClient, SleepFunction Sleep)
      : StoreClient(StoreClient), Sleep(std::move(Sleep)) {}

  /// The stored targets, if any. Errors: Unavailable, Malformed.
  base::Result<std::optional<StoredTargets>> read();

  /// Replaces the whole document. Text is based on the revision
  /// ExpectedRevision (0: there were no targets).
  ChangeResult apply(const ChangeRequest &Request, const std::string &Text,
                     base::Revision ExpectedRevision);

  /// Takes one data centre out of service or puts it back. It changes only that
  /// entry, so after a concurrent change it is applied again to the new value.
  ChangeResult setDataCentre(const ChangeRequest &Request,
                             const base::DataCentreName &Name, bool InService);

private:
  // The store's content that one attempt is based on.
  struct ChangeBasis {
    // Revision 0 if there are no targets yet.
    StoredTargets Current;
    Targets Document;
    FleetList Fleet;
  };
  // A value that has passed all checks and can be written.
  struct PendingWrite {
    std::string Value;
    base::Revision Revision = 0;
    std::vector<std::string> UncheckedRisks;
  };
  // The document to write, or the result if nothing is to be written.
  using Proposal = std::variant<std::string, ChangeResult>;

  base::Result<ChangeBasis> readChangeBasis();
  template <typename ProposalMaker>
  ChangeResult change(const ChangeRequest &Request, ProposalMaker MakeProposal);
  template <typename ProposalMaker>
  std::optional<ChangeResult> attempt(const ChangeRequest &Request,
                                      ProposalMaker &MakeProposal);
  template <typename ProposalMaker>
  std::variant<PendingWrite, ChangeResult> prepare(const ChangeRequest &Request,
                                                   const ChangeBasis &Basis,
                                                   ProposalMaker &MakeProposal);
  std::optional<ChangeResult> send(const ChangeRequest &Request,
                                   const ChangeBasis &Basis,
                                   PendingWrite Pending);
  std::optional<ChangeResult> handleStoreError(const base::Error &Cause);
  std::optional<ChangeResult> resolveEarlierWrite(const ChangeRequest &Request,
                                                  const ChangeBasis &Basis);

  S &StoreClient;
  SleepFunction Sleep;
  // The revision of a write whose outcome isn't known, or 0; and the message of
  // the last store error. Both belong to the change in progress.
  base::Revision UnresolvedRevision = 0;
  std::string LastError;
};

/// The revision for a change of Current. It is above every revision that a live
/// process has applied, so that revisions are not reused after the store has
/// been emptied. Thread-safe.
base::Revision nextRevision(const StoredTargets &Current,
                            const FleetList &Fleet);

/// The result for a change based on ExpectedRevision when Current has another
/// revision. Thread-safe.
RevisionConflict makeRevisionConflict(const StoredTargets &Current,
                                      base::Revision ExpectedRevision,
                                      const std::string &Text);

/// The current document with one data centre changed, or the result if there is
/// nothing to write. Thread-safe.
std::variant<std::string, ChangeResult>
proposeDataCentreChange(const StoredTargets &Current, const Targets &Document,
                        const FleetList &Fleet,
                        const base::DataCentreName &Name, bool InService);

template <store::Store S>
base::Result<std::optional<StoredTargets>> TargetChanger<S>::read() {
  auto Value = this->StoreClient.get(store::TargetsKey);
  if (!Value) {
    return Value.error();
  }
  if (!Value.value()) {
    return std::optional<StoredTargets>();
  }
  auto Parsed = parseStoredTargets(Value.value()->Value);
  if (!Parsed) {
    return Parsed.error();
  }
  Parsed.value().Changed = Value.value()->Changed;
  return std::optional<StoredTargets>(std::move(Parsed.value()));
}

template <store::Store S>
ChangeResult TargetChanger<S>::apply(const ChangeRequest &Request,
                                     const std::string &Text,
                                     base::Revision ExpectedRevision) {
  BadInput Invalid;
  parseTargets(Text, "the document", Invalid.Problems);
  if (!Invalid.Problems.empty()) {
    return Invalid;
  }
  return this->change(Request, [&](const ChangeBasis &Basis) -> Proposal {
    if (Basis.Current.Revision != ExpectedRevision) {
      return ChangeResult(
          makeRevisionConflict(Basis.Current, ExpectedRevision, Text));
    }
    return Text;
  });
}

template <store::Store S>
ChangeResult TargetChanger<S>::setDataCentre(const ChangeRequest &Request,
                                             const base::DataCentreName &Name,
                                             bool InService) {
  return this->change(Request, [&](const ChangeBasis &Basis) -> Proposal {
    return proposeDataCentreChange(Basis.Current, Basis.Document, Basis.Fleet,
                                   Name, InService);
  });
}

template <store::Store S>
base::Result<typename TargetChanger<S>::ChangeBasis>
TargetChanger<S>::readChangeBasis() {
  // The members are read first, so that the checks use a member list that is no
  // newer than the value that the swap replaces.
  auto Members = this->StoreClient.list(store::MembersPrefix);
  if (!Members) {
    return Members.error();
  }
  auto Value = this->read();
  if (!Value) {
    return Value.error();
  }
  ChangeBasis Basis;
  Basis.Fleet = readFleet(Members.value());
  if (Value.value()) {
    Basis.Current = std::move(*Value.value());
    base::Findings Ignored;
    Basis.Document = parseTargets(Basis.Current.Text, "", Ignored);
  }
  return Basis;
}

template <store::Store S>
template <typename ProposalMaker>
ChangeResult TargetChanger<S>::change(const ChangeRequest &Request,
                                      ProposalMaker MakeProposal) {
  this->UnresolvedRevision = 0;
  this->LastError.clear();
  store::Backoff Delays(std::random_device{}());
  for (int Attempt = 0; Attempt < MaxChangeAttempts; ++Attempt) {
    if (Attempt > 0) {
      this->Sleep(Delays.next());
    }
    if (auto Result = this->attempt(Request, MakeProposal)) {
      return std::move(*Result);
    }
  }
  if (this->UnresolvedRevision > 0) {
    return OutcomeUnknown{this->UnresolvedRevision, this->LastError};
  }
  return StoreFailed{{base::ErrorCode::Conflict,
                      "a concurrent change preceded each of " +
                          std::to_string(MaxChangeAttempts) + " attempts"}};
}

// Returns nullopt if another attempt is needed.
template <store::Store S>
template <typename ProposalMaker>
std::optional<ChangeResult>
TargetChanger<S>::attempt(const ChangeRequest &Request,
                          ProposalMaker &MakeProposal) {
  auto Read = this->readChangeBasis();
  if (!Read) {
    return this->handleStoreError(Read.error());
  }
  const ChangeBasis &Basis = Read.value();
  if (auto Result = this->resolveEarlierWrite(Request, Basis)) {
    return Result;
  }
  auto Prepared = this->prepare(Request, Basis, MakeProposal);
  auto *FinalResult = std::get_if<ChangeResult>(&Prepared);
  if (!FinalResult) {
    return this->send(Request, Basis,
                      std::move(std::get<PendingWrite>(Prepared)));
  }
  if (this->UnresolvedRevision > 0) {
    // An earlier write may still take effect, so "not written" may be wrong.
    return OutcomeUnknown{this->UnresolvedRevision, this->LastError};
  }
  return std::move(*FinalResult);
}

// Determines the outcome of an earlier write of this change. Returns nullopt if
// the change isn't in the store.
template <store::Store S>
std::optional<ChangeResult>
TargetChanger<S>::resolveEarlierWrite(const ChangeRequest &Request,
                                      const ChangeBasis &Basis) {
  switch (
      resolveChangeState(Basis.Current, Request.Id, this->UnresolvedRevision)) {
  case ChangeState::Accepted: {
    const ChangeRecord *Record = findChange(Basis.Current, Request.Id);
    return Accepted{Record->Revision, Record->At, true, {}};
  }
  case ChangeState::NotAccepted:
    this->UnresolvedRevision = 0;
    return std::nullopt;
  case ChangeState::NotSeen:
    return std::nullopt;
  case ChangeState::BeyondHistory:
    return OutcomeUnknown{
        this->UnresolvedRevision,
        "the stored changes don't go back to the revision of the write"};
  }
  return std::nullopt;
}

template <store::Store S>
template <typename ProposalMaker>
std::variant<typename TargetChanger<S>::PendingWrite, ChangeResult>
TargetChanger<S>::prepare(const ChangeRequest &Request,
                          const ChangeBasis &Basis,
                          ProposalMaker &MakeProposal) {
  Proposal Proposed = MakeProposal(Basis);
  if (auto *FinalResult = std::get_if<ChangeResult>(&Proposed)) {
    return std::move(*FinalResult);
  }
  std::string &Text = std::get<std::string>(Proposed);
  BadInput Invalid;
  Targets After = parseTargets(Text, "the document", Invalid.Problems);
  SafetyReport Safety = checkSafety(Basis.Document, After, Basis.Fleet.Members);
  RefusedUnsafe Refused{unforcedChanges(Safety, Request.ForcedKinds)};
  PendingWrite Pending;
  Pending.Revision = nextRevision(Basis.Current, Basis.Fleet);
  Pending.Value = storedTargetsText(
      nextTargets(Basis.Current, Request, std::move(Text), Pending.Revision));
  Pending.UncheckedRisks = std::move(Safety.UncheckedRisks);
  if (Pending.Value.size() > MaxStoredBytes) {
    Invalid.Problems.add({"the document", 0, "", ""},
                         "too large for a value in the store");
  }
  if (!Invalid.Problems.empty()) {
    return ChangeResult(std::move(Invalid));
  }
  if (!Refused.Reasons.empty()) {
    return ChangeResult(std::move(Refused));
  }
  return Pending;
}

// Returns nullopt if another attempt is needed.
template <store::Store S>
std::optional<ChangeResult> TargetChanger<S>::send(const ChangeRequest &Request,
                                                   const ChangeBasis &Basis,
                                                   PendingWrite Pending) {
  auto Swap = this->StoreClient.swap(store::TargetsKey, Basis.Current.Changed,
                                     Pending.Value, store::LeaseId(0));
  if (!Swap) {
    if (Swap.error().Code == base::ErrorCode::OutcomeUnknown) {
      this->UnresolvedRevision = Pending.Revision;
    }
    return this->handleStoreError(Swap.error());
  }
  if (!Swap.value().Swapped) {
    return std::nullopt;
  }
  return Accepted{Pending.Revision, Request.At, false,
                  std::move(Pending.UncheckedRisks)};
}

// Without an earlier write of unknown outcome, an error ends the change; with
// one, another attempt is made.
template <store::Store S>
std::optional<ChangeResult>
TargetChanger<S>::handleStoreError(const base::Error &Cause) {
  this->LastError = Cause.Message;
  if (this->UnresolvedRevision > 0) {
    return std::nullopt;
  }
  return StoreFailed{Cause};
}

} // namespace bilberry::targets

#endif
