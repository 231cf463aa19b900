// Fetches a page of another process of ours.

#ifndef BILBERRY_NODE_PAGE_CLIENT_H
#define BILBERRY_NODE_PAGE_CLIENT_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/error.h"

#include <string>

namespace bilberry::node {

/// How long a peer may take to answer; it is milliseconds away.
inline constexpr base::Duration PageTimeout = std::chrono::milliseconds(500);

/// The body of the page. Blocks for PageTimeout at most for each step. Errors:
/// Unavailable. Thread-safe.
base::Result<std::string> fetchPage(const base::Address &At,
                                    const std::string &Path);

} // namespace bilberry::node

#endif
