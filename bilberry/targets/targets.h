// The targets that operators set: classes of work, what an upstream may bear,
// and the data centres in service. No weights and no addresses.

#ifndef BILBERRY_TARGETS_TARGETS_H
#define BILBERRY_TARGETS_TARGETS_H

#include "bilberry/base/clock.h"
#include "bilberry/base/ids.h"
#include "bilberry/base/name.h"

#include <cstdint>
#include <map>
#include <set>

namespace bilberry::targets {

enum class WorkKind : uint8_t {
  /// A long flow of packets both ways.
  Stream,
  /// A flow that carries one file up and ends with one answer.
  Upload,
  /// One request with one answer.
  Request,
};

/// One class of work.
struct WorkClass {
  base::ClassName Name;
  base::ServiceName Service;
  WorkKind Kind = WorkKind::Request;
  /// True where running a request twice does no harm.
  bool Idempotent = false;
  /// How long a flow may last; a draining upstream waits no longer.
  base::Duration LongestFlow{0};
  /// How long a caller waits for an answer.
  base::Duration Deadline{0};
};

/// What one upstream of a service may bear.
struct UpstreamCapacity {
  uint32_t Slots = 1;
  uint32_t Connections = 1;
  /// What an upstream in cold start bears.
  uint32_t ColdSlots = 1;
  uint32_t ColdConnections = 1;
  /// Completions inside the latency bound that earn one more slot.
  uint32_t CompletionsPerSlot = 10;
  /// A completion slower than this doesn't raise the limit.
  base::Duration LatencyBound{0};
};

/// The whole document at one revision. A plain value.
struct Targets {
  base::Revision Revision = 0;
  std::map<base::ClassName, WorkClass> Classes;
  std::map<base::ServiceName, UpstreamCapacity> Services;
  /// Every data centre named, true while in service.
  std::map<base::DataCentreName, bool> DataCentres;

  /// The class of that name, or null.
  const WorkClass *findClass(const base::ClassName &Name) const {
    auto It = this->Classes.find(Name);
    return It == this->Classes.end() ? nullptr : &It->second;
  }
  /// False only for a data centre that the document takes out.
  bool isInService(const base::DataCentreName &Name) const {
    auto It = this->DataCentres.find(Name);
    return It == this->DataCentres.end() || It->second;
  }
  /// The data centres taken out.
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
