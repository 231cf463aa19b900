// Watches the shard records of an agent's service in the store, and updates
// them by compare-and-swap for the request controller. If the outcome of a swap
// is unknown, the record is read again until the store answers.

#ifndef BILBERRY_AGENT_SHARD_WATCHER_H
#define BILBERRY_AGENT_SHARD_WATCHER_H

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

/// Delay before a failed read of a record is retried.
inline constexpr base::Duration ReadRetryDelay = std::chrono::milliseconds(500);
/// How often the records are listed even if the watch works.
inline constexpr base::Duration ShardRereadInterval = std::chrono::seconds(20);

/// Callbacks, called from the watcher's threads with no lock held.
struct ShardEvents {
  std::function<void(const requests::StoredShard &)> OnRecord;
  /// All records have been read by a listing that started at the given time.
  std::function<void(base::TimePoint)> OnListed;
  std::function<void(uint32_t)> OnSwapFailed;
};

/// Thread-safe. Clock and store must outlive the watcher.
template <base::Clock C, store::Store S> class ShardWatcher {
public:
  ShardWatcher(const C &Time, S &Source, base::ServiceName Service,
               ShardEvents Events)
      : Time(Time), Source(Source), Service(std::move(Service)),
        Events(std::move(Events)) {}

  /// Watches the records until Stop is requested. Blocks.
  void run(const std::stop_token &Stop) {
    store::PrefixWatcher Watcher(
        this->Source, store::shardPrefix(this->Service), ShardRereadInterval);
    Watcher.run(
        Stop,
        [&](const store::Listing &Listing) {
          base::TimePoint ListingStartedAt =
              this->Time.now() - Watcher.listingAge();
          for (const store::KeyValue &Entry : Listing.Entries) {
            this->report(Entry);
          }
          this->Events.OnListed(ListingStartedAt);
        },
        [&](const store::WatchEvent &Event) {
          if (!Event.IsDelete) {
            this->report(Event.Entry);
          }
        },
        [](const base::Error &) {});
  }

  /// Swaps a record in the job thread and reports the result through Events.
  void swap(const board::CompareAndSwapShard &Swap) {
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

  void swapNow(const board::CompareAndSwapShard &Swap) {
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
      std::this_thread::sleep_for(ReadRetryDelay);
      this->Jobs.post([this, Shard] { this->reread(Shard); });
      return;
    }
    if (Entry.value()) {
      this->report(*Entry.value());
    } else {
      // Still absent: the controller may retry its claim.
      this->Events.OnRecord({Shard, requests::ShardRecord(), 0});
    }
  }

  const C &Time;
  S &Source;
  base::ServiceName Service;
  ShardEvents Events;
  node::JobThread Jobs; // Last, so that it stops before the rest is destroyed.
};

} // namespace bilberry::agent

#endif
