// Reads the typed values of one section and reports what is missing, wrong or
// not known there.

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

/// What a Parser of text gives where the text is right.
template <typename Parser>
using ParsedValue =
    typename std::invoke_result_t<Parser, std::string_view>::value_type;

/// For use by one thread. The section and the findings must outlive it.
class SectionReader {
public:
  SectionReader(const std::string &File, const IniSection &Section,
                base::Findings &Problems)
      : File(File), Section(Section), Problems(Problems) {}

  /// The value of a key that may be missing. A value that Parse refuses is
  /// reported, and counts as missing.
  template <typename Parser>
  std::optional<ParsedValue<Parser>> optional(std::string_view Key,
                                              Parser Parse) {
    this->Known.emplace(Key);
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

  /// The value of a key that must be there; reported where it is missing.
  template <typename Parser>
  std::optional<ParsedValue<Parser>> required(std::string_view Key,
                                              Parser Parse) {
    if (!this->Section.find(Key)) {
      this->Known.emplace(Key);
      this->report(Key, "is missing");
      return std::nullopt;
    }
    return this->optional(Key, std::move(Parse));
  }

  /// Reports the key if it is there, with the reason why it may not be.
  void forbid(std::string_view Key, std::string Reason);

  /// Reports something about a key, at its line if it is there.
  void report(std::string_view Key, std::string Message);

  /// Reports every key that none of the calls above has named. Call it last.
  void finish();

private:
  const std::string &File;
  const IniSection &Section;
  base::Findings &Problems;
  std::set<std::string, std::less<>> Known;
};

} // namespace bilberry::settings

#endif
