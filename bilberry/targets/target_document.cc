#include "bilberry/targets/target_document.h"

#include "bilberry/settings/ini_document.h"
#include "bilberry/settings/section_reader.h"
#include "bilberry/settings/value_parsers.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace bilberry::targets {

using settings::durationRangeParser;
using settings::IniDocument;
using settings::IniEntry;
using settings::IniSection;
using settings::SectionReader;
using settings::unsignedRangeParser;

static constexpr std::string_view ServiceSection = "service";
static constexpr std::string_view ClassSection = "class";
static constexpr std::string_view DataCentreSection = "data-centre";
static constexpr std::string_view InServiceKey = "in-service";

static constexpr uint64_t MaxSlots = 65536;
static constexpr uint64_t MaxConnections = 1000000;
static constexpr uint64_t MaxCompletionsPerSlot = 100000;
static constexpr base::Duration MinTime = std::chrono::milliseconds(1);
static constexpr base::Duration MaxRequestTime = std::chrono::hours(1);
static constexpr base::Duration MaxFlowTime = std::chrono::hours(168);

// The document is stored in one value of the store, which is limited to a
// megabyte; JSON escaping can lengthen it, and the value also holds the
// recorded changes.
static constexpr size_t MaxDocumentBytes = size_t{512} << 10;

namespace {

// The kind and the name in a section title, for example "service rounds".
struct SectionTitle {
  std::string_view Kind;
  std::string_view Name;
};

// Reads the targets from the sections of a document.
class TargetDocumentReader {
public:
  TargetDocumentReader(const IniDocument &Document, base::Findings &Problems)
      : Document(Document), Problems(Problems) {}

  Targets read();

private:
  void readSection(const IniSection &Section);
  void readService(const IniSection &Section, const std::string &Name);
  void readClass(const IniSection &Section, const std::string &Name);
  void readDataCentre(const IniSection &Section, const std::string &Name);
  void checkServices();

  const IniDocument &Document;
  base::Findings &Problems;
  Targets Result;
};

} // namespace

static SectionTitle splitTitle(std::string_view Title) {
  size_t Space = std::min(Title.find(' '), Title.size());
  return {Title.substr(0, Space),
          Title.substr(std::min(Space + 1, Title.size()))};
}

static std::string joinTitle(std::string_view Kind, const std::string &Name) {
  return std::string(Kind) + " " + Name;
}

static base::Result<WorkKind> parseKind(std::string_view Text) {
  if (Text == "stream") {
    return WorkKind::Stream;
  }
  if (Text == "upload") {
    return WorkKind::Upload;
  }
  if (Text == "request") {
    return WorkKind::Request;
  }
  return base::Error{base::ErrorCode::Malformed,
                     "'" + std::string(Text) +
                         "' is not stream, upload or request"};
}

Targets TargetDocumentReader::read() {
  for (const IniSection &Section : this->Document.Sections) {
    this->readSection(Section);
  }
  this->checkServices();
  return std::move(this->Result);
}

void TargetDocumentReader::readSection(const IniSection &Section) {
  SectionTitle Title = splitTitle(Section.Name);
  bool IsService = Title.Kind == ServiceSection;
  bool IsClass = Title.Kind == ClassSection;
  if (!IsService && !IsClass && Title.Kind != DataCentreSection) {
    this->Problems.add({this->Document.File, Section.Line, Section.Name, ""},
                       "unknown section; known are [service NAME], "
                       "[class NAME] and [data-centre NAME]");
    return;
  }
  auto Name = settings::parseName(Title.Name);
  if (!Name) {
    this->Problems.add({this->Document.File, Section.Line, Section.Name, ""},
                       Name.error().Message);
  }
  // A section with an invalid name is also read, to report its other findings.
  std::string Key = Name ? Name.value() : std::string(Title.Name);
  if (IsService) {
    this->readService(Section, Key);
  } else if (IsClass) {
    this->readClass(Section, Key);
  } else {
    this->readDataCentre(Section, Key);
  }
}

