#include "bilberry/targets/force_status.h"

#include <algorithm>
#include <set>

namespace bilberry::targets {

using members::Member;

static Laggard makeLaggard(const StoredTargets &Present, const Member &Member) {
  Laggard Late;
  Late.Member = Member;
  auto Missed =
      std::ranges::find_if(Present.Changes, [&Member](const ChangeNote &Note) {
        return Note.Revision > Member.Applied;
      });
  if (Missed != Present.Changes.end()) {
    Late.Since = Missed->At;
    Late.IsLonger = Missed == Present.Changes.begin() &&
                    Missed->Revision > Member.Applied + 1;
  }
  return Late;
}

ForceStatus ForceTracker::judge(const StoredTargets &Present,
                                const FleetList &Fleet) {
  ForceStatus Status;
  Status.Current = Present.Revision;
  Status.Live = Fleet.Members.size();
  Status.Unreadable = Fleet.Unreadable;
  std::set<base::MemberName> Live;
  for (const Member &Value : Fleet.Members) {
    Live.insert(Value.Name);
    this->Seen[Value.Name] = Value;
    if (Value.Applied < Present.Revision) {
      Status.Behind.push_back(makeLaggard(Present, Value));
    }
  }
  for (const auto &[Name, Value] : this->Seen) {
    bool HasLeft = Value.State == members::MemberState::Leaving;
    if (!Live.contains(Name) && !HasLeft && Value.Applied < Present.Revision) {
      Status.Lapsed.push_back(makeLaggard(Present, Value));
    }
  }
  return Status;
}

} // namespace bilberry::targets
