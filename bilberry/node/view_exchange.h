// Exchange of targets and members between processes, so that updates propagate
// while the store is down or unreachable, and a new process can start without
// it. Every message carries its sender's target revision; a receiver with a
// lower revision fetches the sender's view.

#ifndef BILBERRY_NODE_VIEW_EXCHANGE_H
#define BILBERRY_NODE_VIEW_EXCHANGE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ranked_mutex.h"
#include "bilberry/board/local_member.h"
#include "bilberry/members/member_table.h"
#include "bilberry/targets/target_table.h"
#include "bilberry/wire/peer_message.h"

namespace bilberry::node {

/// The minimum time between two ViewFetch messages.
inline constexpr base::Duration MinViewFetchInterval =
    std::chrono::milliseconds(200);

/// Applies a targets document: updates the target table, the out-of-service
/// data centres of the member table, and the revision that this process
/// announces. Returns false if the document is malformed or not newer than the
/// current targets. Thread-safe.
bool applyTargets(base::Revision Revision, const std::string &Text,
                  targets::TargetTable &Targets, members::MemberTable &Members,
                  board::LocalMember &Self);

/// Answers and applies views. Thread-safe.
class ViewExchange {
public:
  /// All references must outlive the exchange.
  ViewExchange(board::LocalMember &Self, targets::TargetTable &Targets,
               members::MemberTable &Members)
      : Self(Self), Targets(Targets), Members(Members) {}

  /// Returns true, and records the fetch, if the sender's revision is newer
  /// than the local one and MinViewFetchInterval has passed since the last
  /// fetch.
  bool shouldFetchView(base::TimePoint Now, base::Revision PeerRevision);

  /// Returns the targets and members of this process, as the reply to a
  /// ViewFetch.
  wire::View view() const;

  /// Applies a view from a peer. The entry of a known member is replaced only
  /// if the view has a later run of it.
  void onView(base::TimePoint Now, const wire::View &View);

private:
  board::LocalMember &Self;
  targets::TargetTable &Targets;
  members::MemberTable &Members;
  base::RankedMutex Mutex{base::LockRank::Adapter};
  base::TimePoint LastViewFetch;
};

} // namespace bilberry::node

#endif
