// Detects changes of the targets that are well formed but probably a mistake.
// They are refused with the reason, unless the operator forces their kind.

#ifndef BILBERRY_TARGETS_CHANGE_SAFETY_H
#define BILBERRY_TARGETS_CHANGE_SAFETY_H

#include "bilberry/members/member.h"
#include "bilberry/targets/targets.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::targets {

enum class UnsafeKind : uint8_t {
  /// No agent in service would be left for a service, or no data centre would
  /// be in service.
  LastDataCentre,
  /// The targets of a service that has live agents would be removed.
  RemovedService,
};

/// The name in the --force- option, for example "last-data-centre". Never
/// fails. Thread-safe.
std::string_view unsafeKindText(UnsafeKind Kind);

/// One reason why a change is unsafe.
struct UnsafeChange {
  UnsafeKind Kind;
  /// A message for the operator.
  std::string Reason;
};

/// The result of checkSafety(). A plain value.
struct SafetyReport {
  /// Reasons to refuse the change unless they are forced.
  std::vector<UnsafeChange> Unsafe;
  /// Messages on risks that can't be checked; they don't refuse the change.
  std::vector<std::string> UncheckedRisks;
};

/// Checks the change from one document to the next. LiveMembers are the members
/// whose lease is valid. Thread-safe.
SafetyReport checkSafety(const Targets &Before, const Targets &After,
                         const std::vector<members::Member> &LiveMembers);

/// The unsafe changes whose kind isn't in ForcedKinds. Thread-safe.
std::vector<UnsafeChange>
unforcedChanges(const SafetyReport &Report,
                const std::set<UnsafeKind> &ForcedKinds);

} // namespace bilberry::targets

#endif
