// The targets that operators set: classes of work, capacity limits for each
// upstream, and the data centres in service. They contain no weights and no
// addresses.

#ifndef BILBERRY_TARGETS_TARGETS_H
#define BILBERRY_TARGETS_TARGETS_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ids.h"
#include "bilberry/base/name.h"

#include <cstdint>
#include <map>
#include <set>

namespace bilberry::targets {

/// How the work of a class is transported.
enum class WorkKind : uint8_t {
  /// A long-lived flow of packets in both directions.
  Stream,
  /// A flow that uploads one file and ends with one response.
  Upload,
  /// One request with one response.
  Request,
};

/// One class of work.
struct WorkClass {
  base::ClassName Name;
  base::ServiceName Service;
  WorkKind Kind = WorkKind::Request;
  /// True if a request may safely be executed twice.
  bool Idempotent = false;
  /// The maximum duration of a flow; a draining upstream waits no longer.
  base::Duration MaxFlowDuration{0};
  /// How long a caller waits for a response.
  base::Duration Deadline{0};
};

/// The capacity limits of one upstream of a service.
struct UpstreamCapacity {
  uint32_t Slots = 1;
  uint32_t Connections = 1;
  /// The limits of an upstream during cold start.
  uint32_t ColdSlots = 1;
  uint32_t ColdConnections = 1;
  /// The number of completions within the latency bound that raise the slot
  /// limit by one.
  uint32_t CompletionsPerSlot = 10;
  /// A completion slower than this doesn't raise the limit.
  base::Duration LatencyBound{0};
};

/// The whole targets document at one revision. A plain value.
struct Targets {
  base::Revision Revision = 0;
  std::map<base::ClassName, WorkClass> Classes;
  std::map<base::ServiceName, UpstreamCapacity> Services;
  /// Every data centre in the document; true if it is in service.
  std::map<base::DataCentreName, bool> DataCentres;

  /// The class of that name, or null.
  const WorkClass *findClass(const base::ClassName &Name) const {
    auto It = this->Classes.find(Name);
    return It == this->Classes.end() ? nullptr : &It->second;
  }
  /// False only for a data centre that the document takes out of service.
  bool isInService(const base::DataCentreName &Name) const {
    auto It = this->DataCentres.find(Name);
    return It == this->DataCentres.end() || It->second;
  }
  /// The data centres taken out of service.
  std::set<base::DataCentreName> outOfService() const {
    std::set<base::DataCentreName> Names;
    for (const auto &[Name, InService] : this->DataCentres) {
      if (!InService) {
        Names.insert(Name);
      }
    }
    return Names;
  }
};

} // namespace bilberry::targets

#endif
