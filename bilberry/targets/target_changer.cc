#include "bilberry/targets/target_changer.h"

#include <algorithm>

namespace bilberry::targets {

base::Revision nextRevision(const StoredTargets &Present,
                            const FleetList &Fleet) {
  base::Revision Highest = Present.Revision;
  for (const members::Member &Member : Fleet.Members) {
    Highest = std::max(Highest, Member.Applied);
  }
  return Highest + 1;
}

LostRace lostRace(const StoredTargets &Present, base::Revision Expected,
                  const std::string &Text) {
  LostRace Race;
  Race.Expected = Expected;
  Race.Present = Present.Revision;
  for (const ChangeNote &Note : Present.Changes) {
    if (Note.Revision > Expected) {
      Race.Since.push_back(Note);
    }
  }
  Race.Difference = lineDiff(Present.Text, Text);
  return Race;
}

static ChangeResult badName(const std::string &Key, std::string Message) {
  BadInput Bad;
  Bad.Problems.add({"data-centre", 0, "", Key}, std::move(Message));
  return Bad;
}

static bool isKnown(const base::DataCentreName &Name, const Targets &Document,
                    const FleetList &Fleet) {
  return Document.DataCentres.contains(Name) ||
         std::ranges::any_of(Fleet.Members,
                             [&Name](const members::Member &Member) {
                               return Member.DataCentre == Name;
                             });
}

std::variant<std::string, ChangeResult>
proposeDataCentre(const StoredTargets &Present, const Targets &Document,
                  const FleetList &Fleet, const base::DataCentreName &Name,
                  bool InService) {
  if (Present.Revision == 0) {
    return badName(Name.text(), "there are no targets yet; apply some first");
  }
  if (!isKnown(Name, Document, Fleet)) {
    return badName(Name.text(), "neither the targets nor any live process "
                                "names this data centre");
  }
  if (Document.isInService(Name) == InService) {
    return ChangeResult(AlreadySo{Present.Revision});
  }
  return withDataCentre(Present.Text, Name, InService);
}

} // namespace bilberry::targets
