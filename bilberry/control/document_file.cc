#include "bilberry/control/document_file.h"

#include "bilberry/settings/value_parsers.h"

#include <algorithm>
#include <limits>

namespace bilberry::control {

static constexpr std::string_view RevisionPrefix = "; revision ";

DocumentFile parseDocumentFile(std::string_view Text) {
  size_t End = std::min(Text.find('\n'), Text.size());
  std::string_view Line = Text.substr(0, End);
  if (!Line.starts_with(RevisionPrefix)) {
    return {std::nullopt, std::string(Text)};
  }
  auto Number =
      settings::parseUnsigned(Line.substr(RevisionPrefix.size()), 0,
                              std::numeric_limits<base::Revision>::max());
  if (!Number) {
    return {std::nullopt, std::string(Text)};
  }
  return {Number.value(),
          std::string(Text.substr(std::min(End + 1, Text.size())))};
}

std::string documentFileText(base::Revision Revision, std::string_view Text) {
  return std::string(RevisionPrefix) + std::to_string(Revision) + "\n" +
         std::string(Text);
}

} // namespace bilberry::control
