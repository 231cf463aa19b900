#include "bilberry/settings/daemon_options.h"

#include "bilberry/base/error.h"
#include "bilberry/settings/version.h"

#include <getopt.h>
#include <string>
#include <string_view>

namespace bilberry::settings {

namespace {

struct CommandLineOptions {
  std::string SettingsPath;
  bool IsCheckOnly = false;
  bool IsHelpRequested = false;
  bool IsVersionRequested = false;
};

} // namespace

static constexpr char CommandLineSource[] = "command line";

static std::string_view programName(members::MemberRole Role) {
  return Role == members::MemberRole::Agent ? "bilberry-agent"
                                            : "bilberry-balancer";
}

static void printHelp(std::string_view Program, std::ostream &Out) {
  Out << "usage: " << Program << " --settings FILE [--check]\n"
      << "  --settings FILE  the INI file with this process's settings\n"
      << "  --check          validate the settings and exit\n"
      << "  --help           print this and exit\n"
      << "  --version        print the version and exit\n";
}

static void applyOption(int Option, const std::string &Argument,
                        CommandLineOptions &Options, base::Findings &Problems) {
  switch (Option) {
  case 's':
    Options.SettingsPath = optarg;
    break;
  case 'c':
    Options.IsCheckOnly = true;
    break;
  case 'h':
    Options.IsHelpRequested = true;
    break;
  case 'v':
    Options.IsVersionRequested = true;
    break;
  case ':':
    Problems.add({CommandLineSource, 0, "", Argument}, "needs a value");
    break;
  default:
    Problems.add({CommandLineSource, 0, "", Argument}, "unknown option");
  }
}

static CommandLineOptions parseCommandLine(int Argc, char **Argv,
                                           base::Findings &Problems) {
  static constexpr option LongOptions[] = {
      {"settings", required_argument, nullptr, 's'},
      {"check", no_argument, nullptr, 'c'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'v'},
      {nullptr, 0, nullptr, 0},
  };
  CommandLineOptions Options;
  optind = 0; // Resets glibc's state from an earlier command line.
  opterr = 0; // All findings are reported together.
  while (true) {
    int ArgumentIndex = optind == 0 ? 1 : optind;
    int Option = getopt_long(Argc, Argv, "+:", LongOptions, nullptr);
    if (Option == -1) {
      break;
    }
    applyOption(Option, Argv[ArgumentIndex], Options, Problems);
  }
  for (int Index = optind; Index < Argc; ++Index) {
    Problems.add({CommandLineSource, 0, "", Argv[Index]},
                 "unexpected argument");
  }
  if (Options.SettingsPath.empty() && !Options.IsHelpRequested &&
      !Options.IsVersionRequested) {
    Problems.add({CommandLineSource, 0, "", "--settings"}, "is missing");
  }
  return Options;
}

std::optional<ExitNow> parseProgramOptions(int Argc, char **Argv,
                                           std::string_view Program,
                                           const SettingsLoader &Load,
                                           std::ostream &Out,
                                           std::ostream &Err) {
  base::Findings Problems;
  CommandLineOptions Options = parseCommandLine(Argc, Argv, Problems);
  if (Options.IsHelpRequested) {
    printHelp(Program, Out);
    return ExitNow{ExitSuccess};
  }
  if (Options.IsVersionRequested) {
    Out << Program << " " << Version << "\n";
    return ExitNow{ExitSuccess};
  }
  if (!Options.SettingsPath.empty()) {
    Load(Options.SettingsPath, Problems);
  }
  if (!Problems.empty()) {
    Err << Problems.text();
    return ExitNow{ExitBadInput};
  }
  if (Options.IsCheckOnly) {
    Out << Options.SettingsPath << ": settings are valid\n";
    return ExitNow{ExitSuccess};
  }
  return std::nullopt;
}

DaemonOptionsResult parseDaemonOptions(int Argc, char **Argv,
                                       members::MemberRole Role,
                                       std::ostream &Out, std::ostream &Err) {
  ProcessSettings Settings;
  std::optional<ExitNow> Exit = parseProgramOptions(
      Argc, Argv, programName(Role),
      [&](const std::string &Path, base::Findings &Problems) {
        Settings = loadProcessSettings(Path, Role, Problems);
      },
      Out, Err);
  if (Exit) {
    return *Exit;
  }
  return Settings;
}

} // namespace bilberry::settings
