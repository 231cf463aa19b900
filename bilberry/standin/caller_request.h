// The caller's side of one request. An attempt is retransmitted until an
// outcome arrives or the deadline passes; after "not run" another attempt may
// follow. Replies are validated: an answer must be complete and belong to this
// request, and no attempt may be reported both as "not run" and as answered.
// Performs no I/O: takes time points and returns datagrams.

#ifndef BILBERRY_STANDIN_CALLER_REQUEST_H
#define BILBERRY_STANDIN_CALLER_REQUEST_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ids.h"
#include "bilberry/wire/caller_message.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberry::standin {

/// How long to wait for an outcome after the deadline.
inline constexpr base::Duration OutcomeGracePeriod = std::chrono::seconds(2);

/// Waiting for an outcome, or the outcome; None where none arrived in time.
enum class RequestState : uint8_t { Waiting, Answered, NotRun, Unknown, None };
/// The name of the state. Never fails.
std::string_view requestStateText(RequestState State);

/// The type of a request and its limits.
struct RequestConfig {
  base::ClassName Class;
  base::ServiceName Service;
  /// Time limit for an answer, over all attempts.
  base::Duration Deadline = std::chrono::seconds(5);
  uint32_t MaxAttempts = 1;
};

/// The state of one request. Not thread-safe.
class CallerRequest {
public:
  /// Takes message ids from NextMessageId and increments it; it must outlive
  /// this object.
  CallerRequest(const RequestConfig &Config, base::RequestId Id,
                base::TimePoint Now, uint32_t &NextMessageId);

  /// Appends the datagrams that are due to Out.
  void onTick(base::TimePoint Now, std::vector<std::string> &Out);
  /// The packet of the current attempt, for sending it or for simulating a
  /// duplicate made by the network.
  std::string packetBytes() const;
  /// Handle a chunk of an answer, or a refusal, that has this request's id.
  void onAnswer(base::TimePoint Now, const wire::AnswerChunk &Chunk);
  void onRefusal(base::TimePoint Now, const wire::Refusal &Refusal);

  RequestState state() const { return this->State; }
  bool isEnded() const { return this->State != RequestState::Waiting; }
  base::RequestId id() const { return this->Id; }
  uint32_t attempts() const { return this->Attempt; }
  /// Time from the start of the first attempt to the answer.
  base::Duration latency() const { return this->Latency; }
  /// True where a reply had an unknown message id, or an answer that isn't
  /// the expected one for this request.
  bool isWrong() const { return this->IsWrong; }
  /// True where one attempt was reported both as "not run" and as answered.
  bool isContradicted() const { return this->IsContradicted; }
  /// The reason of the last refusal; meaningful in state NotRun, where every
  /// attempt was reported as "not run".
  wire::RefusalReason reason() const { return this->Reason; }

private:
  struct AttemptOutcome {
    bool IsNotRun = false;
    bool IsAnswered = false;
  };

  void startAttempt(base::TimePoint SendAt);
  void recordOutcome(uint32_t MessageId, bool IsAnswer);

  RequestConfig Config;
  base::RequestId Id;
  uint32_t &NextMessageId;
  base::TimePoint StartedAt;
  RequestState State = RequestState::Waiting;
  uint32_t Attempt = 0;
  uint32_t MessageId = 0;
  base::TimePoint NextSendAt;
  base::Duration Backoff{0};
  base::Duration Latency{0};
  wire::RefusalReason Reason = wire::RefusalReason::Overloaded;
  bool IsWrong = false;
  bool IsContradicted = false;
  std::string Body;
  std::map<uint32_t, std::string> Chunks;
  /// By message id, which is different for each attempt.
  std::map<uint32_t, AttemptOutcome> Attempts;
};

} // namespace bilberry::standin

#endif
