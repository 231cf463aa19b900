#include "bilberry/targets/target_store.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace bilberry::targets {

using nlohmann::json;
using std::chrono::milliseconds;

static json noteObject(const ChangeNote &Note) {
  auto At = std::chrono::floor<milliseconds>(Note.At.time_since_epoch());
  return {{"id", Note.Id},
          {"revision", Note.Revision},
          {"author", Note.Author},
          {"summary", Note.Summary},
          {"at-ms", At.count()}};
}

std::string storedTargetsText(const StoredTargets &Value) {
  json Changes = json::array();
  for (const ChangeNote &Note : Value.Changes) {
    Changes.push_back(noteObject(Note));
  }
  json Object = {{"revision", Value.Revision},
                 {"document", Value.Text},
                 {"changes", std::move(Changes)}};
  // Documents are checked to be UTF-8; this is for authors and summaries.
  return Object.dump(-1, ' ', false, json::error_handler_t::replace);
}

// The field, or null where it is missing or Object is no object.
static const json *fieldOf(const json &Object, const char *Name) {
  auto It = Object.find(Name);
  return It == Object.end() ? nullptr : &*It;
}

static std::optional<std::string> textOf(const json &Object, const char *Name) {
  const json *Field = fieldOf(Object, Name);
  if (!Field || !Field->is_string()) {
    return std::nullopt;
  }
  return Field->get<std::string>();
}

static std::optional<uint64_t> numberOf(const json &Object, const char *Name) {
  const json *Field = fieldOf(Object, Name);
  if (!Field || !Field->is_number_unsigned()) {
    return std::nullopt;
  }
  return Field->get<uint64_t>();
}

static std::optional<ChangeNote> readNote(const json &Object) {
  auto Id = textOf(Object, "id");
  auto Revision = numberOf(Object, "revision");
  auto Author = textOf(Object, "author");
  auto Summary = textOf(Object, "summary");
  auto At = numberOf(Object, "at-ms");
  constexpr uint64_t MaxMilliseconds =
      std::chrono::duration_cast<milliseconds>(base::Duration::max()).count();
  if (!Id || !Revision || !Author || !Summary || !At || *At > MaxMilliseconds) {
    return std::nullopt;
  }
  return ChangeNote{*Id, *Revision, *Author, *Summary,
                    base::TimePoint(milliseconds(*At))};
}

static base::Error malformedValue(const char *What) {
  return {base::ErrorCode::Malformed,
          std::string("the stored targets have no usable ") + What};
}

base::Result<StoredTargets> parseStoredTargets(std::string_view Text) {
  json Object = json::parse(Text, nullptr, false);
  auto Revision = numberOf(Object, "revision");
  if (!Revision || *Revision == 0) {
    return malformedValue("revision");
  }
  auto Document = textOf(Object, "document");
  if (!Document) {
    return malformedValue("document");
  }
  const json *Changes = fieldOf(Object, "changes");
  if (!Changes || !Changes->is_array()) {
    return malformedValue("list of changes");
  }
  StoredTargets Value;
  Value.Revision = *Revision;
  Value.Text = std::move(*Document);
  base::Revision Last = 0;
  for (const json &Change : *Changes) {
    auto Note = readNote(Change);
    if (!Note || Note->Revision <= Last || Note->Revision > *Revision) {
      return malformedValue("list of changes");
    }
    Last = Note->Revision;
    Value.Changes.push_back(std::move(*Note));
  }
  return Value;
}

} // namespace bilberry::targets
