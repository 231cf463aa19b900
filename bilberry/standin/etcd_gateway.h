// The calls of the etcd v3 JSON gateway that the store adapter uses,
// implemented on a KeyValueState: JSON in, JSON out, no sockets. Fields that
// the adapter doesn't read (cluster and member ids, versions, create revisions)
// are omitted.

#ifndef BILBERRY_STANDIN_ETCD_GATEWAY_H
#define BILBERRY_STANDIN_ETCD_GATEWAY_H

#include "bilberry/standin/key_value_state.h"

#include <nlohmann/json.hpp>

namespace bilberry::standin {

/// A watch opened by a client.
struct OpenWatch {
  KeyRange Range;
  /// Changes up to this revision have been sent.
  store::StoreRevision LastSentRevision = 0;
};

/// Decodes requests, performs them on the state and encodes the responses.
/// Not thread-safe: the owner must lock.
class EtcdGateway {
public:
  /// The type of the functions below, one for each call of the API. Errors:
  /// Malformed for an invalid request, LeaseExpired for an unknown lease.
  using Call = base::Result<nlohmann::json> (EtcdGateway::*)(
      base::TimePoint Now, const nlohmann::json &Request);

  base::Result<nlohmann::json> range(base::TimePoint Now,
                                     const nlohmann::json &Request);
  base::Result<nlohmann::json> put(base::TimePoint Now,
                                   const nlohmann::json &Request);
  /// Supports compare-and-swap only: one comparison of a key's mod_revision
  /// for equality, one put on success and one range on failure.
  base::Result<nlohmann::json> txn(base::TimePoint Now,
                                   const nlohmann::json &Request);
  base::Result<nlohmann::json> deleteRange(base::TimePoint Now,
                                           const nlohmann::json &Request);
  base::Result<nlohmann::json> grantLease(base::TimePoint Now,
                                          const nlohmann::json &Request);
  base::Result<nlohmann::json> keepAlive(base::TimePoint Now,
                                         const nlohmann::json &Request);
  base::Result<nlohmann::json> revokeLease(base::TimePoint Now,
                                           const nlohmann::json &Request);

  /// Parses a request to open a watch. Errors: Malformed.
  base::Result<OpenWatch> openWatch(const nlohmann::json &Request) const;
  /// The message that confirms a new watch.
  nlohmann::json watchCreatedMessage() const;
  /// A progress notification, sent on an idle watch.
  nlohmann::json watchProgressMessage() const;
  /// The message with the changes that haven't been sent on the watch, or null
  /// where there are none. Where the log no longer has them all, the message
  /// cancels the watch.
  nlohmann::json watchChangesMessage(OpenWatch &Watch) const;

  /// The state that the calls read and change.
  KeyValueState &state() { return this->State; }

private:
  nlohmann::json header() const;

  KeyValueState State;
};

} // namespace bilberry::standin

#endif
