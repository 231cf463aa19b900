#include "bilberry/wire/data_message.h"

#include "bilberry/wire/codec.h"
#include "bilberry/wire/variant_codec.h"

namespace bilberry::wire {

// Adapts DataMessage to msgpack's member functions for packing.
struct PackedDataMessage {
  DataMessage Message;

  template <typename Stream>
  void msgpack_pack(msgpack::packer<Stream> &Packer) const {
    packVariant(Packer, this->Message);
  }
  void msgpack_unpack(const msgpack::object &Object) {
    unpackVariant(Object, this->Message);
  }
};

base::Result<Datagram> parseDatagram(std::string_view Bytes) {
  size_t BytesUsed = 0;
  base::Result<PackedDataMessage> Packed =
      decodePrefix<PackedDataMessage>(Bytes, BytesUsed);
  if (!Packed) {
    return Packed.error();
  }
  return Datagram{std::move(Packed.value().Message), Bytes.substr(BytesUsed)};
}

std::string datagramHeader(const DataMessage &Message) {
  return encode(PackedDataMessage{Message});
}

} // namespace bilberry::wire
