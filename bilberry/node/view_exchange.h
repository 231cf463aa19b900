// Targets and members from process to process, so that news spreads while the
// store is down or out of reach, and a newcomer can begin without it. Every
// message carries its sender's revision; who hears of a higher one asks.

#ifndef BILBERRY_NODE_VIEW_EXCHANGE_H
#define BILBERRY_NODE_VIEW_EXCHANGE_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ranked_mutex.h"
#include "bilberry/board/local_member.h"
#include "bilberry/members/member_table.h"
#include "bilberry/targets/target_table.h"
#include "bilberry/wire/peer_message.h"

namespace bilberry::node {

/// At most one ViewFetch is sent in this time.
inline constexpr base::Duration FetchInterval = std::chrono::milliseconds(200);

/// Puts a document into force here: the table, the member table's data
/// centres, and the revision that we announce. False where it is malformed or
/// no newer than what is in force. Thread-safe.
bool applyTargets(base::Revision Revision, const std::string &Text,
                  targets::TargetTable &Targets, members::MemberTable &Members,
                  board::LocalMember &Self);

/// Thread-safe.
class ViewExchange {
public:
  /// All references must outlive the exchange.
  ViewExchange(board::LocalMember &Self, targets::TargetTable &Targets,
               members::MemberTable &Members)
      : Self(Self), Targets(Targets), Members(Members) {}

  /// True where a sender's revision is news and it is time to ask for it.
  bool shouldFetch(base::TimePoint Now, base::Revision Theirs);

  /// What this process knows, as the answer to a ViewFetch.
  wire::View view() const;

  /// Takes in another's answer. Members already known keep what is known of
  /// them, unless the view tells of a later run.
  void onView(base::TimePoint Now, const wire::View &View);

private:
  board::LocalMember &Self;
  targets::TargetTable &Targets;
  members::MemberTable &Members;
  base::RankedMutex Mutex{base::LockRank::Adapter};
  base::TimePoint LastFetch;
};

} // namespace bilberry::node

#endif
