// What bilberryctl tells of a change and of the processes, as text or JSON.

#ifndef BILBERRY_CONTROL_REPORT_H
#define BILBERRY_CONTROL_REPORT_H

#include "bilberry/control/exit_codes.h"
#include "bilberry/targets/force_status.h"
#include "bilberry/targets/target_change.h"

#include <string>

namespace bilberry::control {

/// One report: lines for people, or one JSON object with the same facts.
struct Report {
  ExitCode Code = ExitCode::Success;
  /// The outcome as one word, for scripts.
  std::string Outcome;
  /// Lines for people.
  std::string Text;
};

/// The report as it is to be printed. Thread-safe, as all functions here.
std::string reportText(const Report &Value, bool IsJson);

/// What became of the change of that id.
Report changeReport(const targets::ChangeResult &Result, const std::string &Id);

/// What the store tells of the change of that id.
Report settleReport(const targets::StoredTargets &Present,
                    const std::string &Id, base::Revision Attempted);

/// Whether the targets are in force, and who hasn't acknowledged since when.
std::string forceText(const targets::ForceStatus &Status);

/// One line a live process.
std::string fleetText(const targets::FleetList &Fleet);

} // namespace bilberry::control

#endif
