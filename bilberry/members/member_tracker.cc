#include "bilberry/members/member_tracker.h"

#include "bilberry/members/lease_state_machine.h"
#include "bilberry/members/member_text.h"
#include "bilberry/store/keys.h"

#include <set>
#include <string>
#include <string_view>

namespace bilberry::members {

// Returns the empty name for a key outside the members' prefix.
static base::MemberName memberNameFromKey(std::string_view Key) {
  constexpr std::string_view Prefix = store::MembersPrefix;
  if (!Key.starts_with(Prefix)) {
    return {};
  }
  return base::MemberName(std::string(Key.substr(Prefix.size())));
}

void MemberTracker::applyListing(base::TimePoint Now,
                                 const store::Listing &List) {
  if (List.Era < this->ListedEra) {
    return;
  }
  bool IsRestored = List.Era > this->ListedEra && this->ListedRevision != 0;
  this->ListedEra = List.Era;
  if (this->IsDown || IsRestored) {
    this->IsDown = false;
    this->RecoveryEndsAt = Now + LeaseTtl;
    // The time of the outage doesn't count towards the deadlines of absent
    // members.
    this->AbsentMembers.clear();
  }
  this->ListedRevision = List.AtRevision;
  this->LastRevisions.clear();
  std::set<base::MemberName> Present;
  for (const store::KeyValue &Entry : List.Entries) {
    if (this->applyEntry(Now, Entry)) {
      Present.insert(memberNameFromKey(Entry.Key));
    }
  }
  for (const Member &Known : this->Table.all()) {
    if (!Present.contains(Known.Name)) {
      this->applyAbsence(Now, Known.Name);
    }
  }
}

void MemberTracker::applyEvent(base::TimePoint Now,
                               const store::WatchEvent &Event) {
  const store::KeyValue &Entry = Event.Entry;
  if (Event.Era != this->ListedEra) {
    return;
  }
  store::StoreRevision &Last = this->LastRevisions[Entry.Key];
  if (Entry.Changed <= this->ListedRevision || Entry.Changed <= Last) {
    return;
  }
  Last = Entry.Changed;
  if (Event.IsDelete) {
    this->applyDelete(Now, memberNameFromKey(Entry.Key));
    return;
  }
  (void)this->applyEntry(Now, Entry);
}

// Returns false for an announcement that is ignored: it is malformed or that of
// an older run.
bool MemberTracker::applyEntry(base::TimePoint Now,
                               const store::KeyValue &Entry) {
  base::Result<Member> Value = parseMember(Entry.Value);
  if (!Value || Value.value().Name != memberNameFromKey(Entry.Key)) {
    ++this->MalformedEntries;
    return false;
  }
  std::optional<Member> Known = this->Table.find(Value.value().Name);
  if (Known && Known->Run > Value.value().Run) {
    return false;
  }
  this->AbsentMembers.erase(Value.value().Name);
  this->Table.put(Now, Value.value());
  return true;
}

void MemberTracker::applyDelete(base::TimePoint Now,
                                const base::MemberName &Name) {
  bool IsRecovering = Now < this->RecoveryEndsAt;
  std::optional<Member> Known = this->Table.find(Name);
  bool IsPlanned = Known && Known->State == MemberState::Leaving;
  if (IsRecovering || IsPlanned) {
    this->applyAbsence(Now, Name);
    return;
  }
  this->AbsentMembers.erase(Name);
  this->Table.markSilent(Now, Name);
}

void MemberTracker::applyAbsence(base::TimePoint Now,
                                 const base::MemberName &Name) {
  std::optional<Member> Known = this->Table.find(Name);
  if (Known && Known->State == MemberState::Leaving) {
    this->AbsentMembers.erase(Name);
    this->Table.remove(Name);
    return;
  }
  if (Known && !this->Table.isSilent(Name)) {
    this->AbsentMembers.try_emplace(Name, Now + LeaseTtl);
  }
}

void MemberTracker::tick(base::TimePoint Now) {
  if (this->IsDown) {
    return;
  }
  for (auto It = this->AbsentMembers.begin();
       It != this->AbsentMembers.end();) {
    if (Now < It->second) {
      ++It;
      continue;
    }
    this->Table.markSilent(Now, It->first);
    It = this->AbsentMembers.erase(It);
  }
  // Grace periods may have ended during the outage, so the table removes
  // nothing before the recovery is over.
  if (Now >= this->RecoveryEndsAt) {
    this->Table.tick(Now);
  }
}

} // namespace bilberry::members
