// A state machine that keeps a process announced under a lease: it determines
// the next call to the store and whether the lease is held. It makes no calls
// and reads no clock, so that it can be tested with a table of events.
//
// The holder measures the lease from the time it sent the grant or the last
// renewal, not from the response. The store starts counting later, so the
// holder never relies on a lease that the store has already ended. The
// announcement is written by compare-and-swap, so that a run that was paused
// and replaced by a newer run can't overwrite the newer announcement.

#ifndef BILBERRY_MEMBERS_LEASE_STATE_MACHINE_H
#define BILBERRY_MEMBERS_LEASE_STATE_MACHINE_H

#include "bilberry/base/clock.h"
#include "bilberry/members/member.h"
#include "bilberry/store/backoff.h"
#include "bilberry/store/store.h"

#include <optional>
#include <variant>

namespace bilberry::members {

/// The default lease duration: how long an announcement outlives its process.
inline constexpr base::Duration LeaseTtl = std::chrono::seconds(6);
/// The interval between renewals: two may fail before the lease expires.
inline constexpr base::Duration renewInterval(base::Duration Ttl) {
  return Ttl / 3;
}
/// The maximum delay before a failed call is retried. Short compared with the
/// lease, so that the lease survives if the store recovers in time.
inline constexpr base::Duration maxRetryDelay(base::Duration Ttl) {
  return Ttl / 6;
}
/// The same for the default lease duration.
inline constexpr base::Duration RenewInterval = renewInterval(LeaseTtl);
inline constexpr base::Duration MaxRetryDelay = maxRetryDelay(LeaseTtl);
/// The minimum time between two announcements; changes within it are announced
/// together.
inline constexpr base::Duration PublishInterval =
    std::chrono::milliseconds(500);

/// Ask the store for a new lease.
struct GrantStep {};
/// Renew the lease.
struct RenewStep {
  store::LeaseId Lease = 0;
};
/// Write the announcement if the key's last change has the revision Expected.
struct PublishStep {
  store::LeaseId Lease = 0;
  store::StoreRevision Expected = 0;
  Member Value;
};
/// Revoke the lease, which deletes the announcement.
struct RevokeStep {
  store::LeaseId Lease = 0;
};
/// Do nothing until the given time, unless the member changes before.
struct WaitStep {
  base::TimePoint Until;
};
/// Nothing is left to do: the announcement was withdrawn, or superseded by that
/// of a newer process with the same name.
struct EndStep {};
using LeaseStep = std::variant<GrantStep, RenewStep, PublishStep, RevokeStep,
                               WaitStep, EndStep>;

/// An announcement found in the store instead of the expected one.
struct FoundAnnouncement {
  store::StoreRevision Changed = 0;
  store::LeaseId Lease = 0;
  Member Value;
};

/// Whether this process may rely on its lease.
struct LeaseStatus {
  /// The end of the lease; the clock's epoch if there is no lease.
  base::TimePoint HeldUntil;
  /// How many times the lease has lapsed. A process that was paused may find
  /// its lease renewed when it resumes, so it must compare this count too.
  uint64_t Lapses = 0;
  /// A newer run of this process has announced itself. This run must stop for
  /// good.
  bool IsReplaced = false;

  /// True while the lease is held.
  bool isHeld(base::TimePoint Now) const {
    return !this->IsReplaced && Now < this->HeldUntil;
  }
};

/// The lease state machine of one process. Not thread-safe. After each step
/// that next() returns, its outcome must be reported with one of the methods
/// that follow it. SentAt is the time before the call to the store.
class LeaseStateMachine {
public:
  /// Seed randomizes the retry delays. Ttl is how long the announcement
  /// outlives the process.
  explicit LeaseStateMachine(uint32_t Seed, base::Duration Ttl = LeaseTtl)
      : RetryDelays(Seed), Ttl(Ttl) {}

  /// The duration of the lease.
  base::Duration ttl() const { return this->Ttl; }

  /// Returns the next step towards announcing Desired.
  LeaseStep next(base::TimePoint Now, const Member &Desired) const;

  /// The store granted a lease.
  void onGranted(base::TimePoint SentAt, store::LeaseId Id);
  /// The store renewed the lease.
  void onRenewed(base::TimePoint SentAt);
  /// The announcement was written at the key's revision Changed.
  void onPublished(base::TimePoint SentAt, const Member &Value,
                   store::StoreRevision Changed);
  /// The key's last change wasn't the expected one. Found is the announcement
  /// under the key, if any.
  void onConflict(const PublishStep &Step,
                  const std::optional<FoundAnnouncement> &Found);
  /// The lease was revoked.
  void onRevoked() { this->IsWithdrawn = true; }
  /// The call to the store failed.
  void onFailed(base::TimePoint Now, const base::Error &Cause);
  /// The store was restored from an older copy, without leases. The lease's id
  /// may belong to another process now. Nothing is called before RetryAt, so
  /// that not all processes announce themselves at the same moment.
  void onStoreRestored(base::TimePoint RetryAt);

  /// Starts the withdrawal: the next steps announce Leaving, so that others
  /// know that the stop is planned, and then revoke the lease.
  void withdraw() { this->IsWithdrawing = true; }

  /// The status of the lease. No preconditions.
  const LeaseStatus &status() const { return this->Status; }
  /// True if a lease has been granted and not been found to be lost.
  bool hasLease() const { return this->Lease != 0; }

private:
  void extendLease(base::TimePoint SentAt);
  void dropLease();
  LeaseStep nextWithdrawal(Member Desired) const;

  store::Backoff RetryDelays;
  base::Duration Ttl;
  LeaseStatus Status;
  store::LeaseId Lease = 0;
  base::TimePoint RenewAt;
  base::TimePoint RetryAt;
  base::TimePoint PublishAt;
  std::optional<Member> Published;
  store::StoreRevision Changed = 0;
  bool IsWithdrawing = false;
  bool IsWithdrawn = false;
};

} // namespace bilberry::members

#endif
