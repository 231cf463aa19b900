// A change of the targets and what may become of it.

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

/// What every change carries, whatever it changes.
struct ChangeRequest {
  /// Drawn at random. A change with the id of an accepted one is that one:
  /// it is not made again.
  std::string Id;
  std::string Author;
  std::string Summary;
  base::TimePoint At;
  std::set<UnsafeKind> Forced;
};

/// The change stands in the store.
struct Accepted {
  base::Revision Revision = 0;
  base::TimePoint At;
  /// True where the answer to the write was lost and the value was read back.
  bool IsReadBack = false;
  /// What couldn't be checked.
  std::vector<std::string> Unchecked;
};

/// Nothing to do: the targets already say so.
struct AlreadySo {
  base::Revision Revision = 0;
};

/// Not accepted, and never will be: someone else was first.
struct LostRace {
  base::Revision Expected = 0;
  base::Revision Present = 0;
  /// The changes since the expected revision, as far as they are kept.
  std::vector<ChangeNote> Since;
  /// What stands in the store against what was to be written.
  std::string Difference;
};

/// Not written: it would do harm, and its kind wasn't forced.
struct RefusedUnsafe {
  std::vector<UnsafeChange> Reasons;
};

/// Not written: the document or the name is wrong.
struct BadInput {
  base::Findings Problems;
};

/// The write may have had its effect and may still have it.
struct OutcomeUnknown {
  /// The revision that the change has if it was accepted.
  base::Revision Attempted = 0;
  std::string Cause;
};

/// Not written: the store failed before.
struct StoreFailed {
  base::Error Cause;
};

using ChangeResult = std::variant<Accepted, AlreadySo, LostRace, RefusedUnsafe,
                                  BadInput, OutcomeUnknown, StoreFailed>;

/// What the stored value tells of one change.
enum class ChangeState {
  /// It is among the changes.
  Accepted,
  /// Another change took its revision, so it can't be accepted any more.
  NotAccepted,
  /// It isn't there, and nothing has taken its revision: a write under way
  /// could still be accepted.
  NotSeen,
  /// The changes kept don't reach back to its revision.
  Forgotten,
};

/// The word for reports. Never fails.
std::string_view changeStateText(ChangeState State);

/// Looks for the change that was to become the revision Attempted (0 where it
/// isn't known). Thread-safe.
ChangeState settleChange(const StoredTargets &Present, std::string_view Id,
                         base::Revision Attempted);

/// The note of an accepted change, or null.
const ChangeNote *findChange(const StoredTargets &Present, std::string_view Id);

/// The value that follows Present when the change is accepted with that text
/// as that revision. The oldest notes are dropped. Thread-safe.
StoredTargets nextTargets(const StoredTargets &Present,
                          const ChangeRequest &Request, std::string Text,
                          base::Revision Revision);

} // namespace bilberry::targets

#endif
