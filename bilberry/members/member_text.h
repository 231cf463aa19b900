// The JSON format of a member's announcement, the value of its key in the
// store.

#ifndef BILBERRY_MEMBERS_MEMBER_TEXT_H
#define BILBERRY_MEMBERS_MEMBER_TEXT_H

#include "bilberry/base/error.h"
#include "bilberry/members/member.h"

#include <string>
#include <string_view>

namespace bilberry::members {

/// Serializes an announcement. Thread-safe, like all functions here.
std::string serializeMember(const Member &Value);

/// Parses an announcement. Unknown fields are ignored, so that newer versions
/// can add fields. Errors: Malformed, with the field's name, if a field is
/// missing or invalid, an agent has no service or a balancer has one.
base::Result<Member> parseMember(std::string_view Text);

} // namespace bilberry::members

#endif
