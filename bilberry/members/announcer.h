// Keeps this process announced in the store by making the calls that
// LeaseStateMachine determines.
//
// Each process costs the store one write per RenewInterval, which exceeds the
// store's capacity with a few thousand processes. Only this class and
// LeaseStateMachine depend on how a process is announced; renewals can
// therefore be batched later behind the same interface, one process renewing
// for a group.

#ifndef BILBERRY_MEMBERS_ANNOUNCER_H
#define BILBERRY_MEMBERS_ANNOUNCER_H

#include "bilberry/base/ranked_mutex.h"
#include "bilberry/board/local_member.h"
#include "bilberry/members/lease_state_machine.h"
#include "bilberry/members/member_text.h"
#include "bilberry/store/keys.h"
#include "bilberry/store/prefix_watcher.h"
#include "bilberry/store/store.h"

#include <algorithm>
#include <mutex>
#include <random>
#include <utility>

namespace bilberry::members {

/// How often the local member is polled for changes to announce.
inline constexpr base::Duration ChangePollInterval =
    std::chrono::milliseconds(100);
/// How long a planned stop waits for the store to accept the withdrawal. After
/// that, other processes learn of the stop when the lease expires.
inline constexpr base::Duration WithdrawTimeout = std::chrono::seconds(3);

/// After a restore of the store, processes announce themselves again spread
/// over this time: a few thousand writes at once would exceed its capacity.
inline constexpr std::chrono::milliseconds RestoreSpread(1000);

/// Announces one process. status() may be called from any thread, all other
/// methods from one thread only.
template <store::Store S, base::Clock C> class Announcer {
public:
  /// Precondition: StoreClient, TimeSource and Local outlive the announcer.
  /// Seed randomizes the retry delays, so that processes don't retry in step.
  Announcer(S &StoreClient, const C &TimeSource,
            const board::LocalMember &Local, uint32_t Seed,
            base::Duration Ttl = LeaseTtl)
      : StoreClient(StoreClient), TimeSource(TimeSource), Local(Local),
        StateMachine(Seed, Ttl), Random(Seed) {}

  /// Blocks until Stop is requested and the member is withdrawn or
  /// WithdrawTimeout has passed, or until a newer run has replaced this one.
  void run(const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      LeaseStep Step = this->step();
      if (std::holds_alternative<EndStep>(Step)) {
        return;
      }
      if (const auto *Wait = std::get_if<WaitStep>(&Step)) {
        base::Duration Remaining = Wait->Until - this->TimeSource.now();
        store::waitFor(std::min(Remaining, ChangePollInterval), Stop);
      }
    }
    this->withdraw();
  }

  /// Makes the next call to the store, if one is due, and returns the step.
  LeaseStep step() {
    this->detectRestore();
    LeaseStep Step =
        this->StateMachine.next(this->TimeSource.now(), this->Local.get());
    std::visit([this](const auto &NextStep) { this->perform(NextStep); }, Step);
    std::lock_guard Lock(this->Mutex);
    this->LastStatus = this->StateMachine.status();
    return Step;
  }

  /// Announces Leaving and revokes the lease. Blocks for at most
  /// WithdrawTimeout plus the duration of the last call to the store.
  void withdraw() {
    this->StateMachine.withdraw();
    base::TimePoint End = this->TimeSource.now() + WithdrawTimeout;
    while (this->TimeSource.now() < End) {
      LeaseStep Step = this->step();
      if (std::holds_alternative<EndStep>(Step)) {
        return;
      }
      if (std::holds_alternative<WaitStep>(Step)) {
        store::waitFor(ChangePollInterval, std::stop_token());
      }
    }
  }

  /// Returns the status of the lease. A caller that relies on the lease must
  /// check isHeld() with the current time, and that Lapses hasn't changed.
  LeaseStatus status() const {
    std::lock_guard Lock(this->Mutex);
    return this->LastStatus;
  }

private:
  // The lease is void once the store has begun another era than that in which
  // it was granted.
  void detectRestore() {
    bool IsRestored = this->StateMachine.hasLease() &&
                      this->StoreClient.era() != this->LeaseEra;
    if (IsRestored) {
      std::uniform_int_distribution<int64_t> Delay(0, RestoreSpread.count());
      this->StateMachine.onStoreRestored(
          this->TimeSource.now() +
          std::chrono::milliseconds(Delay(this->Random)));
    }
  }

  void perform(const GrantStep &) {
    base::TimePoint SentAt = this->TimeSource.now();
    store::StoreEra EraBefore = this->StoreClient.era();
    base::Result<store::LeaseId> Lease =
        this->StoreClient.grantLease(this->StateMachine.ttl());
    if (Lease) {
      // The era is unknown before the first answer. If it changes during a
      // later call, the lease may be of either era and is granted again.
      this->LeaseEra = EraBefore != 0 ? EraBefore : this->StoreClient.era();
      this->StateMachine.onGranted(SentAt, Lease.value());
    } else {
      this->StateMachine.onFailed(this->TimeSource.now(), Lease.error());
    }
  }

  void perform(const RenewStep &NextStep) {
    base::TimePoint SentAt = this->TimeSource.now();
    base::Result<void> Renewed = this->StoreClient.keepAlive(NextStep.Lease);
    if (Renewed) {
      this->StateMachine.onRenewed(SentAt);
    } else {
      this->StateMachine.onFailed(this->TimeSource.now(), Renewed.error());
    }
  }

  void perform(const PublishStep &NextStep) {
    base::TimePoint SentAt = this->TimeSource.now();
    base::Result<store::SwapResult> Swap = this->StoreClient.swap(
        store::memberKey(NextStep.Value.Name), NextStep.Expected,
        serializeMember(NextStep.Value), NextStep.Lease);
    if (!Swap) {
      this->StateMachine.onFailed(this->TimeSource.now(), Swap.error());
    } else if (Swap.value().Swapped) {
      this->StateMachine.onPublished(SentAt, NextStep.Value,
                                     Swap.value().Changed);
    } else {
      this->StateMachine.onConflict(NextStep,
                                    toFoundAnnouncement(Swap.value().Present));
    }
  }

  void perform(const RevokeStep &NextStep) {
    base::Result<void> Revoked = this->StoreClient.revokeLease(NextStep.Lease);
    bool IsGone =
        Revoked || Revoked.error().Code == base::ErrorCode::LeaseExpired;
    if (IsGone) {
      this->StateMachine.onRevoked();
    } else {
      this->StateMachine.onFailed(this->TimeSource.now(), Revoked.error());
    }
  }

  void perform(const WaitStep &) {}
  void perform(const EndStep &) {}

  // A value that can't be parsed is treated as written by an older run.
  static std::optional<FoundAnnouncement>
  toFoundAnnouncement(const std::optional<store::KeyValue> &Present) {
    if (!Present) {
      return std::nullopt;
    }
    base::Result<Member> Value = parseMember(Present->Value);
    return FoundAnnouncement{Present->Changed, Present->Lease,
                             Value ? std::move(Value).value() : Member()};
  }

  S &StoreClient;
  const C &TimeSource;
  const board::LocalMember &Local;
  LeaseStateMachine StateMachine;
  store::StoreEra LeaseEra = 0;
  std::mt19937 Random;
  mutable base::RankedMutex Mutex{base::LockRank::Adapter};
  LeaseStatus LastStatus;
};

} // namespace bilberry::members

#endif
