#include "bilberry/settings/packet_settings.h"

#include "bilberry/settings/section_reader.h"
#include "bilberry/settings/value_parsers.h"

#include <array>
#include <charconv>
#include <utility>

namespace bilberry::settings {

using members::MemberRole;

// first-port + 1 must be a valid port too.
static constexpr uint64_t MaxFirstPort = 65534;
static constexpr double MinStopGraceSeconds = 2;
static constexpr double MaxStopGraceSeconds = 3600;
static constexpr uint64_t MinFlowTableSize = 1000;
static constexpr uint64_t MaxFlowTableSize = 10000000;
static constexpr uint64_t MaxColdTolerance = 100000;
static constexpr double MaxColdFactor = 1000;
static constexpr std::array<std::string_view, 7> KnownSections = {
    "process", "listen", "upstream", "placement", "overload", "store", "log"};

static base::Result<uint32_t> parseIp(std::string_view Text) {
  auto Parsed = base::parseAddress(std::string(Text) + ":1");
  if (!Parsed) {
    return base::Error{base::ErrorCode::Malformed,
                       "'" + std::string(Text) + "' is not an IPv4 address"};
  }
  return Parsed.value().Ip;
}

static std::optional<double> parseNumber(std::string_view Text, double Min,
                                         double Max) {
  double Value = 0;
  auto [End, Fault] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  bool IsNumber = Fault == std::errc() && End == Text.data() + Text.size();
  bool IsInRange = IsNumber && Value >= Min && Value <= Max;
  return IsInRange ? std::optional(Value) : std::nullopt;
}

static base::Result<double> parseColdFactor(std::string_view Text) {
  if (std::optional<double> Value = parseNumber(Text, 0, MaxColdFactor)) {
    return *Value;
  }
  return base::Error{base::ErrorCode::OutOfRange,
                     "'" + std::string(Text) +
                         "' is not a number from 0 to 1000"};
}

static base::Result<base::Duration> parseStopGrace(std::string_view Text) {
  std::optional<double> Value =
      parseNumber(Text, MinStopGraceSeconds, MaxStopGraceSeconds);
  if (!Value) {
    return base::Error{base::ErrorCode::OutOfRange,
                       "'" + std::string(Text) +
                           "' is not a number of seconds from 2 to 3600"};
  }
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(*Value));
}

// Returns an empty section if the section is missing, so that each required
// key is reported by name.
static IniSection findOrEmptySection(const IniDocument &Document,
                                     std::string_view Name) {
  const IniSection *Found = Document.find(Name);
  return Found ? *Found : IniSection{std::string(Name), 0, {}};
}

static void readListen(const IniDocument &Document, MemberRole Role,
                       PacketSettings &Value, base::Findings &Problems) {
  IniSection Section = findOrEmptySection(Document, "listen");
  SectionReader Reader(Document.File, Section, Problems);
  Value.Ip = Reader.required("ip", parseIp).value_or(0);
  Value.Callers = Reader.required("callers", parseNonZeroPortAddress)
                      .value_or(base::Address());
  Value.Health = Reader.required("health", parseNonZeroPortAddress)
                     .value_or(base::Address());
  Value.FirstPort = static_cast<uint16_t>(
      Reader.required("first-port", unsignedRangeParser(1, MaxFirstPort))
          .value_or(0));
  if (Role == MemberRole::Agent) {
    Value.Heartbeats = Reader.required("heartbeats", parseNonZeroPortAddress)
                           .value_or(base::Address());
    Value.FromUpstream =
        Reader.required("from-upstream", parseNonZeroPortAddress)
            .value_or(base::Address());
  } else {
    Reader.forbid("heartbeats", "is for agents");
    Reader.forbid("from-upstream", "is for agents");
  }
  Reader.reportUnknownKeys();
}

static void readUpstream(const IniDocument &Document, PacketSettings &Value,
                         base::Findings &Problems) {
  IniSection Section = findOrEmptySection(Document, "upstream");
  SectionReader Reader(Document.File, Section, Problems);
  Value.Upstream = Reader.required("address", parseNonZeroPortAddress)
                       .value_or(base::Address());
  Value.Service =
      base::ServiceName(Reader.required("service", parseName).value_or(""));
  Value.Cold.Factor = Reader.optional("cold-factor", parseColdFactor)
                          .value_or(Value.Cold.Factor);
  Value.Cold.Tolerance = static_cast<uint32_t>(
      Reader
          .optional("cold-tolerance", unsignedRangeParser(0, MaxColdTolerance))
          .value_or(Value.Cold.Tolerance));
  Value.DampsFlapping =
      Reader.optional("flap-damping", parseYesNo).value_or(Value.DampsFlapping);
  Reader.reportUnknownKeys();
}

