// The command line that both daemons share. A daemon starts only where its
// options and its settings are right as a whole; all that is wrong with either
// is printed at once.

#ifndef BILBERRY_SETTINGS_OPTIONS_H
#define BILBERRY_SETTINGS_OPTIONS_H

#include "bilberry/members/member.h"
#include "bilberry/settings/process_settings.h"

#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>

namespace bilberry::settings {

/// Exit codes of the daemons.
inline constexpr int ExitSuccess = 0;
inline constexpr int ExitFailure = 1;
inline constexpr int ExitBadInput = 2;

/// The process is to end at once with this code; all is printed.
struct ExitNow {
  int Code = ExitSuccess;
};

/// What the command line asks for.
using DaemonStart = std::variant<ProcessSettings, ExitNow>;

/// Reads the settings at Path, and adds what is wrong with them.
using SettingsLoader =
    std::function<void(const std::string &Path, base::Findings &Problems)>;

/// Reads `--settings FILE`, `--check`, `--help` and `--version` of the program
/// of that name, and has the settings loaded. Empty where the program is to
/// start. Otherwise as parseDaemonOptions.
std::optional<ExitNow> parseProgramOptions(int Argc, char **Argv,
                                           std::string_view Program,
                                           const SettingsLoader &Load,
                                           std::ostream &Out,
                                           std::ostream &Err);

/// Reads `--settings FILE`, `--check`, `--help` and `--version`, and the
/// settings file. Prints help and the version to Out, findings to Err.
/// Precondition: called from one thread only, since getopt_long keeps state.
DaemonStart parseDaemonOptions(int Argc, char **Argv, members::MemberRole Role,
                               std::ostream &Out, std::ostream &Err);

} // namespace bilberry::settings

#endif
