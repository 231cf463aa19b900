#include "bilberry/store/etcd_json.h"

#include "bilberry/store/base64.h"

#include <charconv>

namespace bilberry::store {

using nlohmann::json;

static base::Error malformedField(const char *Name) {
  return {base::ErrorCode::Malformed,
          std::string("field '") + Name + "' is malformed"};
}

json parseObject(std::string_view Text) {
  json Parsed = json::parse(Text, nullptr, /*allow_exceptions=*/false);
  return Parsed.is_object() ? Parsed : json();
}

const json &field(const json &Object, const char *Name) {
  static const json Absent;
  if (!Object.is_object()) {
    return Absent;
  }
  auto Found = Object.find(Name);
  return Found == Object.end() ? Absent : *Found;
}

std::string textField(const json &Object, const char *Name) {
  const json &Value = field(Object, Name);
  return Value.is_string() ? Value.get<std::string>() : std::string();
}

base::Result<int64_t> integerField(const json &Object, const char *Name) {
  const json &Value = field(Object, Name);
  if (Value.is_null()) {
    return int64_t(0);
  }
  if (Value.is_number_integer()) {
    return Value.get<int64_t>();
  }
  if (!Value.is_string()) {
    return malformedField(Name);
  }
  const auto &Digits = Value.get_ref<const std::string &>();
  int64_t Number = 0;
  const char *Last = Digits.data() + Digits.size();
  auto [End, Code] = std::from_chars(Digits.data(), Last, Number);
  if (Code != std::errc() || End != Last) {
    return malformedField(Name);
  }
  return Number;
}

base::Result<std::string> bytesField(const json &Object, const char *Name) {
  const json &Value = field(Object, Name);
  if (Value.is_null()) {
    return std::string();
  }
  if (!Value.is_string()) {
    return malformedField(Name);
  }
  return parseBase64(Value.get_ref<const std::string &>());
}

std::string prefixEnd(std::string_view Prefix) {
  std::string End(Prefix);
  while (!End.empty() && End.back() == '\xFF') {
    End.pop_back();
  }
  if (End.empty()) {
    return {'\0'};
  }
  ++End.back();
  return End;
}

} // namespace bilberry::store
