// Keeps the operators' documents up to date: from the store and, while the
// store doesn't answer this process, from a peer that has newer ones.
//
// Processes tell each other how new their documents are. One that learns that
// it is behind gives its own watch a moment, since news reach all at nearly the
// same time; then it reads the store anew, in case the watch has gone silent;
// then it asks the peer.

#ifndef BILBERRY_TARGETS_OPERATOR_FOLLOWER_H
#define BILBERRY_TARGETS_OPERATOR_FOLLOWER_H

#include "bilberry/store/prefix_watcher.h"
#include "bilberry/targets/operator_board.h"
#include "bilberry/wire/relay_message.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace bilberry::targets {

/// How long a watch is given to bring what a peer already has.
inline constexpr base::Duration WatchGrace = std::chrono::milliseconds(400);
/// How long the store is then given before a peer is asked.
inline constexpr base::Duration StoreGrace = std::chrono::milliseconds(500);
/// The time between two tries to catch up.
inline constexpr base::Duration CatchUpInterval = std::chrono::seconds(1);
/// The longest time between two tries to reach a store that is down: what is
/// changed right after its return must be in force 3 s later.
inline constexpr base::Duration LongestStoreDelay = std::chrono::seconds(2);
/// The listing is only repeated where a watch broke or a peer knows more.
inline constexpr base::Duration OperatorReread = std::chrono::hours(1);

/// What a process that is behind does next.
enum class CatchUpStep : uint8_t { Nothing, ReadStore, AskPeer };

/// Decides that, by the time for which it has been behind. Not thread-safe.
class CatchUp {
public:
  /// Call several times a second.
  CatchUpStep next(base::TimePoint Now, bool IsBehind) {
    if (!IsBehind) {
      this->WasBehind = false;
      return CatchUpStep::Nothing;
    }
    if (!this->WasBehind) {
      this->WasBehind = true;
      this->Since = Now;
      this->HasReadStore = false;
      this->AskPeerAt = Now + WatchGrace + StoreGrace;
    }
    if (!this->HasReadStore && Now - this->Since >= WatchGrace) {
      this->HasReadStore = true;
      return CatchUpStep::ReadStore;
    }
    if (Now >= this->AskPeerAt) {
      this->AskPeerAt = Now + CatchUpInterval;
      return CatchUpStep::AskPeer;
    }
    return CatchUpStep::Nothing;
  }

private:
  bool WasBehind = false;
  base::TimePoint Since;
  bool HasReadStore = false;
  base::TimePoint AskPeerAt;
};

/// Follows the documents of one process. run() blocks its thread; the others
/// are thread-safe.
template <store::Store S> class OperatorFollower {
public:
  /// Called with each line worth logging.
  using NoteHandler = std::function<void(const std::string &)>;

  /// Precondition: Source and Board outlive the follower.
  OperatorFollower(S &Source, std::string Prefix, OperatorBoard &Board,
                   NoteHandler OnNote)
      : Board(Board), OnNote(std::move(OnNote)),
        Documents(Source, std::move(Prefix), OperatorReread,
                  LongestStoreDelay) {}

  /// Blocks until Stop is requested.
  void run(const std::stop_token &Stop) {
    this->Documents.run(
        Stop,
        [this](const store::Listing &List) {
          if (!this->StoreIsUp.exchange(true)) {
            this->OnNote("event=store-regained revision=" +
                         std::to_string(List.At));
          }
          this->note(this->Board.takeListing(List));
        },
        [this](const store::WatchEvent &Event) {
          this->note(this->Board.takeEvent(Event));
        },
        [this](const base::Error &Cause) {
          if (this->StoreIsUp.exchange(false)) {
            this->OnNote("event=store-lost reason=\"" + Cause.Message + "\"");
          }
        });
  }

  /// Reads the store anew.
  void reread() { this->Documents.reread(); }
  /// Takes the documents that a peer has sent.
  void takeFromPeer(std::string_view Text) {
    base::Result<store::Listing> List = parseListingText(Text);
    if (!List) {
      this->OnNote("event=peer-documents-refused reason=\"" +
                   List.error().Message + "\"");
      return;
    }
    this->note(this->Board.takeListing(List.value()));
  }
  /// True while the store answers.
  bool isStoreUp() const { return this->StoreIsUp.load(); }

private:
  void note(const std::vector<std::string> &Lines) {
    for (const std::string &Line : Lines) {
      this->OnNote(Line);
    }
  }

  OperatorBoard &Board;
  NoteHandler OnNote;
  store::PrefixWatcher<S> Documents;
  std::atomic<bool> StoreIsUp{false};
};

} // namespace bilberry::targets

#endif
