// One request as a caller sees it: copies of an attempt are sent until an
// outcome comes or the deadline has passed; after "not run" another attempt
// may follow. What comes is held against what may come: an answer must be
// whole and its own, and "not run" must never meet an answer. A pure object:
// time points in, datagrams out.

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

/// After the deadline, this long is waited for an outcome.
inline constexpr base::Duration OutcomeGrace = std::chrono::seconds(2);

enum class RequestState : uint8_t { Waiting, Answered, NotRun, Unknown, None };
/// The state as a word. Never fails.
std::string_view requestStateText(RequestState State);

/// What kind of request.
struct RequestPlan {
  base::ClassName Class;
  base::ServiceName Service;
  /// How long an answer is waited for, over all attempts.
  base::Duration Deadline = std::chrono::seconds(5);
  uint32_t MaxAttempts = 1;
};

/// Not safe for two threads at once.
class CallerRequest {
public:
  /// Message ids come from NextMessageId, which must outlive this.
  CallerRequest(const RequestPlan &Plan, base::RequestId Id,
                base::TimePoint Now, uint32_t &NextMessageId);

  /// Appends the datagrams that are due.
  void onTick(base::TimePoint Now, std::vector<std::string> &Out);
  /// One more copy of the present attempt, as the network may make one.
  std::string copy() const;
  /// A part of an answer, or a refusal, with this request's id has come.
  void onAnswer(base::TimePoint Now, const wire::AnswerChunk &Chunk);
  void onRefusal(base::TimePoint Now, const wire::Refusal &Refusal);

  RequestState state() const { return this->State; }
  bool isEnded() const { return this->State != RequestState::Waiting; }
  base::RequestId id() const { return this->Id; }
  uint32_t attempts() const { return this->Attempt; }
  /// From the first packet to the answer.
  base::Duration latency() const { return this->Latency; }
  /// The answer that came isn't the one that belongs to this request.
  bool isWrong() const { return this->IsWrong; }
  /// One attempt was called "not run", and was answered.
  bool isContradicted() const { return this->IsContradicted; }
  /// Every attempt that was made was called "not run".
  wire::RefusalReason reason() const { return this->Reason; }

private:
  struct Attempted {
    bool IsNotRun = false;
    bool IsAnswered = false;
  };

  void begin(base::TimePoint At);
  void note(uint32_t MessageId, bool IsAnswer);

  RequestPlan Plan;
  base::RequestId Id;
  uint32_t &NextMessageId;
  base::TimePoint Start;
  RequestState State = RequestState::Waiting;
  uint32_t Attempt = 0;
  uint32_t MessageId = 0;
  base::TimePoint NextSend;
  base::Duration Backoff{0};
  base::Duration Latency{0};
  wire::RefusalReason Reason = wire::RefusalReason::Overloaded;
  bool IsWrong = false;
  bool IsContradicted = false;
  std::string Body;
  std::map<uint32_t, std::string> Chunks;
  /// By message id; each attempt has its own.
  std::map<uint32_t, Attempted> Attempts;
};

} // namespace bilberry::standin

#endif
