// State and logic of RequestController without its lock: arrivals, dispatch and
// outcomes, on top of the shard replicas.

#ifndef BILBERRY_REQUESTS_REQUEST_ENGINE_H
#define BILBERRY_REQUESTS_REQUEST_ENGINE_H

#include "bilberry/admission/deadline_queue.h"
#include "bilberry/admission/upstream_limits.h"
#include "bilberry/board/agent_action.h"
#include "bilberry/requests/outcome_store.h"
#include "bilberry/requests/pending_request.h"
#include "bilberry/requests/request_controller.h"
#include "bilberry/requests/shard_group.h"
#include "bilberry/requests/upstream_runs.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberry::requests {

/// Limit on how many times a request or a cancellation is forwarded between
/// agents.
inline constexpr uint8_t MaxRequestHops = 4;
/// Limit on the requests that wait for a slot.
inline constexpr size_t MaxQueuedRequests = 64;
/// Limit on the other agents that one request is offered to.
inline constexpr size_t MaxRemoteAgents = 3;
/// Minimum delay before a retry that is requested from a refused caller.
inline constexpr base::Duration MinRetryAfter = std::chrono::milliseconds(200);
/// Interval between resends of a request to the agent that runs it.
inline constexpr base::Duration RunResendInterval =
    std::chrono::milliseconds(500);

/// Not thread-safe.
class RequestEngine {
public:
  /// Limits must outlive this object.
  explicit RequestEngine(admission::UpstreamLimits &Limits)
      : Limits(Limits), Runs(Limits) {}

  void onRequest(const AgentContext &Agent, const wire::ForwardHeader &Header,
                 std::string_view Payload, const wire::RequestPacket &Packet,
                 board::AgentActions &Out);
  void onCancel(const AgentContext &Agent, const wire::ForwardHeader &Header,
                std::string_view Payload, const wire::CancelPacket &Packet,
                board::AgentActions &Out);
  void onPeer(const AgentContext &Agent, const wire::PeerMessage &Message,
              board::AgentActions &Out);
  void onUpstreamResult(const AgentContext &Agent,
                        const wire::RunResult &Result,
                        board::AgentActions &Out);
  void onUpstreamLost(const AgentContext &Agent, board::AgentActions &Out);
  void onShardRecord(const AgentContext &Agent, const StoredShard &Record,
                     board::AgentActions &Out);
  void onSwapFailed(uint32_t Shard);
  void tick(const AgentContext &Agent, const HolderStates &States,
            board::AgentActions &Out);

  RequestCounts counts(const ShardHolder &Self) const;
  size_t requestsInFlight() const {
    return this->PendingRequests.size() + this->Runs.size();
  }

  ShardGroup Shards;
  OutcomeStore Outcomes;

private:
  // Arrivals: request_engine.cc.
  bool isServed(const AgentContext &Agent, const wire::RequestPacket &Packet,
                const targets::WorkClass *Class) const;
  bool answerFromLocalState(const wire::ForwardHeader &Header,
                            const wire::RequestPacket &Packet,
                            board::AgentActions &Out);
  void decideAsOwner(const AgentContext &Agent,
                     const wire::ForwardHeader &Header,
                     std::string_view Payload,
                     const wire::RequestPacket &Packet,
                     board::AgentActions &Out);
  bool answerFromRecord(const AgentContext &Agent,
                        const wire::ForwardHeader &Header,
                        std::string_view Payload,
                        const wire::RequestPacket &Packet,
                        board::AgentActions &Out);
  PendingRequest &addPendingRequest(const wire::ForwardHeader &Header,
                                    std::string_view Payload,
                                    const wire::RequestPacket &Packet,
                                    bool IsIdempotent);
  bool forwardPacket(const AgentContext &Agent, const base::MemberName &To,
                     const wire::ForwardHeader &Header,
                     std::string_view Payload, board::AgentActions &Out) const;
  void forwardToOwner(const AgentContext &Agent, uint32_t Shard,
                      const wire::ForwardHeader &Header,
                      std::string_view Payload, base::RequestId Id,
                      board::AgentActions &Out);

  // Decisions and outcomes: request_engine.cc.
  void applyEffects(const AgentContext &Agent, uint32_t Shard,
                    ReplicaEffects &Effects, board::AgentActions &Out);
  void onCommitted(const AgentContext &Agent, const wire::IntentEntry &Entry,
                   board::AgentActions &Out);
  void onAborted(const AgentContext &Agent, const wire::IntentEntry &Entry,
                 board::AgentActions &Out);
  void propose(const AgentContext &Agent, const PendingRequest &Pending,
               wire::RequestDecision Decision, board::AgentActions &Out);
  void refuse(const AgentContext &Agent, PendingRequest &Pending,
              wire::RefusalReason Reason, board::AgentActions &Out);
  void replyToCallers(const PendingRequest &Pending,
                      const wire::RequestOutcome &Outcome,
                      board::AgentActions &Out);
  void complete(base::RequestId Id, wire::RequestOutcome Outcome,
                board::AgentActions &Out);
  void replyToPacket(const wire::ForwardHeader &Header,
                     const wire::RequestPacket &Packet,
                     const wire::RequestOutcome &Outcome,
                     board::AgentActions &Out);
  void countOutcome(const wire::RequestOutcome &Outcome);

  // Dispatch: request_dispatch.cc.
  void dispatch(const AgentContext &Agent, PendingRequest &Pending,
                board::AgentActions &Out);
  bool delegateToAgent(const AgentContext &Agent, PendingRequest &Pending,
                       board::AgentActions &Out);
  bool forwardIdempotent(const AgentContext &Agent, PendingRequest &Pending,
                         board::AgentActions &Out);
  void sendRunRequest(PendingRequest &Pending, base::TimePoint Now,
                      board::AgentActions &Out);
  void onRunResult(const AgentContext &Agent, const ShardHolder &From,
                   const wire::RunResult &Result, board::AgentActions &Out);
  void handleRunResult(const AgentContext &Agent, PendingRequest &Pending,
                       const base::MemberName &Runner,
                       const wire::RunResult &Result, board::AgentActions &Out);
  void startQueued(const AgentContext &Agent, board::AgentActions &Out);
  void cancel(const AgentContext &Agent, PendingRequest &Pending,
              board::AgentActions &Out);
  void tickPendingRequest(const AgentContext &Agent, base::RequestId Id,
                          board::AgentActions &Out);
  base::Duration retryAfter() const;

  admission::UpstreamLimits &Limits;
  UpstreamRuns Runs;
  std::unordered_map<base::RequestId, PendingRequest> PendingRequests;
  admission::DeadlineQueue<base::RequestId> Queue{MaxQueuedRequests};
  RequestCounts Counts;
};

/// Returns the request id as 32 hexadecimal digits, for logs.
std::string requestIdText(base::RequestId Id);
/// Appends a LogDecision action.
void logDecision(board::DecisionKind Kind, std::string Subject,
                 const base::MemberName &To, std::string Reason,
                 board::AgentActions &Out);

} // namespace bilberry::requests

#endif
