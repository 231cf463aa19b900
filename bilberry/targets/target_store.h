// The targets in the store: one value that holds the document, its revision,
// and the last changes by id. It changes only by compare-and-swap, so of two
// operators who change it at once one wins and the other is told who and what.
// The ids let a writer whose answer was lost find out whether it was accepted.

#ifndef BILBERRY_TARGETS_TARGET_STORE_H
#define BILBERRY_TARGETS_TARGET_STORE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/error.h"
#include "bilberry/base/ids.h"
#include "bilberry/store/store.h"

#include <string>
#include <string_view>
#include <vector>

namespace bilberry::targets {

/// How many past changes the value keeps.
inline constexpr size_t KeptChanges = 32;

/// One accepted change.
struct ChangeNote {
  /// Drawn at random by the writer.
  std::string Id;
  base::Revision Revision = 0;
  std::string Author;
  std::string Summary;
  base::TimePoint At;
};

/// The value under store::TargetsKey.
struct StoredTargets {
  base::Revision Revision = 0;
  std::string Text;
  /// Oldest first.
  std::vector<ChangeNote> Changes;
  /// The store revision to expect in a swap; not part of the value.
  store::StoreRevision Changed = 0;
};

/// The value as JSON text, and back. Errors: Malformed.
std::string storedTargetsText(const StoredTargets &Value);
base::Result<StoredTargets> parseStoredTargets(std::string_view Text);

} // namespace bilberry::targets

#endif
