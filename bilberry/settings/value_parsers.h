// Parsers for the values in settings and targets.

#ifndef BILBERRY_SETTINGS_VALUE_PARSERS_H
#define BILBERRY_SETTINGS_VALUE_PARSERS_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::settings {

/// The longest name of a service, class, data centre or process.
inline constexpr size_t MaxNameLength = 63;

/// Parses a duration such as "250ms", "5s", "30min" or "10h". Errors:
/// Malformed, OutOfRange. Thread-safe, like all functions of this file.
base::Result<base::Duration> parseDuration(std::string_view Text);

/// Formats a duration in the largest unit of parseDuration that divides it
/// evenly. Truncates to whole milliseconds. Never fails.
std::string formatDuration(base::Duration Value);

/// Parses "yes" or "no". Errors: Malformed.
base::Result<bool> parseYesNo(std::string_view Text);

/// Parses a decimal number. Errors: Malformed; OutOfRange if it is not from Min
/// to Max.
base::Result<uint64_t> parseUnsigned(std::string_view Text, uint64_t Min,
                                     uint64_t Max);

/// Parses a name: 1 to MaxNameLength characters from a-z, 0-9, '.' and '-'.
/// Errors: Malformed.
base::Result<std::string> parseName(std::string_view Text);

/// Parses a comma-separated list of IP:PORT addresses. Errors: Malformed.
base::Result<std::vector<base::Address>> parseAddresses(std::string_view Text);

/// Returns a parser for numbers from Min to Max, for SectionReader.
inline auto unsignedRangeParser(uint64_t Min, uint64_t Max) {
  return [=](std::string_view Text) { return parseUnsigned(Text, Min, Max); };
}

/// Returns a parser for durations from Min to Max, for SectionReader.
inline auto durationRangeParser(base::Duration Min, base::Duration Max) {
  return [=](std::string_view Text) -> base::Result<base::Duration> {
    auto Value = parseDuration(Text);
    if (Value && (Value.value() < Min || Value.value() > Max)) {
      return base::Error{base::ErrorCode::OutOfRange,
                         std::string(Text) + " is not between " +
                             formatDuration(Min) + " and " +
                             formatDuration(Max)};
    }
    return Value;
  };
}

} // namespace bilberry::settings

#endif
