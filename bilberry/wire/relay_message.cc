#include "bilberry/wire/relay_message.h"

#include "bilberry/wire/codec.h"
#include "bilberry/wire/variant_codec.h"

namespace bilberry::wire {

// Adapts RelayMessage to msgpack's member functions for packing.
struct PackedRelayMessage {
  RelayMessage Message;

  template <typename Stream>
  void msgpack_pack(msgpack::packer<Stream> &Packer) const {
    packVariant(Packer, this->Message);
  }
  void msgpack_unpack(const msgpack::object &Object) {
    unpackVariant(Object, this->Message);
  }
};

base::Result<RelayMessage> parseRelayMessage(std::string_view Bytes) {
  base::Result<PackedRelayMessage> Packed = decode<PackedRelayMessage>(Bytes);
  if (!Packed) {
    return Packed.error();
  }
  RelayMessage Message = std::move(Packed.value().Message);
  if (const auto *Answer = std::get_if<HolderAnswer>(&Message)) {
    if (Answer->Flows.size() != Answer->Presences.size()) {
      return base::Error{base::ErrorCode::Malformed,
                         "holder answer must have one entry per flow"};
    }
  }
  return Message;
}

std::string relayMessageBytes(const RelayMessage &Message) {
  return encode(PackedRelayMessage{Message});
}

} // namespace bilberry::wire
