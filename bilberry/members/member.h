// The membership record that each balancer and agent publishes about itself, in
// the store and on every link between two processes.

#ifndef BILBERRY_MEMBERS_MEMBER_H
#define BILBERRY_MEMBERS_MEMBER_H

#include "bilberry/base/address.h"
#include "bilberry/base/ids.h"
#include "bilberry/base/name.h"

#include <cstdint>
#include <string_view>

namespace bilberry::members {

/// The kind of process. The values are the wire format.
enum class MemberRole : uint8_t { Balancer = 0, Agent = 1 };

/// The service state of a member. The values are the wire format.
enum class MemberState : uint8_t {
  /// Serving, but its upstream's working limit is still at the cold floor.
  Cold = 0,
  /// Accepts new work.
  InService = 1,
  /// Finishes its current work; accepts no new work.
  Draining = 2,
  /// About to stop; has no work left.
  Leaving = 3,
};

/// The texts used in logs, announcements and `bilberryctl status`. Never fail.
std::string_view roleText(MemberRole Role);
std::string_view stateText(MemberState State);

/// A plain value; equal members have the same announcement.
struct Member {
  base::MemberName Name;
  base::Incarnation Run = 0;
  MemberRole Role = MemberRole::Agent;
  MemberState State = MemberState::Cold;
  base::DataCentreName DataCentre;
  /// The service of the agent's upstream; empty for a balancer.
  base::ServiceName Service;
  /// UDP address for callers' packets.
  base::Address Data;
  /// Address for messages between balancers and agents: nng over TCP.
  base::Address Control;
  /// The revision of the targets that the process has applied.
  base::Revision Applied = 0;

  bool operator==(const Member &) const = default;
  MSGPACK_DEFINE(Name, Run, Role, State, DataCentre, Service, Data, Control,
                 Applied); // NOLINT
};

/// True if the member may be given new flows and requests.
inline bool takesNewWork(const Member &Value) {
  return Value.State == MemberState::Cold ||
         Value.State == MemberState::InService;
}

} // namespace bilberry::members

MSGPACK_ADD_ENUM(bilberry::members::MemberRole);
MSGPACK_ADD_ENUM(bilberry::members::MemberState);

#endif
