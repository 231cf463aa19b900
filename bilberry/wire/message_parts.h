// What the codecs of callers and upstreams share: the message types of
// MessagePack-RPC, and reading an array's elements in turn.

#ifndef BILBERRY_WIRE_MESSAGE_PARTS_H
#define BILBERRY_WIRE_MESSAGE_PARTS_H

#include "bilberry/base/ids.h"
#include "bilberry/wire/codec.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace bilberry::wire {

// The message types of MessagePack-RPC.
inline constexpr uint32_t RpcRequest = 0;
inline constexpr uint32_t RpcResponse = 1;
inline constexpr uint32_t RpcNotification = 2;

using MessagePacker = msgpack::packer<StringSink>;

/// Reads an array's elements in turn. Throws msgpack::type_error where one is
/// missing or of another type, which the parse functions turn into an error.
/// Lives no longer than the object. Not safe for two threads at once.
class ElementReader {
public:
  explicit ElementReader(const msgpack::object &Object) {
    if (Object.type != msgpack::type::ARRAY) {
      throw msgpack::type_error();
    }
    this->Next = Object.via.array.ptr;
    this->End = this->Next + Object.via.array.size;
  }

  /// The next element.
  const msgpack::object &next() {
    if (this->Next == this->End) {
      throw msgpack::type_error();
    }
    return *this->Next++;
  }

  /// The next element as a T.
  template <typename T> T as() { return this->next().as<T>(); }

  /// A string or binary, as a view into the parsed bytes.
  std::string_view view() {
    const msgpack::object &Object = this->next();
    if (Object.type == msgpack::type::BIN) {
      return {Object.via.bin.ptr, Object.via.bin.size};
    }
    if (Object.type == msgpack::type::STR) {
      return {Object.via.str.ptr, Object.via.str.size};
    }
    throw msgpack::type_error();
  }

  /// Throws where elements are left.
  void finish() const {
    if (this->Next != this->End) {
      throw msgpack::type_error();
    }
  }

private:
  const msgpack::object *Next = nullptr;
  const msgpack::object *End = nullptr;
};

/// Packs a body as a binary.
inline void packBody(MessagePacker &Out, std::string_view Body) {
  Out.pack_bin(static_cast<uint32_t>(Body.size()));
  Out.pack_bin_body(Body.data(), static_cast<uint32_t>(Body.size()));
}

} // namespace bilberry::wire

#endif
