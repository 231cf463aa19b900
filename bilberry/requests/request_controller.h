// Requests at one agent: at most once for what isn't idempotent, and a "not
// run" that is always true.
//
// The requests of a service fall into shards. A record a shard in the store
// says who owns it, who backs it up, and in which epoch. The owner records
// each decision, to run or to refuse, at the backup before it acts on it. The
// backup takes entries of its own epoch only. It takes over by first closing
// the epoch, then swapping itself in with the next one: what it has recorded
// may have run, all else has not. A paused owner that wakes can do nothing
// that the backup hasn't recorded.
//
// Idempotent requests need no shard and never wait for one; for them, no agent
// says "not run".

#ifndef BILBERRY_REQUESTS_REQUEST_CONTROLLER_H
#define BILBERRY_REQUESTS_REQUEST_CONTROLLER_H

#include "bilberry/admission/upstream_limits.h"
#include "bilberry/board/agent_action.h"
#include "bilberry/board/local_member.h"
#include "bilberry/members/member_table.h"
#include "bilberry/requests/shard_record.h"
#include "bilberry/targets/target_table.h"

#include <memory>
#include <string>
#include <string_view>

namespace bilberry::requests {

/// What status and metrics tell of an agent's requests.
struct RequestCounts {
  uint64_t Arrived = 0;
  uint64_t Run = 0;
  uint64_t PassedOn = 0;
  uint64_t Answered = 0;
  uint64_t NotRun = 0;
  uint64_t Unknown = 0;
  uint64_t Duplicates = 0;
  uint64_t ShardsOwned = 0;
  uint64_t ShardsBackedUp = 0;
  uint64_t Records = 0;
};

/// Thread-safe: one mutex of rank Requests, under which it calls the limits.
/// The tables of targets and members are read before it is taken.
class RequestController {
public:
  /// All references must outlive the controller.
  RequestController(const board::LocalMember &Self,
                    const targets::TargetTable &Targets,
                    const members::MemberTable &Members,
                    admission::UpstreamLimits &Limits);
  ~RequestController();
  RequestController(const RequestController &) = delete;
  RequestController &operator=(const RequestController &) = delete;

  /// A copy of a request has come. Payload is the caller's whole datagram,
  /// Packet the same parsed.
  void onRequest(base::TimePoint Now, const wire::ForwardHeader &Header,
                 std::string_view Payload, const wire::RequestPacket &Packet,
                 board::AgentActions &Out);
  /// The caller cancels.
  void onCancel(base::TimePoint Now, const wire::ForwardHeader &Header,
                std::string_view Payload, const wire::CancelPacket &Packet,
                board::AgentActions &Out);
  /// A message from another agent; others than request messages are ignored.
  void onPeer(base::TimePoint Now, const wire::PeerMessage &Message,
              board::AgentActions &Out);
  /// Our own upstream has ended a request that RunOnUpstream gave it.
  void onUpstreamResult(base::TimePoint Now, const wire::RunResult &Result,
                        board::AgentActions &Out);
  /// The upstream was lost: what ran there has an unknown outcome.
  void onUpstreamLost(base::TimePoint Now, board::AgentActions &Out);

  /// The store's record of a shard, read at start, watched, or found by a
  /// swap. Older ones than known are ignored.
  void onShardRecord(base::TimePoint Now, const StoredShard &Record,
                     board::AgentActions &Out);
  /// Every shard's record has been read and given to onShardRecord, in a
  /// reading that was begun at that time: shards without one may be claimed.
  /// Call it at the start and after each slow re-reading, at least once a
  /// minute while the store answers; it is what proves to a backup that it
  /// hasn't been replaced (RecordProofLimit).
  void onShardsListed(base::TimePoint Began);
  /// A SwapShard failed without effect, or its outcome is unknown; the record
  /// will be read again and given to onShardRecord.
  void onSwapFailed(base::TimePoint Now, uint32_t Shard,
                    board::AgentActions &Out);

  /// Call several times a second: deadlines, resends, takeover, hand-over.
  void onTick(base::TimePoint Now, board::AgentActions &Out);

  RequestCounts counts() const;
  /// Requests in hand here, and shards still owned or backed up. 0 of both
  /// means that draining is done.
  size_t inHand() const;
  size_t shardsHeld() const;

  /// All that the next run needs to go on, as bytes. From then on this run
  /// decides and records nothing in the shards that it holds, so that the next
  /// one is safe even if this one lives on.
  std::string snapshot();
  /// Goes on from an earlier run's snapshot. Precondition: nothing has been
  /// given to this controller yet. Errors: Malformed; nothing is changed.
  base::Result<void> restore(base::TimePoint Now, std::string_view State);

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace bilberry::requests

#endif
