#include "bilberry/members/lease_state_machine.h"

#include <algorithm>
#include <utility>

namespace bilberry::members {

LeaseStep LeaseStateMachine::next(base::TimePoint Now,
                                  const Member &Desired) const {
  if (this->IsWithdrawn || this->Status.IsReplaced) {
    return EndStep{};
  }
  if (Now < this->RetryAt) {
    return WaitStep{this->RetryAt};
  }
  if (this->IsWithdrawing) {
    return this->nextWithdrawal(Desired);
  }
  if (this->Lease == 0) {
    return GrantStep{};
  }
  // Renewal goes before publishing: a lapsed lease costs more than a late
  // announcement.
  if (Now >= this->RenewAt) {
    return RenewStep{this->Lease};
  }
  if (this->Published == Desired) {
    return WaitStep{this->RenewAt};
  }
  if (this->Published && Now < this->PublishAt) {
    return WaitStep{std::min(this->PublishAt, this->RenewAt)};
  }
  return PublishStep{this->Lease, this->Changed, Desired};
}

LeaseStep LeaseStateMachine::nextWithdrawal(Member Desired) const {
  if (this->Lease == 0) {
    return EndStep{};
  }
  Desired.State = MemberState::Leaving;
  if (this->Published && this->Published != Desired) {
    return PublishStep{this->Lease, this->Changed, std::move(Desired)};
  }
  return RevokeStep{this->Lease};
}

void LeaseStateMachine::onGranted(base::TimePoint SentAt, store::LeaseId Id) {
  this->Lease = Id;
  this->extendLease(SentAt);
}

void LeaseStateMachine::onRenewed(base::TimePoint SentAt) {
  // The store has renewed the lease after its end, but other processes may
  // have seen this one as gone.
  if (SentAt >= this->Status.HeldUntil) {
    ++this->Status.Lapses;
  }
  this->extendLease(SentAt);
}

void LeaseStateMachine::extendLease(base::TimePoint SentAt) {
  this->Status.HeldUntil = SentAt + this->Ttl;
  this->RenewAt = SentAt + renewInterval(this->Ttl);
  this->RetryDelays.reset();
}

void LeaseStateMachine::onPublished(base::TimePoint SentAt, const Member &Value,
                                    store::StoreRevision Changed) {
  this->Published = Value;
  this->Changed = Changed;
  this->PublishAt = SentAt + PublishInterval;
  this->RetryDelays.reset();
}

void LeaseStateMachine::onConflict(
    const PublishStep &Step, const std::optional<FoundAnnouncement> &Found) {
  this->Changed = Found ? Found->Changed : 0;
  if (!Found) {
    return;
  }
  if (Found->Value.Run > Step.Value.Run) {
    this->Status.IsReplaced = true;
    return;
  }
  // This run's own write, whose response was lost.
  if (Found->Value == Step.Value && Found->Lease == Step.Lease) {
    this->Published = Step.Value;
  }
}

void LeaseStateMachine::onFailed(base::TimePoint Now,
                                 const base::Error &Cause) {
  if (Cause.Code == base::ErrorCode::LeaseExpired) {
    this->dropLease();
    return;
  }
  this->RetryAt =
      Now + std::min(this->RetryDelays.next(), maxRetryDelay(this->Ttl));
}

void LeaseStateMachine::onStoreRestored(base::TimePoint RetryAt) {
  this->dropLease();
  this->RetryAt = RetryAt;
}

// The store deletes the announcement together with the lease.
void LeaseStateMachine::dropLease() {
  ++this->Status.Lapses;
  this->Status.HeldUntil = base::TimePoint();
  this->Lease = 0;
  this->Published.reset();
  this->Changed = 0;
}

} // namespace bilberry::members
