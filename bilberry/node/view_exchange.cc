#include "bilberry/node/view_exchange.h"

#include "bilberry/log/log.h"
#include "bilberry/targets/target_document.h"

#include <mutex>
#include <string>
#include <utility>

namespace bilberry::node {

bool applyTargets(base::Revision Revision, const std::string &Text,
                  targets::TargetTable &Targets, members::MemberTable &Members,
                  board::LocalMember &Self) {
  if (Revision <= Targets.current()->Revision) {
    return false;
  }
  base::Findings ParseErrors;
  targets::Targets Document =
      targets::parseTargets(Text, "targets", ParseErrors);
  if (!ParseErrors.empty()) {
    log::error("event=targets-rejected revision=" + std::to_string(Revision) +
               " findings=\"" + ParseErrors.text() + "\"");
    return false;
  }
  Document.Revision = Revision;
  if (!Targets.advance(std::move(Document), Text)) {
    return false;
  }
  // Read again: another thread may have applied a later revision meanwhile.
  std::shared_ptr<const targets::Targets> AppliedTargets = Targets.current();
  Members.setOutOfService(AppliedTargets->outOfService());
  Self.setApplied(AppliedTargets->Revision);
  return true;
}

bool ViewExchange::shouldFetchView(base::TimePoint Now,
                                   base::Revision PeerRevision) {
  if (PeerRevision <= this->Targets.current()->Revision) {
    return false;
  }
  std::lock_guard Lock(this->Mutex);
  if (Now - this->LastViewFetch < MinViewFetchInterval) {
    return false;
  }
  this->LastViewFetch = Now;
  return true;
}

wire::View ViewExchange::view() const {
  wire::View View;
  auto [Revision, Text] = this->Targets.text();
  View.TargetsRevision = Revision;
  View.Targets = std::move(Text);
  View.Members = this->Members.all();
  return View;
}

void ViewExchange::onView(base::TimePoint Now, const wire::View &View) {
  applyTargets(View.TargetsRevision, View.Targets, this->Targets, this->Members,
               this->Self);
  const base::MemberName OwnName = this->Self.get().Name;
  for (const members::Member &Member : View.Members) {
    std::optional<members::Member> Known = this->Members.find(Member.Name);
    if (Member.Name != OwnName && (!Known || Known->Run < Member.Run)) {
      this->Members.put(Now, Member);
    }
  }
}

} // namespace bilberry::node
