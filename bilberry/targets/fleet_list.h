// Reads the list of live processes from the store.

#ifndef BILBERRY_TARGETS_FLEET_LIST_H
#define BILBERRY_TARGETS_FLEET_LIST_H

#include "bilberry/members/member.h"
#include "bilberry/store/store.h"

#include <string>
#include <vector>

namespace bilberry::targets {

/// The live processes at one store revision. A plain value.
struct FleetList {
  /// The members whose lease is valid, sorted by name.
  std::vector<members::Member> Members;
  /// Keys whose values can't be parsed; the processes behind them are unknown.
  std::vector<std::string> UnreadableKeys;
};

/// Parses a listing of store::MembersPrefix. Thread-safe.
FleetList readFleet(const store::Listing &List);

} // namespace bilberry::targets

#endif
