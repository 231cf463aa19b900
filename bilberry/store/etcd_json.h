// Fields of the etcd v3 JSON gateway's messages: bytes travel as base64, and
// 64-bit integers as strings; a field that holds zero or nothing is left out.
// Source: the published API reference of etcd v3.

#ifndef BILBERRY_STORE_ETCD_JSON_H
#define BILBERRY_STORE_ETCD_JSON_H

#include "bilberry/store/store.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace bilberry::store {

/// A JSON object; any other text gives a null value. Thread-safe, as all
/// functions here.
nlohmann::json parseObject(std::string_view Text);

/// The field as an integer, from a number or a string of one. Errors:
/// Malformed for anything else. An absent field gives 0.
base::Result<int64_t> integerField(const nlohmann::json &Object,
                                   const char *Name);

/// The bytes of a base64 field. Errors: Malformed. An absent field gives "".
base::Result<std::string> bytesField(const nlohmann::json &Object,
                                     const char *Name);

/// The field as text; empty where it is absent or no string.
std::string textField(const nlohmann::json &Object, const char *Name);

/// The field, or a null value where it is absent. The reference lives as long
/// as Object.
const nlohmann::json &field(const nlohmann::json &Object, const char *Name);

/// The first key after all that begin with Prefix; "\0" (every key) where
/// there is none such.
std::string prefixEnd(std::string_view Prefix);

/// The codes of gRPC that the gateway's errors carry in "code".
enum class GrpcCode : int64_t {
  InvalidArgument = 3,
  DeadlineExceeded = 4,
  NotFound = 5,
  ResourceExhausted = 8,
  OutOfRange = 11,
  Unimplemented = 12,
  Unavailable = 14,
};

/// What the gateway says when no replica could take the request.
inline constexpr char NoLeaderMessage[] = "etcdserver: no leader";

} // namespace bilberry::store

#endif
