// Command line shared by the daemons. A daemon starts only if its options and
// its settings are valid; all errors in either are printed together.

#ifndef BILBERRY_SETTINGS_DAEMON_OPTIONS_H
#define BILBERRY_SETTINGS_DAEMON_OPTIONS_H

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

/// The process must exit with this code. All output has been printed.
struct ExitNow {
  int Code = ExitSuccess;
};

/// Result of the command line: the settings to start with, or an exit code.
using DaemonOptionsResult = std::variant<ProcessSettings, ExitNow>;

/// Loads the settings file at Path and adds its errors to Problems.
using SettingsLoader =
    std::function<void(const std::string &Path, base::Findings &Problems)>;

/// Parses `--settings FILE`, `--check`, `--help` and `--version` for the named
/// program and calls Load for the settings file. Returns an empty optional if
/// the program is to start. Output and precondition as in parseDaemonOptions.
std::optional<ExitNow> parseProgramOptions(int Argc, char **Argv,
                                           std::string_view Program,
                                           const SettingsLoader &Load,
                                           std::ostream &Out,
                                           std::ostream &Err);

/// Parses `--settings FILE`, `--check`, `--help` and `--version`, and reads the
/// settings file. Prints help and the version to Out, findings to Err.
/// Precondition: called from one thread only, because getopt_long has global
/// state.
DaemonOptionsResult parseDaemonOptions(int Argc, char **Argv,
                                       members::MemberRole Role,
                                       std::ostream &Out, std::ostream &Err);

} // namespace bilberry::settings

#endif
