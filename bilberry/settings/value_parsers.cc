#include "bilberry/settings/value_parsers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace bilberry::settings {

using base::Error;
using base::ErrorCode;

namespace {

struct DurationUnit {
  std::string_view Text;
  base::Duration Length;
};

} // namespace

// In descending order, as formatDuration requires.
static constexpr std::array<DurationUnit, 4> DurationUnits = {{
    {"h", std::chrono::hours(1)},
    {"min", std::chrono::minutes(1)},
    {"s", std::chrono::seconds(1)},
    {"ms", std::chrono::milliseconds(1)},
}};

static std::string quote(std::string_view Text) {
  return "'" + std::string(Text) + "'";
}

base::Result<base::Duration> parseDuration(std::string_view Text) {
  int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Code] = std::from_chars(Text.data(), End, Count);
  std::string_view UnitText(Rest, static_cast<size_t>(End - Rest));
  auto Unit = std::ranges::find(DurationUnits, UnitText, &DurationUnit::Text);
  if (Code == std::errc::invalid_argument || Count < 0 ||
      Unit == DurationUnits.end()) {
    return Error{ErrorCode::Malformed,
                 quote(Text) + " is no duration such as 250ms, 5s, 30min or "
                               "10h"};
  }
  if (Code == std::errc::result_out_of_range ||
      Count > base::Duration::max() / Unit->Length) {
    return Error{ErrorCode::OutOfRange, quote(Text) + " is too long"};
  }
  return Count * Unit->Length;
}

std::string formatDuration(base::Duration Value) {
  for (const DurationUnit &Unit : DurationUnits) {
    if (Value >= Unit.Length && Value % Unit.Length == base::Duration(0)) {
      return std::to_string(Value / Unit.Length) + std::string(Unit.Text);
    }
  }
  return std::to_string(Value / std::chrono::milliseconds(1)) + "ms";
}

base::Result<bool> parseYesNo(std::string_view Text) {
  if (Text == "yes" || Text == "no") {
    return Text == "yes";
  }
  return Error{ErrorCode::Malformed, quote(Text) + " is neither yes nor no"};
}

base::Result<uint64_t> parseUnsigned(std::string_view Text, uint64_t Min,
                                     uint64_t Max) {
  uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Code] = std::from_chars(Text.data(), End, Value);
  if (Code == std::errc::invalid_argument || Rest != End) {
    return Error{ErrorCode::Malformed, quote(Text) + " is not a whole number"};
  }
  if (Code != std::errc() || Value < Min || Value > Max) {
    return Error{ErrorCode::OutOfRange, std::string(Text) + " is not between " +
                                            std::to_string(Min) + " and " +
                                            std::to_string(Max)};
  }
  return Value;
}

static bool isNameCharacter(char Byte) {
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= '0' && Byte <= '9') ||
         Byte == '.' || Byte == '-';
}

base::Result<std::string> parseName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameLength ||
      !std::ranges::all_of(Text, isNameCharacter)) {
    return Error{ErrorCode::Malformed, quote(Text) +
                                           " is no name; a name has 1 to " +
                                           std::to_string(MaxNameLength) +
                                           " of a-z, 0-9, '.' and '-'"};
  }
  return std::string(Text);
}

static std::string_view trimSpaces(std::string_view Text) {
  size_t Begin = std::min(Text.find_first_not_of(' '), Text.size());
  Text.remove_prefix(Begin);
  return Text.substr(0, Text.find_last_not_of(' ') + 1);
}

base::Result<std::vector<base::Address>> parseAddresses(std::string_view Text) {
  std::vector<base::Address> Addresses;
  while (true) {
    size_t Comma = std::min(Text.find(','), Text.size());
    auto Parsed = base::parseAddress(trimSpaces(Text.substr(0, Comma)));
    if (!Parsed) {
      return Parsed.error();
    }
    Addresses.push_back(Parsed.value());
    if (Comma == Text.size()) {
      return Addresses;
    }
    Text.remove_prefix(Comma + 1);
  }
}

} // namespace bilberry::settings
