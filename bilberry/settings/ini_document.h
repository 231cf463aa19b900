// An INI document as an ordered list of sections and entries, each with its
// line. The format is inih's: `key = value`, comments after `;` or `#`.
//
// inih on its own drops what we must report: it stops naming lines after the
// first bad one, cuts long lines and section names, and passes over sections
// without entries. So each line goes through inih by itself, which costs a
// call a line and leaves nothing to carry from one line to the next.

#ifndef BILBERRY_SETTINGS_INI_DOCUMENT_H
#define BILBERRY_SETTINGS_INI_DOCUMENT_H

#include "bilberry/base/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace bilberry::settings {

/// One `key = value`. Lines count from 1.
struct IniEntry {
  std::string Key;
  std::string Value;
  int Line = 0;
};

/// One `[name]` with the entries below it, in the order of the document.
struct IniSection {
  std::string Name;
  int Line = 0;
  std::vector<IniEntry> Entries;

  /// The entry of that key, or null.
  const IniEntry *find(std::string_view Key) const;
};

/// The whole document. A plain value.
struct IniDocument {
  /// The name that findings give.
  std::string File;
  std::vector<IniSection> Sections;

  /// The section of that name, or null.
  const IniSection *find(std::string_view Name) const;
};

/// Reads a document. Malformed and over-long lines, repeated sections and
/// repeated keys are added to Problems; the first of two alike is kept. Never
/// throws, whatever the bytes. Thread-safe.
IniDocument parseIni(std::string_view Text, const std::string &File,
                     base::Findings &Problems);

/// The lines of a text without their '\n'. Views into Text. Thread-safe.
std::vector<std::string_view> splitLines(std::string_view Text);

/// The whole of a file. Errors: NotFound, System; OutOfRange where it is
/// larger than MaxFileBytes. Thread-safe.
base::Result<std::string> readTextFile(const std::string &Path);

/// The largest file that readTextFile takes.
inline constexpr size_t MaxFileBytes = size_t{1} << 20;

} // namespace bilberry::settings

#endif
