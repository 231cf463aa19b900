// All that one client process does: keeps a number of streams and uploads
// open, makes requests at a steady rate, and keeps account of what came of
// each. A flow that was refused, reset or fell silent is counted, and a new
// one is opened in its place. A pure object: time points in, datagrams out.

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

/// After a flow was refused or broke, its caller waits this long before it
/// opens another.
inline constexpr base::Duration ReopenPause = std::chrono::milliseconds(500);

/// What load to make.
struct CallerRule {
  FlowPlan Stream;
  uint32_t Streams = 0;
  FlowPlan Upload;
  uint32_t Uploads = 0;
  RequestPlan Request;
  uint32_t RequestsPerSecond = 0;
  /// How many of a hundred first packets are sent twice.
  uint32_t DuplicatePercent = 0;
  /// New flows a second, so that a start isn't one burst.
  uint32_t OpensPerSecond = 1000;
  uint64_t Seed = 1;
};

/// A datagram to the fabric's port of a service. Source tells flows and
/// requests apart that must keep one local port each.
struct CallerDatagram {
  base::ServiceName Service;
  uint64_t Source = 0;
  std::string Bytes;
};

/// A flow that the upstream had taken and that ended before it was told to.
struct BrokenFlow {
  base::ServiceName Service;
  uint64_t Connection = 0;
  base::TimePoint At;
  std::string Reason;
};

/// What came of the flows of one kind.
struct FlowCounts {
  uint64_t Started = 0;
  uint64_t Opened = 0;
  uint64_t Closed = 0;
  uint64_t ClosedPartly = 0;
  uint64_t Refused = 0;
  /// Reset or silent after they had been opened.
  uint64_t Broken = 0;
  /// Reset or silent before.
  uint64_t NeverOpened = 0;
  std::map<std::string, uint64_t> ByReason;
};

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

struct CallerCounts {
  FlowCounts Streams;
  FlowCounts Uploads;
  RequestCounts Requests;
  /// Replies for a flow or request that was never made here, or no message.
  uint64_t Stray = 0;
  uint64_t Pushes = 0;
};

/// Not safe for two threads at once.
class CallerModel {
public:
  CallerModel(CallerRule Rule, base::TimePoint Now);

  /// Appends the datagrams that are due. Call every few milliseconds.
  void onTick(base::TimePoint Now, std::vector<CallerDatagram> &Out);
  /// A datagram has come.
  void onDatagram(base::TimePoint Now, std::string_view Bytes);
  /// Makes nothing new from now on and closes the streams.
  void stop();

  /// True once all flows have ended and all requests have an outcome.
  bool isDone() const;
  /// Flows that an upstream has taken and that have not ended.
  size_t streamsOpen() const { return openCount(this->Streams); }
  size_t uploadsOpen() const { return openCount(this->Uploads); }
  size_t requestsWaiting() const { return this->Waiting.size(); }
  /// Flows that have not ended, whether taken or not.
  size_t flowsLeft() const {
    return this->Streams.Flows.size() + this->Uploads.Flows.size();
  }
  /// The counts up to now.
  CallerCounts counts() const;
  const std::vector<BrokenFlow> &brokenFlows() const { return this->Broken; }
  const std::unordered_map<base::RequestId, CallerRequest> &requests() const {
    return this->Requests;
  }
  /// How long answers, and acknowledgements of packets, took.
  const std::vector<base::Duration> &answerTimes() const {
    return this->AnswerTimes;
  }
  const std::vector<base::Duration> &packetTimes() const {
    return this->PacketTimes;
  }

private:
  struct FlowSet {
    FlowPlan Plan;
    uint32_t Wanted = 0;
    std::unordered_map<uint64_t, CallerFlow> Flows;
    /// When those that ended badly are replaced, earliest first.
    std::deque<base::TimePoint> Pauses;
    FlowCounts Counts;
  };

  void tickFlows(base::TimePoint Now, FlowSet &Set,
                 std::vector<CallerDatagram> &Out);
  void openFlows(base::TimePoint Now, FlowSet &Set);
  void noteEnd(base::TimePoint Now, FlowSet &Set, const CallerFlow &Flow);
  void tickRequests(base::TimePoint Now, std::vector<CallerDatagram> &Out);
  void startRequest(base::TimePoint Now, std::vector<CallerDatagram> &Out);
  void onReply(base::TimePoint Now, const wire::FlowReply &Reply);
  void onReply(base::TimePoint Now, const wire::AnswerChunk &Reply);
  void onReply(base::TimePoint Now, const wire::Refusal &Reply);
  bool takeOpen(base::TimePoint Now);
  static size_t openCount(const FlowSet &Set);

  CallerRule Rule;
  std::mt19937_64 Random;
  bool IsStopped = false;
  FlowSet Streams;
  FlowSet Uploads;
  std::unordered_map<base::RequestId, CallerRequest> Requests;
  std::list<base::RequestId> Waiting;
  uint32_t NextMessageId = 1;
  base::TimePoint NextRequest;
  base::TimePoint NextOpen;
  std::unordered_set<uint64_t> KnownConnections;
  std::vector<BrokenFlow> Broken;
  std::vector<base::Duration> AnswerTimes;
  std::vector<base::Duration> PacketTimes;
  uint64_t Stray = 0;
  uint64_t Pushes = 0;
};

} // namespace bilberry::standin

#endif
