#include "bilberry/store/call_counts.h"

namespace bilberry::store {

std::string_view storeCallText(StoreCall Call) {
  switch (Call) {
  case StoreCall::Get:
    return "get";
  case StoreCall::List:
    return "list";
  case StoreCall::Swap:
    return "swap";
  case StoreCall::Put:
    return "put";
  case StoreCall::Remove:
    return "remove";
  case StoreCall::GrantLease:
    return "grant-lease";
  case StoreCall::KeepAlive:
    return "keep-alive";
  case StoreCall::RevokeLease:
    return "revoke-lease";
  case StoreCall::Watch:
    return "watch";
  }
  return "unknown";
}

} // namespace bilberry::store
