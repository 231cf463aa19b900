// Formats the results of bilberryctl's commands as text or JSON.

#ifndef BILBERRY_CONTROL_REPORT_H
#define BILBERRY_CONTROL_REPORT_H

#include "bilberry/control/exit_codes.h"
#include "bilberry/targets/rollout_status.h"
#include "bilberry/targets/target_change.h"

#include <string>

namespace bilberry::control {

/// The result of one command, printed as text or as one JSON object.
struct Report {
  ExitCode Code = ExitCode::Success;
  /// The outcome as one fixed word, for scripts.
  std::string Outcome;
  /// Human-readable lines, each ended by a newline.
  std::string Text;
};

/// The report as it is printed. Thread-safe, like all functions here.
std::string reportText(const Report &Result, bool IsJson);

/// The report on the result of the change with that id.
Report changeReport(const targets::ChangeResult &Result, const std::string &Id);

/// The report on whether the store holds the change with that id.
/// AttemptedRevision is 0 if it is not known.
Report changeStateReport(const targets::StoredTargets &Current,
                         const std::string &Id,
                         base::Revision AttemptedRevision);

/// Whether the targets are in force, and which processes have not acknowledged
/// them since when.
std::string rolloutText(const targets::RolloutStatus &Status);

/// One line for each live process.
std::string fleetText(const targets::FleetList &Fleet);

} // namespace bilberry::control

#endif
