#include "bilberry/control/report.h"

#include "bilberry/base/address.h"

#include <ctime>
#include <nlohmann/json.hpp>
#include <variant>

namespace bilberry::control {

using targets::OutdatedProcess;

// A time in UTC, for example 2024-01-31T12:00:00Z.
static std::string timeText(base::TimePoint At) {
  std::time_t Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(At.time_since_epoch())
          .count();
  std::tm Parts = {};
  gmtime_r(&Seconds, &Parts);
  char Buffer[32] = {};
  size_t Length =
      std::strftime(Buffer, sizeof(Buffer), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return {Buffer, Length};
}

std::string reportText(const Report &Result, bool IsJson) {
  if (!IsJson) {
    return Result.Text;
  }
  nlohmann::json Object = {{"outcome", Result.Outcome},
                           {"exit-code", static_cast<int>(Result.Code)},
                           {"text", Result.Text}};
  return Object.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

static std::string changeQueryHint(const std::string &Id,
                                   base::Revision AttemptedRevision) {
  return "to check the outcome: bilberryctl change " + Id + " --revision " +
         std::to_string(AttemptedRevision) + "\n";
}

namespace {

// Makes the report for each kind of change result.
struct ChangeReporter {
  const std::string &Id;

  Report operator()(const targets::Accepted &Change) const {
    std::string Text =
        "accepted as revision " + std::to_string(Change.Revision) + "\n";
    for (const std::string &Risk : Change.UncheckedRisks) {
      Text += "not checked: " + Risk + "\n";
    }
    return {ExitCode::Success, "accepted", Text};
  }
  Report operator()(const targets::NoChangeNeeded &Unchanged) const {
    return {ExitCode::Success, "already-so",
            "nothing to change: revision " +
                std::to_string(Unchanged.Revision) +
                " already has these targets\n"};
  }
  Report operator()(const targets::RevisionConflict &Conflict) const {
    std::string Text = "not accepted: the change is based on revision " +
                       std::to_string(Conflict.ExpectedRevision) +
                       ", but revision " + std::to_string(Conflict.Current) +
                       " is in the store\n";
    for (const targets::ChangeRecord &Record : Conflict.ChangesSince) {
      Text += "revision " + std::to_string(Record.Revision) + " by " +
              Record.Author + " at " + timeText(Record.At) + ": " +
              Record.Summary + "\n";
    }
    return {ExitCode::Refused, "lost-race",
            Text + "difference from the current document (-) to yours (+):\n" +
                Conflict.Difference};
  }
  Report operator()(const targets::RefusedUnsafe &Refused) const {
    std::string Text = "not accepted: unsafe\n";
    for (const targets::UnsafeChange &Reason : Refused.Reasons) {
      Text += Reason.Reason + " (override with --force-" +
              std::string(targets::unsafeKindText(Reason.Kind)) + ")\n";
    }
    return {ExitCode::Refused, "unsafe", Text};
  }
  Report operator()(const targets::BadInput &Invalid) const {
    return {ExitCode::BadInput, "bad-input",
            "not accepted:\n" + Invalid.Problems.text()};
  }
  Report operator()(const targets::OutcomeUnknown &Unknown) const {
    return {
        ExitCode::Unknown, "unknown",
        "outcome unknown; the change may have been accepted: " + Unknown.Cause +
            "\n" + changeQueryHint(this->Id, Unknown.AttemptedRevision)};
  }
  Report operator()(const targets::StoreFailed &Failed) const {
    bool IsRace = Failed.Cause.Code == base::ErrorCode::Conflict;
    return {IsRace ? ExitCode::Refused : ExitCode::StoreUnavailable,
            IsRace ? "lost-race" : "store-unavailable",
            "not accepted: " + Failed.Cause.Message + "\n"};
  }
};

} // namespace

Report changeReport(const targets::ChangeResult &Result,
                    const std::string &Id) {
  return std::visit(ChangeReporter{Id}, Result);
}

Report changeStateReport(const targets::StoredTargets &Current,
                         const std::string &Id,
                         base::Revision AttemptedRevision) {
  std::string CurrentRevision = std::to_string(Current.Revision);
  switch (targets::resolveChangeState(Current, Id, AttemptedRevision)) {
  case targets::ChangeState::Accepted: {
    base::Revision Revision = targets::findChange(Current, Id)->Revision;
    return {ExitCode::Success, "accepted",
            "accepted as revision " + std::to_string(Revision) + "\n"};
  }
  case targets::ChangeState::NotAccepted:
    return {
        ExitCode::Refused, "not-accepted",
        "not accepted, and can no longer be: another change took revision " +
            std::to_string(AttemptedRevision) + "\n"};
  case targets::ChangeState::NotSeen:
    return {ExitCode::Unknown, "not-seen",
            "not accepted up to revision " + CurrentRevision +
                "; a write in progress could still be accepted\n"};
  case targets::ChangeState::BeyondHistory:
    break;
  }
  return {ExitCode::Unknown, "forgotten",
          "outcome unknown: the stored changes do not go back to revision " +
              std::to_string(AttemptedRevision) + "\n"};
}

static std::string outdatedProcessText(const OutdatedProcess &Process,
                                       const char *Prefix) {
  return std::string(Prefix) + Process.Member.Name.text() + ": has revision " +
         std::to_string(Process.Member.Applied) + ", outdated since " +
         timeText(Process.Since) +
         (Process.MayLackOlderRevisions ? " or earlier" : "") + "\n";
}

std::string rolloutText(const targets::RolloutStatus &Status) {
  std::string Text = "revision " + std::to_string(Status.CurrentRevision);
  std::string LiveCount =
      std::to_string(Status.LiveCount) + " live processes\n";
  Text += Status.isInForce() ? " is in force at all " + LiveCount
                             : " is not in force yet; " + LiveCount;
  for (const OutdatedProcess &Process : Status.OutdatedProcesses) {
    Text += outdatedProcessText(Process, "not acknowledged: ");
  }
  for (const OutdatedProcess &Process : Status.ExpiredProcesses) {
    Text += outdatedProcessText(Process, "lease expired: ");
  }
  for (const std::string &Key : Status.UnreadableKeys) {
    Text += "unreadable announcement: " + Key + "\n";
  }
  return Text;
}

std::string fleetText(const targets::FleetList &Fleet) {
  std::string Text;
  for (const members::Member &Member : Fleet.Members) {
    Text += Member.Name.text() + " " +
            std::string(members::roleText(Member.Role)) + " " +
            std::string(members::stateText(Member.State)) + " " +
            Member.DataCentre.text() + " " +
            (Member.Service.empty() ? "-" : Member.Service.text()) +
            " revision " + std::to_string(Member.Applied) + "\n";
  }
  return Text;
}

} // namespace bilberry::control
