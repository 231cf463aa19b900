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

static bool servesNewWork(const Member &Candidate,
                          const base::ServiceName &Service,
                          const Targets &Document) {
  return Candidate.Role == members::MemberRole::Agent &&
         Candidate.Service == Service && members::takesNewWork(Candidate) &&
         Document.isInService(Candidate.DataCentre);
}

static bool isServed(const base::ServiceName &Service, const Targets &Document,
                     const Members &LiveMembers) {
  return std::ranges::any_of(LiveMembers, [&](const Member &Candidate) {
    return servesNewWork(Candidate, Service, Document);
  });
}

static bool hasAgents(const base::ServiceName &Service,
                      const Members &LiveMembers) {
  return std::ranges::any_of(LiveMembers, [&](const Member &Candidate) {
    return Candidate.Service == Service;
  });
}

static bool allDataCentresOut(const Targets &Document) {
  return !Document.DataCentres.empty() &&
         Document.outOfService().size() == Document.DataCentres.size();
}

static void checkDataCentresInService(const Targets &Before,
                                      const Targets &After,
                                      const Members &LiveMembers,
                                      SafetyReport &Report) {
  for (const auto &[Service, Capacity] : After.Services) {
    if (isServed(Service, Before, LiveMembers) &&
        !isServed(Service, After, LiveMembers)) {
      Report.Unsafe.push_back(
          {UnsafeKind::LastDataCentre,
           "no agent of service " + Service.text() +
               " that takes new work would stay in service"});
    }
  }
  if (allDataCentresOut(After) && !allDataCentresOut(Before)) {
    Report.Unsafe.push_back({UnsafeKind::LastDataCentre,
                             "every data centre would be out of service"});
  }
}

static void checkRemovedServices(const Targets &Before, const Targets &After,
                                 const Members &LiveMembers,
                                 SafetyReport &Report) {
  for (const auto &[Service, Capacity] : Before.Services) {
    if (!After.Services.contains(Service) && hasAgents(Service, LiveMembers)) {
      Report.Unsafe.push_back(
          {UnsafeKind::RemovedService,
           "service " + Service.text() + " still has live agents"});
    }
  }
}

// Members don't announce their current load, so whether it exceeds a lowered
// limit can't be checked.
static void reportLoweredLimits(const Targets &Before, const Targets &After,
                                SafetyReport &Report) {
  auto ReportIfLower = [&Report](const base::ServiceName &Service,
                                 const char *Key, uint32_t Old, uint32_t New) {
    if (New < Old) {
      Report.UncheckedRisks.push_back(
          "service " + Service.text() + ": " + Key + " is lowered from " +
          std::to_string(Old) + " to " + std::to_string(New) +
          "; whether upstreams exceed the new limit now can't be checked");
    }
  };
  for (const auto &[Service, New] : After.Services) {
    auto Old = Before.Services.find(Service);
    if (Old != Before.Services.end()) {
      ReportIfLower(Service, "slots", Old->second.Slots, New.Slots);
      ReportIfLower(Service, "connections", Old->second.Connections,
                    New.Connections);
    }
  }
}

SafetyReport checkSafety(const Targets &Before, const Targets &After,
                         const std::vector<members::Member> &LiveMembers) {
  SafetyReport Report;
  checkDataCentresInService(Before, After, LiveMembers, Report);
  checkRemovedServices(Before, After, LiveMembers, Report);
  reportLoweredLimits(Before, After, Report);
  return Report;
}

std::vector<UnsafeChange>
unforcedChanges(const SafetyReport &Report,
                const std::set<UnsafeKind> &ForcedKinds) {
  std::vector<UnsafeChange> Unforced;
  std::ranges::copy_if(Report.Unsafe, std::back_inserter(Unforced),
                       [&ForcedKinds](const UnsafeChange &Change) {
                         return !ForcedKinds.contains(Change.Kind);
                       });
  return Unforced;
}

} // namespace bilberry::targets
