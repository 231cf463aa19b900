// The file format that `bilberryctl show` prints and `apply` reads: a targets
// document whose first line may name the revision that it is based on.

#ifndef BILBERRY_CONTROL_DOCUMENT_FILE_H
#define BILBERRY_CONTROL_DOCUMENT_FILE_H

#include "bilberry/base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace bilberry::control {

/// A document file, split into revision and document. A plain value.
struct DocumentFile {
  /// The revision named in the first line; unset if there is none.
  std::optional<base::Revision> Revision;
  /// The document without that line.
  std::string Text;
};

/// Splits the first line, "; revision N", from the document. Thread-safe.
DocumentFile parseDocumentFile(std::string_view Text);

/// The document preceded by the line "; revision N". Thread-safe.
std::string documentFileText(base::Revision Revision, std::string_view Text);

} // namespace bilberry::control

#endif
