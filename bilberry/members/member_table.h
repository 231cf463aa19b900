// The table of known members, and the two lists that routing derives from it.
//
// Lookup lists every member that may have a flow, including draining, cold and,
// for a grace period, silent ones. Placement is that list without the members
// that may not accept new work. Both exclude data centres that are out of
// service. Draining therefore changes where new flows are placed, but not where
// existing flows are found.

#ifndef BILBERRY_MEMBERS_MEMBER_TABLE_H
#define BILBERRY_MEMBERS_MEMBER_TABLE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ranked_mutex.h"
#include "bilberry/members/member.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace bilberry::members {

/// How long Lookup keeps a member after its lease has expired.
inline constexpr base::Duration SilentGracePeriod = std::chrono::seconds(30);

/// A member with the hash of its name, the seed for rendezvous hashing.
struct HashedMember {
  Member Value;
  uint64_t NameHash = 0;
};

/// A consistent snapshot of the agents of one service. Immutable once built;
/// both lists are sorted by name.
struct ServiceView {
  std::vector<HashedMember> Lookup;
  std::vector<HashedMember> Placement;

  /// Returns the member of that name in Lookup, or null.
  const Member *find(const base::MemberName &Name) const;
};

/// All known members, and whether their leases are held. Thread-safe: one mutex
/// of rank Members; views are shared and read without it.
class MemberTable {
public:
  /// Adds a member or replaces the one of the same name, and marks it as not
  /// silent. A lower incarnation than the known one is ignored.
  void put(base::TimePoint Now, const Member &Value);

  /// Records that the member's lease has expired. It is removed from Placement
  /// at once and from Lookup after SilentGracePeriod. Unknown names are
  /// ignored.
  void markSilent(base::TimePoint Now, const base::MemberName &Name);

  /// Removes a member that has left. Unknown names are ignored.
  void remove(const base::MemberName &Name);

  /// Sets the data centres that are out of service.
  void setOutOfService(std::set<base::DataCentreName> Names);

  /// Removes members that have been silent for longer than SilentGracePeriod.
  void tick(base::TimePoint Now);

  /// Returns the view of one service; empty for an unknown service. Never
  /// null.
  std::shared_ptr<const ServiceView> view(const base::ServiceName &Name) const;

  /// Returns the member of that name, silent or not.
  std::optional<Member> find(const base::MemberName &Name) const;

  /// True if the member is known and its lease has expired.
  bool isSilent(const base::MemberName &Name) const;

  /// Returns all members, sorted by name.
  std::vector<Member> all() const;

private:
  struct Entry {
    Member Value;
    std::optional<base::TimePoint> SilentSince;
  };

  // Precondition: Mutex is held.
  void rebuild(const base::ServiceName &Name);

  mutable base::RankedMutex Mutex{base::LockRank::Members};
  std::map<base::MemberName, Entry> Entries;
  std::set<base::DataCentreName> OutOfService;
  std::map<base::ServiceName, std::shared_ptr<const ServiceView>> Views;
};

} // namespace bilberry::members

#endif
