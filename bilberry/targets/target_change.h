// A change of the targets and its possible results.

#ifndef BILBERRY_TARGETS_TARGET_CHANGE_H
#define BILBERRY_TARGETS_TARGET_CHANGE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/error.h"
#include "bilberry/base/ids.h"
#include "bilberry/store/store.h"
#include "bilberry/targets/change_safety.h"
#include "bilberry/targets/target_store.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bilberry::targets {

/// The fields common to all changes.
struct ChangeRequest {
  /// Random. A change with the id of an accepted change counts as that change
  /// and is not written again.
  std::string Id;
  std::string Author;
  std::string Summary;
  base::TimePoint At;
  /// The kinds of unsafe change that are allowed.
  std::set<UnsafeKind> ForcedKinds;
};

/// The change is in the store.
struct Accepted {
  base::Revision Revision = 0;
  base::TimePoint At;
  /// True if the change was found in the stored value instead of being
  /// confirmed by the store's response to the write.
  bool IsReadBack = false;
  /// Messages on risks that couldn't be checked.
  std::vector<std::string> UncheckedRisks;
};

/// Not written: the targets already have the requested value.
struct NoChangeNeeded {
  base::Revision Revision = 0;
};

/// Not accepted, and can no longer be: another change was accepted first.
struct RevisionConflict {
  base::Revision ExpectedRevision = 0;
  base::Revision Current = 0;
  /// The changes since the expected revision, as far as they are recorded.
  std::vector<ChangeRecord> ChangesSince;
  /// The line diff from the stored document to the one to be written.
  std::string Difference;
};

/// Not written: the change is unsafe, and its kind wasn't forced.
struct RefusedUnsafe {
  std::vector<UnsafeChange> Reasons;
};

/// Not written: the document or the name is invalid.
struct BadInput {
  base::Findings Problems;
};

/// The write may have taken effect, or may still do so.
struct OutcomeUnknown {
  /// The revision that the change has if it is accepted.
  base::Revision AttemptedRevision = 0;
  std::string Cause;
};

/// Not written: a store call failed before the write, or all attempts met a
/// concurrent change.
struct StoreFailed {
  base::Error Cause;
};

using ChangeResult =
    std::variant<Accepted, NoChangeNeeded, RevisionConflict, RefusedUnsafe,
                 BadInput, OutcomeUnknown, StoreFailed>;

/// The state of one change according to the stored value.
enum class ChangeState {
  /// It is among the recorded changes.
  Accepted,
  /// Another change took its revision, so it can no longer be accepted.
  NotAccepted,
  /// It isn't recorded, and no change has taken its revision: a write in
  /// progress could still be accepted.
  NotSeen,
  /// The recorded changes don't go back to the revision of the write.
  BeyondHistory,
};

/// The state as a word for reports. Never fails. Thread-safe.
std::string_view changeStateText(ChangeState State);

/// Determines the state of the change that would have the revision
/// AttemptedRevision (0 if it isn't known). Thread-safe.
ChangeState resolveChangeState(const StoredTargets &Current,
                               std::string_view Id,
                               base::Revision AttemptedRevision);

/// The record of an accepted change, or null. Valid as long as Current.
const ChangeRecord *findChange(const StoredTargets &Current,
                               std::string_view Id);

/// The value that replaces Current if the change is accepted with that text and
/// that revision. Drops the oldest record above MaxStoredChanges. Thread-safe.
StoredTargets nextTargets(const StoredTargets &Current,
                          const ChangeRequest &Request, std::string Text,
                          base::Revision Revision);

} // namespace bilberry::targets

#endif
