// Counters of the calls to the store, by kind. The platform bills each call; a
// watch is one call for as long as it is open.

#ifndef BILBERRY_STORE_CALL_COUNTS_H
#define BILBERRY_STORE_CALL_COUNTS_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bilberry::store {

enum class StoreCall : uint8_t {
  Get,
  List,
  Swap,
  Put,
  Remove,
  GrantLease,
  KeepAlive,
  RevokeLease,
  Watch,
};
inline constexpr size_t StoreCallKindCount = 9;

/// The name of a call for logs.
std::string_view storeCallText(StoreCall Call);

/// Thread-safe and lock-free. Counts of different kinds are not read as one
/// consistent snapshot.
class StoreCallCounts {
public:
  /// Adds one call.
  void add(StoreCall Call) { ++this->Counts[static_cast<size_t>(Call)]; }
  /// The calls of one kind since the start.
  uint64_t count(StoreCall Call) const {
    return this->Counts[static_cast<size_t>(Call)];
  }
  /// The calls of all kinds since the start.
  uint64_t total() const {
    uint64_t Sum = 0;
    for (const std::atomic<uint64_t> &Count : this->Counts) {
      Sum += Count;
    }
    return Sum;
  }

private:
  std::array<std::atomic<uint64_t>, StoreCallKindCount> Counts = {};
};

} // namespace bilberry::store

#endif
