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
  bool IsNewEra = List.Era > this->LatestEra;
  bool IsOlder =
      List.Era < this->LatestEra ||
      (List.Era == this->LatestEra && List.AtRevision < this->LatestRevision);
  if (IsOlder) {
    return LogLines;
  }
  if (IsNewEra) {
    this->beginEra(List, LogLines);
  }
  store::StoreRevision Newest = IsNewEra ? 0 : this->State->Changed;
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
  bool IsNew = IsNewEra || HasDeletion || Changed > this->State->Changed ||
               this->State->Changed == 0;
  this->LatestRevision = List.AtRevision;
  if (!IsNew) {
    return LogLines;
  }
  this->Documents = std::move(Listed);
  auto Next = std::make_shared<OperatorState>(*this->State);
  Next->Changed = Changed;
  Next->Era = List.Era;
  this->State = std::move(Next);
  this->rebuild(LogLines);
  return LogLines;
}

// Forgets the revisions of the era before, which the store assigns again. The
// first listing of a process begins an era too, but isn't a restore.
void OperatorStateCache::beginEra(const store::Listing &List,
                                  std::vector<std::string> &LogLines) {
  bool IsRestore = this->LatestRevision != 0;
  this->LatestEra = List.Era;
  this->LatestRevision = 0;
  this->RoutesRevision = 0;
  if (!IsRestore) {
    return;
  }
  ++this->Restores;
  LogLines.push_back("event=store-restored era=" + std::to_string(List.Era) +
                     " revision=" + std::to_string(List.AtRevision));
  std::set<base::DataCentreName> Listed;
  for (const store::KeyValue &Entry : List.Entries) {
    DocumentKind Kind = this->Format.Classify(Entry.Key);
    if (const auto *Evacuation = std::get_if<EvacuationDocument>(&Kind)) {
      Listed.insert(Evacuation->DataCentre);
    }
  }
  for (const base::DataCentreName &Name : this->State->Evacuated) {
    if (!Listed.contains(Name)) {
      this->UnconfirmedEvacuations.try_emplace(Name);
    }
  }
}

std::vector<std::string> OperatorStateCache::tick(base::TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  std::vector<std::string> LogLines;
  for (auto &[Name, EndsAt] : this->UnconfirmedEvacuations) {
    if (!EndsAt) {
      EndsAt = Now + RestoredEvacuationGrace;
    }
  }
  size_t Ended =
      std::erase_if(this->UnconfirmedEvacuations, [&](const auto &Evacuation) {
        return Now >= *Evacuation.second;
      });
  if (Ended > 0) {
    this->rebuild(LogLines);
  }
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
  // Events of another era come from a watch that has yet to be restarted.
  if (Event.Era != this->LatestEra || this->isAlreadyApplied(Event)) {
    return LogLines;
  }
  DocumentKind Kind = this->Format.Classify(Event.Entry.Key);
  if (const auto *Evacuation = std::get_if<EvacuationDocument>(&Kind)) {
    this->UnconfirmedEvacuations.erase(Evacuation->DataCentre);
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
  Next->Era = this->State->Era;
  for (const auto &[Name, EndsAt] : this->UnconfirmedEvacuations) {
    Next->Evacuated.insert(Name);
  }
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

bool OperatorStateCache::lacks(const wire::DocumentsVersion &Announced) const {
  std::lock_guard Lock(this->Mutex);
  return wire::isNewer(Announced, {this->LatestRevision, {}, this->LatestEra});
}

store::StoreEra OperatorStateCache::era() const {
  std::lock_guard Lock(this->Mutex);
  return this->LatestEra;
}

uint64_t OperatorStateCache::restores() const {
  std::lock_guard Lock(this->Mutex);
  return this->Restores;
}

store::Listing OperatorStateCache::documents() const {
  std::lock_guard Lock(this->Mutex);
  store::Listing List;
  List.AtRevision = this->LatestRevision;
  List.Era = this->LatestEra;
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
  return json(
             {{"at", List.AtRevision}, {"era", List.Era}, {"entries", Entries}})
      .dump();
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
  // Absent in documents of a process that doesn't know eras.
  if (Document["era"].is_number_unsigned()) {
    List.Era = Document["era"];
  }
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
