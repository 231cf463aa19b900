// Changes the targets in the store by compare-and-swap, and finds out what
// became of a change whose answer was lost.
//
// A write names the store revision it replaces, so of two that start from the
// same value one takes effect. A lost answer is settled by the change's id: if
// it stands among the stored changes, the write was accepted; if another
// change took its revision, it never will be; if the value is as before, the
// same write is sent again, since at most one of the two can succeed. What a
// store that stays silent leaves open is reported as unknown, never guessed.

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

/// How often one change reads and writes before it gives up.
inline constexpr int MaxChangeAttempts = 6;
/// The largest value that we write; the store holds a little more.
inline constexpr size_t MaxStoredBytes = 1000000;

/// Blocks its thread for that time; tests pass one that doesn't.
using Pause = std::function<void(base::Duration)>;

/// For one thread. The store must outlive it. Nothing is kept between calls.
template <store::Store S> class TargetChanger {
public:
  TargetChanger(S &Source, Pause Wait)
      : Source(Source), Wait(std::move(Wait)) {}

  /// The stored targets, if there are any. Errors: Unavailable, Malformed.
  base::Result<std::optional<StoredTargets>> read();

  /// Replaces the whole document, which was made from the revision Expected
  /// (0: there were no targets).
  ChangeResult apply(const ChangeRequest &Request, const std::string &Text,
                     base::Revision Expected);

  /// Takes one data centre out of service or into it. Touches that one entry,
  /// so it is made again on top of another's change that came between.
  ChangeResult setDataCentre(const ChangeRequest &Request,
                             const base::DataCentreName &Name, bool InService);

private:
  // What one attempt starts from.
  struct Ground {
    // Revision 0 where there are no targets yet.
    StoredTargets Present;
    Targets Document;
    FleetList Fleet;
  };
  // A write that is ready to be sent.
  struct Write {
    std::string Value;
    base::Revision Revision = 0;
    std::vector<std::string> Unchecked;
  };
  // The text to be written, or why nothing is.
  using Proposal = std::variant<std::string, ChangeResult>;

  base::Result<Ground> readGround();
  template <typename Propose>
  ChangeResult change(const ChangeRequest &Request, Propose MakeProposal);
  template <typename Propose>
  std::optional<ChangeResult> attempt(const ChangeRequest &Request,
                                      Propose &MakeProposal);
  template <typename Propose>
  std::variant<Write, ChangeResult> prepare(const ChangeRequest &Request,
                                            const Ground &From,
                                            Propose &MakeProposal);
  std::optional<ChangeResult> send(const ChangeRequest &Request,
                                   const Ground &From, Write Ready);
  std::optional<ChangeResult> onError(const base::Error &Cause);
  std::optional<ChangeResult> settle(const ChangeRequest &Request,
                                     const Ground &From);

  S &Source;
  Pause Wait;
  // The revision of a write whose outcome isn't known, or 0; and the last
  // thing that went wrong. Both are of the change under way.
  base::Revision Unsettled = 0;
  std::string LastCause;
};

/// The revision that a change of Present takes. Above every revision that a
/// live process has applied, so that a store that was emptied doesn't hand
/// out revisions again.
base::Revision nextRevision(const StoredTargets &Present,
                            const FleetList &Fleet);

/// That the targets have moved on from the revision Expected.
LostRace lostRace(const StoredTargets &Present, base::Revision Expected,
                  const std::string &Text);

/// The present document with one data centre changed, or why not.
std::variant<std::string, ChangeResult>
proposeDataCentre(const StoredTargets &Present, const Targets &Document,
                  const FleetList &Fleet, const base::DataCentreName &Name,
                  bool InService);

template <store::Store S>
base::Result<std::optional<StoredTargets>> TargetChanger<S>::read() {
  auto Value = this->Source.get(store::TargetsKey);
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
                                     base::Revision Expected) {
  BadInput Bad;
  parseTargets(Text, "the document", Bad.Problems);
  if (!Bad.Problems.empty()) {
    return Bad;
  }
  return this->change(Request, [&](const Ground &From) -> Proposal {
    if (From.Present.Revision != Expected) {
      return ChangeResult(lostRace(From.Present, Expected, Text));
    }
    return Text;
  });
}

template <store::Store S>
ChangeResult TargetChanger<S>::setDataCentre(const ChangeRequest &Request,
                                             const base::DataCentreName &Name,
                                             bool InService) {
  return this->change(Request, [&](const Ground &From) -> Proposal {
    return proposeDataCentre(From.Present, From.Document, From.Fleet, Name,
                             InService);
  });
}

template <store::Store S>
base::Result<typename TargetChanger<S>::Ground> TargetChanger<S>::readGround() {
  // The members first: what is judged of them is no newer than the value
  // that the swap replaces.
  auto Members = this->Source.list(store::MembersPrefix);
  if (!Members) {
    return Members.error();
  }
  auto Value = this->read();
  if (!Value) {
    return Value.error();
  }
  Ground From;
  From.Fleet = readFleet(Members.value());
  if (Value.value()) {
    From.Present = std::move(*Value.value());
    base::Findings Ignored;
    From.Document = parseTargets(From.Present.Text, "", Ignored);
  }
  return From;
}

