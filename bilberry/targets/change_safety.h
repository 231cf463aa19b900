// Changes of targets that are well formed and yet likely a mistake. They are
// refused with the reason, unless the operator forces that very kind.

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
  /// Nothing would serve a service any more.
  LastDataCentre,
  /// A service that live agents serve would have no targets any more.
  RemovedService,
};

/// The name by which an operator forces it, as "last-data-centre".
std::string_view unsafeKindText(UnsafeKind Kind);

struct UnsafeChange {
  UnsafeKind Kind;
  std::string Reason;
};

struct SafetyReport {
  /// Refused unless forced.
  std::vector<UnsafeChange> Unsafe;
  /// What can't be checked and is only told.
  std::vector<std::string> Unchecked;
};

/// Judges the step from one document to the next. Live holds the members
/// whose lease holds. Thread-safe.
SafetyReport checkSafety(const Targets &Before, const Targets &After,
                         const std::vector<members::Member> &Live);

/// The unsafe changes whose kind isn't in Forced.
std::vector<UnsafeChange> withoutForced(const SafetyReport &Report,
                                        const std::set<UnsafeKind> &Forced);

} // namespace bilberry::targets

#endif
