// Keeps the operators' documents up to date: from the store and, while the
// store is unreachable for this process, from a peer that has newer ones.
//
// Processes announce to each other the store revision of their documents. A
// process whose documents are outdated first waits for its own watch, since a
// change arrives at all processes at nearly the same time; then it reads the
// store again, in case the watch has stopped without an error; then it requests
// the documents from the peer.
//
// All open connections may go silent at the same moment, without an error. If
// every process noticed that only after a long wait, a change would take effect
// nowhere until then. So a few processes, the followers, notice within
// FollowerSilenceLimit, for which they call the store about once a second. The
// others rely on them: they wait long, and learn of a change from the revision
// in the followers' messages. A process without such messages becomes one.
//
// Designed for thousands of processes, most of which rely on followers; the
// calls of the followers don't grow with their number.

#ifndef BILBERRY_TARGETS_OPERATOR_WATCHER_H
#define BILBERRY_TARGETS_OPERATOR_WATCHER_H

#include "bilberry/store/prefix_watcher.h"
#include "bilberry/targets/operator_state_cache.h"
#include "bilberry/wire/relay_message.h"

#include <atomic>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace bilberry::targets {

/// How long a process waits for its watch to deliver a change that a peer
/// already has.
inline constexpr base::Duration WatchCatchUpDelay =
    std::chrono::milliseconds(400);
/// How long it then waits for the store before it requests the documents from
/// a peer.
inline constexpr base::Duration StoreRereadDelay =
    std::chrono::milliseconds(500);
/// The interval between two requests to a peer.
inline constexpr base::Duration PeerRequestInterval = std::chrono::seconds(1);
/// The maximum delay between two attempts to reach a store that is down: a
/// change made right after the store recovers must be in force 3 s later.
inline constexpr base::Duration MaxStoreRetryDelay = std::chrono::seconds(2);
/// The interval of periodic listings. It is long because the documents are also
/// listed when the watch breaks or a peer has newer ones.
inline constexpr base::Duration OperatorRereadInterval = std::chrono::hours(1);

/// How long the watch of a follower may be silent. With the relay to the other
/// processes and WatchCatchUpDelay, a change is in force everywhere within 4 s
/// after connections have gone silent.
inline constexpr base::Duration FollowerSilenceLimit =
    std::chrono::milliseconds(2200);
/// The range of the same limit for the other processes. Each draws its own, so
/// that their calls are spread over time.
inline constexpr std::chrono::milliseconds MinRelyingSilenceLimit(16000);
inline constexpr std::chrono::milliseconds MaxRelyingSilenceLimit(31000);

/// The next action of a process whose documents are outdated.
enum class CatchUpAction : uint8_t { Nothing, ReadStore, AskPeer };

/// Chooses the next action by how long the documents have been outdated. Not
/// thread-safe.
class CatchUpPolicy {
public:
  /// The action to take now. To be called several times a second.
  CatchUpAction next(base::TimePoint Now, bool IsOutdated) {
    if (!IsOutdated) {
      this->WasOutdated = false;
      return CatchUpAction::Nothing;
    }
    if (!this->WasOutdated) {
      this->WasOutdated = true;
      this->OutdatedSince = Now;
      this->HasReadStore = false;
      this->AskPeerAt = Now + WatchCatchUpDelay + StoreRereadDelay;
    }
    if (!this->HasReadStore && Now - this->OutdatedSince >= WatchCatchUpDelay) {
      this->HasReadStore = true;
      return CatchUpAction::ReadStore;
    }
    if (Now >= this->AskPeerAt) {
      this->AskPeerAt = Now + PeerRequestInterval;
      return CatchUpAction::AskPeer;
    }
    return CatchUpAction::Nothing;
  }

private:
  bool WasOutdated = false;
  base::TimePoint OutdatedSince;
  bool HasReadStore = false;
  base::TimePoint AskPeerAt;
};

/// Watches the operators' documents for one process. run() blocks its thread;
/// the other functions are thread-safe.
template <store::Store S> class OperatorWatcher {
public:
  /// Called with each log line, in the thread of run() or applyPeerDocuments().
  using LogHandler = std::function<void(const std::string &)>;

  /// Precondition: StoreClient and StateCache outlive the watcher.
  OperatorWatcher(S &StoreClient, std::string Prefix,
                  OperatorStateCache &StateCache, LogHandler OnLogLine,
                  bool IsFollower)
      : StateCache(StateCache), OnLogLine(std::move(OnLogLine)),
        RelyingSilenceLimit(drawRelyingSilenceLimit()),
        Documents(StoreClient, std::move(Prefix), OperatorRereadInterval,
                  MaxStoreRetryDelay, this->silenceLimit(IsFollower)) {}

  /// Sets whether this process is a follower. A change reads the documents
  /// again.
  void setFollower(bool Value) {
    this->Documents.setSilenceLimit(this->silenceLimit(Value));
  }

  /// Watches the store. Blocks until Stop is requested.
  void run(const std::stop_token &Stop) {
    this->Documents.run(
        Stop,
        [this](const store::Listing &List) {
          if (!this->StoreIsUp.exchange(true)) {
            this->OnLogLine("event=store-regained revision=" +
                            std::to_string(List.AtRevision));
          }
          this->logLines(this->StateCache.applyListing(List));
        },
        [this](const store::WatchEvent &Event) {
          this->logLines(this->StateCache.applyEvent(Event));
        },
        [this](const base::Error &Cause) {
          if (this->StoreIsUp.exchange(false)) {
            this->OnLogLine("event=store-lost reason=\"" + Cause.Message +
                            "\"");
          }
        },
        [this](const base::Error &Cause) {
          ++this->BrokenWatches;
          this->OnLogLine("event=store-watch-broken reason=\"" + Cause.Message +
                          "\"");
        });
  }

  /// Applies the timeouts of the documents. Call several times a second.
  void tick(base::TimePoint Now) { this->logLines(this->StateCache.tick(Now)); }
  /// Reads the documents from the store again.
  void reread() { this->Documents.reread(); }
  /// Applies documents sent by a peer, if they are newer.
  void applyPeerDocuments(std::string_view Text) {
    base::Result<store::Listing> List = parseListingText(Text);
    if (!List) {
      this->OnLogLine("event=peer-documents-refused reason=\"" +
                      List.error().Message + "\"");
      return;
    }
    this->logLines(this->StateCache.applyListing(List.value()));
  }
  /// True while the store is reachable: from a successful listing until a
  /// failed one.
  bool isStoreUp() const { return this->StoreIsUp.load(); }
  /// The number of watches that broke, also because they went silent.
  uint64_t brokenWatches() const { return this->BrokenWatches.load(); }

private:
  static base::Duration drawRelyingSilenceLimit() {
    std::uniform_int_distribution<int64_t> Milliseconds(
        MinRelyingSilenceLimit.count(), MaxRelyingSilenceLimit.count());
    std::random_device Source;
    return std::chrono::milliseconds(Milliseconds(Source));
  }
  base::Duration silenceLimit(bool IsFollower) const {
    return IsFollower ? FollowerSilenceLimit : this->RelyingSilenceLimit;
  }

  void logLines(const std::vector<std::string> &Lines) {
    for (const std::string &Line : Lines) {
      this->OnLogLine(Line);
    }
  }

  OperatorStateCache &StateCache;
  LogHandler OnLogLine;
  const base::Duration RelyingSilenceLimit;
  store::PrefixWatcher<S> Documents;
  std::atomic<bool> StoreIsUp{false};
  std::atomic<uint64_t> BrokenWatches{0};
};

} // namespace bilberry::targets

#endif
