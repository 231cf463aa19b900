#include "bilberry/members/member_tracker.h"

#include "bilberry/members/lease_keeper.h"
#include "bilberry/members/member_text.h"
#include "bilberry/store/keys.h"

#include <set>
#include <string>
#include <string_view>

namespace bilberry::members {

// The empty name for a key outside the members' prefix.
static base::MemberName nameOfKey(std::string_view Key) {
  constexpr std::string_view Prefix = store::MembersPrefix;
  if (!Key.starts_with(Prefix)) {
    return {};
  }
  return base::MemberName(std::string(Key.substr(Prefix.size())));
}

void MemberTracker::takeListing(base::TimePoint Now,
                                const store::Listing &List) {
  if (this->IsDown) {
    this->IsDown = false;
    this->RecoversUntil = Now + LeaseTtl;
    // The outage doesn't count against anyone's time to return.
    this->Missing.clear();
  }
  this->ListedAt = List.At;
  this->Changes.clear();
  std::set<base::MemberName> Present;
  for (const store::KeyValue &Entry : List.Entries) {
    if (this->takeEntry(Now, Entry)) {
      Present.insert(nameOfKey(Entry.Key));
    }
  }
  for (const Member &Known : this->Table.all()) {
    if (!Present.contains(Known.Name)) {
      this->takeAbsence(Now, Known.Name);
    }
  }
}

void MemberTracker::takeEvent(base::TimePoint Now,
                              const store::WatchEvent &Event) {
  const store::KeyValue &Entry = Event.Entry;
  store::StoreRevision &Last = this->Changes[Entry.Key];
  if (Entry.Changed <= this->ListedAt || Entry.Changed <= Last) {
    return;
  }
  Last = Entry.Changed;
  if (Event.IsDelete) {
    this->takeDelete(Now, nameOfKey(Entry.Key));
    return;
  }
  (void)this->takeEntry(Now, Entry);
}

// False for an announcement that tells nothing new to the table: a bad one, or
// that of an older run.
bool MemberTracker::takeEntry(base::TimePoint Now,
                              const store::KeyValue &Entry) {
  base::Result<Member> Value = parseMember(Entry.Value);
  if (!Value || Value.value().Name != nameOfKey(Entry.Key)) {
    ++this->BadEntries;
    return false;
  }
  std::optional<Member> Known = this->Table.find(Value.value().Name);
  if (Known && Known->Run > Value.value().Run) {
    return false;
  }
  this->Missing.erase(Value.value().Name);
  this->Table.put(Now, Value.value());
  return true;
}

void MemberTracker::takeDelete(base::TimePoint Now,
                               const base::MemberName &Name) {
  bool IsRecovering = Now < this->RecoversUntil;
  std::optional<Member> Known = this->Table.find(Name);
  bool IsPlanned = Known && Known->State == MemberState::Leaving;
  if (IsRecovering || IsPlanned) {
    this->takeAbsence(Now, Name);
    return;
  }
  this->Missing.erase(Name);
  this->Table.markSilent(Now, Name);
}

void MemberTracker::takeAbsence(base::TimePoint Now,
                                const base::MemberName &Name) {
  std::optional<Member> Known = this->Table.find(Name);
  if (Known && Known->State == MemberState::Leaving) {
    this->Missing.erase(Name);
    this->Table.remove(Name);
    return;
  }
  if (Known && !this->Table.isSilent(Name)) {
    this->Missing.try_emplace(Name, Now + LeaseTtl);
  }
}

void MemberTracker::tick(base::TimePoint Now) {
  if (this->IsDown) {
    return;
  }
  for (auto It = this->Missing.begin(); It != this->Missing.end();) {
    if (Now < It->second) {
      ++It;
      continue;
    }
    this->Table.markSilent(Now, It->first);
    It = this->Missing.erase(It);
  }
  // The table's grace period may have run out during the outage.
  if (Now >= this->RecoversUntil) {
    this->Table.tick(Now);
  }
}

} // namespace bilberry::members
