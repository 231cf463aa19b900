#include "bilberry/settings/options.h"

#include "bilberry/base/error.h"
#include "bilberry/settings/version.h"

#include <getopt.h>
#include <string>
#include <string_view>

namespace bilberry::settings {

namespace {

struct DaemonOptions {
  std::string SettingsPath;
  bool IsCheck = false;
  bool IsHelp = false;
  bool IsVersion = false;
};

} // namespace

static constexpr char CommandLine[] = "command line";

static std::string_view programName(members::MemberRole Role) {
  return Role == members::MemberRole::Agent ? "bilberry-agent"
                                            : "bilberry-balancer";
}

static void printHelp(std::string_view Program, std::ostream &Out) {
  Out << "usage: " << Program << " --settings FILE [--check]\n"
      << "  --settings FILE  the INI file with this process's settings\n"
      << "  --check          check the settings and start nothing\n"
      << "  --help           print this and exit\n"
      << "  --version        print the version and exit\n";
}

static void takeOption(int Option, const std::string &Word,
                       DaemonOptions &Options, base::Findings &Problems) {
  switch (Option) {
  case 's':
    Options.SettingsPath = optarg;
    break;
  case 'c':
    Options.IsCheck = true;
    break;
  case 'h':
    Options.IsHelp = true;
    break;
  case 'v':
    Options.IsVersion = true;
    break;
  case ':':
    Problems.add({CommandLine, 0, "", Word}, "needs a value");
    break;
  default:
    Problems.add({CommandLine, 0, "", Word}, "unknown option");
  }
}

static DaemonOptions readOptions(int Argc, char **Argv,
                                 base::Findings &Problems) {
  static constexpr option LongOptions[] = {
      {"settings", required_argument, nullptr, 's'},
      {"check", no_argument, nullptr, 'c'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'v'},
      {nullptr, 0, nullptr, 0},
  };
  DaemonOptions Options;
  optind = 0; // Makes glibc forget an earlier command line.
  opterr = 0; // We report all findings together.
  while (true) {
    int Current = optind == 0 ? 1 : optind;
    int Option = getopt_long(Argc, Argv, "+:", LongOptions, nullptr);
    if (Option == -1) {
      break;
    }
    takeOption(Option, Argv[Current], Options, Problems);
  }
  for (int Index = optind; Index < Argc; ++Index) {
    Problems.add({CommandLine, 0, "", Argv[Index]}, "unexpected argument");
  }
  if (Options.SettingsPath.empty() && !Options.IsHelp && !Options.IsVersion) {
    Problems.add({CommandLine, 0, "", "--settings"}, "is missing");
  }
  return Options;
}

std::optional<ExitNow> parseProgramOptions(int Argc, char **Argv,
                                           std::string_view Program,
                                           const SettingsLoader &Load,
                                           std::ostream &Out,
                                           std::ostream &Err) {
  base::Findings Problems;
  DaemonOptions Options = readOptions(Argc, Argv, Problems);
  if (Options.IsHelp) {
    printHelp(Program, Out);
    return ExitNow{ExitSuccess};
  }
  if (Options.IsVersion) {
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
  if (Options.IsCheck) {
    Out << Options.SettingsPath << ": the settings are right\n";
    return ExitNow{ExitSuccess};
  }
  return std::nullopt;
}

DaemonStart parseDaemonOptions(int Argc, char **Argv, members::MemberRole Role,
                               std::ostream &Out, std::ostream &Err) {
  ProcessSettings Settings;
  std::optional<ExitNow> End = parseProgramOptions(
      Argc, Argv, programName(Role),
      [&](const std::string &Path, base::Findings &Problems) {
        Settings = loadProcessSettings(Path, Role, Problems);
      },
      Out, Err);
  if (End) {
    return *End;
  }
  return Settings;
}

} // namespace bilberry::settings
