// An IPv4 address with a port, as a value.

#ifndef BILBERRY_BASE_ADDRESS_H
#define BILBERRY_BASE_ADDRESS_H

#include "bilberry/base/error.h"

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace bilberry::base {

/// Both parts in host byte order. Port 0 means "none".
struct Address {
  uint32_t Ip = 0;
  uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;
  MSGPACK_DEFINE(Ip, Port); // NOLINT
};

/// Reads "127.0.0.1:4000". Errors: Malformed for anything else.
Result<Address> parseAddress(std::string_view Text);

/// Writes "127.0.0.1". Never fails.
std::string hostText(const Address &Value);

/// Writes "127.0.0.1:4000". Never fails.
std::string addressText(const Address &Value);

} // namespace bilberry::base

#endif
