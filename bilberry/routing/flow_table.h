// The flow table of an agent: the flows that it carries, records of flows held
// by other members, and tombstones of flows that have recently ended.

#ifndef BILBERRY_ROUTING_FLOW_TABLE_H
#define BILBERRY_ROUTING_FLOW_TABLE_H

#include "bilberry/base/clock.h"
#include "bilberry/routing/bounded_flow_map.h"
#include "bilberry/wire/caller_message.h"
#include "bilberry/wire/data_message.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry::routing {

/// Maximum number of records of flows held by other members.
inline constexpr size_t MaxFlowRecords = 32768;
/// Maximum number of recently ended flows that are remembered.
inline constexpr size_t MaxTombstones = 8192;

/// A copy of a caller's datagram as received, stored for later handling.
struct StoredPacket {
  wire::ForwardHeader Header;
  std::string Payload;

  MSGPACK_DEFINE(Header, Payload); // NOLINT
};

/// A flow served by this agent's upstream. Kept small, because there are
/// thousands.
struct CarriedFlow {
  base::Address Caller;
  uint64_t Connection = 0;
  base::TimePoint OpenedAt;
  base::TimePoint LastPacketAt;
  /// The packet that opened the flow, stored until the upstream responds.
  std::unique_ptr<StoredPacket> OpeningPacket;
  /// The number from FlowTable::classNumber.
  uint16_t Class = 0;
  /// The upstream has neither accepted nor refused the flow yet.
  bool IsOpening = true;
  /// Other members have records of the flow.
  bool IsRecorded = false;
};

/// The holder of a flow that this agent doesn't carry.
struct RemoteHolder {
  base::MemberName Holder;
  /// True if this agent passed on the opening packet and has received no record
  /// of the flow since.
  bool IsPassedOn = false;
};

/// How long packets of a closed flow are answered with its end. During this
/// time a late duplicate of its opening packet can't reopen it.
inline constexpr base::Duration ClosedTombstoneLifetime =
    std::chrono::seconds(30);
/// The same for a flow that was reset. Short, because the caller may reopen the
/// flow, and another member may then carry it.
inline constexpr base::Duration ResetTombstoneLifetime =
    std::chrono::seconds(1);

/// Records how a flow ended, to answer packets that arrive after its end.
struct Tombstone {
  wire::FlowEvent Event = wire::FlowEvent::Closed;
  std::string Reason;
  base::TimePoint EndedAt;
};

/// The flows known to one agent. Not thread-safe.
class FlowTable {
public:
  using CarriedMap = std::unordered_map<base::FlowKey, CarriedFlow>;

  CarriedMap Carried;
  BoundedFlowMap<RemoteHolder> RemoteHolders{MaxFlowRecords};
  BoundedFlowMap<Tombstone> Tombstones{MaxTombstones};

  /// Returns the carried flow, or null.
  CarriedFlow *find(const base::FlowKey &Key);
  /// Returns the flow's tombstone, or null if there is none or it has expired.
  const Tombstone *findTombstone(base::TimePoint Now,
                                 const base::FlowKey &Key) const;
  /// Maps a class name to a small number; className() is the inverse. There
  /// are few classes, so the lookup is linear.
  uint16_t classNumber(const base::ClassName &Name);
  const base::ClassName &className(uint16_t Number) const {
    return this->Classes[Number];
  }

private:
  std::vector<base::ClassName> Classes;
};

/// Serialize and parse the table. The order of carried flows is not preserved.
/// Errors: Malformed.
std::string flowTableBytes(const FlowTable &Table);
base::Result<FlowTable> parseFlowTable(std::string_view Bytes);

} // namespace bilberry::routing

#endif
