#include "bilberry/settings/process_settings.h"

#include "bilberry/settings/ini_document.h"
#include "bilberry/settings/section_reader.h"
#include "bilberry/settings/value_parsers.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bilberry::settings {

using members::MemberRole;

static constexpr uint64_t MaxWorkers = 16;
static constexpr uint64_t MinCacheFlows = 1000;
static constexpr uint64_t MaxCacheFlows = 10000000;
static constexpr base::Duration MinStoreTimeout = std::chrono::milliseconds(10);
static constexpr base::Duration MaxStoreTimeout = std::chrono::minutes(1);

static constexpr std::array<std::string_view, 5> KnownSections = {
    "process", "store", "upstream", "peers", "log"};
// In the order of the enumerators of log::Level and log::Layout.
static constexpr std::array<std::string_view, 4> LogLevels = {"debug", "info",
                                                              "warn", "error"};
static constexpr std::array<std::string_view, 2> LogLayouts = {"text", "json"};

// Returns a parser that accepts one of Keywords. The enumerator is the index of
// the keyword in the list.
template <typename Value, size_t Count>
static auto keywordParser(const std::array<std::string_view, Count> &Keywords) {
  return [&Keywords](std::string_view Text) -> base::Result<Value> {
    auto Match = std::ranges::find(Keywords, Text);
    if (Match != Keywords.end()) {
      return static_cast<Value>(Match - Keywords.begin());
    }
    std::string Message = "'" + std::string(Text) + "' is not one of";
    for (std::string_view Known : Keywords) {
      Message += " " + std::string(Known);
    }
    return base::Error{base::ErrorCode::Malformed, std::move(Message)};
  };
}

base::Result<base::Address> parseNonZeroPortAddress(std::string_view Text) {
  auto Parsed = base::parseAddress(Text);
  if (Parsed && Parsed.value().Port == 0) {
    return base::Error{base::ErrorCode::OutOfRange, "the port must not be 0"};
  }
  return Parsed;
}

namespace {

// Reads the settings section by section. A missing section is read as an empty
// one, so that each required key is reported by name.
class ProcessSettingsReader {
public:
  ProcessSettingsReader(const IniDocument &Document, MemberRole Role,
                        base::Findings &Problems)
      : Document(Document), Role(Role), Problems(Problems) {}

  ProcessSettings read();

private:
  IniSection findOrEmptySection(std::string_view Name) const;
  void readProcess();
  void readStore();
  void readUpstream();
  void readPeers();
  void readLog();

  const IniDocument &Document;
  MemberRole Role;
  base::Findings &Problems;
  ProcessSettings Result;
};

} // namespace

ProcessSettings ProcessSettingsReader::read() {
  this->readProcess();
  this->readStore();
  this->readUpstream();
  this->readPeers();
  this->readLog();
  checkSections(this->Document, KnownSections, this->Problems);
  return std::move(this->Result);
}

IniSection
ProcessSettingsReader::findOrEmptySection(std::string_view Name) const {
  const IniSection *Found = this->Document.find(Name);
  return Found ? *Found : IniSection{std::string(Name), 0, {}};
}

void ProcessSettingsReader::readProcess() {
  IniSection Section = this->findOrEmptySection("process");
  SectionReader Reader(this->Document.File, Section, this->Problems);
  ProcessSettings &Value = this->Result;
  Value.Name =
      base::MemberName(Reader.required("name", parseName).value_or(""));
  Value.DataCentre = base::DataCentreName(
      Reader.required("data-centre", parseName).value_or(""));
  Value.Data = Reader.required("data", parseNonZeroPortAddress)
                   .value_or(base::Address());
  Value.Control = Reader.required("control", parseNonZeroPortAddress)
                      .value_or(base::Address());
  Value.Metrics = Reader.optional("metrics", parseNonZeroPortAddress);
  Value.Workers = static_cast<unsigned>(
      Reader.optional("workers", unsignedRangeParser(1, MaxWorkers))
          .value_or(Value.Workers));
  if (this->Role == MemberRole::Agent) {
    Value.Service =
        base::ServiceName(Reader.required("service", parseName).value_or(""));
    Reader.forbid("cache-flows", "is for balancers");
  } else {
    auto CacheRange = unsignedRangeParser(MinCacheFlows, MaxCacheFlows);
    Value.CacheFlows =
        Reader.optional("cache-flows", CacheRange).value_or(Value.CacheFlows);
    Reader.forbid("service", "is for agents; a balancer serves all services");
  }
  Reader.reportUnknownKeys();
}

