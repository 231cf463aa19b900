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

void Findings::add(Place Where, std::string Message) {
  this->List.push_back({std::move(Where), std::move(Message)});
}

static std::string findingText(const Finding &Item) {
  std::string Text = Item.Where.File;
  if (Item.Where.Line > 0) {
    Text += ":" + std::to_string(Item.Where.Line);
  }
  Text += ": ";
  if (!Item.Where.Section.empty()) {
    Text += "[" + Item.Where.Section + "] ";
  }
  if (!Item.Where.Key.empty()) {
    Text += Item.Where.Key + ": ";
  }
  return Text + Item.Message;
}

std::string Findings::text() const {
  std::string Text;
  for (const Finding &Item : this->List) {
    Text += findingText(Item) + "\n";
  }
  return Text;
}

} // namespace bilberry::base
