#include "bilberry/targets/change_safety.h"

#include <algorithm>
#include <iterator>

namespace bilberry::targets {

using members::Member;
using Members = std::vector<Member>;

std::string_view unsafeKindText(UnsafeKind Kind) {
  switch (Kind) {
  case UnsafeKind::LastDataCentre:
    return "last-data-centre";
  case UnsafeKind::RemovedService:
    return "removed-service";
  }
  return "unknown";
}

static bool servesNewWork(const Member &Value, const base::ServiceName &Service,
                          const Targets &Document) {
  return Value.Role == members::MemberRole::Agent && Value.Service == Service &&
         members::takesNewWork(Value) && Document.isInService(Value.DataCentre);
}

static bool isServed(const base::ServiceName &Service, const Targets &Document,
                     const Members &Live) {
  return std::ranges::any_of(Live, [&](const Member &Value) {
    return servesNewWork(Value, Service, Document);
  });
}

static bool hasAgents(const base::ServiceName &Service, const Members &Live) {
  return std::ranges::any_of(
      Live, [&](const Member &Value) { return Value.Service == Service; });
}

static bool isAllOut(const Targets &Document) {
  return !Document.DataCentres.empty() &&
         Document.outOfService().size() == Document.DataCentres.size();
}

static void checkDataCentres(const Targets &Before, const Targets &After,
                             const Members &Live, SafetyReport &Report) {
  for (const auto &[Service, Capacity] : After.Services) {
    if (isServed(Service, Before, Live) && !isServed(Service, After, Live)) {
      Report.Unsafe.push_back(
          {UnsafeKind::LastDataCentre,
           "no agent of service " + Service.text() +
               " that takes new work would stay in service"});
    }
  }
  if (isAllOut(After) && !isAllOut(Before)) {
    Report.Unsafe.push_back({UnsafeKind::LastDataCentre,
                             "every data centre would be out of service"});
  }
}

static void checkRemovedServices(const Targets &Before, const Targets &After,
                                 const Members &Live, SafetyReport &Report) {
  for (const auto &[Service, Capacity] : Before.Services) {
    if (!After.Services.contains(Service) && hasAgents(Service, Live)) {
      Report.Unsafe.push_back(
          {UnsafeKind::RemovedService,
           "service " + Service.text() + " still has live agents"});
    }
  }
}

// Members don't announce what they hold, so a lower ceiling can't be judged.
static void noteLowerLimits(const Targets &Before, const Targets &After,
                            SafetyReport &Report) {
  auto Note = [&Report](const base::ServiceName &Service, const char *Key,
                        uint32_t Old, uint32_t New) {
    if (New < Old) {
      Report.Unchecked.push_back(
          "service " + Service.text() + ": " + Key + " falls from " +
          std::to_string(Old) + " to " + std::to_string(New) +
          "; whether upstreams hold more than that now can't be checked here");
    }
  };
  for (const auto &[Service, New] : After.Services) {
    auto Old = Before.Services.find(Service);
    if (Old != Before.Services.end()) {
      Note(Service, "slots", Old->second.Slots, New.Slots);
      Note(Service, "connections", Old->second.Connections, New.Connections);
    }
  }
}

SafetyReport checkSafety(const Targets &Before, const Targets &After,
                         const std::vector<members::Member> &Live) {
  SafetyReport Report;
  checkDataCentres(Before, After, Live, Report);
  checkRemovedServices(Before, After, Live, Report);
  noteLowerLimits(Before, After, Report);
  return Report;
}

std::vector<UnsafeChange> withoutForced(const SafetyReport &Report,
                                        const std::set<UnsafeKind> &Forced) {
  std::vector<UnsafeChange> Rest;
  std::ranges::copy_if(Report.Unsafe, std::back_inserter(Rest),
                       [&Forced](const UnsafeChange &Change) {
                         return !Forced.contains(Change.Kind);
                       });
  return Rest;
}

} // namespace bilberry::targets
