// Announcements as another writer might leave them among those of the members.

#ifndef BILBERRY_TESTING_ODD_ENTRIES_H
#define BILBERRY_TESTING_ODD_ENTRIES_H

#include "bilberry/members/member_text.h"

#include <string>
#include <vector>

namespace bilberry::testing {

struct OddEntry {
  const char *Name;
  std::string Value;
};

/// Returns invalid variants of the announcement of Value. Precondition: the
/// texts of its fields differ.
inline std::vector<OddEntry> oddEntries(const members::Member &Value) {
  const std::string Valid = members::serializeMember(Value);
  auto Replace = [&](const std::string &Old, const std::string &New) {
    std::string Text = Valid;
    Text.replace(Text.find(Old), Old.size(), New);
    return Text;
  };
  auto Nested = [](size_t Depth) {
    return std::string(Depth, '[') + std::string(Depth, ']');
  };
  const std::string Run = "\"run\":" + std::to_string(Value.Run);
  const std::string Ip = base::hostText(Value.Data) + ":";
  const std::string Port = Ip + std::to_string(Value.Data.Port);
  return {
      {"deeply nested", Nested(100000)},
      {"deeply nested, not closed", std::string(200000, '[')},
      {"deeply nested field", Replace("\"agent\"", Nested(2000))},
      {"deeply nested unknown field",
       Replace("{", R"({"other":)" + Nested(100000) + ",")},
      {"run too large for a double", Replace(Run, "\"run\":1e999")},
      {"run of 65 bits", Replace(Run, "\"run\":18446744073709551616")},
      {"run of 64 bits", Replace(Run, "\"run\":18446744073709551615")},
      {"run of 40 digits", Replace(Run, "\"run\":" + std::string(40, '9'))},
      {"port out of range", Replace(Port, Ip + "65536")},
      {"port of 30 digits", Replace(Port, Ip + std::string(30, '9'))},
      {"negative port", Replace(Port, Ip + "-1")},
      {"port 0", Replace(Port, Ip + "0")},
      {"not UTF-8", Replace("\"agent\"", "\"\xff\xfe\"")},
      {"long unknown field",
       Replace("{", R"({"other":")" + std::string(200000, 'x') + "\",")},
      {"empty", ""},
  };
}

} // namespace bilberry::testing

#endif