static base::Result<routing::PlacementPolicy>
parsePlacementPolicy(std::string_view Text) {
  if (Text == "least-loaded") {
    return routing::PlacementPolicy::LeastLoaded;
  }
  if (Text == "even") {
    return routing::PlacementPolicy::Even;
  }
  return base::Error{base::ErrorCode::Malformed,
                     "'" + std::string(Text) + "' is not least-loaded or even"};
}

static void readPlacement(const IniDocument &Document, PacketSettings &Value,
                          base::Findings &Problems) {
  IniSection Section = findOrEmptySection(Document, "placement");
  SectionReader Reader(Document.File, Section, Problems);
  Value.Placement.Policy = Reader.optional("policy", parsePlacementPolicy)
                               .value_or(Value.Placement.Policy);
  Value.Placement.WeighsByServiceTime =
      Reader.optional("weigh-by-service-time", parseYesNo)
          .value_or(Value.Placement.WeighsByServiceTime);
  Reader.reportUnknownKeys();
}

static void readOverload(const IniDocument &Document, MemberRole Role,
                         PacketSettings &Value, base::Findings &Problems) {
  IniSection Section = findOrEmptySection(Document, "overload");
  SectionReader Reader(Document.File, Section, Problems);
  admission::OverloadOptions &Options = Value.Overload;
  if (Role == MemberRole::Agent) {
    Options.ReservesByPriority =
        Reader.optional("reserve-by-priority", parseYesNo)
            .value_or(Options.ReservesByPriority);
    Reader.forbid("refuse-early", "is for balancers");
    Reader.forbid("callers-take-turns", "is for balancers");
  } else {
    Options.RefusesEarly = Reader.optional("refuse-early", parseYesNo)
                               .value_or(Options.RefusesEarly);
    Options.CallersTakeTurns = Reader.optional("callers-take-turns", parseYesNo)
                                   .value_or(Options.CallersTakeTurns);
    Reader.forbid("reserve-by-priority", "is for agents");
  }
  Reader.reportUnknownKeys();
}

PacketSettings parsePacketSettings(std::string_view Text,
                                   const std::string &File, MemberRole Role,
                                   base::Findings &Problems) {
  IniDocument Document = parseIni(Text, File, Problems);
  PacketSettings Value;
  IniSection Process = findOrEmptySection(Document, "process");
  SectionReader Reader(Document.File, Process, Problems);
  Value.Name =
      base::MemberName(Reader.required("name", parseName).value_or(""));
  Value.DataCentre = base::DataCentreName(
      Reader.required("data-centre", parseName).value_or(""));
  Value.StopGrace =
      Reader.optional("stop-grace", parseStopGrace).value_or(Value.StopGrace);
  if (Role == MemberRole::Balancer) {
    Value.MaxFlows =
        Reader
            .optional("max-flows",
                      unsignedRangeParser(MinFlowTableSize, MaxFlowTableSize))
            .value_or(Value.MaxFlows);
  } else {
    Reader.forbid("max-flows", "is for balancers");
  }
  Reader.reportUnknownKeys();
  readListen(Document, Role, Value, Problems);
  if (Role == MemberRole::Agent) {
    readUpstream(Document, Value, Problems);
  } else if (const IniSection *Found = Document.find("upstream")) {
    Problems.add({Document.File, Found->Line, Found->Name, ""},
                 "is for agents; a balancer has no upstream");
  }
  if (Role == MemberRole::Balancer) {
    readPlacement(Document, Value, Problems);
  } else if (const IniSection *Found = Document.find("placement")) {
    Problems.add({Document.File, Found->Line, Found->Name, ""},
                 "is for balancers");
  }
  readOverload(Document, Role, Value, Problems);
  Value.Store = readStoreSection(Document, Problems);
  Value.Log = readLogSection(Document, Problems);
  checkSections(Document, KnownSections, Problems);
  return Value;
}

PacketSettings loadPacketSettings(const std::string &Path, MemberRole Role,
                                  base::Findings &Problems) {
  auto Text = readTextFile(Path);
  if (!Text) {
    Problems.add({Path, 0, "", ""}, Text.error().Message);
    return {};
  }
  return parsePacketSettings(Text.value(), Path, Role, Problems);
}

} // namespace bilberry::settings
