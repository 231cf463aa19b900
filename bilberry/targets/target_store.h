// The format of the targets in the store: one value that holds the document,
// its revision, and the most recent changes with their ids. It is changed only
// by compare-and-swap, so of two concurrent changes one is accepted and the
// other is rejected with the author and summary of the first. The ids show
// whether a write whose response was lost was accepted.

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

/// The maximum number of changes that the value records.
inline constexpr size_t MaxStoredChanges = 32;

/// The record of one accepted change.
struct ChangeRecord {
  /// Random; chosen by the writer.
  std::string Id;
  base::Revision Revision = 0;
  std::string Author;
  std::string Summary;
  base::TimePoint At;
};

/// The value under store::TargetsKey.
struct StoredTargets {
  base::Revision Revision = 0;
  /// The document.
  std::string Text;
  /// Oldest first.
  std::vector<ChangeRecord> Changes;
  /// The key's store revision, to be expected in a swap; not part of the value.
  store::StoreRevision Changed = 0;
};

/// The value as JSON text, and back. Errors: Malformed. Thread-safe.
std::string storedTargetsText(const StoredTargets &Value);
base::Result<StoredTargets> parseStoredTargets(std::string_view Text);

} // namespace bilberry::targets

#endif
