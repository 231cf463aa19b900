#include "bilberry/targets/target_store.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace bilberry::targets {

using nlohmann::json;
using std::chrono::milliseconds;

static json changeRecordJson(const ChangeRecord &Record) {
  auto At = std::chrono::floor<milliseconds>(Record.At.time_since_epoch());
  return {{"id", Record.Id},
          {"revision", Record.Revision},
          {"author", Record.Author},
          {"summary", Record.Summary},
          {"at-ms", At.count()}};
}

std::string storedTargetsText(const StoredTargets &Value) {
  json Changes = json::array();
  for (const ChangeRecord &Record : Value.Changes) {
    Changes.push_back(changeRecordJson(Record));
  }
  json Object = {{"revision", Value.Revision},
                 {"document", Value.Text},
                 {"changes", std::move(Changes)}};
  // Replaces invalid UTF-8 in authors and summaries; documents are checked to
  // be UTF-8.
  return Object.dump(-1, ' ', false, json::error_handler_t::replace);
}

// The field, or null if it is missing or Object is not a JSON object.
static const json *findField(const json &Object, const char *Name) {
  auto It = Object.find(Name);
  return It == Object.end() ? nullptr : &*It;
}

static std::optional<std::string> stringField(const json &Object,
                                              const char *Name) {
  const json *Field = findField(Object, Name);
  if (!Field || !Field->is_string()) {
    return std::nullopt;
  }
  return Field->get<std::string>();
}

static std::optional<uint64_t> unsignedField(const json &Object,
                                             const char *Name) {
  const json *Field = findField(Object, Name);
  if (!Field || !Field->is_number_unsigned()) {
    return std::nullopt;
  }
  return Field->get<uint64_t>();
}

static std::optional<ChangeRecord> parseChangeRecord(const json &Object) {
  auto Id = stringField(Object, "id");
  auto Revision = unsignedField(Object, "revision");
  auto Author = stringField(Object, "author");
  auto Summary = stringField(Object, "summary");
  auto At = unsignedField(Object, "at-ms");
  constexpr uint64_t MaxMilliseconds =
      std::chrono::duration_cast<milliseconds>(base::Duration::max()).count();
  if (!Id || !Revision || !Author || !Summary || !At || *At > MaxMilliseconds) {
    return std::nullopt;
  }
  return ChangeRecord{*Id, *Revision, *Author, *Summary,
                      base::TimePoint(milliseconds(*At))};
}

static base::Error malformedValue(const char *FieldName) {
  return {base::ErrorCode::Malformed,
          std::string("the stored targets have no valid ") + FieldName};
}

base::Result<StoredTargets> parseStoredTargets(std::string_view Text) {
  json Object = json::parse(Text, nullptr, false);
  auto Revision = unsignedField(Object, "revision");
  if (!Revision || *Revision == 0) {
    return malformedValue("revision");
  }
  auto Document = stringField(Object, "document");
  if (!Document) {
    return malformedValue("document");
  }
  const json *Changes = findField(Object, "changes");
  if (!Changes || !Changes->is_array()) {
    return malformedValue("list of changes");
  }
  StoredTargets Value;
  Value.Revision = *Revision;
  Value.Text = std::move(*Document);
  base::Revision Last = 0;
  for (const json &Change : *Changes) {
    auto Record = parseChangeRecord(Change);
    if (!Record || Record->Revision <= Last || Record->Revision > *Revision) {
      return malformedValue("list of changes");
    }
    Last = Record->Revision;
    Value.Changes.push_back(std::move(*Record));
  }
  return Value;
}

} // namespace bilberry::targets
