// The controller's state and decisions, without its lock: arrivals, dispatch
// and outcomes on top of the shards' replicas.

#ifndef BILBERRY_REQUESTS_REQUEST_ENGINE_H
#define BILBERRY_REQUESTS_REQUEST_ENGINE_H

#include "bilberry/admission/deadline_queue.h"
#include "bilberry/admission/upstream_limits.h"
#include "bilberry/board/agent_action.h"
#include "bilberry/requests/outcome_store.h"
#include "bilberry/requests/request_controller.h"
#include "bilberry/requests/request_work.h"
#include "bilberry/requests/shard_group.h"
#include "bilberry/requests/upstream_runs.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberry::requests {

/// How often a datagram or a cancellation is passed on between agents.
inline constexpr uint8_t MaxRequestHops = 4;
/// How many requests wait for a slot.
inline constexpr size_t MaxQueuedRequests = 64;
/// How many other agents one request is offered to.
inline constexpr size_t MaxRunners = 3;
/// The least time that a refused caller is asked to wait.
inline constexpr base::Duration LeastRetryAfter =
    std::chrono::milliseconds(200);
/// How often an unanswered request is offered to its runner again.
inline constexpr base::Duration RunResendInterval =
    std::chrono::milliseconds(500);

/// Not safe for two threads at once.
class RequestEngine {
public:
  /// Limits must outlive this object.
  explicit RequestEngine(admission::UpstreamLimits &Limits)
      : Limits(Limits), Runs(Limits) {}

  void onRequest(const Surroundings &Around, const wire::ForwardHeader &Header,
                 std::string_view Payload, const wire::RequestPacket &Packet,
                 board::AgentActions &Out);
  void onCancel(const Surroundings &Around, const wire::ForwardHeader &Header,
                std::string_view Payload, const wire::CancelPacket &Packet,
                board::AgentActions &Out);
  void onPeer(const Surroundings &Around, const wire::PeerMessage &Message,
              board::AgentActions &Out);
  void onUpstreamResult(const Surroundings &Around,
                        const wire::RunResult &Result,
                        board::AgentActions &Out);
  void onUpstreamLost(const Surroundings &Around, board::AgentActions &Out);
  void onShardRecord(const Surroundings &Around, const StoredShard &Record,
                     board::AgentActions &Out);
  void onSwapFailed(uint32_t Shard);
  void tick(const Surroundings &Around, const HolderStates &States,
            board::AgentActions &Out);

  RequestCounts counts(const ShardHolder &Self) const;
  size_t inHand() const { return this->Works.size() + this->Runs.size(); }

  ShardGroup Shards;
  OutcomeStore Outcomes;

private:
  // Arrivals: request_engine.cc.
  bool isServed(const Surroundings &Around, const wire::RequestPacket &Packet,
                const targets::WorkClass *Class) const;
  bool answerFromHere(const wire::ForwardHeader &Header,
                      const wire::RequestPacket &Packet,
                      board::AgentActions &Out);
  void decideAsOwner(const Surroundings &Around,
                     const wire::ForwardHeader &Header,
                     std::string_view Payload,
                     const wire::RequestPacket &Packet,
                     board::AgentActions &Out);
  bool answerFromRecord(const Surroundings &Around,
                        const wire::ForwardHeader &Header,
                        std::string_view Payload,
                        const wire::RequestPacket &Packet,
                        board::AgentActions &Out);
  RequestWork &addWork(const wire::ForwardHeader &Header,
                       std::string_view Payload,
                       const wire::RequestPacket &Packet, bool IsIdempotent);
  bool forward(const Surroundings &Around, const base::MemberName &To,
               const wire::ForwardHeader &Header, std::string_view Payload,
               board::AgentActions &Out) const;
  void forwardToOwner(const Surroundings &Around, uint32_t Shard,
                      const wire::ForwardHeader &Header,
                      std::string_view Payload, base::RequestId Id,
                      board::AgentActions &Out);

  // Decisions and outcomes: request_engine.cc.
  void apply(const Surroundings &Around, uint32_t Shard,
             ReplicaEffects &Effects, board::AgentActions &Out);
  void onDecided(const Surroundings &Around, const wire::IntentEntry &Entry,
                 board::AgentActions &Out);
  void onVoided(const Surroundings &Around, const wire::IntentEntry &Entry,
                board::AgentActions &Out);
  void propose(const Surroundings &Around, const RequestWork &Work,
               wire::Verdict Decision, board::AgentActions &Out);
  void refuse(const Surroundings &Around, RequestWork &Work,
              wire::RefusalReason Reason, board::AgentActions &Out);
  void tell(const RequestWork &Work, const wire::RequestOutcome &Outcome,
            board::AgentActions &Out);
  void settle(base::RequestId Id, wire::RequestOutcome Outcome,
              board::AgentActions &Out);
  void reply(const wire::ForwardHeader &Header,
             const wire::RequestPacket &Packet,
             const wire::RequestOutcome &Outcome, board::AgentActions &Out);
  void count(const wire::RequestOutcome &Outcome);

  // Dispatch: request_dispatch.cc.
  void dispatch(const Surroundings &Around, RequestWork &Work,
                board::AgentActions &Out);
  bool passOn(const Surroundings &Around, RequestWork &Work,
              board::AgentActions &Out);
  bool passIdempotentOn(const Surroundings &Around, RequestWork &Work,
                        board::AgentActions &Out);
  void sendRunRequest(RequestWork &Work, base::TimePoint Now,
                      board::AgentActions &Out);
  void onRunResult(const Surroundings &Around, const ShardHolder &From,
                   const wire::RunResult &Result, board::AgentActions &Out);
  void conclude(const Surroundings &Around, RequestWork &Work,
                const base::MemberName &Runner, const wire::RunResult &Result,
                board::AgentActions &Out);
  void startQueued(const Surroundings &Around, board::AgentActions &Out);
  void cancel(const Surroundings &Around, RequestWork &Work,
              board::AgentActions &Out);
  void tickWork(const Surroundings &Around, base::RequestId Id,
                board::AgentActions &Out);
  base::Duration retryAfter() const;

  admission::UpstreamLimits &Limits;
  UpstreamRuns Runs;
  std::unordered_map<base::RequestId, RequestWork> Works;
  admission::DeadlineQueue<base::RequestId> Queue{MaxQueuedRequests};
  RequestCounts Counts;
};

/// The request's id for logs.
std::string requestText(base::RequestId Id);
/// Appends the log line of a decision.
void logDecision(board::DecisionKind Kind, std::string Subject,
                 const base::MemberName &To, std::string Reason,
                 board::AgentActions &Out);

} // namespace bilberry::requests

#endif
