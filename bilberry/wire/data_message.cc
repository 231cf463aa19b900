#include "bilberry/wire/data_message.h"

#include "bilberry/wire/codec.h"
#include "bilberry/wire/variant_codec.h"

namespace bilberry::wire {

// A DataMessage as msgpack sees it.
struct DataMessageFrame {
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
  size_t Used = 0;
  base::Result<DataMessageFrame> Frame =
      decodeFront<DataMessageFrame>(Bytes, Used);
  if (!Frame) {
    return Frame.error();
  }
  return Datagram{std::move(Frame.value().Message), Bytes.substr(Used)};
}

std::string datagramHeader(const DataMessage &Message) {
  return encode(DataMessageFrame{Message});
}

} // namespace bilberry::wire
