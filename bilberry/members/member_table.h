// The board's table of members, and the two lists that routing takes from it.
//
// Lookup lists every member that may carry a flow: draining, cold and, for a
// grace period, silent ones too. Placement is that list without what may take
// no new work. Both leave out data centres that are out of service. Draining
// therefore changes where new flows go, never where an old one is found.

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
inline constexpr base::Duration SilentGrace = std::chrono::seconds(30);

/// A member with the hash of its name, which rendezvous hashing seeds with.
struct RankedMember {
  Member Value;
  uint64_t NameHash = 0;
};

/// The agents of one service, as one consistent view. Immutable once built;
/// both lists are in the order of names.
struct ServiceView {
  std::vector<RankedMember> Lookup;
  std::vector<RankedMember> Placement;

  /// The member of that name in Lookup, or null.
  const Member *find(const base::MemberName &Name) const;
};

/// Every member known, and whether its lease holds. Thread-safe: one mutex of
/// rank Members; views are shared and read without it.
class MemberTable {
public:
  /// Adds a member, or replaces what is known of its name. A lower
  /// incarnation than the known one is ignored. Marks it as not silent.
  void put(base::TimePoint Now, const Member &Value);

  /// Notes that the member's lease has expired. It leaves Placement at once
  /// and Lookup after SilentGrace. Unknown names are ignored.
  void markSilent(base::TimePoint Now, const base::MemberName &Name);

  /// Forgets a member that has left.
  void remove(const base::MemberName &Name);

  /// Sets the data centres that are out of service.
  void setOutOfService(std::set<base::DataCentreName> Names);

  /// Drops members that have been silent for longer than SilentGrace.
  void tick(base::TimePoint Now);

  /// The view of one service; empty for an unknown service. Never null.
  std::shared_ptr<const ServiceView> view(const base::ServiceName &Name) const;

  /// The member of that name, silent or not.
  std::optional<Member> find(const base::MemberName &Name) const;

  /// True where the member is known and its lease has expired.
  bool isSilent(const base::MemberName &Name) const;

  /// All members, in the order of their names.
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
