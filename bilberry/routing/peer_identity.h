// Identity of a balancer among those of its data centre.

#ifndef BILBERRY_ROUTING_PEER_IDENTITY_H
#define BILBERRY_ROUTING_PEER_IDENTITY_H

#include "bilberry/base/ids.h"
#include "bilberry/base/name.h"

namespace bilberry::routing {

struct PeerIdentity {
  base::MemberName Name;
  base::Incarnation Run = 0;
  base::DataCentreName DataCentre;
  /// UDP address for messages.
  base::Address Control;
};

} // namespace bilberry::routing

#endif
