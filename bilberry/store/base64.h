// Base64 encoding and decoding (RFC 4648 section 4), for bytes in JSON fields.

#ifndef BILBERRY_STORE_BASE64_H
#define BILBERRY_STORE_BASE64_H

#include "bilberry/base/error.h"

#include <string>
#include <string_view>

namespace bilberry::store {

/// Encodes bytes as padded base64. Thread-safe, like all functions here.
std::string base64Text(std::string_view Bytes);

/// Decodes padded base64. Errors: Malformed for any other text.
base::Result<std::string> parseBase64(std::string_view Text);

} // namespace bilberry::store

#endif
