#include "bilberry/standin/key_value_state.h"

#include "bilberry/store/etcd_json.h"

#include <utility>

namespace bilberry::standin {

using base::Error;
using base::ErrorCode;
using store::KeyValue;
using store::LeaseId;
using store::StoreRevision;

static Error unknownLease() {
  return {ErrorCode::LeaseExpired, "etcdserver: requested lease not found"};
}

bool KeyRange::contains(std::string_view Key) const {
  if (this->End.empty()) {
    return Key == this->Begin;
  }
  bool HasNoEnd = this->End.size() == 1 && this->End[0] == '\0';
  return Key >= this->Begin && (HasNoEnd || Key < this->End);
}

KeyRange prefixRange(std::string_view Prefix) {
  return {std::string(Prefix), store::prefixEnd(Prefix)};
}

store::Listing KeyValueState::list(const KeyRange &Range) const {
  store::Listing List{{}, this->CurrentRevision};
  for (auto It = this->Entries.lower_bound(Range.Begin);
       It != this->Entries.end() && Range.contains(It->first); ++It) {
    List.Entries.push_back(It->second);
  }
  return List;
}

std::optional<KeyValue> KeyValueState::get(std::string_view Key) const {
  auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end()) {
    return std::nullopt;
  }
  return Found->second;
}

base::Result<store::SwapResult> KeyValueState::swap(std::string_view Key,
                                                    StoreRevision Expected,
                                                    std::string_view Value,
                                                    LeaseId Lease) {
  if (!this->isKnownLease(Lease)) {
    return unknownLease();
  }
  std::optional<KeyValue> Existing = this->get(Key);
  if ((Existing ? Existing->Changed : 0) != Expected) {
    return store::SwapResult{false, 0, std::move(Existing)};
  }
  return store::SwapResult{true, this->write(Key, Value, Lease), {}};
}

base::Result<StoreRevision> KeyValueState::put(std::string_view Key,
                                               std::string_view Value,
                                               LeaseId Lease) {
  if (!this->isKnownLease(Lease)) {
    return unknownLease();
  }
  return this->write(Key, Value, Lease);
}

size_t KeyValueState::remove(const KeyRange &Range) {
  std::vector<std::string> Keys;
  for (KeyValue &Entry : this->list(Range).Entries) {
    Keys.push_back(std::move(Entry.Key));
  }
  this->erase(Keys);
  return Keys.size();
}

LeaseId KeyValueState::grantLease(base::TimePoint Now, base::Duration Ttl) {
  ++this->LastLease;
  this->Leases[this->LastLease] = {Ttl, Now + Ttl};
  return this->LastLease;
}

base::Result<base::Duration> KeyValueState::keepAlive(base::TimePoint Now,
                                                      LeaseId Lease) {
  auto Found = this->Leases.find(Lease);
  if (Found == this->Leases.end()) {
    return unknownLease();
  }
  Found->second.ExpiresAt = Now + Found->second.Ttl;
  return Found->second.Ttl;
}

base::Result<void> KeyValueState::revokeLease(LeaseId Lease) {
  if (this->Leases.erase(Lease) == 0) {
    return unknownLease();
  }
  this->deleteKeysOf(Lease);
  return boost::outcome_v2::success();
}

void KeyValueState::revokeAllLeases() {
  while (!this->Leases.empty()) {
    (void)this->revokeLease(this->Leases.begin()->first);
  }
}

void KeyValueState::expireLeases(base::TimePoint Now) {
  std::vector<LeaseId> ExpiredLeases;
  for (const auto &[Id, Item] : this->Leases) {
    if (Item.ExpiresAt <= Now) {
      ExpiredLeases.push_back(Id);
    }
  }
  for (LeaseId Id : ExpiredLeases) {
    (void)this->revokeLease(Id);
  }
}

base::Result<std::vector<store::WatchEvent>>
KeyValueState::changesAfter(StoreRevision After, const KeyRange &Range) const {
  if (After < this->LastDroppedRevision) {
    return Error{ErrorCode::OutOfRange,
                 "etcdserver: mvcc: required revision has been compacted"};
  }
  std::vector<store::WatchEvent> Found;
  for (auto It = this->ChangeLog.rbegin();
       It != this->ChangeLog.rend() && It->Entry.Changed > After; ++It) {
    if (Range.contains(It->Entry.Key)) {
      Found.push_back(*It);
    }
  }
  return std::vector(Found.rbegin(), Found.rend());
}

bool KeyValueState::isKnownLease(LeaseId Id) const {
  return Id == 0 || this->Leases.contains(Id);
}

StoreRevision KeyValueState::write(std::string_view Key, std::string_view Value,
                                   LeaseId Lease) {
  ++this->CurrentRevision;
  KeyValue Entry{std::string(Key), std::string(Value), this->CurrentRevision,
                 Lease};
  this->Entries.insert_or_assign(Entry.Key, Entry);
  this->appendChange({false, std::move(Entry)});
  return this->CurrentRevision;
}

void KeyValueState::deleteKeysOf(LeaseId Lease) {
  std::vector<std::string> Keys;
  for (const auto &[Key, Entry] : this->Entries) {
    if (Entry.Lease == Lease) {
      Keys.push_back(Key);
    }
  }
  this->erase(Keys);
}

// Deletes the keys; all deletions have the same revision.
void KeyValueState::erase(const std::vector<std::string> &Keys) {
  if (!Keys.empty()) {
    ++this->CurrentRevision;
  }
  for (const std::string &Key : Keys) {
    this->Entries.erase(Key);
    this->appendChange({true, {Key, "", this->CurrentRevision, 0}});
  }
}

void KeyValueState::appendChange(store::WatchEvent Change) {
  this->ChangeLog.push_back(std::move(Change));
  if (this->ChangeLog.size() > MaxLoggedChanges) {
    this->LastDroppedRevision = this->ChangeLog.front().Entry.Changed;
    this->ChangeLog.pop_front();
  }
}

} // namespace bilberry::standin
