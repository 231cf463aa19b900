#include "bilberry/control/control_options.h"

#include "bilberry/settings/ini_document.h"
#include "bilberry/settings/process_settings.h"
#include "bilberry/settings/section_reader.h"
#include "bilberry/settings/values.h"

#include <algorithm>
#include <array>
#include <getopt.h>
#include <limits>
#include <utility>
#include <vector>

namespace bilberry::control {

static constexpr char CommandLine[] = "command line";
static constexpr base::Duration MaxWait = std::chrono::hours(1);

namespace {

struct CommandShape {
  Command Kind;
  std::string_view Text;
  // What the operand is called in messages; empty where there is none.
  std::string_view Operand;
  bool NeedsStore;
};

// getopt_long's numbers of the options.
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

class ControlOptionReader {
public:
  ControlOptionReader(ControlOptions &Options, base::Findings &Problems)
      : Options(Options), Problems(Problems) {}

  void takeOption(int Number, const std::string &Word);
  void takeWords(std::vector<std::string> Words);
  void readSettings();

private:
  void report(const std::string &Word, std::string Message) {
    this->Problems.add({CommandLine, 0, "", Word}, std::move(Message));
  }
  // The option's value, or nothing where Parse refuses it.
  template <typename Parser>
  std::optional<settings::ParsedValue<Parser>> value(const std::string &Word,
                                                     Parser Parse) {
    auto Value = Parse(std::string_view(optarg));
    if (!Value) {
      this->report(Word, Value.error().Message);
      return std::nullopt;
    }
    return Value.value();
  }
  void takeOutput(const std::string &Word);
  void takeOperand(const CommandShape &Shape,
                   const std::vector<std::string> &Rest);

