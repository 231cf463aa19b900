#include "bilberry/routing/flow_table.h"

#include "bilberry/wire/codec.h"
#include "bilberry/wire/time_format.h"

#include <algorithm>

namespace bilberry::routing {

CarriedFlow *FlowTable::find(const base::FlowKey &Key) {
  auto It = this->Carried.find(Key);
  return It == this->Carried.end() ? nullptr : &It->second;
}

const Tombstone *FlowTable::findTombstone(base::TimePoint Now,
                                          const base::FlowKey &Key) const {
  const Tombstone *End = this->Tombstones.find(Key);
  if (End == nullptr) {
    return nullptr;
  }
  bool IsClosed = End->Event == wire::FlowEvent::Closed;
  bool IsCurrent = Now - End->EndedAt < (IsClosed ? ClosedTombstoneLifetime
                                                  : ResetTombstoneLifetime);
  return IsCurrent ? End : nullptr;
}

uint16_t FlowTable::classNumber(const base::ClassName &Name) {
  auto It = std::find(this->Classes.begin(), this->Classes.end(), Name);
  if (It == this->Classes.end()) {
    this->Classes.push_back(Name);
    return static_cast<uint16_t>(this->Classes.size() - 1);
  }
  return static_cast<uint16_t>(It - this->Classes.begin());
}

namespace {

// The serialized form of the three kinds of entry. OpeningPacket holds at most
// one packet.
struct SavedFlow {
  base::FlowKey Key;
  base::Address Caller;
  uint64_t Connection = 0;
  base::TimePoint OpenedAt;
  base::TimePoint LastPacketAt;
  std::vector<StoredPacket> OpeningPacket;
  base::ClassName Class;
  bool IsOpening = false;
  bool IsRecorded = false;

  MSGPACK_DEFINE(Key, Caller, Connection, OpenedAt, LastPacketAt, OpeningPacket,
                 Class, IsOpening, IsRecorded); // NOLINT
};

struct SavedHolder {
  base::FlowKey Key;
  base::MemberName Holder;
  bool IsPassedOn = false;

  MSGPACK_DEFINE(Key, Holder, IsPassedOn); // NOLINT
};

struct SavedTombstone {
  base::FlowKey Key;
  uint8_t Event = 0;
  std::string Reason;
  base::TimePoint EndedAt;

  MSGPACK_DEFINE(Key, Event, Reason, EndedAt); // NOLINT
};

struct SavedTable {
  std::vector<SavedFlow> Flows;
  std::vector<SavedHolder> RemoteHolders;
  std::vector<SavedTombstone> Tombstones;

  MSGPACK_DEFINE(Flows, RemoteHolders, Tombstones); // NOLINT
};

} // namespace

static SavedFlow savedFlow(const FlowTable &Table, const base::FlowKey &Key,
                           const CarriedFlow &Flow) {
  SavedFlow Saved{Key,
                  Flow.Caller,
                  Flow.Connection,
                  Flow.OpenedAt,
                  Flow.LastPacketAt,
                  {},
                  Table.className(Flow.Class),
                  Flow.IsOpening,
                  Flow.IsRecorded};
  if (Flow.OpeningPacket) {
    Saved.OpeningPacket.push_back(*Flow.OpeningPacket);
  }
  return Saved;
}

std::string flowTableBytes(const FlowTable &Table) {
  SavedTable Saved;
  Saved.Flows.reserve(Table.Carried.size());
  for (const auto &[Key, Flow] : Table.Carried) {
    Saved.Flows.push_back(savedFlow(Table, Key, Flow));
  }
  Table.RemoteHolders.forEach(
      [&](const base::FlowKey &Key, const RemoteHolder &Known) {
        Saved.RemoteHolders.push_back({Key, Known.Holder, Known.IsPassedOn});
      });
  Table.Tombstones.forEach([&](const base::FlowKey &Key, const Tombstone &End) {
    Saved.Tombstones.push_back(
        {Key, static_cast<uint8_t>(End.Event), End.Reason, End.EndedAt});
  });
  return wire::encode(Saved);
}

static CarriedFlow restoredFlow(FlowTable &Table, SavedFlow &Saved) {
  CarriedFlow Flow;
  Flow.Caller = Saved.Caller;
  Flow.Connection = Saved.Connection;
  Flow.OpenedAt = Saved.OpenedAt;
  Flow.LastPacketAt = Saved.LastPacketAt;
  if (!Saved.OpeningPacket.empty()) {
    Flow.OpeningPacket =
        std::make_unique<StoredPacket>(std::move(Saved.OpeningPacket[0]));
  }
  Flow.Class = Table.classNumber(Saved.Class);
  Flow.IsOpening = Saved.IsOpening;
  Flow.IsRecorded = Saved.IsRecorded;
  return Flow;
}

base::Result<FlowTable> parseFlowTable(std::string_view Bytes) {
  base::Result<SavedTable> Saved = wire::decode<SavedTable>(Bytes);
  if (!Saved) {
    return Saved.error();
  }
  FlowTable Table;
  for (SavedFlow &Flow : Saved.value().Flows) {
    Table.Carried.emplace(Flow.Key, restoredFlow(Table, Flow));
  }
  for (const SavedHolder &Known : Saved.value().RemoteHolders) {
    Table.RemoteHolders.put(Known.Key, {Known.Holder, Known.IsPassedOn});
  }
  for (const SavedTombstone &End : Saved.value().Tombstones) {
    if (End.Event > static_cast<uint8_t>(wire::FlowEvent::Reset)) {
      return base::Error{base::ErrorCode::Malformed, "unknown flow event"};
    }
    Table.Tombstones.put(End.Key, {static_cast<wire::FlowEvent>(End.Event),
                                   End.Reason, End.EndedAt});
  }
  return Table;
}

} // namespace bilberry::routing
