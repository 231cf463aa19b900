// Carries out one command of bilberryctl against a store.

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

/// How often the processes are listed while a change isn't in force.
inline constexpr base::Duration ForcePollInterval =
    std::chrono::milliseconds(250);

/// For one thread. Store and clock must outlive it.
template <store::Store S, base::Clock C> class ControlSession {
public:
  ControlSession(S &Source, const C &Clock, targets::Pause Wait)
      : Source(Source), Clock(Clock), Wait(Wait),
        Changer(Source, std::move(Wait)) {}

  /// Runs the command. Precondition: the options have no findings, and
  /// ChangeId is set for a command that changes something.
  Report run(const ControlOptions &Options) {
    switch (Options.Kind) {
    case Command::Check:
    case Command::Diff:
    case Command::Apply:
      return this->withFile(Options);
    case Command::DataCentreOut:
    case Command::DataCentreIn:
      return this->setDataCentre(Options);
    case Command::Show:
    case Command::Status:
    case Command::Change:
      break;
    }
    return this->withPresent(Options);
  }

private:
  static Report failed(const base::Error &Cause) {
    return {ExitCode::StoreUnavailable, "store-unavailable",
            "the store's answer is of no use: " + Cause.Message + "\n"};
  }

  Report withFile(const ControlOptions &Options) {
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
      return {ExitCode::Success, "right", Options.Operand + " is right\n"};
    }
    if (Options.Kind == Command::Diff) {
      return this->diff(splitDocument(Text.value()).Text);
    }
    DocumentFile File = splitDocument(Text.value());
    // A file that names no revision was made for a store without targets.
    base::Revision Expected =
        Options.Revision.value_or(File.Revision.value_or(0));
    return this->finish(Options, this->Changer.apply(this->request(Options),
                                                     File.Text, Expected));
  }

  Report diff(const std::string &Text) {
    auto Present = this->Changer.read();
    if (!Present) {
      return failed(Present.error());
    }
    std::string Old = Present.value() ? Present.value()->Text : "";
    return {ExitCode::Success, "difference", targets::lineDiff(Old, Text)};
  }

  Report setDataCentre(const ControlOptions &Options) {
    return this->finish(Options, this->Changer.setDataCentre(
                                     this->request(Options),
                                     base::DataCentreName(Options.Operand),
                                     Options.Kind == Command::DataCentreIn));
  }

  Report withPresent(const ControlOptions &Options) {
    auto Read = this->Changer.read();
    if (!Read) {
      return failed(Read.error());
    }
    targets::StoredTargets Present =
        Read.value().value_or(targets::StoredTargets());
    if (Options.Kind == Command::Change) {
      return settleReport(Present, Options.Operand,
                          Options.Revision.value_or(0));
    }
    if (Options.Kind == Command::Show) {
      return {ExitCode::Success, "targets",
              documentWithRevision(Present.Revision, Present.Text)};
    }
    auto List = this->Source.list(store::MembersPrefix);
    if (!List) {
      return failed(List.error());
    }
    targets::FleetList Fleet = targets::readFleet(List.value());
    return {ExitCode::Success, "status",
            forceText(this->Tracker.judge(Present, Fleet)) + fleetText(Fleet)};
  }

  targets::ChangeRequest request(const ControlOptions &Options) const {
    return {Options.ChangeId, Options.Author,
            std::string(commandText(Options.Kind)) + " " + Options.Operand,
            this->Clock.now(), Options.Forced};
  }

  // Reports the change and, where it stands, whether it is in force.
  Report finish(const ControlOptions &Options,
                const targets::ChangeResult &Result) {
    Report Value = changeReport(Result, Options.ChangeId);
    if (Value.Code != ExitCode::Success) {
      return Value;
    }
    base::TimePoint End =
        this->Clock.now() + Options.Wait.value_or(base::Duration(0));
    while (true) {
      auto [IsInForce, Text] = this->forceNow();
      if (IsInForce || this->Clock.now() >= End) {
        Value.Text += Text;
        if (!IsInForce && Options.Wait) {
          Value.Code = ExitCode::NotInForce;
          Value.Outcome = "not-in-force";
        }
        return Value;
      }
      this->Wait(ForcePollInterval);
    }
  }

  std::pair<bool, std::string> forceNow() {
    auto Present = this->Changer.read();
    auto List = this->Source.list(store::MembersPrefix);
    if (!Present || !List || !Present.value()) {
      return {false, "whether it is in force isn't known: the store doesn't "
                     "answer\n"};
    }
    targets::ForceStatus Status =
        this->Tracker.judge(*Present.value(), targets::readFleet(List.value()));
    return {Status.inForce(), forceText(Status)};
  }

  S &Source;
  const C &Clock;
  targets::Pause Wait;
  targets::TargetChanger<S> Changer;
  targets::ForceTracker Tracker;
};

} // namespace bilberry::control

#endif
