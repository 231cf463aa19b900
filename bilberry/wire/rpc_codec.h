// Common parts of the caller and upstream codecs: the message types of
// MessagePack-RPC, and sequential reading of array elements.

#ifndef BILBERRY_WIRE_RPC_CODEC_H
#define BILBERRY_WIRE_RPC_CODEC_H

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

/// Reads the elements of an array in order. Throws msgpack::type_error if an
/// element is missing or has the wrong type; the parse functions convert that
/// to an error. The object must outlive the reader. Not thread-safe.
class ArrayReader {
public:
  explicit ArrayReader(const msgpack::object &Object) {
    if (Object.type != msgpack::type::ARRAY) {
      throw msgpack::type_error();
    }
    this->Next = Object.via.array.ptr;
    this->End = this->Next + Object.via.array.size;
  }

  /// Returns the next element.
  const msgpack::object &next() {
    if (this->Next == this->End) {
      throw msgpack::type_error();
    }
    return *this->Next++;
  }

  /// Returns the next element converted to T.
  template <typename T> T as() { return this->next().as<T>(); }

  /// Returns the next element, a string or binary, as a view of the parsed
  /// bytes.
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

  /// Throws msgpack::type_error if elements remain.
  void expectEnd() const {
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
