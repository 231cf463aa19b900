#include "bilberry/base/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace bilberry::base {

static Error malformedAddress(std::string_view Text) {
  return {ErrorCode::Malformed,
          "'" + std::string(Text) + "' is not IP:PORT, such as 127.0.0.1:4000"};
}

Result<Address> parseAddress(std::string_view Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos) {
    return malformedAddress(Text);
  }
  in_addr ParsedIp = {};
  std::string Host(Text.substr(0, Colon));
  if (inet_pton(AF_INET, Host.c_str(), &ParsedIp) != 1) {
    return malformedAddress(Text);
  }
  std::string_view PortText = Text.substr(Colon + 1);
  uint16_t Port = 0;
  auto [End, Code] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (Code != std::errc() || End != PortText.data() + PortText.size()) {
    return malformedAddress(Text);
  }
  return Address{ntohl(ParsedIp.s_addr), Port};
}

std::string hostText(const Address &Value) {
  in_addr Ip = {htonl(Value.Ip)};
  char Buffer[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Ip, Buffer, sizeof(Buffer));
  return Buffer;
}

std::string addressText(const Address &Value) {
  return hostText(Value) + ":" + std::to_string(Value.Port);
}

} // namespace bilberry::base
