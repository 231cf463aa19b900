// An INI document as an ordered list of sections and entries with their line
// numbers. The syntax is inih's: `key = value`, comments after `;` or `#`.
//
// Each line is parsed by a separate inih call, because inih on a whole file
// loses errors that must be reported: it gives the line number of the first
// malformed line only, truncates long lines and section names, and skips
// sections without entries. The cost is one call per line; no parser state is
// carried from one line to the next.

#ifndef BILBERRY_SETTINGS_INI_DOCUMENT_H
#define BILBERRY_SETTINGS_INI_DOCUMENT_H

#include "bilberry/base/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace bilberry::settings {

/// One `key = value`. Line numbers start at 1.
struct IniEntry {
  std::string Key;
  std::string Value;
  int Line = 0;
};

/// One `[name]` and its entries, in document order.
struct IniSection {
  std::string Name;
  int Line = 0;
  std::vector<IniEntry> Entries;

  /// Returns the entry with this key, or null.
  const IniEntry *find(std::string_view Key) const;
};

/// A parsed document. A plain value.
struct IniDocument {
  /// File name reported in findings.
  std::string File;
  std::vector<IniSection> Sections;

  /// Returns the first section with this name, or null.
  const IniSection *find(std::string_view Name) const;
};

/// Parses a document. Malformed and over-long lines, duplicate sections and
/// duplicate keys are added to Problems; the first of the duplicates takes
/// effect. Never throws, even on arbitrary bytes. Thread-safe.
IniDocument parseIni(std::string_view Text, const std::string &File,
                     base::Findings &Problems);

/// Splits Text into lines without their '\n'. The result refers to Text.
/// Thread-safe.
std::vector<std::string_view> splitLines(std::string_view Text);

/// Reads a whole file. Errors: NotFound, System; OutOfRange if it is larger
/// than MaxFileBytes. Thread-safe.
base::Result<std::string> readTextFile(const std::string &Path);

/// The largest file that readTextFile accepts.
inline constexpr size_t MaxFileBytes = size_t{1} << 20;

} // namespace bilberry::settings

#endif
