#include "bilberry/targets/rollout_status.h"

#include <algorithm>
#include <set>

namespace bilberry::targets {

using members::Member;

static OutdatedProcess makeOutdatedProcess(const StoredTargets &Current,
                                           const Member &Member) {
  OutdatedProcess Process;
  Process.Member = Member;
  auto FirstMissed = std::ranges::find_if(
      Current.Changes, [&Member](const ChangeRecord &Record) {
        return Record.Revision > Member.Applied;
      });
  if (FirstMissed != Current.Changes.end()) {
    Process.Since = FirstMissed->At;
    Process.MayLackOlderRevisions = FirstMissed == Current.Changes.begin() &&
                                    FirstMissed->Revision > Member.Applied + 1;
  }
  return Process;
}

RolloutStatus RolloutTracker::evaluate(const StoredTargets &Current,
                                       const FleetList &Fleet) {
  RolloutStatus Status;
  Status.CurrentRevision = Current.Revision;
  Status.LiveCount = Fleet.Members.size();
  Status.UnreadableKeys = Fleet.UnreadableKeys;
  std::set<base::MemberName> LiveNames;
  for (const Member &Announced : Fleet.Members) {
    LiveNames.insert(Announced.Name);
    this->LastSeen[Announced.Name] = Announced;
    if (Announced.Applied < Current.Revision) {
      Status.OutdatedProcesses.push_back(
          makeOutdatedProcess(Current, Announced));
    }
  }
  for (const auto &[Name, Announced] : this->LastSeen) {
    bool HasLeft = Announced.State == members::MemberState::Leaving;
    if (!LiveNames.contains(Name) && !HasLeft &&
        Announced.Applied < Current.Revision) {
      Status.ExpiredProcesses.push_back(
          makeOutdatedProcess(Current, Announced));
    }
  }
  return Status;
}

} // namespace bilberry::targets
