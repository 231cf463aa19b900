// What an agent's controllers ask its daemon to do. Controllers take an event
// and a time point and append actions; they own no socket and never wait, so
// that a test, or another program, can carry the actions out in its own way.

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

/// Hand a packet of a flow to our own upstream.
struct DeliverPacket {
  wire::UpstreamFlowPacket Packet;
};
/// Run a request on our own upstream. A slot is held for it.
struct RunOnUpstream {
  base::RequestId Id;
  uint32_t Attempt = 0;
  base::ClassName Class;
  base::TimePoint Deadline;
  std::string Body;
};
/// Cancel a request on our own upstream.
struct CancelOnUpstream {
  base::RequestId Id;
  uint32_t Attempt = 0;
};
/// Tell our own upstream that a flow is over, though its caller hasn't closed
/// it.
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
/// Pass a caller's datagram on to another agent.
struct ForwardPacket {
  base::Address To;
  wire::ForwardHeader Header;
  std::string Payload;
};
/// Tell a balancer something over its data port.
struct HintBalancer {
  base::Address Balancer;
  wire::DataMessage Message;
};
/// Send a message to another of our processes.
struct SendPeer {
  base::MemberName To;
  wire::PeerBody Body;
};
/// Compare-and-swap a shard's record in the store.
struct SwapShard {
  uint32_t Shard = 0;
  requests::ShardRecord Next;
  /// The store revision of the record that is replaced; 0 for none.
  store::StoreRevision Expected = 0;
};

/// What a decision was about, for its log line.
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
/// The kind as a word. Never fails.
std::string_view decisionKindText(DecisionKind Kind);

/// One routing or placement decision: one log line with stable fields.
struct LogDecision {
  DecisionKind Kind = DecisionKind::PacketDropped;
  /// The flow, request or shard.
  std::string Subject;
  /// The member that it goes to; empty for ourselves.
  base::MemberName To;
  std::string Reason;
};

using AgentAction =
    std::variant<DeliverPacket, RunOnUpstream, CancelOnUpstream,
                 AbortOnUpstream, ReplyToFlow, ReplyToRequest, ForwardPacket,
                 HintBalancer, SendPeer, SwapShard, LogDecision>;
using AgentActions = std::vector<AgentAction>;

} // namespace bilberry::board

#endif
