#include "bilberry/members/lease_keeper.h"

#include <algorithm>
#include <utility>

namespace bilberry::members {

LeaseStep LeaseKeeper::next(base::TimePoint Now, const Member &Wanted) const {
  if (this->IsWithdrawn || this->Status.IsReplaced) {
    return EndStep{};
  }
  if (Now < this->RetryAt) {
    return WaitStep{this->RetryAt};
  }
  if (this->IsWithdrawing) {
    return this->nextWithdrawal(Wanted);
  }
  if (this->Lease == 0) {
    return GrantStep{};
  }
  // Before news: a lease that lapses costs more than news that is late.
  if (Now >= this->RenewAt) {
    return RenewStep{this->Lease};
  }
  if (this->Published == Wanted) {
    return WaitStep{this->RenewAt};
  }
  if (this->Published && Now < this->PublishAt) {
    return WaitStep{std::min(this->PublishAt, this->RenewAt)};
  }
  return PublishStep{this->Lease, this->Changed, Wanted};
}

LeaseStep LeaseKeeper::nextWithdrawal(Member Wanted) const {
  if (this->Lease == 0) {
    return EndStep{};
  }
  Wanted.State = MemberState::Leaving;
  if (this->Published && this->Published != Wanted) {
    return PublishStep{this->Lease, this->Changed, std::move(Wanted)};
  }
  return RevokeStep{this->Lease};
}

void LeaseKeeper::granted(base::TimePoint SentAt, store::LeaseId Id) {
  this->Lease = Id;
  this->extend(SentAt);
}

void LeaseKeeper::renewed(base::TimePoint SentAt) {
  // The store was lenient, but others may have seen us as gone.
  if (SentAt >= this->Status.HeldUntil) {
    ++this->Status.Lapses;
  }
  this->extend(SentAt);
}

void LeaseKeeper::extend(base::TimePoint SentAt) {
  this->Status.HeldUntil = SentAt + this->Ttl;
  this->RenewAt = SentAt + renewInterval(this->Ttl);
  this->Delays.reset();
}

void LeaseKeeper::published(base::TimePoint SentAt, const Member &Value,
                            store::StoreRevision Changed) {
  this->Published = Value;
  this->Changed = Changed;
  this->PublishAt = SentAt + PublishInterval;
  this->Delays.reset();
}

void LeaseKeeper::conflicted(const PublishStep &Step,
                             const std::optional<FoundAnnouncement> &Found) {
  this->Changed = Found ? Found->Changed : 0;
  if (!Found) {
    return;
  }
  if (Found->Value.Run > Step.Value.Run) {
    this->Status.IsReplaced = true;
    return;
  }
  // Our own write, whose answer was lost.
  if (Found->Value == Step.Value && Found->Lease == Step.Lease) {
    this->Published = Step.Value;
  }
}

void LeaseKeeper::failed(base::TimePoint Now, const base::Error &Cause) {
  if (Cause.Code == base::ErrorCode::LeaseExpired) {
    this->dropLease();
    return;
  }
  this->RetryAt = Now + std::min(this->Delays.next(), maxRetryDelay(this->Ttl));
}

// The announcement went with the lease.
void LeaseKeeper::dropLease() {
  ++this->Status.Lapses;
  this->Status.HeldUntil = base::TimePoint();
  this->Lease = 0;
  this->Published.reset();
  this->Changed = 0;
}

} // namespace bilberry::members
