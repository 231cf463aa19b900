// Defines an IPv4 address with a port, and its text form.

#ifndef BILBERRY_BASE_ADDRESS_H
#define BILBERRY_BASE_ADDRESS_H

#include "bilberry/base/error.h"

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace bilberry::base {

/// An IPv4 address and a port, both in host byte order. Port 0 means that no
/// address is set.
struct Address {
  uint32_t Ip = 0;
  uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;
  MSGPACK_DEFINE(Ip, Port); // NOLINT
};

/// Parses "IP:PORT", such as "127.0.0.1:4000". Errors: Malformed for anything
/// else.
Result<Address> parseAddress(std::string_view Text);

/// Formats the IP without the port, such as "127.0.0.1". Never fails.
std::string hostText(const Address &Value);

/// Formats as "IP:PORT", such as "127.0.0.1:4000". Never fails.
std::string addressText(const Address &Value);

} // namespace bilberry::base

#endif
