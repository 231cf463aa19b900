// Decides how a process keeps itself announced under a lease: which call to
// the store comes next, and whether the lease holds. It makes no call and
// reads no clock, so that a table of events can test it.
//
// The holder counts its lease from the moment it sent the grant or the last
// renewal, not from the answer: the store's count starts later, so the holder
// never believes in a lease that the store has already ended. The announcement
// is written by compare-and-swap, so that a run of the process that was paused
// and replaced by a newer one can't write over its successor.

#ifndef BILBERRY_MEMBERS_LEASE_KEEPER_H
#define BILBERRY_MEMBERS_LEASE_KEEPER_H

#include "bilberry/base/clock.h"
#include "bilberry/members/member.h"
#include "bilberry/store/backoff.h"
#include "bilberry/store/store.h"

#include <optional>
#include <variant>

namespace bilberry::members {

/// How long an announcement outlives its process.
inline constexpr base::Duration LeaseTtl = std::chrono::seconds(6);
/// How often a lease is renewed: two renewals may fail before it expires.
inline constexpr base::Duration renewInterval(base::Duration Ttl) {
  return Ttl / 3;
}
/// The longest delay before a failed call is made again; short beside the
/// lease, so that a store which comes back in time saves it.
inline constexpr base::Duration maxRetryDelay(base::Duration Ttl) {
  return Ttl / 6;
}
/// The same for the usual lease.
inline constexpr base::Duration RenewInterval = renewInterval(LeaseTtl);
inline constexpr base::Duration MaxRetryDelay = maxRetryDelay(LeaseTtl);
/// Changes that come closer together than this are announced as one.
inline constexpr base::Duration PublishInterval =
    std::chrono::milliseconds(500);

/// Ask the store for a new lease.
struct GrantStep {};
/// Renew the lease.
struct RenewStep {
  store::LeaseId Lease = 0;
};
/// Write the announcement, if its key's last change is Expected.
struct PublishStep {
  store::LeaseId Lease = 0;
  store::StoreRevision Expected = 0;
  Member Value;
};
/// End the lease, which deletes the announcement.
struct RevokeStep {
  store::LeaseId Lease = 0;
};
/// Do nothing until a time, unless the member changes before.
struct WaitStep {
  base::TimePoint Until;
};
/// Nothing is left to do: withdrawn, or replaced by a newer run.
struct EndStep {};
using LeaseStep = std::variant<GrantStep, RenewStep, PublishStep, RevokeStep,
                               WaitStep, EndStep>;

/// An announcement found in the store where another was expected.
struct FoundAnnouncement {
  store::StoreRevision Changed = 0;
  store::LeaseId Lease = 0;
  Member Value;
};

/// Whether this process may act on its lease.
struct LeaseStatus {
  /// The lease holds before this time; the clock's start means no lease.
  base::TimePoint HeldUntil;
  /// How often a lease has lapsed. A process that was paused may find its
  /// lease renewed when it looks again: it must compare this too.
  uint64_t Lapses = 0;
  /// A newer run of this process has announced itself: stop acting for good.
  bool IsReplaced = false;

  /// True while the lease holds.
  bool isHeld(base::TimePoint Now) const {
    return !this->IsReplaced && Now < this->HeldUntil;
  }
};

/// Not thread-safe. After each step of next(), its outcome must be told by
/// one of the methods that follow it. SentAt is the time before the call.
class LeaseKeeper {
public:
  /// Seed spreads the retries of different processes. Ttl is how long the
  /// announcement outlives the process.
  explicit LeaseKeeper(uint32_t Seed, base::Duration Ttl = LeaseTtl)
      : Delays(Seed), Ttl(Ttl) {}

  /// The lease's length.
  base::Duration ttl() const { return this->Ttl; }

  /// What to do now so that Wanted is announced.
  LeaseStep next(base::TimePoint Now, const Member &Wanted) const;

  /// The store granted a lease.
  void granted(base::TimePoint SentAt, store::LeaseId Id);
  /// The store renewed the lease.
  void renewed(base::TimePoint SentAt);
  /// The announcement was written at the key's revision Changed.
  void published(base::TimePoint SentAt, const Member &Value,
                 store::StoreRevision Changed);
  /// The key's last change wasn't the expected one. Found: what is there.
  void conflicted(const PublishStep &Step,
                  const std::optional<FoundAnnouncement> &Found);
  /// The lease was ended.
  void revoked() { this->IsWithdrawn = true; }
  /// The call failed.
  void failed(base::TimePoint Now, const base::Error &Cause);

  /// From now on the steps withdraw the member: announce Leaving, so that
  /// others know it is planned, then end the lease.
  void withdraw() { this->IsWithdrawing = true; }

  /// Whether the lease holds. Precondition: none.
  const LeaseStatus &status() const { return this->Status; }

private:
  void extend(base::TimePoint SentAt);
  void dropLease();
  LeaseStep nextWithdrawal(Member Wanted) const;

  store::Backoff Delays;
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
