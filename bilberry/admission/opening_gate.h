// Which opening packets an agent lets through to its upstream. The one place
// where draining, evacuation, cold start and the service of a route are
// enforced: balancers place by views that may be late, so their choice is a
// hint, and what is refused here goes back to them to be placed elsewhere.
//
// The load it answers: all balancers send new flows to the same upstream at
// once, right after it came back cold, or just before it leaves.

#ifndef BILBERRY_ADMISSION_OPENING_GATE_H
#define BILBERRY_ADMISSION_OPENING_GATE_H

#include "bilberry/base/clock.h"
#include "bilberry/members/upstream_record.h"
#include "bilberry/packet/packet.h"
#include "bilberry/targets/operator_board.h"

#include <array>
#include <cstdint>

namespace bilberry::admission {

/// What a cold upstream may be given: the operators' figure for its service,
/// times Factor, plus Tolerance, in any second.
struct ColdAllowance {
  double Factor = 1.0;
  uint32_t Tolerance = 0;
};

/// The most openings in one second that are counted one by one.
inline constexpr size_t MaxCountedOpenings = 128;
/// Any span of this length is held to the allowance: a second, and a little
/// for the way from here to the upstream.
inline constexpr base::Duration ColdWindow = std::chrono::milliseconds(1050);
/// An upstream that lets this pass without a word while packets wait for its
/// answer may have crashed: it takes nothing new until it is heard of again.
/// Twice the time after which callers repeat a packet.
inline constexpr base::Duration MaxAnswerDelay = std::chrono::milliseconds(400);

/// What the gate looks at. References are valid for one call.
struct OpeningContext {
  base::TimePoint Now;
  const members::UpstreamRecord &Upstream;
  const targets::OperatorState &Operators;
  /// Flows held.
  size_t Flows = 0;
  /// Of these, those that wait for an answer or are about to ask.
  uint32_t Waiting = 0;
};

/// An upstream with this many waiting flows a slot gets no more: three
/// requests' work of waiting is about what the aims leave.
inline constexpr uint32_t MaxWaitingPerSlot = 3;

/// Whether the upstream's waiting flows leave room for another.
bool hasRoom(const OpeningContext &Call);

/// Not thread-safe.
class OpeningGate {
public:
  /// StartedAt: when this process started, since an earlier run of it may
  /// have let openings through just before.
  OpeningGate(base::DataCentreName DataCentre, ColdAllowance Cold,
              base::TimePoint StartedAt)
      : DataCentre(std::move(DataCentre)), Cold(Cold), StartedAt(StartedAt) {}

  /// Whether an opening packet to that address may go to the upstream: None,
  /// or the reason why not. Mark is the balancer's.
  packet::HopTag check(const OpeningContext &Call, const base::Address &Route,
                       const packet::HopMark &Mark);
  /// Whether new flows may come at all: None, or the reason why not.
  packet::HopTag condition(const OpeningContext &Call);
  /// This process stood still until now: what it knows of the upstream is as
  /// old as the pause, until its next heartbeat.
  void notePause(base::TimePoint Now) { this->PausedUntil = Now; }
  /// The upstream's very first heartbeat has come: no earlier run of this
  /// process can have let anything through to it.
  void noteFirstReport() { this->StartedAt -= ColdWindow; }
  /// An opening packet was given to the upstream.
  void noteOpened(base::TimePoint Now);
  /// Any packet was given to the upstream, and it owes a word.
  void noteAsked(base::TimePoint Now);
  /// The upstream has said something.
  void noteHeard() { this->AskedAt.reset(); }
  /// How many more openings may come in this second.
  uint32_t budget(const OpeningContext &Call) const;

  /// Opening packets given to the upstream since Begin, of the last
  /// MaxCountedOpenings.
  uint32_t openingsSince(base::TimePoint Begin) const;

private:
  bool isCold(const OpeningContext &Call) const;
  uint32_t allowance(const OpeningContext &Call) const;

  base::DataCentreName DataCentre;
  ColdAllowance Cold;
  base::TimePoint StartedAt;
  // The last openings, as a ring.
  std::array<base::TimePoint, MaxCountedOpenings> Openings{};
  size_t NextOpening = 0;
  bool WasEvacuated = false;
  base::TimePoint ReturnedAt;
  std::optional<base::TimePoint> AskedAt;
  base::TimePoint PausedUntil;
};

} // namespace bilberry::admission

#endif
