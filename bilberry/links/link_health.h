// Whether a link between two processes still works. An open connection can
// go silent for good while new ones work, so a link whose heartbeats stay
// unanswered is closed and dialled anew on a new socket, again and again.

#ifndef BILBERRY_LINKS_LINK_HEALTH_H
#define BILBERRY_LINKS_LINK_HEALTH_H

#include "bilberry/base/clock.h"

#include <cstdint>

namespace bilberry::links {

inline constexpr base::Duration HeartbeatInterval = std::chrono::seconds(1);
/// Without an answer for this long, a link counts as silent.
inline constexpr base::Duration SilentAfter = std::chrono::seconds(3);
/// A link that nobody has used for this long is closed.
inline constexpr base::Duration IdleAfter = std::chrono::seconds(30);

enum class LinkStep : uint8_t { None, SendHeartbeat, Redial, Close };

/// The decisions for one link. Not safe for two threads at once.
class LinkHealth {
public:
  explicit LinkHealth(base::TimePoint Now)
      : LastUse(Now), LastAnswer(Now), LastHeartbeat(Now) {}

  /// A message other than a heartbeat was sent.
  void onUse(base::TimePoint Now) { this->LastUse = Now; }
  /// The other side has answered a heartbeat.
  void onAnswer(base::TimePoint Now) { this->LastAnswer = Now; }
  /// The link was dialled anew.
  void onRedial(base::TimePoint Now) {
    this->LastAnswer = Now;
    this->LastHeartbeat = Now;
  }
  /// What to do now. Call several times a second.
  LinkStep step(base::TimePoint Now) {
    if (Now - this->LastUse >= IdleAfter) {
      return LinkStep::Close;
    }
    if (Now - this->LastAnswer >= SilentAfter) {
      return LinkStep::Redial;
    }
    if (Now - this->LastHeartbeat >= HeartbeatInterval) {
      this->LastHeartbeat = Now;
      return LinkStep::SendHeartbeat;
    }
    return LinkStep::None;
  }

private:
  base::TimePoint LastUse;
  base::TimePoint LastAnswer;
  base::TimePoint LastHeartbeat;
};

} // namespace bilberry::links

#endif
