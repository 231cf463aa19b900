#include "bilberry/wire/relay_message.h"

#include "bilberry/wire/codec.h"
#include "bilberry/wire/variant_codec.h"

namespace bilberry::wire {

// A RelayMessage as msgpack sees it.
struct RelayMessageFrame {
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
  base::Result<RelayMessageFrame> Frame = decode<RelayMessageFrame>(Bytes);
  if (!Frame) {
    return Frame.error();
  }
  RelayMessage Message = std::move(Frame.value().Message);
  if (const auto *Answer = std::get_if<HolderAnswer>(&Message)) {
    if (Answer->Flows.size() != Answer->Holdings.size()) {
      return base::Error{base::ErrorCode::Malformed,
                         "an answer needs one holding for each flow"};
    }
  }
  return Message;
}

std::string relayMessageBytes(const RelayMessage &Message) {
  return encode(RelayMessageFrame{Message});
}

} // namespace bilberry::wire