  ControlOptions &Options;
  base::Findings &Problems;
  std::string SettingsPath;
};

} // namespace

static constexpr std::array<CommandShape, 8> Commands = {{
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
  auto It = std::ranges::find(Commands, Kind, &CommandShape::Kind);
  return It->Text;
}

std::string_view controlHelp() {
  return "usage: bilberryctl [OPTION...] COMMAND\n"
         "commands:\n"
         "  check FILE            check a document of targets\n"
         "  show                  print the present document and its revision\n"
         "  diff FILE             compare the present document with a file\n"
         "  apply FILE            replace the document\n"
         "  data-centre out NAME  take a data centre out of service\n"
         "  data-centre in NAME   bring it back\n"
         "  status                what is in force, and the processes\n"
         "  change ID             whether a change was accepted\n"
         "options:\n"
         "  --store IP:PORT       the store\n"
         "  --settings FILE       take the store's address from a settings "
         "file\n"
         "  --wait DURATION       wait until the change is in force\n"
         "  --output text|json    how to report\n"
         "  --author NAME         who makes the change (the login name)\n"
         "  --change-id ID        the change's id (drawn at random)\n"
         "  --revision N          apply: the revision that FILE was made "
         "from;\n"
         "                        change: the revision that was attempted\n"
         "  --force-last-data-centre  take out the last data centre of a "
         "service\n"
         "  --force-removed-service   remove a service that still has agents\n"
         "  --help, --version     print and exit\n";
}

void ControlOptionReader::takeOutput(const std::string &Word) {
  std::string_view Layout = optarg;
  this->Options.IsJson = Layout == "json";
  if (Layout != "json" && Layout != "text") {
    this->report(Word,
                 "'" + std::string(Layout) + "' is neither text nor json");
  }
}

void ControlOptionReader::takeOption(int Number, const std::string &Word) {
  ControlOptions &Taken = this->Options;
  constexpr uint64_t MaxRevision = std::numeric_limits<uint64_t>::max() - 1;
  switch (Number) {
  case StoreOption:
    Taken.Store = this->value(Word, base::parseAddress);
    break;
  case SettingsOption:
    this->SettingsPath = optarg;
    break;
  case WaitOption:
    Taken.Wait = this->value(
        Word, settings::durationBetween(std::chrono::seconds(0), MaxWait));
    break;
  case OutputOption:
    this->takeOutput(Word);
    break;
  case AuthorOption:
    Taken.Author = optarg;
    break;
  case ChangeIdOption:
    Taken.ChangeId = this->value(Word, settings::parseName).value_or("");
    break;
  case RevisionOption:
    Taken.Revision =
        this->value(Word, settings::unsignedBetween(0, MaxRevision));
    break;
  case ForceLastDataCentreOption:
    Taken.Forced.insert(targets::UnsafeKind::LastDataCentre);
    break;
  case ForceRemovedServiceOption:
    Taken.Forced.insert(targets::UnsafeKind::RemovedService);
    break;
  case HelpOption:
    Taken.IsHelp = true;
    break;
  case VersionOption:
    Taken.IsVersion = true;
    break;
  case ':':
    this->report(Word, "needs a value");
    break;
  default:
    this->report(Word, "unknown option");
  }
}

void ControlOptionReader::takeWords(std::vector<std::string> Words) {
  if (Words.empty()) {
    this->report("", "no command; see --help");
    return;
  }
  std::string Text = Words.front();
  Words.erase(Words.begin());
  if (Text == "data-centre" && !Words.empty()) {
    Text += " " + Words.front();
    Words.erase(Words.begin());
  }
  auto Shape = std::ranges::find(Commands, Text, &CommandShape::Text);
  if (Shape == Commands.end()) {
    this->report(Text, "unknown command; see --help");
    return;
  }
  this->Options.Kind = Shape->Kind;
  this->takeOperand(*Shape, Words);
  if (Shape->NeedsStore && !this->Options.Store && this->SettingsPath.empty()) {
    this->report(Text, "needs --store or --settings");
  }
}

void ControlOptionReader::takeOperand(const CommandShape &Shape,
                                      const std::vector<std::string> &Rest) {
  size_t Expected = Shape.Operand.empty() ? 0 : 1;
  std::string Text(Shape.Text);
  if (Rest.size() < Expected) {
    this->report(Text, std::string(Shape.Operand) + " is missing");
    return;
  }
  for (size_t Index = Expected; Index < Rest.size(); ++Index) {
    this->report(Rest[Index], "unexpected argument");
  }
  if (Expected == 0) {
    return;
  }
  this->Options.Operand = Rest.front();
  if (Shape.Operand == "NAME" || Shape.Operand == "ID") {
    auto Name = settings::parseName(this->Options.Operand);
    if (!Name) {
      this->report(Text, Name.error().Message);
    }
  }
}

void ControlOptionReader::readSettings() {
  if (this->SettingsPath.empty()) {
    return;
  }
  auto Text = settings::readTextFile(this->SettingsPath);
  if (!Text) {
    this->report("--settings", Text.error().Message);
    return;
  }
  settings::StoreSettings Found = settings::parseStoreSettings(
      Text.value(), this->SettingsPath, this->Problems);
  this->Options.StoreTimeout = Found.Timeout;
  if (!this->Options.Store) {
    this->Options.Store = Found.Address;
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
  optind = 0; // Makes glibc forget an earlier command line.
  opterr = 0; // We report all findings together.
  std::vector<std::string> Words;
  while (true) {
    // '+' stops at each word that is no option; options may follow it.
    int Current = optind == 0 ? 1 : optind;
    int Number = getopt_long(Argc, Argv, "+:", LongOptions, nullptr);
    if (Number != -1) {
      Reader.takeOption(Number, Argv[Current]);
      continue;
    }
    if (optind >= Argc) {
      break;
    }
    Words.emplace_back(Argv[optind++]);
  }
  if (Options.IsHelp || Options.IsVersion) {
    return Options;
  }
  Reader.takeWords(std::move(Words));
  Reader.readSettings();
  return Options;
}

} // namespace bilberry::control
