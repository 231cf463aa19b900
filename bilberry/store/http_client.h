// HTTP clients for single calls to a store or to a peer's pages.

#ifndef BILBERRY_STORE_HTTP_CLIENT_H
#define BILBERRY_STORE_HTTP_CLIENT_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"

#include <httplib.h>

namespace bilberry::store {

/// A client that hasn't connected yet. ConnectTimeout holds for writing too.
/// Thread-safe.
httplib::Client httpClient(const base::Address &Server,
                           base::Duration ConnectTimeout,
                           base::Duration ReadTimeout);

/// True where no byte of the request can have reached the server.
bool failedBeforeSending(httplib::Error Cause);

} // namespace bilberry::store

#endif
