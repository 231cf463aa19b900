// A stand-in for one upstream. Performs no I/O: takes messages and time points
// and returns messages. It limits slots and connections, has low limits after a
// cold start, sheds load above them, respects deadlines and cancellation,
// drains, and may report stale or false health. Its ledger counts what actually
// ran, for a test to compare with the outcomes that callers saw.
//
// After a cold start its limits are
//
//   cold slots + requests done / completions per slot         (up to slots)
//   cold connections + flow events / completions per slot     (likewise)
//
// where a flow event is a packet accepted on a flow or a push. Work that
// arrives above a limit is refused and counts as an overrun.
//
// Sequence numbers of a flow begin at FirstSequence. A Data event with sequence
// 0 is pushed by the upstream and acknowledges nothing.

#ifndef BILBERRY_STANDIN_UPSTREAM_MODEL_H
#define BILBERRY_STANDIN_UPSTREAM_MODEL_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ids.h"
#include "bilberry/targets/targets.h"
#include "bilberry/wire/upstream_message.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry::standin {

/// The sequence number of a flow's first packet.
inline constexpr uint64_t FirstSequence = 1;
/// How long a closed flow is retained, to acknowledge retransmissions of its
/// last packets.
inline constexpr base::Duration ClosedFlowRetention = std::chrono::seconds(60);
/// A flow that receives no packet for this long is removed.
inline constexpr base::Duration FlowIdleTimeout = std::chrono::minutes(5);

/// The configuration of the stand-in.
struct UpstreamConfig {
  base::ServiceName Service;
  /// LatencyBound is ignored.
  targets::UpstreamCapacity Capacity;
  base::Duration ServiceTime = std::chrono::milliseconds(20);
  /// Interval at which an event is pushed to each open flow; 0 disables pushes.
  base::Duration PushInterval{0};
  /// For this long a health report is repeated before it is refreshed.
  base::Duration HealthLag{0};
};

/// Identifies one TCP connection of an agent.
using LinkId = uint64_t;

/// A message to send on a link.
struct UpstreamOutput {
  LinkId Link = 0;
  wire::FromUpstream Message;
};
using UpstreamOutputs = std::vector<UpstreamOutput>;

/// Counts of what actually happened.
struct UpstreamLedger {
  /// How many times each request began to run.
  std::unordered_map<base::RequestId, uint32_t> Runs;
  uint64_t TotalRuns = 0;
  uint64_t Done = 0;
  uint64_t Cancelled = 0;
  /// Requests and flows refused for any reason.
  uint64_t Refused = 0;
  /// Requests and flows that arrived above the current limits.
  uint64_t Overruns = 0;
  uint64_t FlowsOpened = 0;
  uint64_t FlowsClosed = 0;
  /// Packets of unknown flows.
  uint64_t StrayPackets = 0;
  /// Requests and packets whose body names another service.
  uint64_t WrongService = 0;
  /// Messages that carry callers' work (all but health queries and flow
  /// aborts), by the second since the Unix epoch.
  std::map<int64_t, uint64_t> ArrivalsPerSecond;
};

/// The state of an open flow.
struct UpstreamFlow {
  LinkId Link = 0;
  base::TimePoint LastPacket;
  base::TimePoint NextPush;
  uint64_t Packets = 0;
  uint64_t Pushes = 0;
  uint64_t Bytes = 0;
  /// The highest sequence number received so far.
  uint64_t HighestSequence = 0;
  /// All packets up to this sequence number were received.
  uint64_t ContiguousUpTo = FirstSequence - 1;
  std::set<uint64_t> OutOfOrderSequences;
  /// The sequence number of the closing packet, once received.
  std::optional<uint64_t> ClosingSequence;
};

/// The simulated upstream. Not thread-safe.
class UpstreamModel {
public:
  explicit UpstreamModel(UpstreamConfig Config);

  /// Handle a new connection of an agent, and its loss. Flows survive the loss
  /// and continue on the link that next delivers their packets; running
  /// requests continue too, but their answers are discarded.
  void onLinkOpened(LinkId Link);
  void onLinkLost(LinkId Link);
  /// Handles a received message and appends the replies to Out.
  void onMessage(base::TimePoint Now, LinkId Link,
                 const wire::ToUpstream &Message, UpstreamOutputs &Out);
  /// Finishes requests, sends pushes and removes idle flows that are due.
  void onTick(base::TimePoint Now, UpstreamOutputs &Out);
  /// When the next request finishes or the next push is due, if any.
  std::optional<base::TimePoint> nextDue() const;

