#include "bilberry/base/error.h"

#include <utility>

namespace bilberry::base {

std::string_view errorCodeText(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::Malformed:
    return "malformed";
  case ErrorCode::OutOfRange:
    return "out-of-range";
  case ErrorCode::NotFound:
    return "not-found";
  case ErrorCode::Conflict:
    return "conflict";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::OutcomeUnknown:
    return "outcome-unknown";
  case ErrorCode::LeaseExpired:
    return "lease-expired";
  case ErrorCode::Unsafe:
    return "unsafe";
  case ErrorCode::System:
    return "system";
  }
  return "unknown";
}

void Findings::add(DocumentLocation Location, std::string Message) {
  this->List.push_back({std::move(Location), std::move(Message)});
}

static std::string formatFinding(const Finding &Item) {
  std::string Text = Item.Location.File;
  if (Item.Location.Line > 0) {
    Text += ":" + std::to_string(Item.Location.Line);
  }
  Text += ": ";
  if (!Item.Location.Section.empty()) {
    Text += "[" + Item.Location.Section + "] ";
  }
  if (!Item.Location.Key.empty()) {
    Text += Item.Location.Key + ": ";
  }
  return Text + Item.Message;
}

std::string Findings::text() const {
  std::string Text;
  for (const Finding &Item : this->List) {
    Text += formatFinding(Item) + "\n";
  }
  return Text;
}

} // namespace bilberry::base
