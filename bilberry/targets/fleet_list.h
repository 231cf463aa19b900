// The live processes, as the store lists them.

#ifndef BILBERRY_TARGETS_FLEET_LIST_H
#define BILBERRY_TARGETS_FLEET_LIST_H

#include "bilberry/members/member.h"
#include "bilberry/store/store.h"

#include <string>
#include <vector>

namespace bilberry::targets {

struct FleetList {
  /// Whose lease holds, in the order of their names.
  std::vector<members::Member> Members;
  /// Keys whose values can't be read; what runs there isn't known.
  std::vector<std::string> Unreadable;
};

/// Reads a listing of store::MembersPrefix. Thread-safe.
FleetList readFleet(const store::Listing &List);

} // namespace bilberry::targets

#endif
