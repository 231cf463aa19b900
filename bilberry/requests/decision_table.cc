#include "bilberry/requests/decision_table.h"

#include <algorithm>

namespace bilberry::requests {

const wire::IntentEntry *DecisionTable::find(base::RequestId Id) const {
  auto It = this->ById.find(Id);
  return It == this->ById.end() ? nullptr : &It->second;
}

bool DecisionTable::canRecord(const wire::IntentEntry &Entry) const {
  const wire::IntentEntry *Existing = this->find(Entry.Id);
  if (Existing == nullptr) {
    return true;
  }
  if (Entry.Attempt == Existing->Attempt) {
    return Entry.Decision == Existing->Decision ||
           Entry.Decision == wire::RequestDecision::Refuse;
  }
  return Entry.Attempt > Existing->Attempt &&
         Existing->Decision == wire::RequestDecision::Refuse;
}

bool DecisionTable::record(const wire::IntentEntry &Entry) {
  if (!this->canRecord(Entry)) {
    return false;
  }
  wire::IntentEntry &Recorded = this->ById[Entry.Id];
  base::TimePoint Latest = std::max(Recorded.Deadline, Entry.Deadline);
  Recorded = Entry;
  Recorded.Deadline = Latest;
  return true;
}

void DecisionTable::expire(base::TimePoint Now) {
  std::erase_if(this->ById, [&](const auto &Each) {
    return isExpired(Now, Each.second.Deadline);
  });
}

std::vector<wire::IntentEntry> DecisionTable::entries() const {
  std::vector<wire::IntentEntry> List;
  List.reserve(this->ById.size());
  for (const auto &[Id, Entry] : this->ById) {
    List.push_back(Entry);
  }
  return List;
}

void DecisionTable::assign(const std::vector<wire::IntentEntry> &Entries) {
  this->ById.clear();
  for (const wire::IntentEntry &Each : Entries) {
    this->record(Each);
  }
}

} // namespace bilberry::requests
