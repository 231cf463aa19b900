// The calls of the etcd v3 JSON gateway that we use, on a KeyValueState:
// JSON in, JSON out, no sockets. Fields that our adapter doesn't read
// (cluster and member ids, versions, create revisions) are left out.

#ifndef BILBERRY_STANDIN_ETCD_GATEWAY_H
#define BILBERRY_STANDIN_ETCD_GATEWAY_H

#include "bilberry/standin/key_value_state.h"

#include <nlohmann/json.hpp>

namespace bilberry::standin {

/// A watch that a caller has opened.
struct OpenWatch {
  KeyRange Range;
  /// Changes up to this one have been sent.
  store::StoreRevision Sent = 0;
};

/// Not thread-safe: its owner locks.
class EtcdGateway {
public:
  /// One call. Errors: Malformed for a bad request, LeaseExpired for an
  /// unknown lease.
  using Call = base::Result<nlohmann::json> (EtcdGateway::*)(
      base::TimePoint Now, const nlohmann::json &Request);

  base::Result<nlohmann::json> range(base::TimePoint Now,
                                     const nlohmann::json &Request);
  base::Result<nlohmann::json> put(base::TimePoint Now,
                                   const nlohmann::json &Request);
  /// Takes one comparison of a key's last change for equality, one put on
  /// success and one range on failure: a compare-and-swap.
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

  /// The watch that a request asks for. Errors: Malformed.
  base::Result<OpenWatch> openWatch(const nlohmann::json &Request) const;
  /// The first message on a watch.
  nlohmann::json watchCreated() const;
  /// The message that tells a watch that nothing has happened.
  nlohmann::json watchProgress() const;
  /// The message with the changes that the watch hasn't sent yet, or null
  /// where there are none. A watch that has fallen behind the log is told so
  /// in a message that cancels it.
  nlohmann::json watchChanges(OpenWatch &Watch) const;

  /// The state that the calls work on.
  KeyValueState &state() { return this->State; }

private:
  nlohmann::json header() const;

  KeyValueState State;
};

} // namespace bilberry::standin

#endif
