// A member's announcement as JSON text, the value under its key in the store.

#ifndef BILBERRY_MEMBERS_MEMBER_TEXT_H
#define BILBERRY_MEMBERS_MEMBER_TEXT_H

#include "bilberry/base/error.h"
#include "bilberry/members/member.h"

#include <string>
#include <string_view>

namespace bilberry::members {

/// The announcement's text. Thread-safe, as all functions here.
std::string memberText(const Member &Value);

/// Reads an announcement; unknown fields are ignored, so that a newer process
/// may tell more. Errors: Malformed, with the field's name, where a field is
/// missing or bad, where an agent has no service, or a balancer has one.
base::Result<Member> parseMember(std::string_view Text);

} // namespace bilberry::members

#endif
