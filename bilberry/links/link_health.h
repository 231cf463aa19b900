// Health check of a link between two processes. An established connection can
// stop delivering permanently while new connections succeed, so a link whose
// heartbeats get no reply is closed and redialled on a new socket until replies
// arrive.

#ifndef BILBERRY_LINKS_LINK_HEALTH_H
#define BILBERRY_LINKS_LINK_HEALTH_H

#include "bilberry/base/clock.h"

#include <cstdint>

namespace bilberry::links {

inline constexpr base::Duration HeartbeatInterval = std::chrono::seconds(1);
/// A link is redialled if no heartbeat reply arrives within this time.
inline constexpr base::Duration ReplyTimeout = std::chrono::seconds(3);
/// A link on which no message is sent for this long is closed.
inline constexpr base::Duration IdleTimeout = std::chrono::seconds(30);

enum class LinkAction : uint8_t { None, SendHeartbeat, Redial, Close };

/// The heartbeat state machine of one link. Not thread-safe.
class LinkHealth {
public:
  explicit LinkHealth(base::TimePoint Now)
      : LastMessageSent(Now), LastHeartbeatReply(Now), LastHeartbeatSent(Now) {}

  /// Records that a message other than a heartbeat was sent.
  void onMessageSent(base::TimePoint Now) { this->LastMessageSent = Now; }
  /// Records that the peer replied to a heartbeat.
  void onHeartbeatReply(base::TimePoint Now) { this->LastHeartbeatReply = Now; }
  /// Records that the link was dialled on a new socket.
  void onRedialled(base::TimePoint Now) {
    this->LastHeartbeatReply = Now;
    this->LastHeartbeatSent = Now;
  }
  /// Returns the action that is due. Call several times a second.
  LinkAction nextAction(base::TimePoint Now) {
    if (Now - this->LastMessageSent >= IdleTimeout) {
      return LinkAction::Close;
    }
    if (Now - this->LastHeartbeatReply >= ReplyTimeout) {
      return LinkAction::Redial;
    }
    if (Now - this->LastHeartbeatSent >= HeartbeatInterval) {
      this->LastHeartbeatSent = Now;
      return LinkAction::SendHeartbeat;
    }
    return LinkAction::None;
  }

private:
  base::TimePoint LastMessageSent;
  base::TimePoint LastHeartbeatReply;
  base::TimePoint LastHeartbeatSent;
};

} // namespace bilberry::links

#endif