template <store::Store S>
template <typename Propose>
ChangeResult TargetChanger<S>::change(const ChangeRequest &Request,
                                      Propose MakeProposal) {
  this->Unsettled = 0;
  this->LastCause.clear();
  store::Backoff Delays(std::random_device{}());
  for (int Attempt = 0; Attempt < MaxChangeAttempts; ++Attempt) {
    if (Attempt > 0) {
      this->Wait(Delays.next());
    }
    if (auto Result = this->attempt(Request, MakeProposal)) {
      return std::move(*Result);
    }
  }
  if (this->Unsettled > 0) {
    return OutcomeUnknown{this->Unsettled, this->LastCause};
  }
  return StoreFailed{{base::ErrorCode::Conflict,
                      "others changed the targets before each of " +
                          std::to_string(MaxChangeAttempts) + " attempts"}};
}

// Nothing where another attempt is due.
template <store::Store S>
template <typename Propose>
std::optional<ChangeResult>
TargetChanger<S>::attempt(const ChangeRequest &Request, Propose &MakeProposal) {
  auto Read = this->readGround();
  if (!Read) {
    return this->onError(Read.error());
  }
  const Ground &From = Read.value();
  if (auto Result = this->settle(Request, From)) {
    return Result;
  }
  auto Prepared = this->prepare(Request, From, MakeProposal);
  auto *Refusal = std::get_if<ChangeResult>(&Prepared);
  if (!Refusal) {
    return this->send(Request, From, std::move(std::get<Write>(Prepared)));
  }
  if (this->Unsettled > 0) {
    // An earlier write may still arrive, so "not written" might be false.
    return OutcomeUnknown{this->Unsettled, this->LastCause};
  }
  return std::move(*Refusal);
}

// Finds out what became of an earlier write of this change.
template <store::Store S>
std::optional<ChangeResult>
TargetChanger<S>::settle(const ChangeRequest &Request, const Ground &From) {
  switch (settleChange(From.Present, Request.Id, this->Unsettled)) {
  case ChangeState::Accepted: {
    const ChangeNote *Note = findChange(From.Present, Request.Id);
    return Accepted{Note->Revision, Note->At, true, {}};
  }
  case ChangeState::NotAccepted:
    this->Unsettled = 0;
    return std::nullopt;
  case ChangeState::NotSeen:
    return std::nullopt;
  case ChangeState::Forgotten:
    return OutcomeUnknown{this->Unsettled,
                          "the stored changes don't reach back so far"};
  }
  return std::nullopt;
}

template <store::Store S>
template <typename Propose>
std::variant<typename TargetChanger<S>::Write, ChangeResult>
TargetChanger<S>::prepare(const ChangeRequest &Request, const Ground &From,
                          Propose &MakeProposal) {
  Proposal Proposed = MakeProposal(From);
  if (auto *Refusal = std::get_if<ChangeResult>(&Proposed)) {
    return std::move(*Refusal);
  }
  std::string &Text = std::get<std::string>(Proposed);
  BadInput Bad;
  Targets After = parseTargets(Text, "the document", Bad.Problems);
  SafetyReport Safety = checkSafety(From.Document, After, From.Fleet.Members);
  RefusedUnsafe Refused{withoutForced(Safety, Request.Forced)};
  Write Ready;
  Ready.Revision = nextRevision(From.Present, From.Fleet);
  Ready.Value = storedTargetsText(
      nextTargets(From.Present, Request, std::move(Text), Ready.Revision));
  Ready.Unchecked = std::move(Safety.Unchecked);
  if (Ready.Value.size() > MaxStoredBytes) {
    Bad.Problems.add({"the document", 0, "", ""},
                     "too large for the store's value");
  }
  if (!Bad.Problems.empty()) {
    return ChangeResult(std::move(Bad));
  }
  if (!Refused.Reasons.empty()) {
    return ChangeResult(std::move(Refused));
  }
  return Ready;
}

// Nothing where another attempt is due.
template <store::Store S>
std::optional<ChangeResult> TargetChanger<S>::send(const ChangeRequest &Request,
                                                   const Ground &From,
                                                   Write Ready) {
  auto Swap = this->Source.swap(store::TargetsKey, From.Present.Changed,
                                Ready.Value, store::LeaseId(0));
  if (!Swap) {
    if (Swap.error().Code == base::ErrorCode::OutcomeUnknown) {
      this->Unsettled = Ready.Revision;
    }
    return this->onError(Swap.error());
  }
  if (!Swap.value().Swapped) {
    return std::nullopt;
  }
  return Accepted{Ready.Revision, Request.At, false,
                  std::move(Ready.Unchecked)};
}

// Before any write a failure ends the change; after one whose outcome is open
// the store is asked again.
template <store::Store S>
std::optional<ChangeResult>
TargetChanger<S>::onError(const base::Error &Cause) {
  this->LastCause = Cause.Message;
  if (this->Unsettled > 0) {
    return std::nullopt;
  }
  return StoreFailed{Cause};
}

} // namespace bilberry::targets

#endif
