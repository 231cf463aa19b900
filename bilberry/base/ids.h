// Identifiers of flows, requests, process runs and target revisions.

#ifndef BILBERRY_BASE_IDS_H
#define BILBERRY_BASE_IDS_H

#include "bilberry/base/name.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>

namespace bilberry::base {

/// A 128-bit identifier of a flow: a hash of the service, the caller's
/// address and the caller's connection id (routing/flow_key.h).
struct FlowKey {
  uint64_t High = 0;
  uint64_t Low = 0;

  auto operator<=>(const FlowKey &) const = default;
  MSGPACK_DEFINE(High, Low); // NOLINT
};

/// A random 128-bit identifier chosen by the caller, the same in every copy of
/// a request.
struct RequestId {
  uint64_t High = 0;
  uint64_t Low = 0;

  auto operator<=>(const RequestId &) const = default;
  MSGPACK_DEFINE(High, Low); // NOLINT
};

/// Distinguishes successive runs of a process with the same name; a later run
/// has a higher value.
using Incarnation = uint64_t;

/// The revision of the targets; 0 means that no targets are known.
using Revision = uint64_t;

} // namespace bilberry::base

template <> struct std::hash<bilberry::base::FlowKey> {
  size_t operator()(const bilberry::base::FlowKey &Key) const {
    return Key.Low; // The key is a hash already.
  }
};

template <> struct std::hash<bilberry::base::RequestId> {
  size_t operator()(const bilberry::base::RequestId &Id) const {
    return Id.Low ^ (Id.High * 0x9E3779B97F4A7C15ULL);
  }
};

#endif
