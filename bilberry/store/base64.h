// Base64 as RFC 4648 section 4 has it, for the bytes that JSON can't carry.

#ifndef BILBERRY_STORE_BASE64_H
#define BILBERRY_STORE_BASE64_H

#include "bilberry/base/error.h"

#include <string>
#include <string_view>

namespace bilberry::store {

/// The bytes as padded base64. Thread-safe, as all functions here.
std::string base64Text(std::string_view Bytes);

/// The bytes of padded base64. Errors: Malformed for any other text.
base::Result<std::string> parseBase64(std::string_view Text);

} // namespace bilberry::store

#endif
