// Control datagrams between balancers and agents: membership and load, the
// locations of flows, and the version of the operators' documents (routes
// and evacuations, in the store) at each process.
//
// Datagrams may be lost, delayed or duplicated. Each therefore contains the
// complete current value or is requested again.

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

/// Version of the sender's copy of the operators' documents: the routes
/// and the data centres taken out of service.
struct DocumentsVersion {
  /// Store revision of the latest change to a document known to the sender.
  int64_t Changed = 0;
  /// Address of the HTTP server from which the sender's copy can be fetched.
  base::Address Pages;
  /// The store's era in which Changed was assigned; 0 if unknown.
  uint64_t Era = 0;

  MSGPACK_DEFINE(Changed, Pages, Era); // NOLINT
};

/// True if A is a later version than B. Revisions of different eras can't be
/// compared, so the era decides first.
inline bool isNewer(const DocumentsVersion &A, const DocumentsVersion &B) {
  return A.Era != B.Era ? A.Era > B.Era : A.Changed > B.Changed;
}

/// Balancer to agent: the balancer is running. The agent answers the first one
/// of a run with an AgentStatus, and later ones if AsksForStatus is set. Run is
/// the balancer's incarnation, as in the other messages the sender's.
struct BalancerHello {
  base::MemberName Name;
  base::Incarnation Run = 0;
  DocumentsVersion Documents;
  base::DataCentreName DataCentre;
  bool AsksForStatus = false;
  /// The balancer follows the store closely, and its view is current, so that
  /// agents may rely on it for changes of the documents.
  bool FollowsStore = false;

  MSGPACK_DEFINE(Name, Run, Documents, DataCentre, AsksForStatus,
                 FollowsStore); // NOLINT
};

/// Balancer to agent, once per incarnation of the agent: the flows that the
/// balancer knows the agent to hold. A restarted agent knows none of its flows.
struct KnownFlows {
  base::Incarnation AgentRun = 0;
  std::vector<packet::FlowId> Flows;

  MSGPACK_DEFINE(AgentRun, Flows); // NOLINT
};

/// State of an agent, which determines the traffic it may receive.
enum class AgentCondition : uint8_t {
  /// Accepts new flows.
  InService = 0,
  /// The upstream is absent.
  NoUpstream = 1,
  /// The upstream is draining before it leaves.
  Draining = 2,
  /// The operators have taken the data centre out of service.
  Evacuated = 3,
  /// The agent itself is stopping; its upstream may keep running.
  Stopping = 4,
};

/// Agent to balancer, a few times per second and on each change. Balancers pass
/// it on to others in their data centre.
struct AgentStatus {
  base::MemberName Name;
  base::Incarnation Run = 0;
  base::DataCentreName DataCentre;
  base::ServiceName Service;
  /// UDP address to which balancers forward the packets of callers.
  base::Address Data;
  AgentCondition Condition = AgentCondition::NoUpstream;
  /// Number of requests that the upstream processes concurrently.
  uint32_t Slots = 1;
  /// Number of flows that are waiting for an answer from the upstream.
  uint32_t WaitingFlows = 0;
  /// Number of flows held.
  uint32_t Flows = 0;
  /// Number of opening packets that the agent may still accept in this second
  /// while cold; the maximum of uint32_t while warm.
  uint32_t RemainingNewFlows = 0;
  /// False if the upstream may hold flows that the agent does not know.
  bool KnowsAllFlows = false;
  DocumentsVersion Documents;
  /// Flows newly held and flows ended since the last status.
  std::vector<packet::FlowId> Opened;
  std::vector<packet::FlowId> Ended;
  /// Increases with each status of a run. 0 from an agent that doesn't count.
  uint64_t Sequence = 0;
  /// Message addresses of the balancers in the agent's data centre that it has
  /// heard recently, so that they learn of each other. Not in every status.
  std::vector<base::Address> NearBalancers;
  /// The number of opening packets that this run of the agent has admitted. 0
  /// from an agent that doesn't count.
  uint64_t AdmittedFlows = 0;
  /// The upstream's recent service time in microseconds; 0 if unknown.
  uint32_t ServiceTimeUs = 0;
  /// The upstream alternates between up and down.
  bool IsUnstable = false;
  /// How long a cold upstream stays cold, in milliseconds; 0 while warm, or if
  /// unknown.
  uint32_t ColdLeftMs = 0;
  /// The new flows per second that a cold upstream accepts; 0 if unknown.
  uint32_t ColdFlowsPerSecond = 0;

  MSGPACK_DEFINE(Name, Run, DataCentre, Service, Data, Condition, Slots,
                 WaitingFlows, Flows, RemainingNewFlows, KnowsAllFlows,
                 Documents, Opened, Ended, Sequence, NearBalancers,
                 AdmittedFlows, ServiceTimeUs, IsUnstable, ColdLeftMs,
                 ColdFlowsPerSecond); // NOLINT
};

