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
  base::Findings Problems;
  targets::Targets Document = targets::parseTargets(Text, "targets", Problems);
  if (!Problems.empty()) {
    log::error("event=targets-rejected revision=" + std::to_string(Revision) +
               " findings=\"" + Problems.text() + "\"");
    return false;
  }
  Document.Revision = Revision;
  if (!Targets.advance(std::move(Document), Text)) {
    return false;
  }
  // Read back: another thread may have put a still later one into force.
  std::shared_ptr<const targets::Targets> InForce = Targets.current();
  Members.setOutOfService(InForce->outOfService());
  Self.setApplied(InForce->Revision);
  return true;
}

bool ViewExchange::shouldFetch(base::TimePoint Now, base::Revision Theirs) {
  if (Theirs <= this->Targets.current()->Revision) {
    return false;
  }
  std::lock_guard Lock(this->Mutex);
  if (Now - this->LastFetch < FetchInterval) {
    return false;
  }
  this->LastFetch = Now;
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
  const base::MemberName Own = this->Self.get().Name;
  for (const members::Member &Member : View.Members) {
    std::optional<members::Member> Known = this->Members.find(Member.Name);
    if (Member.Name != Own && (!Known || Known->Run < Member.Run)) {
      this->Members.put(Now, Member);
    }
  }
}

} // namespace bilberry::node
