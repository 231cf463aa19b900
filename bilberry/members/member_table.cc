#include "bilberry/members/member_table.h"

#include "bilberry/routing/rendezvous.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace bilberry::members {

static bool isAgent(const Member &Value) {
  return Value.Role == MemberRole::Agent;
}

const Member *ServiceView::find(const base::MemberName &Name) const {
  auto NameLess = [](const HashedMember &Item, const base::MemberName &Wanted) {
    return Item.Value.Name < Wanted;
  };
  auto Found = std::lower_bound(this->Lookup.begin(), this->Lookup.end(), Name,
                                NameLess);
  if (Found == this->Lookup.end() || Found->Value.Name != Name) {
    return nullptr;
  }
  return &Found->Value;
}

void MemberTable::put(base::TimePoint, const Member &Value) {
  std::lock_guard Lock(this->Mutex);
  auto [Found, IsNew] = this->Entries.try_emplace(Value.Name, Entry{Value, {}});
  if (IsNew) {
    this->rebuild(Value.Service);
    return;
  }
  Entry &Existing = Found->second;
  if (Value.Run < Existing.Value.Run) {
    return;
  }
  // Every message between processes carries the sender's record, which is
  // unchanged in most of them.
  if (Value == Existing.Value && !Existing.SilentSince) {
    return;
  }
  base::ServiceName PreviousService = Existing.Value.Service;
  Existing = Entry{Value, {}};
  this->rebuild(Value.Service);
  if (PreviousService != Value.Service) {
    this->rebuild(PreviousService);
  }
}

void MemberTable::markSilent(base::TimePoint Now,
                             const base::MemberName &Name) {
  std::lock_guard Lock(this->Mutex);
  auto Found = this->Entries.find(Name);
  if (Found == this->Entries.end() || Found->second.SilentSince) {
    return;
  }
  Found->second.SilentSince = Now;
  this->rebuild(Found->second.Value.Service);
}

void MemberTable::remove(const base::MemberName &Name) {
  std::lock_guard Lock(this->Mutex);
  auto Found = this->Entries.find(Name);
  if (Found == this->Entries.end()) {
    return;
  }
  base::ServiceName Service = Found->second.Value.Service;
  this->Entries.erase(Found);
  this->rebuild(Service);
}

void MemberTable::setOutOfService(std::set<base::DataCentreName> Names) {
  std::lock_guard Lock(this->Mutex);
  if (Names == this->OutOfService) {
    return;
  }
  this->OutOfService = std::move(Names);
  std::set<base::ServiceName> Services;
  for (const auto &[Name, Item] : this->Entries) {
    Services.insert(Item.Value.Service);
  }
  for (const base::ServiceName &Service : Services) {
    this->rebuild(Service);
  }
}

void MemberTable::tick(base::TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  std::set<base::ServiceName> Changed;
  for (auto It = this->Entries.begin(); It != this->Entries.end();) {
    const Entry &Item = It->second;
    if (!Item.SilentSince || Now - *Item.SilentSince <= SilentGracePeriod) {
      ++It;
      continue;
    }
    Changed.insert(Item.Value.Service);
    It = this->Entries.erase(It);
  }
  for (const base::ServiceName &Service : Changed) {
    this->rebuild(Service);
  }
}

std::shared_ptr<const ServiceView>
MemberTable::view(const base::ServiceName &Name) const {
  static const auto Empty = std::make_shared<const ServiceView>();
  std::lock_guard Lock(this->Mutex);
  auto Found = this->Views.find(Name);
  return Found == this->Views.end() ? Empty : Found->second;
}

std::optional<Member> MemberTable::find(const base::MemberName &Name) const {
  std::lock_guard Lock(this->Mutex);
  auto Found = this->Entries.find(Name);
  if (Found == this->Entries.end()) {
    return std::nullopt;
  }
  return Found->second.Value;
}

bool MemberTable::isSilent(const base::MemberName &Name) const {
  std::lock_guard Lock(this->Mutex);
  auto Found = this->Entries.find(Name);
  return Found != this->Entries.end() && Found->second.SilentSince;
}

std::vector<Member> MemberTable::all() const {
  std::lock_guard Lock(this->Mutex);
  std::vector<Member> List;
  List.reserve(this->Entries.size());
  for (const auto &[Name, Item] : this->Entries) {
    List.push_back(Item.Value);
  }
  return List;
}

void MemberTable::rebuild(const base::ServiceName &Name) {
  auto View = std::make_shared<ServiceView>();
  for (const auto &[MemberName, Item] : this->Entries) {
    const Member &Value = Item.Value;
    if (!isAgent(Value) || Value.Service != Name ||
        this->OutOfService.contains(Value.DataCentre)) {
      continue;
    }
    HashedMember Ranked{Value, routing::memberHash(MemberName)};
    if (takesNewWork(Value) && !Item.SilentSince) {
      View->Placement.push_back(Ranked);
    }
    View->Lookup.push_back(std::move(Ranked));
  }
  this->Views[Name] = std::move(View);
}

} // namespace bilberry::members
