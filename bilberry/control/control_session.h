// Executes one command of bilberryctl against a store.

#ifndef BILBERRY_CONTROL_CONTROL_SESSION_H
#define BILBERRY_CONTROL_CONTROL_SESSION_H

#include "bilberry/control/control_options.h"
#include "bilberry/control/document_file.h"
#include "bilberry/control/report.h"
#include "bilberry/settings/ini_document.h"
#include "bilberry/targets/target_changer.h"

#include <string>
#include <utility>

namespace bilberry::control {

/// The interval at which the processes are listed while a change is not in
/// force.
inline constexpr base::Duration RolloutPollInterval =
    std::chrono::milliseconds(250);

/// Executes commands. Not thread-safe. Store and clock must outlive it.
template <store::Store S, base::Clock C> class ControlSession {
public:
  ControlSession(S &StoreClient, const C &Clock, targets::SleepFunction Sleep)
      : StoreClient(StoreClient), Clock(Clock), Sleep(Sleep),
        Changer(StoreClient, std::move(Sleep)) {}

  /// Executes the command. Blocks until it is done. Preconditions: the options
  /// were parsed without findings, and ChangeId is set for a command that
  /// changes the targets.
  Report run(const ControlOptions &Options) {
    switch (Options.Kind) {
    case Command::Check:
    case Command::Diff:
    case Command::Apply:
      return this->runDocumentCommand(Options);
    case Command::DataCentreOut:
    case Command::DataCentreIn:
      return this->setDataCentre(Options);
    case Command::Show:
    case Command::Status:
    case Command::Change:
      break;
    }
    return this->runStoredTargetsCommand(Options);
  }

private:
  static Report storeFailureReport(const base::Error &Cause) {
    return {ExitCode::StoreUnavailable, "store-unavailable",
            "the targets could not be read from the store: " + Cause.Message +
                "\n"};
  }

  Report runDocumentCommand(const ControlOptions &Options) {
    auto Text = settings::readTextFile(Options.Operand);
    if (!Text) {
      return {ExitCode::BadInput, "bad-input", Text.error().Message + "\n"};
    }
    base::Findings Problems;
    targets::parseTargets(Text.value(), Options.Operand, Problems);
    if (!Problems.empty()) {
      return {ExitCode::BadInput, "bad-input", Problems.text()};
    }
    if (Options.Kind == Command::Check) {
      return {ExitCode::Success, "right", Options.Operand + " is valid\n"};
    }
    if (Options.Kind == Command::Diff) {
      return this->diffDocument(parseDocumentFile(Text.value()).Text);
    }
    DocumentFile File = parseDocumentFile(Text.value());
    // A file without a revision is meant for a store without targets.
    base::Revision ExpectedRevision =
        Options.Revision.value_or(File.Revision.value_or(0));
    return this->reportChange(
        Options, this->Changer.apply(this->makeChangeRequest(Options),
                                     File.Text, ExpectedRevision));
  }

  Report diffDocument(const std::string &Text) {
    auto Current = this->Changer.read();
    if (!Current) {
      return storeFailureReport(Current.error());
    }
    std::string Old = Current.value() ? Current.value()->Text : "";
    return {ExitCode::Success, "difference", targets::lineDiff(Old, Text)};
  }

  Report setDataCentre(const ControlOptions &Options) {
    return this->reportChange(
        Options,
        this->Changer.setDataCentre(this->makeChangeRequest(Options),
                                    base::DataCentreName(Options.Operand),
                                    Options.Kind == Command::DataCentreIn));
  }

  Report runStoredTargetsCommand(const ControlOptions &Options) {
    auto Read = this->Changer.read();
    if (!Read) {
      return storeFailureReport(Read.error());
    }
    targets::StoredTargets Current =
        Read.value().value_or(targets::StoredTargets());
    if (Options.Kind == Command::Change) {
      return changeStateReport(Current, Options.Operand,
                               Options.Revision.value_or(0));
    }
    if (Options.Kind == Command::Show) {
      return {ExitCode::Success, "targets",
              documentFileText(Current.Revision, Current.Text)};
    }
    auto List = this->StoreClient.list(store::MembersPrefix);
    if (!List) {
      return storeFailureReport(List.error());
    }
    targets::FleetList Fleet = targets::readFleet(List.value());
    return {ExitCode::Success, "status",
            rolloutText(this->Tracker.evaluate(Current, Fleet)) +
                fleetText(Fleet)};
  }

  targets::ChangeRequest
  makeChangeRequest(const ControlOptions &Options) const {
    return {Options.ChangeId, Options.Author,
            std::string(commandText(Options.Kind)) + " " + Options.Operand,
            this->Clock.now(), Options.ForcedKinds};
  }

  // Reports the change and, if it is accepted, whether it is in force, after
  // waiting up to Options.WaitTimeout for that.
  Report reportChange(const ControlOptions &Options,
                      const targets::ChangeResult &Result) {
    Report FinalReport = changeReport(Result, Options.ChangeId);
    if (FinalReport.Code != ExitCode::Success) {
      return FinalReport;
    }
    base::TimePoint End =
        this->Clock.now() + Options.WaitTimeout.value_or(base::Duration(0));
    while (true) {
      auto [IsInForce, Text] = this->checkRollout();
      if (IsInForce || this->Clock.now() >= End) {
        FinalReport.Text += Text;
        if (!IsInForce && Options.WaitTimeout) {
          FinalReport.Code = ExitCode::NotInForce;
          FinalReport.Outcome = "not-in-force";
        }
        return FinalReport;
      }
      this->Sleep(RolloutPollInterval);
    }
  }

  // Whether the current targets are in force, and the text to report.
  std::pair<bool, std::string> checkRollout() {
    auto Current = this->Changer.read();
    auto List = this->StoreClient.list(store::MembersPrefix);
    if (!Current || !List || !Current.value()) {
      return {false, "it is not known whether the change is in force: the "
                     "store could not be read\n"};
    }
    targets::RolloutStatus Status = this->Tracker.evaluate(
        *Current.value(), targets::readFleet(List.value()));
    return {Status.isInForce(), rolloutText(Status)};
  }

  S &StoreClient;
  const C &Clock;
  targets::SleepFunction Sleep;
  targets::TargetChanger<S> Changer;
  targets::RolloutTracker Tracker;
};

} // namespace bilberry::control

#endif
