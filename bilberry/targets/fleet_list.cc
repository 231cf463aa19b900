#include "bilberry/targets/fleet_list.h"

#include "bilberry/members/member_text.h"

#include <algorithm>

namespace bilberry::targets {

FleetList readFleet(const store::Listing &List) {
  FleetList Fleet;
  for (const store::KeyValue &Entry : List.Entries) {
    auto Member = members::parseMember(Entry.Value);
    if (Member) {
      Fleet.Members.push_back(std::move(Member.value()));
    } else {
      Fleet.UnreadableKeys.push_back(Entry.Key);
    }
  }
  std::ranges::sort(Fleet.Members, {}, &members::Member::Name);
  return Fleet;
}

} // namespace bilberry::targets