static uint32_t readCount(SectionReader &Reader, std::string_view Key,
                          uint64_t Max) {
  auto Value = Reader.required(Key, unsignedRangeParser(1, Max));
  return static_cast<uint32_t>(Value.value_or(0));
}

// A count of 0 has already been reported.
static void checkColdLimit(SectionReader &Reader, std::string_view Key,
                           uint32_t Cold, std::string_view LimitKey,
                           uint32_t Limit) {
  if (Limit > 0 && Cold > Limit) {
    Reader.report(Key, std::to_string(Cold) + " is above " +
                           std::string(LimitKey) + " = " +
                           std::to_string(Limit));
  }
}

void TargetDocumentReader::readService(const IniSection &Section,
                                       const std::string &Name) {
  SectionReader Reader(this->Document.File, Section, this->Problems);
  UpstreamCapacity Capacity;
  Capacity.Slots = readCount(Reader, "slots", MaxSlots);
  Capacity.Connections = readCount(Reader, "connections", MaxConnections);
  Capacity.ColdSlots = readCount(Reader, "cold-slots", MaxSlots);
  Capacity.ColdConnections =
      readCount(Reader, "cold-connections", MaxConnections);
  Capacity.CompletionsPerSlot =
      readCount(Reader, "completions-per-slot", MaxCompletionsPerSlot);
  Capacity.LatencyBound =
      Reader
          .required("latency-bound",
                    durationRangeParser(MinTime, MaxRequestTime))
          .value_or(base::Duration(0));
  checkColdLimit(Reader, "cold-slots", Capacity.ColdSlots, "slots",
                 Capacity.Slots);
  checkColdLimit(Reader, "cold-connections", Capacity.ColdConnections,
                 "connections", Capacity.Connections);
  Reader.reportUnknownKeys();
  this->Result.Services.emplace(Name, Capacity);
}

static void readRequestKeys(SectionReader &Reader, WorkClass &Class) {
  Class.Deadline =
      Reader.required("deadline", durationRangeParser(MinTime, MaxRequestTime))
          .value_or(base::Duration(0));
  Class.Idempotent =
      Reader.required("idempotent", settings::parseYesNo).value_or(false);
  Reader.forbid("longest-flow",
                "applies to streams and uploads; a request has a "
                "deadline");
}

static void readFlowKeys(SectionReader &Reader, WorkClass &Class) {
  Class.MaxFlowDuration =
      Reader.required("longest-flow", durationRangeParser(MinTime, MaxFlowTime))
          .value_or(base::Duration(0));
  Reader.forbid("deadline", "applies to requests; a flow has a longest-flow");
  Reader.forbid("idempotent", "applies to requests");
}

void TargetDocumentReader::readClass(const IniSection &Section,
                                     const std::string &Name) {
  SectionReader Reader(this->Document.File, Section, this->Problems);
  WorkClass Class;
  Class.Name = base::ClassName(Name);
  Class.Service = base::ServiceName(
      Reader.required("service", settings::parseName).value_or(""));
  auto Kind = Reader.required("kind", parseKind);
  if (Kind) {
    Class.Kind = *Kind;
    if (*Kind == WorkKind::Request) {
      readRequestKeys(Reader, Class);
    } else {
      readFlowKeys(Reader, Class);
    }
  } else {
    // The kind is invalid, so none of the three keys is reported as unknown.
    auto AnyText = [](std::string_view Text) {
      return base::Result<std::string>(std::string(Text));
    };
    Reader.optional("deadline", AnyText);
    Reader.optional("idempotent", AnyText);
    Reader.optional("longest-flow", AnyText);
  }
  Reader.reportUnknownKeys();
  this->Result.Classes.emplace(Class.Name, Class);
}

void TargetDocumentReader::readDataCentre(const IniSection &Section,
                                          const std::string &Name) {
  SectionReader Reader(this->Document.File, Section, this->Problems);
  bool InService =
      Reader.required(InServiceKey, settings::parseYesNo).value_or(true);
  Reader.reportUnknownKeys();
  this->Result.DataCentres.emplace(Name, InService);
}

