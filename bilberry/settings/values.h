// Values of settings and targets, from text to types.

#ifndef BILBERRY_SETTINGS_VALUES_H
#define BILBERRY_SETTINGS_VALUES_H

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

/// Reads "250ms", "5s", "30min" or "10h". Errors: Malformed, OutOfRange.
base::Result<base::Duration> parseDuration(std::string_view Text);

/// Writes a duration in the largest unit that parseDuration reads and that
/// divides it; a part of a millisecond is dropped. Never fails.
std::string durationText(base::Duration Value);

/// Reads "yes" or "no". Errors: Malformed.
base::Result<bool> parseYesNo(std::string_view Text);

/// Reads a decimal number. Errors: Malformed; OutOfRange outside Min..Max.
base::Result<uint64_t> parseUnsigned(std::string_view Text, uint64_t Min,
                                     uint64_t Max);

/// Reads a name: 1 to MaxNameLength of a-z, 0-9, '.' and '-'. Errors:
/// Malformed.
base::Result<std::string> parseName(std::string_view Text);

/// Reads IP:PORT addresses with commas between them. Errors: Malformed.
base::Result<std::vector<base::Address>> parseAddresses(std::string_view Text);

/// A reader of numbers from Min to Max, for SectionReader.
inline auto unsignedBetween(uint64_t Min, uint64_t Max) {
  return [=](std::string_view Text) { return parseUnsigned(Text, Min, Max); };
}

/// A reader of durations from Min to Max, for SectionReader.
inline auto durationBetween(base::Duration Min, base::Duration Max) {
  return [=](std::string_view Text) -> base::Result<base::Duration> {
    auto Value = parseDuration(Text);
    if (Value && (Value.value() < Min || Value.value() > Max)) {
      return base::Error{base::ErrorCode::OutOfRange,
                         std::string(Text) + " is not between " +
                             durationText(Min) + " and " + durationText(Max)};
    }
    return Value;
  };
}

} // namespace bilberry::settings

#endif
