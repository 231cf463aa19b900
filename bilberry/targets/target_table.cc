#include "bilberry/targets/target_table.h"

#include <mutex>
#include <utility>

namespace bilberry::targets {

bool TargetTable::advance(Targets Document, std::string Text) {
  std::lock_guard Lock(this->Mutex);
  if (Document.Revision <= this->Document->Revision) {
    return false;
  }
  this->Document = std::make_shared<const Targets>(std::move(Document));
  this->Text = std::move(Text);
  return true;
}

std::shared_ptr<const Targets> TargetTable::current() const {
  std::lock_guard Lock(this->Mutex);
  return this->Document;
}

std::pair<base::Revision, std::string> TargetTable::text() const {
  std::lock_guard Lock(this->Mutex);
  return {this->Document->Revision, this->Text};
}

} // namespace bilberry::targets
