#include "bilberry/targets/operator_board.h"

#include "bilberry/store/base64.h"

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>

namespace bilberry::targets {

using nlohmann::json;

std::vector<std::string>
OperatorBoard::takeListing(const store::Listing &List) {
  std::lock_guard Lock(this->Mutex);
  std::vector<std::string> Notes;
  if (List.At < this->KnownUpTo) {
    return Notes;
  }
  store::StoreRevision Newest = this->State->Changed;
  std::map<std::string, store::KeyValue> Found;
  for (const store::KeyValue &Entry : List.Entries) {
    Newest = std::max(Newest, Entry.Changed);
    Found.emplace(Entry.Key, Entry);
  }
  bool Vanished = std::any_of(
      this->Documents.begin(), this->Documents.end(),
      [&](const auto &Known) { return !Found.contains(Known.first); });
  // A deletion leaves no revision in a listing; the listing's own is later.
  store::StoreRevision Changed = Vanished ? List.At : Newest;
  bool IsNew =
      Vanished || Changed > this->State->Changed || this->State->Changed == 0;
  this->KnownUpTo = List.At;
  if (!IsNew) {
    return Notes;
  }
  this->Documents = std::move(Found);
  auto Next = std::make_shared<OperatorState>(*this->State);
  Next->Changed = Changed;
  this->State = std::move(Next);
  this->rebuild(Notes);
  return Notes;
}

// One transaction changes several keys at one revision, so the revision alone
// doesn't tell that an event was seen.
bool OperatorBoard::isKnown(const store::WatchEvent &Event) const {
  if (Event.Entry.Changed != this->KnownUpTo) {
    return Event.Entry.Changed < this->KnownUpTo;
  }
  auto Known = this->Documents.find(Event.Entry.Key);
  if (Known == this->Documents.end()) {
    return Event.IsDelete;
  }
  return Known->second.Changed >= Event.Entry.Changed;
}

std::vector<std::string>
OperatorBoard::takeEvent(const store::WatchEvent &Event) {
  std::lock_guard Lock(this->Mutex);
  std::vector<std::string> Notes;
  if (this->isKnown(Event)) {
    return Notes;
  }
  this->KnownUpTo = Event.Entry.Changed;
  if (Event.IsDelete) {
    this->Documents.erase(Event.Entry.Key);
  } else {
    this->Documents[Event.Entry.Key] = Event.Entry;
  }
  auto Next = std::make_shared<OperatorState>(*this->State);
  Next->Changed = Event.Entry.Changed;
  this->State = std::move(Next);
  this->rebuild(Notes);
  return Notes;
}

// Builds the state anew from the documents.
void OperatorBoard::rebuild(std::vector<std::string> &Notes) {
  auto Next = std::make_shared<OperatorState>();
  Next->Routes = this->State->Routes;
  Next->Changed = this->State->Changed;
  for (const auto &[Key, Entry] : this->Documents) {
    DocumentKind Kind = this->Format.Classify(Key);
    if (std::holds_alternative<RoutesDocument>(Kind)) {
      if (Entry.Changed != this->RoutesRevision) {
        this->takeRoutes(Entry, *Next, Notes);
        this->RoutesRevision = Entry.Changed;
      }
    } else if (const auto *Mark = std::get_if<EvacuationMark>(&Kind)) {
      Next->Evacuated.insert(Mark->DataCentre);
    }
  }
  auto NoteChanges = [&](const auto &From, const auto &To, const char *What) {
    for (const base::DataCentreName &Name : From) {
      if (!To.contains(Name)) {
        Notes.push_back("event=evacuation data-centre=" + Name.text() +
                        " now=" + What +
                        " revision=" + std::to_string(Next->Changed));
      }
    }
  };
  NoteChanges(Next->Evacuated, this->State->Evacuated, "out");
  NoteChanges(this->State->Evacuated, Next->Evacuated, "in");
  this->State = std::move(Next);
}

void OperatorBoard::takeRoutes(const store::KeyValue &Entry,
                               OperatorState &Next,
                               std::vector<std::string> &Notes) const {
  base::Result<RouteTable> Parsed = this->Format.ParseRoutes(Entry.Value);
  if (!Parsed) {
    Notes.push_back(
        "event=routes-refused revision=" + std::to_string(Entry.Changed) +
        " reason=\"" + Parsed.error().Message + "\"");
    return;
  }
  uint64_t Known = Next.Routes ? Next.Routes->Version : 0;
  if (Parsed.value().Version < Known) {
    Notes.push_back(
        "event=routes-refused revision=" + std::to_string(Entry.Changed) +
        " version=" + std::to_string(Parsed.value().Version) +
        " reason=\"older than version " + std::to_string(Known) + "\"");
    return;
  }
  std::string Note =
      "event=routes version=" + std::to_string(Parsed.value().Version) +
      " revision=" + std::to_string(Entry.Changed) +
      " routes=" + std::to_string(Parsed.value().Routes.size());
  for (const auto &[Name, Rule] : Parsed.value().Services) {
    Note += " cold-per-second-" + Name.text() + "=" +
            std::to_string(Rule.ColdPerSecond);
  }
  Notes.push_back(std::move(Note));
  Next.Routes = std::make_shared<const RouteTable>(std::move(Parsed).value());
}

std::shared_ptr<const OperatorState> OperatorBoard::current() const {
  std::lock_guard Lock(this->Mutex);
  return this->State;
}

bool OperatorBoard::isBehind(store::StoreRevision Changed) const {
  std::lock_guard Lock(this->Mutex);
  return Changed > this->KnownUpTo;
}

store::Listing OperatorBoard::documents() const {
  std::lock_guard Lock(this->Mutex);
  store::Listing List;
  List.At = this->KnownUpTo;
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
  return json({{"at", List.At}, {"entries", Entries}}).dump();
}

base::Result<store::Listing> parseListingText(std::string_view Text) {
  static const base::Error Bad{base::ErrorCode::Malformed,
                               "not a listing of documents"};
  json Document = json::parse(Text, nullptr, false);
  if (!Document.is_object() || !Document["at"].is_number_integer() ||
      !Document["entries"].is_array()) {
    return Bad;
  }
  store::Listing List;
  List.At = Document["at"];
  for (json &Item : Document["entries"]) {
    if (!Item.is_object() || !Item["key"].is_string() ||
        !Item["value"].is_string() || !Item["changed"].is_number_integer()) {
      return Bad;
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
