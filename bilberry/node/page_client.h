// An HTTP client for the pages of other agents and balancers.

#ifndef BILBERRY_NODE_PAGE_CLIENT_H
#define BILBERRY_NODE_PAGE_CLIENT_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/error.h"

#include <string>

namespace bilberry::node {

/// The timeout to connect, and of each write and read. The round trip to a peer
/// takes milliseconds.
inline constexpr base::Duration PageRequestTimeout =
    std::chrono::milliseconds(500);

/// Fetches a page and returns its body. Blocks for at most PageRequestTimeout
/// to connect, and again for each write and read. Errors: Unavailable, also for
/// any status but 200. Thread-safe.
base::Result<std::string> fetchPage(const base::Address &At,
                                    const std::string &Path);

} // namespace bilberry::node

#endif
