// Handles the requests that arrive at one agent. Requests that are not
// idempotent run at most once, and "not run" is only reported for requests that
// did not run.
//
// The requests of a service are divided into shards. For each shard, a record
// in the store names the owner, the backup and the epoch. The owner has each
// decision, to run or to refuse a request, recorded by the backup before it
// acts on it. The backup records entries of its own epoch only. To take over,
// it first closes the epoch and then makes itself the owner of the next epoch
// by compare-and-swap: what it has recorded may have run, everything else has
// not. An owner that resumes after a pause therefore cannot act on anything
// that the backup has not recorded.
//
// Idempotent requests do not depend on shards; "not run" is never reported for
// them.

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

/// Request counters of an agent for its status page and metrics.
struct RequestCounts {
  uint64_t Arrived = 0;
  uint64_t Run = 0;
  /// Requests sent to another agent to be run there.
  uint64_t PassedOn = 0;
  uint64_t Answered = 0;
  uint64_t NotRun = 0;
  uint64_t Unknown = 0;
  uint64_t Duplicates = 0;
  uint64_t ShardsOwned = 0;
  uint64_t ShardsBackedUp = 0;
  uint64_t Records = 0;
};

/// Thread-safe: one mutex of rank Requests, held during calls to the limits.
/// The target and member tables are read before it is locked.
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

  /// Handles a request packet, which may be a duplicate. Payload is the
  /// caller's whole datagram, and Packet is the parsed form of it.
  void onRequest(base::TimePoint Now, const wire::ForwardHeader &Header,
                 std::string_view Payload, const wire::RequestPacket &Packet,
                 board::AgentActions &Out);
  /// Handles a caller's cancellation of a request.
  void onCancel(base::TimePoint Now, const wire::ForwardHeader &Header,
                std::string_view Payload, const wire::CancelPacket &Packet,
                board::AgentActions &Out);
  /// Handles a message from another agent. Messages that do not concern
  /// requests are ignored.
  void onPeer(base::TimePoint Now, const wire::PeerMessage &Message,
              board::AgentActions &Out);
  /// Handles the result of a request that a RunOnUpstream action passed to the
  /// local upstream.
  void onUpstreamResult(base::TimePoint Now, const wire::RunResult &Result,
                        board::AgentActions &Out);
  /// Handles the loss of the local upstream. The outcome of requests that were
  /// running there is unknown.
  void onUpstreamLost(base::TimePoint Now, board::AgentActions &Out);

  /// Handles a shard record that was read at the start, reported by a watch, or
  /// returned by a compare-and-swap. Records older than the known one are
  /// ignored.
  void onShardRecord(base::TimePoint Now, const StoredShard &Record,
                     board::AgentActions &Out);
  /// Reports that every shard record has been read and passed to onShardRecord,
  /// in a listing that started at ListingStart. Shards without a record may
  /// then be claimed. Call it at the start and after each periodic listing, at
  /// least once a minute while the store answers: it confirms to a backup that
  /// it has not been replaced (MaxListingAge).
  void onShardsListed(base::TimePoint ListingStart);
  /// Reports that a CompareAndSwapShard action failed without effect, or that
  /// its outcome is unknown. The record is read again and passed to
  /// onShardRecord afterwards.
  void onSwapFailed(base::TimePoint Now, uint32_t Shard,
                    board::AgentActions &Out);

  /// Processes deadlines, resends, takeovers and hand-overs. Call it several
  /// times a second.
  void onTick(base::TimePoint Now, board::AgentActions &Out);

  RequestCounts counts() const;
  /// The number of pending requests at this agent, and of shards that it still
  /// owns or backs up. Draining is complete when both are 0.
  size_t requestsInFlight() const;
  size_t shardsHeld() const;

  /// Returns the serialised state for the next run of this process. Afterwards
  /// this run makes and records no more decisions in the shards that it holds,
  /// so that the next run is safe even if this one is still alive.
  std::string snapshot();
  /// Restores the state from the snapshot of an earlier run. Precondition: no
  /// other method has been called yet. Errors: Malformed, without any change.
  base::Result<void> restore(base::TimePoint Now, std::string_view State);

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace bilberry::requests

#endif
