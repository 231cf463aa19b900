// The load of one client process: keeps a number of streams and uploads open,
// sends requests at a steady rate, and records the outcome of each. A flow that
// is refused, reset or times out is counted and replaced by a new one.
// Performs no I/O: takes time points and returns datagrams.

#ifndef BILBERRY_STANDIN_CALLER_MODEL_H
#define BILBERRY_STANDIN_CALLER_MODEL_H

#include "bilberry/standin/caller_flow.h"
#include "bilberry/standin/caller_request.h"

#include <deque>
#include <list>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bilberry::standin {

/// How long a caller waits before it replaces a flow that was refused or
/// failed.
inline constexpr base::Duration ReopenDelay = std::chrono::milliseconds(500);

/// The load to generate.
struct CallerLoad {
  FlowConfig Stream;
  uint32_t Streams = 0;
  FlowConfig Upload;
  uint32_t Uploads = 0;
  RequestConfig Request;
  uint32_t RequestsPerSecond = 0;
  /// Percentage of requests whose first packet is sent twice.
  uint32_t DuplicatePercent = 0;
  /// Limit on new flows per second, so that startup isn't a single burst.
  uint32_t OpensPerSecond = 1000;
  uint64_t Seed = 1;
};

/// A datagram to the fabric's port for a service. All datagrams with the same
/// Source, one for each flow or request, must be sent from the same local port.
struct CallerDatagram {
  base::ServiceName Service;
  uint64_t Source = 0;
  std::string Bytes;
};

/// A flow that was accepted by the upstream and ended other than by a complete
/// close.
struct BrokenFlow {
  base::ServiceName Service;
  uint64_t Connection = 0;
  base::TimePoint At;
  std::string Reason;
};

/// Outcomes of all streams or of all uploads.
struct FlowCounts {
  uint64_t Started = 0;
  uint64_t Opened = 0;
  uint64_t Closed = 0;
  uint64_t ClosedPartly = 0;
  uint64_t Refused = 0;
  /// Reset or timed out after the upstream accepted the flow.
  uint64_t Broken = 0;
  /// Reset or timed out before the upstream accepted the flow.
  uint64_t NeverOpened = 0;
  std::map<std::string, uint64_t> ByReason;
};

/// Outcomes of requests.
struct RequestCounts {
  uint64_t Started = 0;
  uint64_t Attempts = 0;
  uint64_t Answered = 0;
  uint64_t NotRun = 0;
  uint64_t Unknown = 0;
  uint64_t NoOutcome = 0;
  uint64_t Wrong = 0;
  uint64_t Contradicted = 0;
  std::map<std::string, uint64_t> NotRunByReason;
};

/// Outcomes of all flows and requests of one caller.
struct CallerCounts {
  FlowCounts Streams;
  FlowCounts Uploads;
  RequestCounts Requests;
  /// Datagrams that couldn't be parsed or that name a flow or request which
  /// this caller never started.
  uint64_t StrayReplies = 0;
  uint64_t Pushes = 0;
};

/// Generates the load and records its outcomes. Not thread-safe.
class CallerModel {
public:
  CallerModel(CallerLoad Load, base::TimePoint Now);

  /// Appends the datagrams that are due to Out. Call every few milliseconds.
  void onTick(base::TimePoint Now, std::vector<CallerDatagram> &Out);
  /// Handles a received datagram.
  void onDatagram(base::TimePoint Now, std::string_view Bytes);
  /// Starts no new flows or requests and closes the streams.
  void stop();

  /// True once all flows have ended and all requests have an outcome.
  bool isDone() const;
  /// Number of flows that an upstream accepted and that have not ended.
  size_t streamsOpen() const { return openCount(this->Streams); }
  size_t uploadsOpen() const { return openCount(this->Uploads); }
  size_t requestsWaiting() const { return this->PendingRequests.size(); }
  /// Number of flows that have not ended, accepted or not.
  size_t flowsLeft() const {
    return this->Streams.Flows.size() + this->Uploads.Flows.size();
  }
  /// The counts so far, including flows that are still open.
  CallerCounts counts() const;
  const std::vector<BrokenFlow> &brokenFlows() const { return this->Broken; }
  const std::unordered_map<base::RequestId, CallerRequest> &requests() const {
    return this->Requests;
  }
  /// Latencies of answers, and of packet acknowledgements below.
  const std::vector<base::Duration> &answerTimes() const {
    return this->AnswerTimes;
  }
  const std::vector<base::Duration> &packetTimes() const {
    return this->PacketTimes;
  }

private:
  struct FlowSet {
    FlowConfig Config;
    uint32_t TargetFlows = 0;
    std::unordered_map<uint64_t, CallerFlow> Flows;
    /// When the failed flows are replaced, earliest first.
    std::deque<base::TimePoint> ReopenTimes;
    FlowCounts Counts;
  };

  void tickFlows(base::TimePoint Now, FlowSet &Set,
                 std::vector<CallerDatagram> &Out);
  void openFlows(base::TimePoint Now, FlowSet &Set);
  void recordFlowEnd(base::TimePoint Now, FlowSet &Set, const CallerFlow &Flow);
  void tickRequests(base::TimePoint Now, std::vector<CallerDatagram> &Out);
  void startRequest(base::TimePoint Now, std::vector<CallerDatagram> &Out);
  void onReply(base::TimePoint Now, const wire::FlowReply &Reply);
  void onReply(base::TimePoint Now, const wire::AnswerChunk &Reply);
  void onReply(base::TimePoint Now, const wire::Refusal &Reply);
  bool allowFlowOpen(base::TimePoint Now);
  static size_t openCount(const FlowSet &Set);

  CallerLoad Load;
  std::mt19937_64 Random;
  bool IsStopped = false;
  FlowSet Streams;
  FlowSet Uploads;
  std::unordered_map<base::RequestId, CallerRequest> Requests;
  std::list<base::RequestId> PendingRequests;
  uint32_t NextMessageId = 1;
  base::TimePoint NextRequestAt;
  base::TimePoint NextOpenAt;
  std::unordered_set<uint64_t> KnownConnections;
  std::vector<BrokenFlow> Broken;
  std::vector<base::Duration> AnswerTimes;
  std::vector<base::Duration> PacketTimes;
  uint64_t StrayReplies = 0;
  uint64_t Pushes = 0;
};

} // namespace bilberry::standin

#endif
