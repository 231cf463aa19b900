// Creates HTTP clients for single calls to the store or to a peer's pages.

#ifndef BILBERRY_STORE_HTTP_CLIENT_H
#define BILBERRY_STORE_HTTP_CLIENT_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"

#include <httplib.h>

namespace bilberry::store {

/// Returns a client that isn't connected yet. ConnectTimeout also limits
/// writes. Thread-safe.
httplib::Client httpClient(const base::Address &Server,
                           base::Duration ConnectTimeout,
                           base::Duration ReadTimeout);

/// True if no byte of the request can have reached the server.
bool failedBeforeSending(httplib::Error Cause);

} // namespace bilberry::store

#endif