StoreSettings readStoreSection(const IniDocument &Document,
                               base::Findings &Problems) {
  const IniSection *Found = Document.find("store");
  IniSection Section = Found ? *Found : IniSection{"store", 0, {}};
  SectionReader Reader(Document.File, Section, Problems);
  StoreSettings Value;
  Value.Address = Reader.required("address", parseNonZeroPortAddress)
                      .value_or(base::Address());
  Value.Timeout = Reader
                      .optional("timeout", durationRangeParser(MinStoreTimeout,
                                                               MaxStoreTimeout))
                      .value_or(Value.Timeout);
  Reader.reportUnknownKeys();
  return Value;
}

void ProcessSettingsReader::readStore() {
  StoreSettings Value = readStoreSection(this->Document, this->Problems);
  this->Result.Store = Value.Address;
  this->Result.StoreTimeout = Value.Timeout;
}

void ProcessSettingsReader::readUpstream() {
  if (this->Role == MemberRole::Agent) {
    IniSection Section = this->findOrEmptySection("upstream");
    SectionReader Reader(this->Document.File, Section, this->Problems);
    this->Result.Upstream = Reader.required("address", parseNonZeroPortAddress)
                                .value_or(base::Address());
    Reader.reportUnknownKeys();
  } else if (const IniSection *Found = this->Document.find("upstream")) {
    this->Problems.add({this->Document.File, Found->Line, Found->Name, ""},
                       "is for agents; a balancer has no upstream");
  }
}

void ProcessSettingsReader::readPeers() {
  IniSection Section = this->findOrEmptySection("peers");
  SectionReader Reader(this->Document.File, Section, this->Problems);
  this->Result.Seeds = Reader.optional("seeds", parseAddresses)
                           .value_or(std::vector<base::Address>());
  Reader.reportUnknownKeys();
}

LogSettings readLogSection(const IniDocument &Document,
                           base::Findings &Problems) {
  const IniSection *Found = Document.find("log");
  IniSection Section = Found ? *Found : IniSection{"log", 0, {}};
  SectionReader Reader(Document.File, Section, Problems);
  LogSettings Value;
  Value.Level = Reader.optional("level", keywordParser<log::Level>(LogLevels))
                    .value_or(Value.Level);
  Value.Layout =
      Reader.optional("layout", keywordParser<log::Layout>(LogLayouts))
          .value_or(Value.Layout);
  Reader.reportUnknownKeys();
  return Value;
}

void ProcessSettingsReader::readLog() {
  LogSettings Value = readLogSection(this->Document, this->Problems);
  this->Result.LogLevel = Value.Level;
  this->Result.LogLayout = Value.Layout;
}

void checkSections(const IniDocument &Document,
                   std::span<const std::string_view> Known,
                   base::Findings &Problems) {
  for (const IniSection &Section : Document.Sections) {
    if (std::ranges::find(Known, Section.Name) == Known.end()) {
      Problems.add({Document.File, Section.Line, Section.Name, ""},
                   "unknown section");
    }
  }
}

ProcessSettings parseProcessSettings(std::string_view Text,
                                     const std::string &File, MemberRole Role,
                                     base::Findings &Problems) {
  IniDocument Document = parseIni(Text, File, Problems);
  return ProcessSettingsReader(Document, Role, Problems).read();
}

StoreSettings parseStoreSettings(std::string_view Text, const std::string &File,
                                 base::Findings &Problems) {
  IniDocument Document = parseIni(Text, File, Problems);
  return readStoreSection(Document, Problems);
}

ProcessSettings loadProcessSettings(const std::string &Path, MemberRole Role,
                                    base::Findings &Problems) {
  auto Text = readTextFile(Path);
  if (!Text) {
    Problems.add({Path, 0, "", ""}, Text.error().Message);
    return {};
  }
  return parseProcessSettings(Text.value(), Path, Role, Problems);
}

} // namespace bilberry::settings
