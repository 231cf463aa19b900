#include "bilberry/targets/target_change.h"

#include <algorithm>
#include <utility>

namespace bilberry::targets {

// So that the notes take a small part of the store's value.
static constexpr size_t MaxNoteText = 200;

std::string_view changeStateText(ChangeState State) {
  switch (State) {
  case ChangeState::Accepted:
    return "accepted";
  case ChangeState::NotAccepted:
    return "not-accepted";
  case ChangeState::NotSeen:
    return "not-seen";
  case ChangeState::Forgotten:
    return "forgotten";
  }
  return "unknown";
}

const ChangeNote *findChange(const StoredTargets &Present,
                             std::string_view Id) {
  auto It = std::ranges::find(Present.Changes, Id, &ChangeNote::Id);
  return It == Present.Changes.end() ? nullptr : &*It;
}

ChangeState settleChange(const StoredTargets &Present, std::string_view Id,
                         base::Revision Attempted) {
  if (findChange(Present, Id)) {
    return ChangeState::Accepted;
  }
  if (Attempted == 0 || Present.Revision < Attempted) {
    return ChangeState::NotSeen;
  }
  bool IsKept =
      !Present.Changes.empty() && Present.Changes.front().Revision <= Attempted;
  return IsKept ? ChangeState::NotAccepted : ChangeState::Forgotten;
}

StoredTargets nextTargets(const StoredTargets &Present,
                          const ChangeRequest &Request, std::string Text,
                          base::Revision Revision) {
  StoredTargets Next;
  Next.Revision = Revision;
  Next.Text = std::move(Text);
  Next.Changes = Present.Changes;
  Next.Changes.push_back({Request.Id, Revision,
                          Request.Author.substr(0, MaxNoteText),
                          Request.Summary.substr(0, MaxNoteText), Request.At});
  if (Next.Changes.size() > KeptChanges) {
    Next.Changes.erase(Next.Changes.begin());
  }
  return Next;
}

} // namespace bilberry::targets
