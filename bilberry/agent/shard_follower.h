// The store's shard records for one agent: followed by a watch, and swapped
// when the request controller asks. A swap whose outcome isn't known is
// settled by reading the record again until the store answers.

#ifndef BILBERRY_AGENT_SHARD_FOLLOWER_H
#define BILBERRY_AGENT_SHARD_FOLLOWER_H

#include "bilberry/base/clock.h"
#include "bilberry/board/agent_action.h"
#include "bilberry/node/job_thread.h"
#include "bilberry/requests/shard_record.h"
#include "bilberry/store/keys.h"
#include "bilberry/store/prefix_watcher.h"
#include "bilberry/store/store.h"

#include <charconv>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace bilberry::agent {

/// How long to wait before a record is read again that the store didn't give.
inline constexpr base::Duration RereadDelay = std::chrono::milliseconds(500);
/// How often the records are listed although the watch works.
inline constexpr base::Duration ShardRereadInterval = std::chrono::seconds(20);

/// What the follower reports. Called in its threads, with no lock held.
struct ShardEvents {
  std::function<void(const requests::StoredShard &)> OnRecord;
  /// All records have been read in a listing begun at that time.
  std::function<void(base::TimePoint)> OnListed;
  std::function<void(uint32_t)> OnSwapFailed;
};

/// Thread-safe. Clock and store must outlive the follower.
template <base::Clock C, store::Store S> class ShardFollower {
public:
  ShardFollower(const C &Time, S &Source, base::ServiceName Service,
                ShardEvents Events)
      : Time(Time), Source(Source), Service(std::move(Service)),
        Events(std::move(Events)) {}

  /// Follows the records until Stop is requested. Blocks.
  void run(const std::stop_token &Stop) {
    store::PrefixWatcher Followed(
        this->Source, store::shardPrefix(this->Service), ShardRereadInterval);
    Followed.run(
        Stop,
        [&](const store::Listing &Listing) {
          base::TimePoint Began = this->Time.now() - Followed.listingAge();
          for (const store::KeyValue &Entry : Listing.Entries) {
            this->report(Entry);
          }
          this->Events.OnListed(Began);
        },
        [&](const store::WatchEvent &Event) {
          if (!Event.IsDelete) {
            this->report(Event.Entry);
          }
        },
        [](const base::Error &) {});
  }

  /// Swaps a record in the job thread, and reports what came of it.
  void swap(const board::SwapShard &Swap) {
    this->Jobs.post([this, Swap] { this->swapNow(Swap); });
  }

private:
  void report(const store::KeyValue &Entry) {
    std::optional<uint32_t> Shard = this->shardOfKey(Entry.Key);
    base::Result<requests::ShardRecord> Record =
        requests::parseShardRecord(Entry.Value);
    if (Shard && Record) {
      this->Events.OnRecord({*Shard, Record.value(), Entry.Changed});
    }
  }

  std::optional<uint32_t> shardOfKey(std::string_view Key) const {
    std::string Prefix = store::shardPrefix(this->Service);
    if (!Key.starts_with(Prefix)) {
      return std::nullopt;
    }
    Key.remove_prefix(Prefix.size());
    uint32_t Shard = 0;
    auto [End, Code] =
        std::from_chars(Key.data(), Key.data() + Key.size(), Shard);
    if (Code != std::errc() || End != Key.data() + Key.size() ||
        Shard >= requests::ShardsPerService) {
      return std::nullopt;
    }
    return Shard;
  }

  void swapNow(const board::SwapShard &Swap) {
    std::string Key = store::shardKey(this->Service, Swap.Shard);
    base::Result<store::SwapResult> Done = this->Source.swap(
        Key, Swap.Expected, requests::shardRecordText(Swap.Next), 0);
    if (Done && Done.value().Swapped) {
      this->Events.OnRecord({Swap.Shard, Swap.Next, Done.value().Changed});
      return;
    }
    this->Events.OnSwapFailed(Swap.Shard);
    if (Done && Done.value().Present) {
      this->report(*Done.value().Present);
      return;
    }
    this->reread(Swap.Shard);
  }

  void reread(uint32_t Shard) {
    base::Result<std::optional<store::KeyValue>> Entry =
        this->Source.get(store::shardKey(this->Service, Shard));
    if (!Entry) {
      std::this_thread::sleep_for(RereadDelay);
      this->Jobs.post([this, Shard] { this->reread(Shard); });
      return;
    }
    if (Entry.value()) {
      this->report(*Entry.value());
    } else {
      // Still absent: the controller may try its claim again.
      this->Events.OnRecord({Shard, requests::ShardRecord(), 0});
    }
  }

  const C &Time;
  S &Source;
  base::ServiceName Service;
  ShardEvents Events;
  node::JobThread Jobs; // Last: stopped before the rest is destroyed.
};

} // namespace bilberry::agent

#endif
