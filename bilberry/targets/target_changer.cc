#include "bilberry/targets/target_changer.h"

#include <algorithm>

namespace bilberry::targets {

base::Revision nextRevision(const StoredTargets &Current,
                            const FleetList &Fleet) {
  base::Revision Highest = Current.Revision;
  for (const members::Member &Member : Fleet.Members) {
    Highest = std::max(Highest, Member.Applied);
  }
  return Highest + 1;
}

RevisionConflict makeRevisionConflict(const StoredTargets &Current,
                                      base::Revision ExpectedRevision,
                                      const std::string &Text) {
  RevisionConflict Conflict;
  Conflict.ExpectedRevision = ExpectedRevision;
  Conflict.Current = Current.Revision;
  for (const ChangeRecord &Record : Current.Changes) {
    if (Record.Revision > ExpectedRevision) {
      Conflict.ChangesSince.push_back(Record);
    }
  }
  Conflict.Difference = lineDiff(Current.Text, Text);
  return Conflict;
}

static ChangeResult invalidDataCentre(const std::string &Key,
                                      std::string Message) {
  BadInput Invalid;
  Invalid.Problems.add({"data-centre", 0, "", Key}, std::move(Message));
  return Invalid;
}

static bool isKnownDataCentre(const base::DataCentreName &Name,
                              const Targets &Document, const FleetList &Fleet) {
  return Document.DataCentres.contains(Name) ||
         std::ranges::any_of(Fleet.Members,
                             [&Name](const members::Member &Member) {
                               return Member.DataCentre == Name;
                             });
}

std::variant<std::string, ChangeResult>
proposeDataCentreChange(const StoredTargets &Current, const Targets &Document,
                        const FleetList &Fleet,
                        const base::DataCentreName &Name, bool InService) {
  if (Current.Revision == 0) {
    return invalidDataCentre(
        Name.text(), "there are no targets yet; apply a document first");
  }
  if (!isKnownDataCentre(Name, Document, Fleet)) {
    return invalidDataCentre(Name.text(),
                             "unknown data centre: neither in the targets nor "
                             "announced by a live process");
  }
  if (Document.isInService(Name) == InService) {
    return ChangeResult(NoChangeNeeded{Current.Revision});
  }
  return withDataCentreState(Current.Text, Name, InService);
}

} // namespace bilberry::targets
