#include "bilberry/wire/codec.h"

namespace bilberry::wire {

msgpack::unpack_limit unpackLimit() {
  return msgpack::unpack_limit(MaxArrayElements, MaxArrayElements,
                               MaxPeerMessageBytes, MaxPeerMessageBytes,
                               MaxPeerMessageBytes, MaxDepth);
}

} // namespace bilberry::wire
