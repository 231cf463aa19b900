// Wire format of time points and durations: whole microseconds. Time points
// are relative to the Unix epoch.

#ifndef BILBERRY_WIRE_TIME_FORMAT_H
#define BILBERRY_WIRE_TIME_FORMAT_H

#include "bilberry/base/clock.h"

#include <algorithm>
#include <cstdint>
#include <msgpack.hpp>

namespace bilberry::wire {

/// The largest time in microseconds whose nanosecond count fits an int64_t.
inline constexpr int64_t MaxMicroseconds = INT64_MAX / 1000;

/// Converts microseconds since the Unix epoch, clamped to 0..MaxMicroseconds.
inline base::TimePoint timePointFromMicroseconds(int64_t Microseconds) {
  int64_t Clamped = std::clamp<int64_t>(Microseconds, 0, MaxMicroseconds);
  return base::TimePoint(std::chrono::microseconds(Clamped));
}

/// Returns whole microseconds since the Unix epoch, rounded down.
inline int64_t microsecondsSinceEpoch(base::TimePoint Time) {
  return std::chrono::floor<std::chrono::microseconds>(Time.time_since_epoch())
      .count();
}

} // namespace bilberry::wire

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <> struct convert<bilberry::base::TimePoint> {
    const msgpack::object &operator()(const msgpack::object &Object,
                                      bilberry::base::TimePoint &Time) const {
      Time = bilberry::wire::timePointFromMicroseconds(Object.as<int64_t>());
      return Object;
    }
  };

  template <> struct pack<bilberry::base::TimePoint> {
    template <typename Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &Packer,
               const bilberry::base::TimePoint &Time) const {
      return Packer.pack(bilberry::wire::microsecondsSinceEpoch(Time));
    }
  };

  } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

#endif
