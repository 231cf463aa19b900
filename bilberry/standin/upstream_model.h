// A stand-in for one upstream, as a pure object: it takes messages and time
// points and appends messages. It has slots and connections, bears little
// after a cold start, sheds what is above that, honours deadlines and
// cancellation, drains, and may lag or lie about its health. Its ledger counts
// what truly ran, for a test to hold against what callers were told.
//
// In cold start it bears
//
//   cold slots + requests done / completions per slot         (up to slots)
//   cold connections + flow events / completions per slot     (likewise)
//
// where a flow event is an opened flow or a Data event. Work that arrives
// above that is refused, and counts as an overrun.
//
// Sequences of a flow begin at FirstSequence. A Data event with sequence 0 is
// pushed by the upstream and acknowledges nothing.

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

/// The sequence of a flow's first packet.
inline constexpr uint64_t FirstSequence = 1;
/// How long a closed flow is remembered, to acknowledge its last packet again.
inline constexpr base::Duration ClosedFlowMemory = std::chrono::seconds(60);
/// How long a flow without packets stays open.
inline constexpr base::Duration FlowIdleTimeout = std::chrono::minutes(5);

/// What the stand-in is told to be.
struct UpstreamRule {
  base::ServiceName Service;
  /// LatencyBound isn't used.
  targets::UpstreamCapacity Capacity;
  base::Duration ServiceTime = std::chrono::milliseconds(20);
  /// How often it pushes an event to each open flow; 0 for never.
  base::Duration PushInterval{0};
  /// How old a health report may be.
  base::Duration HealthLag{0};
};

/// One TCP connection of an agent.
using LinkId = uint64_t;

/// A message that is to go out on a link.
struct UpstreamOutput {
  LinkId Link = 0;
  wire::FromUpstream Message;
};
using UpstreamOutputs = std::vector<UpstreamOutput>;

/// What truly happened.
struct UpstreamLedger {
  /// How often each request began.
  std::unordered_map<base::RequestId, uint32_t> Runs;
  uint64_t TotalRuns = 0;
  uint64_t Done = 0;
  uint64_t Cancelled = 0;
  /// Requests and flows refused, whatever the reason.
  uint64_t Refused = 0;
  /// Requests and flows that arrived above what it bears.
  uint64_t Overruns = 0;
  uint64_t FlowsOpened = 0;
  uint64_t FlowsClosed = 0;
  /// Packets of flows that it doesn't know.
  uint64_t StrayPackets = 0;
  /// Bodies that name another service.
  uint64_t WrongService = 0;
  /// Messages that bring callers' work, so all but health queries and aborted
  /// flows, in each second
  /// since the Unix epoch.
  std::map<int64_t, uint64_t> ArrivalsPerSecond;
};

/// What is known of an open flow.
struct UpstreamFlow {
  LinkId Link = 0;
  base::TimePoint LastPacket;
  base::TimePoint NextPush;
  uint64_t Packets = 0;
  uint64_t Pushes = 0;
  uint64_t Bytes = 0;
  uint64_t HighestSequence = 0;
  /// All up to this one have come.
  uint64_t WholeUpTo = FirstSequence - 1;
  std::set<uint64_t> BeyondWhole;
  /// The closing packet's, once it has come.
  std::optional<uint64_t> LastSequence;
};

/// Not safe for two threads at once.
class UpstreamModel {
public:
  explicit UpstreamModel(UpstreamRule Rule);

  /// An agent has connected, or its connection is lost. Flows outlive it and
  /// go on with the link that next carries their packets; what runs goes on
  /// too, but nobody gets the answer.
  void onLink(LinkId Link);
  void onLinkLost(LinkId Link);
  /// A message has come.
  void onMessage(base::TimePoint Now, LinkId Link,
                 const wire::ToUpstream &Message, UpstreamOutputs &Out);
  /// Ends what is due.
  void onTick(base::TimePoint Now, UpstreamOutputs &Out);
  /// When onTick next has something to do, if ever.
  std::optional<base::TimePoint> nextDue() const;

  /// Forgets its warmth: it bears no more than after its start.
  void turnCold();
  /// Refuses new work from now on and says so on every link.
  void drain(UpstreamOutputs &Out);
  /// From now on reports this, whatever is true.
  void lie(std::string State, double Load);
  /// Serves requests at another pace from now on.
  void setServiceTime(base::Duration ServiceTime);

  uint32_t slotsBorne() const;
  uint32_t connectionsBorne() const;
  size_t running() const { return this->Running.size(); }
  size_t flowsOpen() const { return this->Flows.size(); }
  bool isDraining() const { return this->IsDraining; }
  /// Nothing runs and no flow is open.
  bool isIdle() const { return this->Running.empty() && this->Flows.empty(); }
  const UpstreamLedger &ledger() const { return this->Ledger; }
  const std::unordered_map<base::FlowKey, UpstreamFlow> &flows() const {
    return this->Flows;
  }
  /// Messages that came at Since or later, to the second.
  uint64_t arrivalsSince(base::TimePoint Since) const;

private:
  struct RunningRequest {
    LinkId Link = 0;
    uint32_t MessageId = 0;
    std::string Body;
  };
  struct ClosedFlow {
    base::TimePoint At;
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

  std::optional<wire::UpstreamRefusal> refusalOf(base::TimePoint Now,
                                                 const wire::UpstreamRun &Run);
  bool openFlow(base::TimePoint Now, LinkId Link,
                const wire::UpstreamFlowPacket &Packet, UpstreamOutputs &Out);
  void takePacket(base::TimePoint Now, LinkId Link, UpstreamFlow &Flow,
                  const wire::UpstreamFlowPacket &Packet, UpstreamOutputs &Out);
  void acknowledge(LinkId Link, const wire::UpstreamFlowPacket &Packet,
                   wire::FlowEvent Event, std::string Body,
                   UpstreamOutputs &Out);
  void finishDue(base::TimePoint Now, UpstreamOutputs &Out);
  void pushDue(base::TimePoint Now, UpstreamOutputs &Out);
  void forgetOld(base::TimePoint Now);
  void noteBody(std::string_view Body);
  wire::UpstreamHealth trueHealth() const;

  UpstreamRule Rule;
  bool IsDraining = false;
  uint64_t RequestsDone = 0;
  uint64_t FlowEvents = 0;
  std::set<LinkId> Links;
  std::multimap<base::TimePoint, RunningRequest> Running;
  std::unordered_map<base::FlowKey, UpstreamFlow> Flows;
  std::unordered_map<base::FlowKey, ClosedFlow> Closed;
  base::TimePoint NextForget;
  std::optional<wire::UpstreamHealth> Lie;
  wire::UpstreamHealth LastHealth;
  std::optional<base::TimePoint> LastHealthAt;
  UpstreamLedger Ledger;
};

/// What a caller's body begins with, so that an upstream of another service
/// can tell: "service=NAME;".
std::string serviceTag(const base::ServiceName &Service);

/// What the Closed event of a flow says: how many packets and bytes came.
std::string flowSummary(uint64_t Packets, uint64_t Bytes);

} // namespace bilberry::standin

#endif
