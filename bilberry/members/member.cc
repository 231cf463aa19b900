#include "bilberry/members/member.h"

namespace bilberry::members {

std::string_view roleText(MemberRole Role) {
  switch (Role) {
  case MemberRole::Balancer:
    return "balancer";
  case MemberRole::Agent:
    return "agent";
  }
  return "unknown";
}

std::string_view stateText(MemberState State) {
  switch (State) {
  case MemberState::Cold:
    return "cold";
  case MemberState::InService:
    return "in-service";
  case MemberState::Draining:
    return "draining";
  case MemberState::Leaving:
    return "leaving";
  }
  return "unknown";
}

} // namespace bilberry::members