  /// Resets the warm-up: the limits are again those after a cold start.
  void resetWarmup();
  /// Refuses new work from now on and announces this on every link.
  void drain(UpstreamOutputs &Out);
  /// Reports this health from now on, whatever the actual one is.
  void overrideHealth(std::string State, double Load);
  /// Changes the service time of requests that arrive from now on.
  void setServiceTime(base::Duration ServiceTime);

  /// The current limits.
  uint32_t currentSlotLimit() const;
  uint32_t currentConnectionLimit() const;
  size_t running() const { return this->Running.size(); }
  size_t flowsOpen() const { return this->Flows.size(); }
  bool isDraining() const { return this->IsDraining; }
  /// True where no request is running and no flow is open.
  bool isIdle() const { return this->Running.empty() && this->Flows.empty(); }
  const UpstreamLedger &ledger() const { return this->Ledger; }
  const std::unordered_map<base::FlowKey, UpstreamFlow> &flows() const {
    return this->Flows;
  }
  /// Messages with callers' work that arrived at Since or later, with a
  /// resolution of one second.
  uint64_t arrivalsSince(base::TimePoint Since) const;

private:
  struct RunningRequest {
    LinkId Link = 0;
    uint32_t MessageId = 0;
    std::string Body;
  };
  struct ClosedFlow {
    base::TimePoint ClosedAt;
    std::string Summary;
  };

  void handle(base::TimePoint Now, LinkId Link, const wire::UpstreamRun &Run,
              UpstreamOutputs &Out);
  void handle(base::TimePoint Now, LinkId Link,
              const wire::UpstreamHealthQuery &Query, UpstreamOutputs &Out);
  void handle(base::TimePoint Now, LinkId Link,
              const wire::UpstreamFlowPacket &Packet, UpstreamOutputs &Out);
  void handle(base::TimePoint Now, LinkId Link,
              const wire::UpstreamCancel &Cancel, UpstreamOutputs &Out);
  void handle(base::TimePoint Now, LinkId Link,
              const wire::UpstreamFlowAbort &Abort, UpstreamOutputs &Out);

  std::optional<wire::UpstreamRefusal> refusalFor(base::TimePoint Now,
                                                  const wire::UpstreamRun &Run);
  bool openFlow(base::TimePoint Now, LinkId Link,
                const wire::UpstreamFlowPacket &Packet, UpstreamOutputs &Out);
  void processPacket(base::TimePoint Now, LinkId Link, UpstreamFlow &Flow,
                     const wire::UpstreamFlowPacket &Packet,
                     UpstreamOutputs &Out);
  void sendFlowEvent(LinkId Link, const wire::UpstreamFlowPacket &Packet,
                     wire::FlowEvent Event, std::string Body,
                     UpstreamOutputs &Out);
  void finishDueRequests(base::TimePoint Now, UpstreamOutputs &Out);
  void sendDuePushes(base::TimePoint Now, UpstreamOutputs &Out);
  void removeExpiredFlows(base::TimePoint Now);
  void checkServiceTag(std::string_view Body);
  wire::UpstreamHealth actualHealth() const;

  UpstreamConfig Config;
  bool IsDraining = false;
  uint64_t RequestsDone = 0;
  /// Packets received and pushes sent since the warm-up began.
  uint64_t FlowEventCount = 0;
  std::set<LinkId> Links;
  std::multimap<base::TimePoint, RunningRequest> Running;
  std::unordered_map<base::FlowKey, UpstreamFlow> Flows;
  std::unordered_map<base::FlowKey, ClosedFlow> Closed;
  base::TimePoint NextCleanupAt;
  std::optional<wire::UpstreamHealth> HealthOverride;
  wire::UpstreamHealth LastHealth;
  std::optional<base::TimePoint> LastHealthAt;
  UpstreamLedger Ledger;
};

/// The prefix "service=NAME;" of a caller's body, by which an upstream detects
/// work for another service.
std::string serviceTag(const base::ServiceName &Service);

/// The body of a flow's Closed event: the number of packets and bytes received.
std::string flowSummary(uint64_t Packets, uint64_t Bytes);

} // namespace bilberry::standin

#endif
