// Encodes a std::variant as [INDEX, VALUE], where INDEX is the position of the
// alternative in the variant's type list. New alternatives must be appended,
// because the index is part of the wire format.

#ifndef BILBERRY_WIRE_VARIANT_CODEC_H
#define BILBERRY_WIRE_VARIANT_CODEC_H

#include <cstddef>
#include <msgpack.hpp>
#include <utility>
#include <variant>

namespace bilberry::wire {

/// Packs Value as [index, value].
template <typename Variant, typename Stream>
void packVariant(msgpack::packer<Stream> &Packer, const Variant &Value) {
  Packer.pack_array(2);
  Packer.pack(static_cast<uint32_t>(Value.index()));
  std::visit([&](const auto &Item) { Packer.pack(Item); }, Value);
}

namespace detail {

template <typename Variant, size_t... Indices>
bool convertAlternative(size_t Index, const msgpack::object &Object,
                        Variant &Value, std::index_sequence<Indices...>) {
  auto Convert = [&]<size_t I>() {
    std::variant_alternative_t<I, Variant> Item;
    Object.convert(Item);
    Value = std::move(Item);
    return true;
  };
  return ((Index == Indices && Convert.template operator()<Indices>()) || ...);
}

} // namespace detail

/// Unpacks [index, value]. Throws msgpack::type_error for any other object;
/// wire::decode converts that to an error.
template <typename Variant>
void unpackVariant(const msgpack::object &Object, Variant &Value) {
  if (Object.type != msgpack::type::ARRAY || Object.via.array.size != 2) {
    throw msgpack::type_error();
  }
  size_t Index = Object.via.array.ptr[0].as<uint32_t>();
  constexpr size_t Count = std::variant_size_v<Variant>;
  if (!detail::convertAlternative(Index, Object.via.array.ptr[1], Value,
                                  std::make_index_sequence<Count>())) {
    throw msgpack::type_error();
  }
}

} // namespace bilberry::wire

#endif
