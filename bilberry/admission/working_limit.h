// How much of one kind, slots or connections, an upstream gets at once.
//
// Additive increase, multiplicative decrease (Chiu and Jain, 1989), with three
// differences. The limit is raised only by completions: CompletionsPerStep of
// them since the last change, seen inside the latency bound while the limit
// was in use, earn one more. So at any time
//
//   limit <= floor + completions since the last restart / CompletionsPerStep
//
// and an upstream that warms up at that rate is never given more than it
// bears. A shed below a level that completions have proven is no probe that
// went too far: the upstream bears less than it did, so it may have restarted,
// and the limit falls to the floor at once.
//
// Evidence ages, since an idle upstream may turn cold unseen: the limit is at
// most twice what was in use lately, after the congestion window validation
// of TCP (RFC 2861, RFC 7661).

#ifndef BILBERRY_ADMISSION_WORKING_LIMIT_H
#define BILBERRY_ADMISSION_WORKING_LIMIT_H

#include "bilberry/base/clock.h"

#include <cstdint>

namespace bilberry::admission {

/// How a piece of work that held a slot or a connection ended.
enum class Completion : uint8_t {
  /// Answered; the time it took counts.
  Done,
  /// The upstream refused it as too much.
  Shed,
  /// No answer in time.
  Timeout,
  /// Cancelled, refused for another reason, or failed: says nothing of load.
  Neutral,
};

/// Within this time after a decrease there is no second one, and a second
/// shed counts as a burst.
inline constexpr base::Duration DecreaseWindow = std::chrono::seconds(1);

/// After one to two of these, what was in use then no longer counts.
inline constexpr base::Duration EvidenceLifetime = std::chrono::seconds(10);

/// What the targets say of one limit.
struct LimitRule {
  /// What an upstream in cold start bears.
  uint32_t Floor = 0;
  /// The most that it may ever get.
  uint32_t Ceiling = 0;
  /// Completions that earn one more; 0 is taken as 1.
  uint32_t CompletionsPerStep = 1;
  /// A slower completion lowers the limit. 0 means no bound.
  base::Duration LatencyBound{0};
};

/// A pure object: not safe for two threads at once; UpstreamLimits guards it.
class WorkingLimit {
public:
  /// Sets the rule. The limit is brought between the new floor and ceiling; a
  /// raised ceiling raises nothing. What is held stays held.
  void setRule(const LimitRule &Rule);

  /// Takes one. False where the limit is reached.
  bool acquire(base::TimePoint Now);
  /// Takes Count without asking, for work that the upstream carries already.
  void adopt(base::TimePoint Now, uint32_t Count);
  /// Gives one back. Does nothing where none is held.
  void release();

  /// Learns from the end of a piece of work that is still held. Took counts
  /// for Done only.
  void learn(base::TimePoint Now, Completion How, base::Duration Took);
  /// Halves the limit, not below the floor and once a window.
  void decrease(base::TimePoint Now);
  /// The upstream may have restarted: the limit is the floor again.
  void fallToFloor();
  /// Forgets what is held, since the upstream has lost it.
  void dropHeld() { this->Held = 0; }

  uint32_t limit() const { return this->Limit; }
  uint32_t inUse() const { return this->Held; }
  uint64_t sheds() const { return this->Sheds; }
  uint64_t fallsToFloor() const { return this->Falls; }
  bool isAtFloor() const { return this->Limit <= this->Rule.Floor; }
  /// True where the floor leaves something to earn.
  bool canRise() const { return this->Rule.Floor < this->Rule.Ceiling; }

private:
  bool isUsed() const;
  void age(base::TimePoint Now);
  void hold(uint32_t Count);
  bool isInWindow(base::TimePoint Now) const;
  void earn();
  void onShed(base::TimePoint Now);
  void lowerTo(uint32_t NewLimit);

  LimitRule Rule;
  uint32_t Limit = 0;
  uint32_t Held = 0;
  /// Completions that count, since the limit last changed.
  uint32_t Earned = 0;
  /// The least that was held at one of those.
  uint32_t EarnedAt = 0;
  /// The highest level at which a whole step of completions was seen.
  uint32_t Proven = 0;
  /// The most that was held since PeakSince.
  uint32_t Peak = 0;
  base::TimePoint PeakSince;
  bool HasDecreased = false;
  base::TimePoint LastDecrease;
  uint64_t Sheds = 0;
  uint64_t Falls = 0;
};

} // namespace bilberry::admission

#endif
