#include "bilberry/targets/target_change.h"

#include <algorithm>
#include <utility>

namespace bilberry::targets {

// Keeps the change records a small part of the store's value.
static constexpr size_t MaxRecordTextBytes = 200;

std::string_view changeStateText(ChangeState State) {
  switch (State) {
  case ChangeState::Accepted:
    return "accepted";
  case ChangeState::NotAccepted:
    return "not-accepted";
  case ChangeState::NotSeen:
    return "not-seen";
  case ChangeState::BeyondHistory:
    return "forgotten";
  }
  return "unknown";
}

const ChangeRecord *findChange(const StoredTargets &Current,
                               std::string_view Id) {
  auto It = std::ranges::find(Current.Changes, Id, &ChangeRecord::Id);
  return It == Current.Changes.end() ? nullptr : &*It;
}

ChangeState resolveChangeState(const StoredTargets &Current,
                               std::string_view Id,
                               base::Revision AttemptedRevision) {
  if (findChange(Current, Id)) {
    return ChangeState::Accepted;
  }
  if (AttemptedRevision == 0 || Current.Revision < AttemptedRevision) {
    return ChangeState::NotSeen;
  }
  bool IsInHistory = !Current.Changes.empty() &&
                     Current.Changes.front().Revision <= AttemptedRevision;
  return IsInHistory ? ChangeState::NotAccepted : ChangeState::BeyondHistory;
}

StoredTargets nextTargets(const StoredTargets &Current,
                          const ChangeRequest &Request, std::string Text,
                          base::Revision Revision) {
  StoredTargets Next;
  Next.Revision = Revision;
  Next.Text = std::move(Text);
  Next.Changes = Current.Changes;
  Next.Changes.push_back(
      {Request.Id, Revision, Request.Author.substr(0, MaxRecordTextBytes),
       Request.Summary.substr(0, MaxRecordTextBytes), Request.At});
  if (Next.Changes.size() > MaxStoredChanges) {
    Next.Changes.erase(Next.Changes.begin());
  }
  return Next;
}

} // namespace bilberry::targets
