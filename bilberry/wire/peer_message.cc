#include "bilberry/wire/peer_message.h"

#include "bilberry/wire/codec.h"
#include "bilberry/wire/variant_codec.h"

#include <array>

namespace bilberry::wire {

// A PeerMessage as msgpack sees it: [SENDER, RECEIVER, [INDEX, BODY]].
struct PeerMessageFrame {
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
  base::Result<PeerMessageFrame> Frame = decode<PeerMessageFrame>(Bytes);
  if (!Frame) {
    return Frame.error();
  }
  return std::move(Frame.value().Message);
}

std::string peerMessageBytes(const PeerMessage &Message) {
  return encode(PeerMessageFrame{Message});
}

std::string_view peerBodyText(const PeerBody &Body) {
  static constexpr std::array<std::string_view, std::variant_size_v<PeerBody>>
      Texts = {"heartbeat",      "flow-record-put",    "flow-record-drop",
               "flow-query",     "flow-query-reply",   "intent",
               "intent-reply",   "shard-copy",         "shard-copy-reply",
               "run-request",    "run-result",         "run-cancel",
               "snapshot-put",   "snapshot-put-reply", "snapshot-fetch",
               "snapshot-reply", "view-fetch",         "view"};
  return Texts[Body.index()];
}

} // namespace bilberry::wire
