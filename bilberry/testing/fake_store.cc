#include "bilberry/testing/fake_store.h"

#include <utility>

namespace bilberry::testing {

using base::Error;
using base::ErrorCode;
using boost::outcome_v2::success;
using standin::Availability;
using store::StoreCall;

static Error unavailable(const char *Message) {
  return {ErrorCode::Unavailable, Message};
}

static Error noAnswerError(bool IsWrite) {
  return {IsWrite ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
          "fake store: no answer"};
}

template <typename T>
base::Result<T> FakeStore::call(StoreCall Kind, bool IsWrite,
                                const std::function<base::Result<T>()> &Body) {
  this->Counts.add(Kind);
  Lock Guard(this->Mutex);
  if (this->Faults.get().Mode == Availability::Refusing) {
    return unavailable("fake store: refused");
  }
  if (this->Faults.get().Mode == Availability::Hanging) {
    return noAnswerError(IsWrite);
  }
  this->State.expireLeases(this->Clock.now());
  base::Result<T> Answer = Body();
  bool IsLost = this->Faults.get().Delay > FakeCallTimeout;
  if (IsWrite && this->Faults.consumeDroppedResponse()) {
    IsLost = true;
  }
  Guard.unlock();
  this->Changed.notify_all();
  if (IsLost) {
    return noAnswerError(IsWrite);
  }
  return Answer;
}

base::Result<std::optional<store::KeyValue>>
FakeStore::get(std::string_view Key) {
  return this->call<std::optional<store::KeyValue>>(
      StoreCall::Get, false, [&] { return this->State.get(Key); });
}

base::Result<store::Listing> FakeStore::list(std::string_view Prefix) {
  return this->call<store::Listing>(StoreCall::List, false, [&] {
    store::Listing List = this->State.list(standin::prefixRange(Prefix));
    List.Era = this->Era;
    return List;
  });
}

base::Result<store::SwapResult> FakeStore::swap(std::string_view Key,
                                                store::StoreRevision Expected,
                                                std::string_view Value,
                                                store::LeaseId Lease) {
  return this->call<store::SwapResult>(StoreCall::Swap, true, [&] {
    return this->State.swap(Key, Expected, Value, Lease);
  });
}

base::Result<store::StoreRevision> FakeStore::put(std::string_view Key,
                                                  std::string_view Value,
                                                  store::LeaseId Lease) {
  return this->call<store::StoreRevision>(
      StoreCall::Put, true, [&] { return this->State.put(Key, Value, Lease); });
}

base::Result<void> FakeStore::remove(std::string_view Key) {
  return this->call<void>(StoreCall::Remove, true, [&]() -> base::Result<void> {
    this->State.remove({std::string(Key), ""});
    return success();
  });
}

base::Result<store::LeaseId> FakeStore::grantLease(base::Duration Ttl) {
  return this->call<store::LeaseId>(StoreCall::GrantLease, true, [&] {
    return this->State.grantLease(this->Clock.now(), Ttl);
  });
}

base::Result<void> FakeStore::keepAlive(store::LeaseId Lease) {
  return this->call<void>(
      StoreCall::KeepAlive, true, [&]() -> base::Result<void> {
        auto Renewed = this->State.keepAlive(this->Clock.now(), Lease);
        if (!Renewed) {
          return Renewed.error();
        }
        return success();
      });
}

base::Result<void> FakeStore::revokeLease(store::LeaseId Lease) {
  return this->call<void>(StoreCall::RevokeLease, true,
                          [&] { return this->State.revokeLease(Lease); });
}

base::Result<std::vector<store::WatchEvent>>
FakeStore::pollChanges(const standin::KeyRange &Range, store::WatchStart Start,
                       uint64_t InitialSilenceCount,
                       base::Duration SilenceLimit,
                       base::TimePoint &LastProgress) {
  base::TimePoint Now = this->Clock.now();
  if (Start.Era != this->Era) {
    return unavailable("fake store: restored");
  }
  this->State.expireLeases(Now);
  if (this->Faults.get().Mode == Availability::Refusing) {
    return unavailable("fake store: watch broke");
  }
  if (!this->Faults.isSilent(InitialSilenceCount)) {
    LastProgress = Now;
    return this->State.changesAfter(Start.After, Range);
  }
  if (Now - LastProgress >= SilenceLimit) {
    return unavailable("fake store: watch went silent");
  }
  return std::vector<store::WatchEvent>();
}

base::Result<void> FakeStore::watch(std::string_view Prefix,
                                    store::WatchStart Start,
                                    const store::WatchCallback &OnEvent,
                                    const std::stop_token &Stop,
                                    base::Duration SilenceLimit) {
  this->Counts.add(StoreCall::Watch);
  const standin::KeyRange Range = standin::prefixRange(Prefix);
  const uint64_t InitialSilenceCount = this->watchSilenceCount();
  base::TimePoint LastProgress = this->Clock.now();
  base::Result<std::vector<store::WatchEvent>> Changes = success();
  auto HasChangesOrError = [&] {
    Changes = this->pollChanges(Range, Start, InitialSilenceCount, SilenceLimit,
                                LastProgress);
    return !Changes || !Changes.value().empty();
  };
  while (!Stop.stop_requested()) {
    Lock Guard(this->Mutex);
    if (!this->Changed.wait(Guard, Stop, HasChangesOrError)) {
      return success();
    }
    Guard.unlock();
    if (!Changes) {
      return unavailable("fake store: watch broke");
    }
    // Called without the lock, which ranks above the mutexes that the callbacks
    // lock.
    for (const store::WatchEvent &Change : Changes.value()) {
      OnEvent({Change.IsDelete, Change.Entry, Start.Era});
      Start.After = Change.Entry.Changed;
    }
  }
  return success();
}

uint64_t FakeStore::watchSilenceCount() {
  Lock Guard(this->Mutex);
  return this->Faults.watchSilenceCount();
}

void FakeStore::setFaults(const standin::StoreFaults &Value) {
  {
    Lock Guard(this->Mutex);
    this->Faults.set(Value);
  }
  this->Changed.notify_all();
}

void FakeStore::expireLease(store::LeaseId Lease) {
  {
    FakeStore::Lock Guard(this->Mutex);
    (void)this->State.revokeLease(Lease);
  }
  this->Changed.notify_all();
}

void FakeStore::expireAllLeases() {
  {
    Lock Guard(this->Mutex);
    this->State.revokeAllLeases();
  }
  this->Changed.notify_all();
}

store::StoreEra FakeStore::era() {
  Lock Guard(this->Mutex);
  return this->Era;
}

void FakeStore::saveCopy() {
  Lock Guard(this->Mutex);
  this->Copy = this->State;
}

void FakeStore::restoreCopy() {
  {
    Lock Guard(this->Mutex);
    this->State = this->Copy;
    // Leases aren't part of a copy.
    this->State.revokeAllLeases();
    ++this->Era;
  }
  this->Changed.notify_all();
}

void FakeStore::notifyWatches() {
  // Locked so that no watch misses the notification between its check and its
  // wait.
  { Lock Guard(this->Mutex); }
  this->Changed.notify_all();
}

} // namespace bilberry::testing
