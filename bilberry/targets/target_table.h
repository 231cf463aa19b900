// The board's copy of the targets. It only ever moves to a higher revision,
// so a late or repeated document can't bring an older one back into force.

#ifndef BILBERRY_TARGETS_TARGET_TABLE_H
#define BILBERRY_TARGETS_TARGET_TABLE_H

#include "bilberry/base/ranked_mutex.h"
#include "bilberry/targets/targets.h"

#include <memory>
#include <string>

namespace bilberry::targets {

/// Thread-safe: one mutex of rank Targets; documents are shared and immutable.
class TargetTable {
public:
  /// Takes the document if its revision is higher than the present one. Text
  /// is the document as written, kept for peers that ask for it. Returns
  /// whether it was taken.
  bool advance(Targets Document, std::string Text);

  /// The present document; revision 0 and empty before the first. Never null.
  std::shared_ptr<const Targets> current() const;

  /// The present document's text, with its revision.
  std::pair<base::Revision, std::string> text() const;

private:
  mutable base::RankedMutex Mutex{base::LockRank::Targets};
  std::shared_ptr<const Targets> Document = std::make_shared<const Targets>();
  std::string Text;
};

} // namespace bilberry::targets

#endif
