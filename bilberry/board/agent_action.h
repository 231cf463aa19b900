// The actions that an agent's controllers request from its daemon. Controllers
// handle an event at a given time and append actions. They own no sockets and
// never block, so that a test or another program can execute the actions
// differently.

#ifndef BILBERRY_BOARD_AGENT_ACTION_H
#define BILBERRY_BOARD_AGENT_ACTION_H

#include "bilberry/requests/shard_record.h"
#include "bilberry/wire/caller_message.h"
#include "bilberry/wire/data_message.h"
#include "bilberry/wire/peer_message.h"
#include "bilberry/wire/upstream_message.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bilberry::board {

/// Deliver a packet of a flow to the local upstream.
struct DeliverPacket {
  wire::UpstreamFlowPacket Packet;
};
/// Run a request on the local upstream. A slot is already held for it.
struct RunOnUpstream {
  base::RequestId Id;
  uint32_t Attempt = 0;
  base::ClassName Class;
  base::TimePoint Deadline;
  std::string Body;
};
/// Cancel a request on the local upstream.
struct CancelOnUpstream {
  base::RequestId Id;
  uint32_t Attempt = 0;
};
/// Notify the local upstream that a flow has ended although its caller hasn't
/// closed it.
struct AbortOnUpstream {
  base::FlowKey Key;
};
/// Send a packet of a flow to its caller.
struct ReplyToFlow {
  base::Address Caller;
  wire::FlowReply Reply;
};
/// Send a request's outcome to its caller.
struct ReplyToRequest {
  base::Address Caller;
  uint32_t MessageId = 0;
  base::RequestId Id;
  wire::RequestOutcome Outcome;
};
/// Forward a caller's datagram to another agent.
struct ForwardPacket {
  base::Address To;
  wire::ForwardHeader Header;
  std::string Payload;
};
/// Send a message to a balancer's data port.
struct NotifyBalancer {
  base::Address Balancer;
  wire::DataMessage Message;
};
/// Send a message to another balancer or agent.
struct SendToPeer {
  base::MemberName To;
  wire::PeerBody Body;
};
/// Compare-and-swap a shard's record in the store.
struct CompareAndSwapShard {
  uint32_t Shard = 0;
  requests::ShardRecord Next;
  /// The store revision of the record to replace; 0 if there is none.
  store::StoreRevision Expected = 0;
};

/// The kind of a decision, for its log line.
enum class DecisionKind : uint8_t {
  FlowPlaced,
  FlowPassedOn,
  FlowRefused,
  FlowFound,
  FlowReset,
  FlowClosed,
  PacketDropped,
  RequestRun,
  RequestPassedOn,
  RequestAnswered,
  RequestRefused,
  RequestUnknown,
  ShardTaken,
  ShardHandedOver,
  ShardLost,
  LimitChanged,
};
/// Returns the kind as it is written to the log. Never fails.
std::string_view decisionKindText(DecisionKind Kind);

/// Log a routing or placement decision as one line with stable fields.
struct LogDecision {
  DecisionKind Kind = DecisionKind::PacketDropped;
  /// The flow, request or shard that was decided on.
  std::string Subject;
  /// The member that it is sent to; empty for this agent.
  base::MemberName To;
  std::string Reason;
};

using AgentAction =
    std::variant<DeliverPacket, RunOnUpstream, CancelOnUpstream,
                 AbortOnUpstream, ReplyToFlow, ReplyToRequest, ForwardPacket,
                 NotifyBalancer, SendToPeer, CompareAndSwapShard, LogDecision>;
using AgentActions = std::vector<AgentAction>;

} // namespace bilberry::board

#endif
