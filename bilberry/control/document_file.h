// A document as `bilberryctl show` prints it and `apply` reads it: its first
// line may say which revision it was made from.

#ifndef BILBERRY_CONTROL_DOCUMENT_FILE_H
#define BILBERRY_CONTROL_DOCUMENT_FILE_H

#include "bilberry/base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace bilberry::control {

struct DocumentFile {
  /// The revision that the first line names.
  std::optional<base::Revision> Revision;
  /// The document without that line.
  std::string Text;
};

/// Takes the line "; revision N" off. Thread-safe.
DocumentFile splitDocument(std::string_view Text);

/// The document with that line before it. Thread-safe.
std::string documentWithRevision(base::Revision Revision,
                                 std::string_view Text);

} // namespace bilberry::control

#endif