/// A status that the sender received from its agent, without lists of flows.
struct PassedStatus {
  /// The agent's address for messages.
  base::Address Control;
  /// How long before this message the sender received the status.
  uint32_t AgeMs = 0;
  AgentStatus Status;

  MSGPACK_DEFINE(Control, AgeMs, Status); // NOLINT
};

/// Balancer to the other balancers of its data centre, twice a second: what it
/// has received from agents that don't send to all of them.
struct PassedStatuses {
  base::MemberName Name;
  base::Incarnation Run = 0;
  base::DataCentreName DataCentre;
  /// The sender follows the documents and the announcements in the store
  /// closely, and its view is current.
  bool FollowsStore = false;
  std::vector<PassedStatus> Statuses;
  DocumentsVersion Documents;
  /// Digest of the sender's list of agents (members::AgentList); 0 from a
  /// balancer that doesn't send it.
  uint64_t AgentList = 0;

  MSGPACK_DEFINE(Name, Run, DataCentre, FollowsStore, Statuses, Documents,
                 AgentList); // NOLINT
};

/// Balancer to another balancer of its data centre: asks how the receiver's
/// list of agents differs from the sender's.
struct AgentListQuery {
  base::MemberName Name;
  base::Incarnation Run = 0;
  base::DataCentreName DataCentre;
  /// One digest for each bucket of the sender's list.
  std::vector<uint64_t> Buckets;

  MSGPACK_DEFINE(Name, Run, DataCentre, Buckets); // NOLINT
};

/// Answer to an AgentListQuery: the agents in the buckets that differ.
struct AgentListAnswer {
  base::MemberName Name;
  base::Incarnation Run = 0;
  base::DataCentreName DataCentre;
  /// As in PassedStatuses.
  bool FollowsStore = false;
  uint64_t AgentList = 0;
  /// Hashes of names (members::AgentView::NameHash).
  std::vector<uint64_t> Agents;
  /// False if not all of these buckets fit.
  bool IsComplete = false;

  MSGPACK_DEFINE(Name, Run, DataCentre, FollowsStore, AgentList, Agents,
                 IsComplete); // NOLINT
};

/// Balancer to another balancer of its data centre: asks for the last statuses
/// of these agents, as PassedStatuses.
struct StatusQuery {
  base::DataCentreName DataCentre;
  /// Hashes of names, at most MaxAgentsPerStatusQuery.
  std::vector<uint64_t> Agents;

  MSGPACK_DEFINE(DataCentre, Agents); // NOLINT
};

/// Balancer to agent: asks which of these flows the agent holds, in order to
/// find the agent that holds each (its holder).
struct HolderQuery {
  std::vector<packet::FlowId> Flows;

  MSGPACK_DEFINE(Flows); // NOLINT
};

enum class FlowPresence : uint8_t {
  /// The agent certainly does not hold the flow.
  Absent = 0,
  Held = 1,
  /// The agent does not know the flow, but was restarted while its upstream
  /// kept running, so the upstream may hold it.
  Unsure = 2,
};

/// Agent to balancer: answer to a HolderQuery.
struct HolderAnswer {
  base::MemberName Name;
  base::Incarnation Run = 0;
  std::vector<packet::FlowId> Flows;
  /// One element per element of Flows.
  std::vector<FlowPresence> Presences;

  MSGPACK_DEFINE(Name, Run, Flows, Presences); // NOLINT
};

/// Any control message between a balancer and an agent or another balancer.
/// New alternatives must be appended: the index is part of the wire format.
using RelayMessage = std::variant<BalancerHello, KnownFlows, AgentStatus,
                                  HolderQuery, HolderAnswer, PassedStatuses,
                                  AgentListQuery, AgentListAnswer, StatusQuery>;

/// The maximum number of flows in one message, so that it fits a datagram.
inline constexpr size_t MaxFlowsPerMessage = 40;
/// The maximum number of statuses in one message, for the same reason.
inline constexpr size_t MaxStatusesPerMessage = 6;
/// The maximum number of agents in one AgentListAnswer, for the same reason.
/// Far more than a bucket has.
inline constexpr size_t MaxAgentsPerListAnswer = 150;
/// The maximum number of agents in one StatusQuery: the answer is six messages.
inline constexpr size_t MaxAgentsPerStatusQuery = 6 * MaxStatusesPerMessage;

/// Parses a message. Errors: Malformed. Never throws, even on arbitrary bytes.
/// Thread-safe.
base::Result<RelayMessage> parseRelayMessage(std::string_view Bytes);
/// Encodes a message. Thread-safe.
std::string relayMessageBytes(const RelayMessage &Message);

} // namespace bilberry::wire

MSGPACK_ADD_ENUM(bilberry::wire::AgentCondition);
MSGPACK_ADD_ENUM(bilberry::wire::FlowPresence);

#endif
