// What an agent keeps of its flows: those that it carries, those that it knows
// to be elsewhere, and those that have just ended.

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

/// Flows known to be elsewhere that an agent remembers.
inline constexpr size_t MaxFlowRecords = 32768;
/// Flows that have just ended that an agent remembers.
inline constexpr size_t MaxTombstones = 8192;

/// A caller's datagram as it came, kept for later.
struct KeptPacket {
  wire::ForwardHeader Header;
  std::string Payload;

  MSGPACK_DEFINE(Header, Payload); // NOLINT
};

/// A flow that our upstream serves. Small, since there are thousands.
struct CarriedFlow {
  base::Address Caller;
  uint64_t Connection = 0;
  base::TimePoint OpenedAt;
  base::TimePoint LastPacket;
  /// The packet that opened it, until the upstream has answered.
  std::unique_ptr<KeptPacket> Opening;
  /// By FlowTable::classNumber.
  uint16_t Class = 0;
  /// The upstream has neither taken nor refused it yet.
  bool IsOpening = true;
  /// Other members hold records of it.
  bool IsRecorded = false;
};

/// Where a flow is that this agent doesn't carry.
struct KnownHolder {
  base::MemberName Holder;
  /// True where we passed the opening packet on and nobody has told us more.
  bool IsPassedOn = false;
};

/// How long packets of a flow that has closed are told so again. In this time
/// no late copy of its opening packet opens it a second time.
inline constexpr base::Duration ClosedLife = std::chrono::seconds(30);
/// The same for a flow that was reset. Short, since the caller may open it
/// anew, and another member may then carry it.
inline constexpr base::Duration ResetLife = std::chrono::seconds(1);

/// How a flow ended, for packets that come after its end.
struct Tombstone {
  wire::FlowEvent Event = wire::FlowEvent::Closed;
  std::string Reason;
  base::TimePoint EndedAt;
};

/// Not safe for use by two threads at once.
class FlowTable {
public:
  using CarriedMap = std::unordered_map<base::FlowKey, CarriedFlow>;

  CarriedMap Carried;
  BoundedFlowMap<KnownHolder> Elsewhere{MaxFlowRecords};
  BoundedFlowMap<Tombstone> Ended{MaxTombstones};

  /// The flow, or null.
  CarriedFlow *find(const base::FlowKey &Key);
  /// How the flow ended, or null where it hasn't or that is too long ago.
  const Tombstone *findEnd(base::TimePoint Now, const base::FlowKey &Key) const;
  /// A small number for a class, and back. There are few classes.
  uint16_t classNumber(const base::ClassName &Name);
  const base::ClassName &className(uint16_t Number) const {
    return this->Classes[Number];
  }

private:
  std::vector<base::ClassName> Classes;
};

/// The table as bytes, and back. parseFlowTable gives flows in no order.
/// Errors: Malformed.
std::string flowTableBytes(const FlowTable &Table);
base::Result<FlowTable> parseFlowTable(std::string_view Bytes);

} // namespace bilberry::routing

#endif
