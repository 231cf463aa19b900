// The one place where bytes become MessagePack objects and back. Whatever the
// bytes are, decoding gives a value or an error: it never throws or crashes,
// and it allocates no more than the limits below allow.

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
/// The largest message on a link between two of our processes.
inline constexpr size_t MaxPeerMessageBytes = 4 * 1024 * 1024;
/// The most elements that one array of a message may hold.
inline constexpr size_t MaxArrayElements = 65536;
/// The deepest nesting that a message may have.
inline constexpr size_t MaxDepth = 16;

/// Limits for msgpack::unpack that hold for every message of ours.
msgpack::unpack_limit unpackLimit();

/// Memory for the objects of one message at a time, one a thread. Taking it
/// anew for each message costs two allocations of 8 KB, which is half of the
/// time that a balancer spends on a datagram. Precondition: the objects of the
/// last message that this thread unpacked are no longer used.
msgpack::zone &messageZone();

/// Reads one value from the front of Bytes and says in Used how many bytes it
/// took. Errors: Malformed. Thread-safe.
template <typename T>
base::Result<T> decodeFront(std::string_view Bytes, size_t &Used) {
  try {
    size_t Offset = 0;
    msgpack::object Object =
        msgpack::unpack(messageZone(), Bytes.data(), Bytes.size(), Offset,
                        nullptr, nullptr, unpackLimit());
    T Value;
    Object.convert(Value);
    Used = Offset;
    return Value;
  } catch (const std::exception &Failure) {
    return base::Error{base::ErrorCode::Malformed, Failure.what()};
  }
}

/// Reads one value that must take all of Bytes. Errors: Malformed.
template <typename T> base::Result<T> decode(std::string_view Bytes) {
  size_t Used = 0;
  base::Result<T> Value = decodeFront<T>(Bytes, Used);
  if (Value && Used != Bytes.size()) {
    return base::Error{base::ErrorCode::Malformed, "bytes after the message"};
  }
  return Value;
}

/// What a msgpack::packer writes to: the end of a string, without a buffer in
/// between.
class StringSink {
public:
  explicit StringSink(std::string &Out) : Out(Out) {}
  void write(const char *Bytes, size_t Size) { this->Out.append(Bytes, Size); }

private:
  std::string &Out;
};

/// Writes one value. Thread-safe.
template <typename T> std::string encode(const T &Value) {
  std::string Bytes;
  StringSink Sink(Bytes);
  msgpack::pack(Sink, Value);
  return Bytes;
}

} // namespace bilberry::wire

#endif
