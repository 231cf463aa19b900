#include "bilberry/targets/operator_state_cache.h"

#include "bilberry/store/base64.h"

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>

namespace bilberry::targets {

using nlohmann::json;

std::vector<std::string>
OperatorStateCache::applyListing(const store::Listing &List) {
  std::lock_guard Lock(this->Mutex);
  std::vector<std::string> LogLines;
  if (List.AtRevision < this->LatestRevision) {
    return LogLines;
  }
  store::StoreRevision Newest = this->State->Changed;
  std::map<std::string, store::KeyValue> Listed;
  for (const store::KeyValue &Entry : List.Entries) {
    Newest = std::max(Newest, Entry.Changed);
    Listed.emplace(Entry.Key, Entry);
  }
  bool HasDeletion = std::any_of(
      this->Documents.begin(), this->Documents.end(),
      [&](const auto &Document) { return !Listed.contains(Document.first); });
  // A listing doesn't contain the revision of a deletion. The listing's own
  // revision is used instead, which is not older than the deletion.
  store::StoreRevision Changed = HasDeletion ? List.AtRevision : Newest;
  bool IsNew = HasDeletion || Changed > this->State->Changed ||
               this->State->Changed == 0;
  this->LatestRevision = List.AtRevision;
  if (!IsNew) {
    return LogLines;
  }
  this->Documents = std::move(Listed);
  auto Next = std::make_shared<OperatorState>(*this->State);
  Next->Changed = Changed;
  this->State = std::move(Next);
  this->rebuild(LogLines);
  return LogLines;
}

// One transaction can change several keys at one revision, so the revision
// alone doesn't show whether an event has been applied.
bool OperatorStateCache::isAlreadyApplied(
    const store::WatchEvent &Event) const {
  if (Event.Entry.Changed != this->LatestRevision) {
    return Event.Entry.Changed < this->LatestRevision;
  }
  auto Document = this->Documents.find(Event.Entry.Key);
  if (Document == this->Documents.end()) {
    return Event.IsDelete;
  }
  return Document->second.Changed >= Event.Entry.Changed;
}

std::vector<std::string>
OperatorStateCache::applyEvent(const store::WatchEvent &Event) {
  std::lock_guard Lock(this->Mutex);
  std::vector<std::string> LogLines;
  if (this->isAlreadyApplied(Event)) {
    return LogLines;
  }
  this->LatestRevision = Event.Entry.Changed;
  if (Event.IsDelete) {
    this->Documents.erase(Event.Entry.Key);
  } else {
    this->Documents[Event.Entry.Key] = Event.Entry;
  }
  auto Next = std::make_shared<OperatorState>(*this->State);
  Next->Changed = Event.Entry.Changed;
  this->State = std::move(Next);
  this->rebuild(LogLines);
  return LogLines;
}

// Rebuilds the state from the documents.
void OperatorStateCache::rebuild(std::vector<std::string> &LogLines) {
  auto Next = std::make_shared<OperatorState>();
  Next->Routes = this->State->Routes;
  Next->Changed = this->State->Changed;
  for (const auto &[Key, Entry] : this->Documents) {
    DocumentKind Kind = this->Format.Classify(Key);
    if (std::holds_alternative<RoutesDocument>(Kind)) {
      if (Entry.Changed != this->RoutesRevision) {
        this->applyRoutes(Entry, *Next, LogLines);
        this->RoutesRevision = Entry.Changed;
      }
    } else if (const auto *Evacuation =
                   std::get_if<EvacuationDocument>(&Kind)) {
      Next->Evacuated.insert(Evacuation->DataCentre);
    }
  }
  // Logs the data centres that are in the first set but not in the second.
  auto LogChanges = [&](const auto &PresentIn, const auto &AbsentFrom,
                        const char *NewState) {
    for (const base::DataCentreName &Name : PresentIn) {
      if (!AbsentFrom.contains(Name)) {
        LogLines.push_back("event=evacuation data-centre=" + Name.text() +
                           " now=" + NewState +
                           " revision=" + std::to_string(Next->Changed));
      }
    }
  };
  LogChanges(Next->Evacuated, this->State->Evacuated, "out");
  LogChanges(this->State->Evacuated, Next->Evacuated, "in");
  this->State = std::move(Next);
}

void OperatorStateCache::applyRoutes(const store::KeyValue &Entry,
                                     OperatorState &Next,
                                     std::vector<std::string> &LogLines) const {
  base::Result<RouteTable> Parsed = this->Format.ParseRoutes(Entry.Value);
  if (!Parsed) {
    LogLines.push_back(
        "event=routes-refused revision=" + std::to_string(Entry.Changed) +
        " reason=\"" + Parsed.error().Message + "\"");
    return;
  }
  uint64_t KnownVersion = Next.Routes ? Next.Routes->Version : 0;
  if (Parsed.value().Version < KnownVersion) {
    LogLines.push_back(
        "event=routes-refused revision=" + std::to_string(Entry.Changed) +
        " version=" + std::to_string(Parsed.value().Version) +
        " reason=\"older than version " + std::to_string(KnownVersion) + "\"");
    return;
  }
  std::string LogLine =
      "event=routes version=" + std::to_string(Parsed.value().Version) +
      " revision=" + std::to_string(Entry.Changed) +
      " routes=" + std::to_string(Parsed.value().Routes.size());
  for (const auto &[Name, Rule] : Parsed.value().Services) {
    LogLine += " cold-per-second-" + Name.text() + "=" +
               std::to_string(Rule.ColdRequestsPerSecond);
  }
  LogLines.push_back(std::move(LogLine));
  Next.Routes = std::make_shared<const RouteTable>(std::move(Parsed).value());
}

std::shared_ptr<const OperatorState> OperatorStateCache::current() const {
  std::lock_guard Lock(this->Mutex);
  return this->State;
}

bool OperatorStateCache::lacksRevision(store::StoreRevision Changed) const {
  std::lock_guard Lock(this->Mutex);
  return Changed > this->LatestRevision;
}

store::Listing OperatorStateCache::documents() const {
  std::lock_guard Lock(this->Mutex);
  store::Listing List;
  List.AtRevision = this->LatestRevision;
  for (const auto &[Key, Entry] : this->Documents) {
    List.Entries.push_back(Entry);
  }
  return List;
}

std::string listingText(const store::Listing &List) {
  json Entries = json::array();
  for (const store::KeyValue &Entry : List.Entries) {
    Entries.push_back({{"key", Entry.Key},
                       {"value", store::base64Text(Entry.Value)},
                       {"changed", Entry.Changed}});
  }
  return json({{"at", List.AtRevision}, {"entries", Entries}}).dump();
}

base::Result<store::Listing> parseListingText(std::string_view Text) {
  static const base::Error MalformedListing{base::ErrorCode::Malformed,
                                            "not a listing of documents"};
  json Document = json::parse(Text, nullptr, false);
  if (!Document.is_object() || !Document["at"].is_number_integer() ||
      !Document["entries"].is_array()) {
    return MalformedListing;
  }
  store::Listing List;
  List.AtRevision = Document["at"];
  for (json &Item : Document["entries"]) {
    if (!Item.is_object() || !Item["key"].is_string() ||
        !Item["value"].is_string() || !Item["changed"].is_number_integer()) {
      return MalformedListing;
    }
    base::Result<std::string> Value =
        store::parseBase64(Item["value"].get<std::string>());
    if (!Value) {
      return Value.error();
    }
    List.Entries.push_back(
        {Item["key"], std::move(Value).value(), Item["changed"], 0});
  }
  return List;
}

} // namespace bilberry::targets
