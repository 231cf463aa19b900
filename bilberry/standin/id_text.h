// Formats identifiers in the same way in every stand-in, so that the outcomes
// that callers record can be compared with the upstreams' ledgers.

#ifndef BILBERRY_STANDIN_ID_TEXT_H
#define BILBERRY_STANDIN_ID_TEXT_H

#include "bilberry/base/ids.h"

#include <string>

namespace bilberry::standin {

/// 32 hexadecimal digits. Thread-safe.
std::string requestIdText(base::RequestId Id);
std::string flowKeyText(base::FlowKey Key);

} // namespace bilberry::standin

#endif
