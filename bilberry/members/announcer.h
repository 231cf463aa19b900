// Keeps this process announced in the store: makes the calls that LeaseKeeper
// decides on.
//
// A lease and a renewal per process cost the store one write per process and
// RenewInterval, which a few thousand processes would turn into more than it
// takes. Nothing outside of this class and LeaseKeeper knows how a process is
// announced; renewals can therefore be batched later, one process renewing for
// a group, behind the same interface.

#ifndef BILBERRY_MEMBERS_ANNOUNCER_H
#define BILBERRY_MEMBERS_ANNOUNCER_H

#include "bilberry/base/ranked_mutex.h"
#include "bilberry/board/local_member.h"
#include "bilberry/members/lease_keeper.h"
#include "bilberry/members/member_text.h"
#include "bilberry/store/keys.h"
#include "bilberry/store/prefix_watcher.h"
#include "bilberry/store/store.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace bilberry::members {

/// How often the local member is looked at for changes to announce.
inline constexpr base::Duration ChangePoll = std::chrono::milliseconds(100);
/// How long a planned stop waits for the store to take the withdrawal. After
/// that the lease's expiry tells the others.
inline constexpr base::Duration WithdrawTimeout = std::chrono::seconds(3);

/// Announces one process. status() may be called from any thread; the rest
/// from one thread.
template <store::Store S, base::Clock C> class Announcer {
public:
  /// Precondition: all three outlive the announcer. Seed spreads the retries
  /// of different processes.
  Announcer(S &Target, const C &Time, const board::LocalMember &Local,
            uint32_t Seed, base::Duration Ttl = LeaseTtl)
      : Target(Target), Time(Time), Local(Local), Keeper(Seed, Ttl) {}

  /// Blocks until Stop is requested, and the member is withdrawn or
  /// WithdrawTimeout has passed; or until a newer run has replaced this one.
  void run(const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      LeaseStep Step = this->step();
      if (std::holds_alternative<EndStep>(Step)) {
        return;
      }
      if (const auto *Wait = std::get_if<WaitStep>(&Step)) {
        base::Duration Left = Wait->Until - this->Time.now();
        store::waitFor(std::min(Left, ChangePoll), Stop);
      }
    }
    this->withdraw();
  }

  /// Makes the next call, if one is due, and returns what it was.
  LeaseStep step() {
    LeaseStep Step = this->Keeper.next(this->Time.now(), this->Local.get());
    std::visit([this](const auto &Due) { this->perform(Due); }, Step);
    std::lock_guard Lock(this->Mutex);
    this->Shared = this->Keeper.status();
    return Step;
  }

  /// Announces Leaving and ends the lease. Blocks for WithdrawTimeout at most,
  /// and for the store's last answer.
  void withdraw() {
    this->Keeper.withdraw();
    base::TimePoint End = this->Time.now() + WithdrawTimeout;
    while (this->Time.now() < End) {
      LeaseStep Step = this->step();
      if (std::holds_alternative<EndStep>(Step)) {
        return;
      }
      if (std::holds_alternative<WaitStep>(Step)) {
        store::waitFor(ChangePoll, std::stop_token());
      }
    }
  }

  /// Whether the lease holds; who acts on it checks isHeld() with the present
  /// time, and that Lapses hasn't changed.
  LeaseStatus status() const {
    std::lock_guard Lock(this->Mutex);
    return this->Shared;
  }

private:
  void perform(const GrantStep &) {
    base::TimePoint SentAt = this->Time.now();
    base::Result<store::LeaseId> Lease =
        this->Target.grantLease(this->Keeper.ttl());
    if (Lease) {
      this->Keeper.granted(SentAt, Lease.value());
    } else {
      this->Keeper.failed(this->Time.now(), Lease.error());
    }
  }

  void perform(const RenewStep &Due) {
    base::TimePoint SentAt = this->Time.now();
    base::Result<void> Renewed = this->Target.keepAlive(Due.Lease);
    if (Renewed) {
      this->Keeper.renewed(SentAt);
    } else {
      this->Keeper.failed(this->Time.now(), Renewed.error());
    }
  }

  void perform(const PublishStep &Due) {
    base::TimePoint SentAt = this->Time.now();
    base::Result<store::SwapResult> Swap =
        this->Target.swap(store::memberKey(Due.Value.Name), Due.Expected,
                          memberText(Due.Value), Due.Lease);
    if (!Swap) {
      this->Keeper.failed(this->Time.now(), Swap.error());
    } else if (Swap.value().Swapped) {
      this->Keeper.published(SentAt, Due.Value, Swap.value().Changed);
    } else {
      this->Keeper.conflicted(Due, foundAnnouncement(Swap.value().Present));
    }
  }

  void perform(const RevokeStep &Due) {
    base::Result<void> Revoked = this->Target.revokeLease(Due.Lease);
    bool IsGone =
        Revoked || Revoked.error().Code == base::ErrorCode::LeaseExpired;
    if (IsGone) {
      this->Keeper.revoked();
    } else {
      this->Keeper.failed(this->Time.now(), Revoked.error());
    }
  }

  void perform(const WaitStep &) {}
  void perform(const EndStep &) {}

  // What no process of ours can have written counts as an older run's.
  static std::optional<FoundAnnouncement>
  foundAnnouncement(const std::optional<store::KeyValue> &Present) {
    if (!Present) {
      return std::nullopt;
    }
    base::Result<Member> Value = parseMember(Present->Value);
    return FoundAnnouncement{Present->Changed, Present->Lease,
                             Value ? std::move(Value).value() : Member()};
  }

  S &Target;
  const C &Time;
  const board::LocalMember &Local;
  LeaseKeeper Keeper;
  mutable base::RankedMutex Mutex{base::LockRank::Adapter};
  LeaseStatus Shared;
};

} // namespace bilberry::members

#endif
