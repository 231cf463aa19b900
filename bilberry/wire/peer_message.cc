#include "bilberry/wire/peer_message.h"

#include "bilberry/wire/codec.h"
#include "bilberry/wire/variant_codec.h"

#include <array>

namespace bilberry::wire {

// Adapts PeerMessage to msgpack's member functions for packing. The encoding is
// [SENDER, RECEIVER, [INDEX, BODY]].
struct PackedPeerMessage {
  PeerMessage Message;

  template <typename Stream>
  void msgpack_pack(msgpack::packer<Stream> &Packer) const {
    Packer.pack_array(3);
    Packer.pack(this->Message.Sender);
    Packer.pack(this->Message.Receiver);
    packVariant(Packer, this->Message.Body);
  }
  void msgpack_unpack(const msgpack::object &Object) {
    if (Object.type != msgpack::type::ARRAY || Object.via.array.size != 3) {
      throw msgpack::type_error();
    }
    Object.via.array.ptr[0].convert(this->Message.Sender);
    Object.via.array.ptr[1].convert(this->Message.Receiver);
    unpackVariant(Object.via.array.ptr[2], this->Message.Body);
  }
};

base::Result<PeerMessage> parsePeerMessage(std::string_view Bytes) {
  base::Result<PackedPeerMessage> Packed = decode<PackedPeerMessage>(Bytes);
  if (!Packed) {
    return Packed.error();
  }
  return std::move(Packed.value().Message);
}

std::string peerMessageBytes(const PeerMessage &Message) {
  return encode(PackedPeerMessage{Message});
}

std::string_view peerBodyText(const PeerBody &Body) {
  static constexpr std::array<std::string_view, std::variant_size_v<PeerBody>>
      BodyTexts = {"heartbeat",      "flow-record-put",    "flow-record-drop",
                   "flow-query",     "flow-query-reply",   "intent",
                   "intent-reply",   "shard-copy",         "shard-copy-reply",
                   "run-request",    "run-result",         "run-cancel",
                   "snapshot-put",   "snapshot-put-reply", "snapshot-fetch",
                   "snapshot-reply", "view-fetch",         "view"};
  return BodyTexts[Body.index()];
}

} // namespace bilberry::wire
