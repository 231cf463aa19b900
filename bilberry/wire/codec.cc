#include "bilberry/wire/codec.h"

namespace bilberry::wire {

msgpack::unpack_limit unpackLimit() {
  return msgpack::unpack_limit(MaxArrayElements, MaxArrayElements,
                               MaxPeerMessageBytes, MaxPeerMessageBytes,
                               MaxPeerMessageBytes, MaxNestingDepth);
}

msgpack::zone &messageZone() {
  static thread_local msgpack::zone Zone;
  Zone.clear();
  return Zone;
}

} // namespace bilberry::wire
