// MessagePack encoding and decoding, common to all protocols. Decoding returns
// a value or an error for arbitrary input: it never throws or crashes, and
// allocates no more than the limits below allow.

#ifndef BILBERRY_WIRE_CODEC_H
#define BILBERRY_WIRE_CODEC_H

#include "bilberry/base/error.h"

#include <cstddef>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace bilberry::wire {

/// The largest payload of a UDP datagram over IPv4.
inline constexpr size_t MaxDatagramBytes = 65507;
/// The largest message on a link between two bilberry processes.
inline constexpr size_t MaxPeerMessageBytes = 4 * 1024 * 1024;
/// The maximum number of elements in one array of a message.
inline constexpr size_t MaxArrayElements = 65536;
/// The maximum nesting depth of a message.
inline constexpr size_t MaxNestingDepth = 16;

/// Limits for msgpack::unpack that apply to every message.
msgpack::unpack_limit unpackLimit();

/// Returns this thread's zone, cleared, for the objects of one message. The
/// zone is reused because a new one per message costs two allocations of 8 KB,
/// which is half of the time that a balancer spends on a datagram.
/// Precondition: the objects of the message that this thread unpacked last are
/// no longer used.
msgpack::zone &messageZone();

/// Decodes one value from the start of Bytes and sets BytesUsed to its size.
/// Errors: Malformed. Thread-safe.
template <typename T>
base::Result<T> decodePrefix(std::string_view Bytes, size_t &BytesUsed) {
  try {
    size_t Offset = 0;
    msgpack::object Object =
        msgpack::unpack(messageZone(), Bytes.data(), Bytes.size(), Offset,
                        nullptr, nullptr, unpackLimit());
    T Value;
    Object.convert(Value);
    BytesUsed = Offset;
    return Value;
  } catch (const std::exception &Failure) {
    return base::Error{base::ErrorCode::Malformed, Failure.what()};
  }
}

/// Decodes one value that must span all of Bytes. Errors: Malformed.
/// Thread-safe.
template <typename T> base::Result<T> decode(std::string_view Bytes) {
  size_t BytesUsed = 0;
  base::Result<T> Value = decodePrefix<T>(Bytes, BytesUsed);
  if (Value && BytesUsed != Bytes.size()) {
    return base::Error{base::ErrorCode::Malformed,
                       "unexpected bytes after the message"};
  }
  return Value;
}

/// Stream for msgpack::packer that appends directly to a string, without an
/// intermediate buffer. The string must outlive it.
class StringSink {
public:
  explicit StringSink(std::string &Out) : Out(Out) {}
  void write(const char *Bytes, size_t Size) { this->Out.append(Bytes, Size); }

private:
  std::string &Out;
};

/// Encodes one value. Thread-safe.
template <typename T> std::string encode(const T &Value) {
  std::string Bytes;
  StringSink Sink(Bytes);
  msgpack::pack(Sink, Value);
  return Bytes;
}

} // namespace bilberry::wire

#endif
