#include "bilberry/control/control_options.h"

#include "bilberry/settings/ini_document.h"
#include "bilberry/settings/process_settings.h"
#include "bilberry/settings/section_reader.h"
#include "bilberry/settings/value_parsers.h"

#include <algorithm>
#include <array>
#include <getopt.h>
#include <limits>
#include <utility>
#include <vector>

namespace bilberry::control {

static constexpr char CommandLine[] = "command line";
static constexpr base::Duration MaxWaitTimeout = std::chrono::hours(1);

namespace {

struct CommandSpec {
  Command Kind;
  std::string_view Text;
  // The operand's name in messages; empty if the command takes none.
  std::string_view Operand;
  bool NeedsStore;
};

// The values that getopt_long returns for the long options.
enum OptionNumber : int {
  StoreOption = 1,
  SettingsOption,
  WaitOption,
  OutputOption,
  AuthorOption,
  ChangeIdOption,
  RevisionOption,
  ForceLastDataCentreOption,
  ForceRemovedServiceOption,
  HelpOption,
  VersionOption,
};

// Fills in ControlOptions from the arguments and the settings file.
class ControlOptionReader {
public:
  ControlOptionReader(ControlOptions &Options, base::Findings &Problems)
      : Options(Options), Problems(Problems) {}

  void applyOption(int Number, const std::string &Argument);
  void parseCommand(std::vector<std::string> Arguments);
  void readSettingsFile();

private:
  void addFinding(const std::string &Argument, std::string Message) {
    this->Problems.add({CommandLine, 0, "", Argument}, std::move(Message));
  }
  // The current option's value, or nothing, with a finding, if Parse rejects
  // it.
  template <typename Parser>
  std::optional<settings::ParsedValue<Parser>>
  parseValue(const std::string &Argument, Parser Parse) {
    auto Value = Parse(std::string_view(optarg));
    if (!Value) {
      this->addFinding(Argument, Value.error().Message);
      return std::nullopt;
    }
    return Value.value();
  }
  void parseOutputFormat(const std::string &Argument);
  void parseOperand(const CommandSpec &Spec,
                    const std::vector<std::string> &Operands);

