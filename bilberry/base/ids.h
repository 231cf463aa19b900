// Identifiers of flows, requests and processes.

#ifndef BILBERRY_BASE_IDS_H
#define BILBERRY_BASE_IDS_H

#include "bilberry/base/name.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>

namespace bilberry::base {

/// 128 bits that stand for one flow: a hash of the service, the caller's
/// address and the caller's connection id (routing/flow_key.h).
struct FlowKey {
  uint64_t High = 0;
  uint64_t Low = 0;

  auto operator<=>(const FlowKey &) const = default;
  MSGPACK_DEFINE(High, Low); // NOLINT
};

/// 128 bits drawn at random by the caller, the same in every copy of one
/// request.
struct RequestId {
  uint64_t High = 0;
  uint64_t Low = 0;

  auto operator<=>(const RequestId &) const = default;
  MSGPACK_DEFINE(High, Low); // NOLINT
};

/// Tells two runs of the process with one name apart; later runs are higher.
using Incarnation = uint64_t;

/// The revision of the targets; 0 means that none are known.
using Revision = uint64_t;

} // namespace bilberry::base

template <> struct std::hash<bilberry::base::FlowKey> {
  size_t operator()(const bilberry::base::FlowKey &Key) const {
    return Key.Low; // Already a hash.
  }
};

template <> struct std::hash<bilberry::base::RequestId> {
  size_t operator()(const bilberry::base::RequestId &Id) const {
    return Id.Low ^ (Id.High * 0x9E3779B97F4A7C15ULL);
  }
};

#endif
