// This process's copy of the targets. It is replaced only by a higher revision,
// so a late or repeated document can't put older targets back in force.

#ifndef BILBERRY_TARGETS_TARGET_TABLE_H
#define BILBERRY_TARGETS_TARGET_TABLE_H

#include "bilberry/base/ranked_mutex.h"
#include "bilberry/targets/targets.h"

#include <memory>
#include <string>

namespace bilberry::targets {

/// Holds the current targets. Thread-safe: one mutex of rank Targets; documents
/// are shared and immutable.
class TargetTable {
public:
  /// Replaces the current document if the given one has a higher revision. Text
  /// is the document as written, stored for peers that request it. Returns
  /// whether the document was replaced.
  bool advance(Targets Document, std::string Text);

  /// The current document; empty with revision 0 before the first. Never null.
  std::shared_ptr<const Targets> current() const;

  /// The revision and the text of the current document.
  std::pair<base::Revision, std::string> text() const;

private:
  mutable base::RankedMutex Mutex{base::LockRank::Targets};
  std::shared_ptr<const Targets> Document = std::make_shared<const Targets>();
  std::string Text;
};

} // namespace bilberry::targets

#endif
