// Reads typed values from one INI section and reports missing, invalid and
// unknown keys.

#ifndef BILBERRY_SETTINGS_SECTION_READER_H
#define BILBERRY_SETTINGS_SECTION_READER_H

#include "bilberry/base/error.h"
#include "bilberry/settings/ini_document.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace bilberry::settings {

/// The value type of the base::Result that a Parser returns.
template <typename Parser>
using ParsedValue =
    typename std::invoke_result_t<Parser, std::string_view>::value_type;

/// Not thread-safe. The constructor's arguments must outlive the reader.
class SectionReader {
public:
  /// Problems found in the section are added to Problems.
  SectionReader(const std::string &File, const IniSection &Section,
                base::Findings &Problems)
      : File(File), Section(Section), Problems(Problems) {}

  /// Returns the value of an optional key. A value that Parse rejects is
  /// reported and treated as missing.
  template <typename Parser>
  std::optional<ParsedValue<Parser>> optional(std::string_view Key,
                                              Parser Parse) {
    this->KnownKeys.emplace(Key);
    const IniEntry *Entry = this->Section.find(Key);
    if (!Entry) {
      return std::nullopt;
    }
    auto Value = Parse(std::string_view(Entry->Value));
    if (!Value) {
      this->report(Key, Value.error().Message);
      return std::nullopt;
    }
    return std::move(Value).value();
  }

  /// Returns the value of a required key. A missing key is reported.
  template <typename Parser>
  std::optional<ParsedValue<Parser>> required(std::string_view Key,
                                              Parser Parse) {
    if (!this->Section.find(Key)) {
      this->KnownKeys.emplace(Key);
      this->report(Key, "is missing");
      return std::nullopt;
    }
    return this->optional(Key, std::move(Parse));
  }

  /// Reports the key with this reason if it is present.
  void forbid(std::string_view Key, std::string Reason);

  /// Reports a problem with a key, at the line of the key if it is present and
  /// of the section otherwise.
  void report(std::string_view Key, std::string Message);

  /// Reports every key that was not passed to optional, required or forbid.
  /// Call it last.
  void reportUnknownKeys();

private:
  const std::string &File;
  const IniSection &Section;
  base::Findings &Problems;
  std::set<std::string, std::less<>> KnownKeys;
};

} // namespace bilberry::settings

#endif