void TargetDocumentReader::checkServices() {
  for (const IniSection &Section : this->Document.Sections) {
    const IniEntry *Entry = Section.find("service");
    if (splitTitle(Section.Name).Kind != ClassSection || !Entry ||
        !settings::parseName(Entry->Value) ||
        this->Result.Services.contains(base::ServiceName(Entry->Value))) {
      continue;
    }
    SectionReader(this->Document.File, Section, this->Problems)
        .report("service", "there is no [service " + Entry->Value + "]");
  }
  // An empty document would remove every class; it is more likely the wrong
  // file.
  if (this->Result.Services.empty()) {
    this->Problems.add({this->Document.File, 0, "", ""},
                       "there is no [service NAME]");
  }
}

// The store holds the document inside JSON, which allows only UTF-8.
static bool isUtf8(std::string_view Text) {
  using nlohmann::json;
  std::string Dumped =
      json(std::string(Text))
          .dump(-1, ' ', false, json::error_handler_t::replace);
  return json::parse(Dumped).get<std::string>() == Text;
}

static void checkUtf8(std::string_view Text, const std::string &File,
                      base::Findings &Problems) {
  int Line = 0;
  for (std::string_view Raw : settings::splitLines(Text)) {
    ++Line;
    if (!isUtf8(Raw)) {
      Problems.add({File, Line, "", ""}, "the line is not UTF-8");
    }
  }
}

Targets parseTargets(std::string_view Text, const std::string &File,
                     base::Findings &Problems) {
  if (Text.size() > MaxDocumentBytes) {
    Problems.add({File, 0, "", ""}, "the document has " +
                                        std::to_string(Text.size()) +
                                        " bytes; the limit is " +
                                        std::to_string(MaxDocumentBytes));
    return {};
  }
  checkUtf8(Text, File, Problems);
  IniDocument Document = settings::parseIni(Text, File, Problems);
  return TargetDocumentReader(Document, Problems).read();
}

// The offset of an entry's value in its line.
static size_t valueOffset(std::string_view Line, const IniEntry &Entry) {
  size_t After = Line.find_first_of("=:") + 1;
  return Entry.Value.empty() ? After : Line.find(Entry.Value, After);
}

static std::string withNewSection(std::string_view Text,
                                  const std::string &Title,
                                  const std::string &NewEntry) {
  std::string Changed(Text);
  if (!Changed.empty() && !Changed.ends_with('\n')) {
    Changed += '\n';
  }
  return Changed + "\n[" + Title + "]\n" + NewEntry + "\n";
}

std::string withDataCentreState(std::string_view Text,
                                const base::DataCentreName &Name,
                                bool InService) {
  base::Findings Ignored;
  IniDocument Document = settings::parseIni(Text, "", Ignored);
  std::string Title = joinTitle(DataCentreSection, Name.text());
  std::string Value = InService ? "yes" : "no";
  std::string NewEntry = std::string(InServiceKey) + " = " + Value;
  const IniSection *Section = Document.find(Title);
  if (!Section) {
    return withNewSection(Text, Title, NewEntry);
  }
  std::vector<std::string_view> Lines = settings::splitLines(Text);
  auto LineAt = [&Lines](int Number) {
    return Lines[static_cast<size_t>(Number) - 1];
  };
  std::string Changed(Text);
  const IniEntry *Entry = Section->find(InServiceKey);
  std::string_view Line = LineAt(Entry ? Entry->Line : Section->Line);
  auto Offset = static_cast<size_t>(Line.data() - Text.data());
  if (Entry) {
    Offset += valueOffset(Line, *Entry);
    return Changed.replace(Offset, Entry->Value.size(), Value);
  }
  std::string LineEnd = Line.ends_with('\r') ? "\r" : "";
  return Changed.insert(Offset + Line.size(), "\n" + NewEntry + LineEnd);
}

} // namespace bilberry::targets
