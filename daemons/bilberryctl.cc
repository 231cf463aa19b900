// bilberryctl: changes the targets and reports whether they are in force.

#include "bilberry/control/control_session.h"
#include "bilberry/settings/version.h"
#include "bilberry/store/etcd_store.h"

#include <iostream>
#include <pwd.h>
#include <random>
#include <thread>
#include <unistd.h>

using namespace bilberry;

static std::string loginName() {
  const passwd *Entry = getpwuid(getuid());
  return Entry ? Entry->pw_name : "";
}

static std::string generateChangeId() {
  constexpr char Digits[] = "0123456789abcdef";
  constexpr int Length = 16;
  std::random_device Generator;
  std::string Id;
  for (int Index = 0; Index < Length; ++Index) {
    Id += Digits[Generator() % 16];
  }
  return Id;
}

static bool isChange(control::Command Kind) {
  return Kind == control::Command::Apply ||
         Kind == control::Command::DataCentreOut ||
         Kind == control::Command::DataCentreIn;
}

int main(int Argc, char **Argv) {
  base::Findings OptionErrors;
  control::ControlOptions Options =
      control::parseControlOptions(Argc, Argv, loginName(), OptionErrors);
  if (!OptionErrors.empty()) {
    std::cerr << OptionErrors.text();
    return static_cast<int>(control::ExitCode::BadInput);
  }
  if (Options.IsHelp || Options.IsVersion) {
    std::cout << (Options.IsHelp
                      ? std::string(control::controlHelp())
                      : std::string("bilberryctl ") + settings::Version + "\n");
    return static_cast<int>(control::ExitCode::Success);
  }
  if (isChange(Options.Kind)) {
    if (Options.ChangeId.empty()) {
      Options.ChangeId = generateChangeId();
    }
    // Printed before the write, so that the user has it even if the write
    // fails or is interrupted.
    std::cerr << "change id: " << Options.ChangeId << std::endl;
  }
  store::EtcdStore Store(Options.Store.value_or(base::Address()),
                         Options.StoreTimeout);
  base::SteadyClock Clock;
  control::ControlSession Session(Store, Clock, [](base::Duration Time) {
    std::this_thread::sleep_for(Time);
  });
  control::Report Result = Session.run(Options);
  std::cout << control::reportText(Result, Options.IsJson);
  return static_cast<int>(Result.Code);
}
