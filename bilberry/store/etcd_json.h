// Reads fields of the etcd v3 JSON gateway's messages. The gateway encodes
// bytes as base64 and 64-bit integers as strings, and omits fields that are
// zero or empty. Source: the published API reference of etcd v3.

#ifndef BILBERRY_STORE_ETCD_JSON_H
#define BILBERRY_STORE_ETCD_JSON_H

#include "bilberry/store/store.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace bilberry::store {

/// Parses a JSON object. Returns null for any other text. Thread-safe, like all
/// functions here.
nlohmann::json parseObject(std::string_view Text);

/// Returns an integer field that is encoded as a number or as a string; 0 if it
/// is absent. Errors: Malformed for anything else.
base::Result<int64_t> integerField(const nlohmann::json &Object,
                                   const char *Name);

/// Returns the decoded bytes of a base64 field; "" if it is absent. Errors:
/// Malformed.
base::Result<std::string> bytesField(const nlohmann::json &Object,
                                     const char *Name);

/// Returns a string field; empty if it is absent or not a string.
std::string textField(const nlohmann::json &Object, const char *Name);

/// Returns a field, or null if it is absent. The reference is valid for as long
/// as Object.
const nlohmann::json &field(const nlohmann::json &Object, const char *Name);

/// Returns the first key after all keys that start with Prefix; "\0", which
/// stands for the end of the key space, if there is no such key.
std::string prefixEnd(std::string_view Prefix);

/// The gRPC status codes that the gateway's errors carry in "code".
enum class GrpcCode : int64_t {
  InvalidArgument = 3,
  DeadlineExceeded = 4,
  NotFound = 5,
  ResourceExhausted = 8,
  OutOfRange = 11,
  Unimplemented = 12,
  Unavailable = 14,
};

/// The gateway's error message when no replica could accept the request.
inline constexpr char NoLeaderMessage[] = "etcdserver: no leader";

} // namespace bilberry::store

#endif