  ControlOptions &Options;
  base::Findings &Problems;
  std::string SettingsPath;
};

} // namespace

static constexpr std::array<CommandSpec, 8> Commands = {{
    {Command::Check, "check", "FILE", false},
    {Command::Show, "show", "", true},
    {Command::Diff, "diff", "FILE", true},
    {Command::Apply, "apply", "FILE", true},
    {Command::DataCentreOut, "data-centre out", "NAME", true},
    {Command::DataCentreIn, "data-centre in", "NAME", true},
    {Command::Status, "status", "", true},
    {Command::Change, "change", "ID", true},
}};

std::string_view commandText(Command Kind) {
  auto It = std::ranges::find(Commands, Kind, &CommandSpec::Kind);
  return It->Text;
}

std::string_view controlHelp() {
  return "usage: bilberryctl [OPTION...] COMMAND\n"
         "commands:\n"
         "  check FILE            check a document of targets\n"
         "  show                  print the current document and its revision\n"
         "  diff FILE             compare the current document with a file\n"
         "  apply FILE            replace the document\n"
         "  data-centre out NAME  take a data centre out of service\n"
         "  data-centre in NAME   put a data centre back in service\n"
         "  status                print the revision in force and the live "
         "processes\n"
         "  change ID             print whether a change was accepted\n"
         "options:\n"
         "  --store IP:PORT       address of the store\n"
         "  --settings FILE       read the store's address from a settings "
         "file\n"
         "  --wait DURATION       wait until the change is in force\n"
         "  --output text|json    output format (text)\n"
         "  --author NAME         author of the change (default: login name)\n"
         "  --change-id ID        id of the change (default: random)\n"
         "  --revision N          apply: the revision that FILE is based on;\n"
         "                        change: the revision that was attempted\n"
         "  --force-last-data-centre  take out the last data centre of a "
         "service\n"
         "  --force-removed-service   remove a service that has live agents\n"
         "  --help, --version     print and exit\n";
}

void ControlOptionReader::parseOutputFormat(const std::string &Argument) {
  std::string_view Format = optarg;
  this->Options.IsJson = Format == "json";
  if (Format != "json" && Format != "text") {
    this->addFinding(Argument,
                     "'" + std::string(Format) + "' is not text or json");
  }
}

void ControlOptionReader::applyOption(int Number, const std::string &Argument) {
  ControlOptions &Parsed = this->Options;
  constexpr uint64_t MaxRevision = std::numeric_limits<uint64_t>::max() - 1;
  switch (Number) {
  case StoreOption:
    Parsed.Store = this->parseValue(Argument, base::parseAddress);
    break;
  case SettingsOption:
    this->SettingsPath = optarg;
    break;
  case WaitOption:
    Parsed.WaitTimeout = this->parseValue(
        Argument,
        settings::durationRangeParser(std::chrono::seconds(0), MaxWaitTimeout));
    break;
  case OutputOption:
    this->parseOutputFormat(Argument);
    break;
  case AuthorOption:
    Parsed.Author = optarg;
    break;
  case ChangeIdOption:
    Parsed.ChangeId =
        this->parseValue(Argument, settings::parseName).value_or("");
    break;
  case RevisionOption:
    Parsed.Revision = this->parseValue(
        Argument, settings::unsignedRangeParser(0, MaxRevision));
    break;
  case ForceLastDataCentreOption:
    Parsed.ForcedKinds.insert(targets::UnsafeKind::LastDataCentre);
    break;
  case ForceRemovedServiceOption:
    Parsed.ForcedKinds.insert(targets::UnsafeKind::RemovedService);
    break;
  case HelpOption:
    Parsed.IsHelp = true;
    break;
  case VersionOption:
    Parsed.IsVersion = true;
    break;
  case ':':
    this->addFinding(Argument, "needs a value");
    break;
  default:
    this->addFinding(Argument, "unknown option");
  }
}

void ControlOptionReader::parseCommand(std::vector<std::string> Arguments) {
  if (Arguments.empty()) {
    this->addFinding("", "no command; see --help");
    return;
  }
  std::string Text = Arguments.front();
  Arguments.erase(Arguments.begin());
  if (Text == "data-centre" && !Arguments.empty()) {
    Text += " " + Arguments.front();
    Arguments.erase(Arguments.begin());
  }
  auto Spec = std::ranges::find(Commands, Text, &CommandSpec::Text);
  if (Spec == Commands.end()) {
    this->addFinding(Text, "unknown command; see --help");
    return;
  }
  this->Options.Kind = Spec->Kind;
  this->parseOperand(*Spec, Arguments);
  if (Spec->NeedsStore && !this->Options.Store && this->SettingsPath.empty()) {
    this->addFinding(Text, "needs --store or --settings");
  }
}

void ControlOptionReader::parseOperand(
    const CommandSpec &Spec, const std::vector<std::string> &Operands) {
  size_t OperandCount = Spec.Operand.empty() ? 0 : 1;
  std::string Text(Spec.Text);
  if (Operands.size() < OperandCount) {
    this->addFinding(Text, std::string(Spec.Operand) + " is missing");
    return;
  }
  for (size_t Index = OperandCount; Index < Operands.size(); ++Index) {
    this->addFinding(Operands[Index], "unexpected argument");
  }
  if (OperandCount == 0) {
    return;
  }
  this->Options.Operand = Operands.front();
  if (Spec.Operand == "NAME" || Spec.Operand == "ID") {
    auto Name = settings::parseName(this->Options.Operand);
    if (!Name) {
      this->addFinding(Text, Name.error().Message);
    }
  }
}

void ControlOptionReader::readSettingsFile() {
  if (this->SettingsPath.empty()) {
    return;
  }
  auto Text = settings::readTextFile(this->SettingsPath);
  if (!Text) {
    this->addFinding("--settings", Text.error().Message);
    return;
  }
  settings::StoreSettings FileSettings = settings::parseStoreSettings(
      Text.value(), this->SettingsPath, this->Problems);
  this->Options.StoreTimeout = FileSettings.Timeout;
  if (!this->Options.Store) {
    this->Options.Store = FileSettings.Address;
  }
}

ControlOptions parseControlOptions(int Argc, char **Argv,
                                   const std::string &Login,
                                   base::Findings &Problems) {
  static constexpr option LongOptions[] = {
      {"store", required_argument, nullptr, StoreOption},
      {"settings", required_argument, nullptr, SettingsOption},
      {"wait", required_argument, nullptr, WaitOption},
      {"output", required_argument, nullptr, OutputOption},
      {"author", required_argument, nullptr, AuthorOption},
      {"change-id", required_argument, nullptr, ChangeIdOption},
      {"revision", required_argument, nullptr, RevisionOption},
      {"force-last-data-centre", no_argument, nullptr,
       ForceLastDataCentreOption},
      {"force-removed-service", no_argument, nullptr,
       ForceRemovedServiceOption},
      {"help", no_argument, nullptr, HelpOption},
      {"version", no_argument, nullptr, VersionOption},
      {nullptr, 0, nullptr, 0},
  };
  ControlOptions Options;
  Options.Author = Login.empty() ? "operator" : Login;
  ControlOptionReader Reader(Options, Problems);
  optind = 0; // Resets glibc's state from an earlier command line.
  opterr = 0; // All findings are reported together.
  std::vector<std::string> Arguments;
  while (true) {
    // '+' stops at each non-option argument; options may follow it.
    int Current = optind == 0 ? 1 : optind;
    int Number = getopt_long(Argc, Argv, "+:", LongOptions, nullptr);
    if (Number != -1) {
      Reader.applyOption(Number, Argv[Current]);
      continue;
    }
    if (optind >= Argc) {
      break;
    }
    Arguments.emplace_back(Argv[optind++]);
  }
  if (Options.IsHelp || Options.IsVersion) {
    return Options;
  }
  Reader.parseCommand(std::move(Arguments));
  Reader.readSettingsFile();
  return Options;
}

} // namespace bilberry::control
