// Datagrams between a balancer and the agents, beside the packets that they
// relay: who is there and with how much load, which flows are where, and which
// state of the operators' documents each has.
//
// Any of them may be lost, late or repeated: each carries the whole present
// value, or is asked for again.

#ifndef BILBERRY_WIRE_RELAY_MESSAGE_H
#define BILBERRY_WIRE_RELAY_MESSAGE_H

#include "bilberry/base/error.h"
#include "bilberry/base/ids.h"
#include "bilberry/base/name.h"
#include "bilberry/packet/packet.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bilberry::wire {

/// How new the sender's copy of the operators' documents is.
struct NewsMark {
  /// The store's revision of the last change that the sender knows.
  int64_t Changed = 0;
  /// Where the sender's copy can be fetched by HTTP.
  base::Address Pages;

  MSGPACK_DEFINE(Changed, Pages); // NOLINT
};

/// Balancer to agent: "tell me how you are", and "these are your flows".
struct BalancerHello {
  base::MemberName Name;
  base::Incarnation Run = 0;
  NewsMark News;

  MSGPACK_DEFINE(Name, Run, News); // NOLINT
};

/// Balancer to agent, once for each run of the agent: the flows that it was
/// known to hold, since a restarted agent knows none.
struct FlowsRecalled {
  base::Incarnation AgentRun = 0;
  std::vector<packet::FlowId> Flows;

  MSGPACK_DEFINE(AgentRun, Flows); // NOLINT
};

/// What an agent may be given.
enum class AgentCondition : uint8_t {
  /// Takes new flows.
  InService = 0,
  /// Its upstream isn't there.
  NoUpstream = 1,
  /// Its upstream is leaving.
  Draining = 2,
  /// Its data centre is out of service.
  Evacuated = 3,
  /// The agent itself is about to end; its upstream may live on.
  Stopping = 4,
};

/// Agent to balancer, a few times a second and at each change.
struct AgentStatus {
  base::MemberName Name;
  base::Incarnation Run = 0;
  base::DataCentreName DataCentre;
  base::ServiceName Service;
  /// UDP: callers' packets.
  base::Address Data;
  AgentCondition Condition = AgentCondition::NoUpstream;
  /// Requests that the upstream works at at once.
  uint32_t Slots = 1;
  /// Flows that wait for an answer of the upstream.
  uint32_t Working = 0;
  /// Flows held.
  uint32_t Flows = 0;
  /// Opening packets that it may still take in this second while cold; above
  /// that while warm.
  uint32_t Budget = 0;
  /// False where the upstream may hold flows that the agent doesn't know.
  bool KnowsAllFlows = false;
  NewsMark News;
  /// Flows that it holds since the last status, and those that have ended.
  std::vector<packet::FlowId> Opened;
  std::vector<packet::FlowId> Ended;

  MSGPACK_DEFINE(Name, Run, DataCentre, Service, Data, Condition, Slots,
                 Working, Flows, Budget, KnowsAllFlows, News, Opened,
                 Ended); // NOLINT
};

/// Balancer to agent: "do you hold these?"
struct HolderQuery {
  std::vector<packet::FlowId> Flows;

  MSGPACK_DEFINE(Flows); // NOLINT
};

enum class Holding : uint8_t {
  /// Certainly not here.
  Absent = 0,
  Held = 1,
  /// Not known here, but this agent was restarted beside a living upstream.
  Unsure = 2,
};

/// Agent to balancer.
struct HolderAnswer {
  base::MemberName Name;
  base::Incarnation Run = 0;
  std::vector<packet::FlowId> Flows;
  /// One for each of Flows.
  std::vector<Holding> Holdings;

  MSGPACK_DEFINE(Name, Run, Flows, Holdings); // NOLINT
};

/// New alternatives go at the end.
using RelayMessage = std::variant<BalancerHello, FlowsRecalled, AgentStatus,
                                  HolderQuery, HolderAnswer>;

/// The most flows that one message lists, so that it fits a datagram.
inline constexpr size_t MaxFlowsPerMessage = 40;

/// Reads a message. Errors: Malformed, whatever the bytes. Thread-safe.
base::Result<RelayMessage> parseRelayMessage(std::string_view Bytes);
/// Writes a message. Thread-safe.
std::string relayMessageBytes(const RelayMessage &Message);

} // namespace bilberry::wire

MSGPACK_ADD_ENUM(bilberry::wire::AgentCondition);
MSGPACK_ADD_ENUM(bilberry::wire::Holding);

#endif
