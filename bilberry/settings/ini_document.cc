#include "bilberry/settings/ini_document.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <iterator>
#include <optional>
#include <utility>

namespace bilberry::settings {

static constexpr std::string_view WhitespaceChars = " \t\r";

const IniEntry *IniSection::find(std::string_view Key) const {
  auto It = std::ranges::find(this->Entries, Key, &IniEntry::Key);
  return It == this->Entries.end() ? nullptr : &*It;
}

const IniSection *IniDocument::find(std::string_view Name) const {
  auto It = std::ranges::find(this->Sections, Name, &IniSection::Name);
  return It == this->Sections.end() ? nullptr : &*It;
}

std::vector<std::string_view> splitLines(std::string_view Text) {
  std::vector<std::string_view> Lines;
  while (!Text.empty()) {
    size_t End = std::min(Text.find('\n'), Text.size());
    Lines.push_back(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Lines;
}

static std::string_view trimWhitespace(std::string_view Text) {
  size_t Begin = Text.find_first_not_of(WhitespaceChars);
  if (Begin == std::string_view::npos) {
    return {};
  }
  return Text.substr(Begin, Text.find_last_not_of(WhitespaceChars) - Begin + 1);
}

static bool isControlCharacter(char Byte) {
  auto Value = static_cast<unsigned char>(Byte);
  return (Value < 0x20 && Byte != '\t') || Value == 0x7f;
}

namespace {

// State of one line while inih parses it.
struct InihLineState {
  std::string_view Line;
  // The longest line that fits inih's buffer.
  size_t MaxLineBytes = 0;
  bool IsTooLong = false;
  bool IsConsumed = false;
  std::optional<IniEntry> Entry;
};

} // namespace

// Reader callback for inih with the contract of fgets: returns the line, then
// null for the end of the stream.
static char *supplyLineToInih(char *Buffer, int Size, void *Stream) {
  auto &Parse = *static_cast<InihLineState *>(Stream);
  if (Parse.IsConsumed) {
    return nullptr;
  }
  Parse.IsConsumed = true;
  Parse.MaxLineBytes = static_cast<size_t>(Size) - 1;
  if (Parse.Line.size() > Parse.MaxLineBytes) {
    Parse.IsTooLong = true;
    return nullptr;
  }
  std::memcpy(Buffer, Parse.Line.data(), Parse.Line.size());
  Buffer[Parse.Line.size()] = '\0';
  return Buffer;
}

// Handler callback for inih, called for each `key = value`. Nonzero is success.
static int storeParsedEntry(void *User, const char * /*Section*/,
                            const char *Name, const char *Value) {
  static_cast<InihLineState *>(User)->Entry = IniEntry{Name, Value, 0};
  return 1;
}

namespace {

// Builds a document from its lines.
class IniDocumentBuilder {
public:
  IniDocumentBuilder(IniDocument &Document, base::Findings &Problems)
      : Document(Document), Problems(Problems) {}

  void addLine(std::string_view RawLine, int Line);

private:
  void addSection(std::string_view Text, int Line);
  void addEntry(IniEntry Entry);
  void report(int Line, const std::string &Key, std::string Message);

  IniDocument &Document;
  base::Findings &Problems;
};

} // namespace

void IniDocumentBuilder::report(int Line, const std::string &Key,
                                std::string Message) {
  std::string Section = this->Document.Sections.empty()
                            ? ""
                            : this->Document.Sections.back().Name;
  this->Problems.add({this->Document.File, Line, std::move(Section), Key},
                     std::move(Message));
}

void IniDocumentBuilder::addLine(std::string_view RawLine, int Line) {
  std::string_view Text = trimWhitespace(RawLine);
  if (Text.empty()) {
    return;
  }
  if (std::ranges::any_of(Text, isControlCharacter)) {
    this->report(Line, "", "line contains a control character");
    return;
  }
  InihLineState Parse;
  Parse.Line = Text;
  int Code =
      ini_parse_stream(supplyLineToInih, &Parse, storeParsedEntry, &Parse);
  if (Parse.IsTooLong) {
    this->report(Line, "",
                 "line is " + std::to_string(Text.size()) +
                     " bytes long; the maximum is " +
                     std::to_string(Parse.MaxLineBytes));
    return;
  }
  if (Code != 0) {
    this->report(Line, "",
                 Text.front() == '[' ? "section name has no closing ']'"
                                     : "expected [SECTION] or KEY = VALUE");
    return;
  }
  if (Parse.Entry) {
    Parse.Entry->Line = Line;
    this->addEntry(std::move(*Parse.Entry));
    return;
  }
  if (Text.front() == '[') {
    this->addSection(Text, Line);
  }
}

// Precondition: inih has accepted Text as a section.
void IniDocumentBuilder::addSection(std::string_view Text, int Line) {
  size_t Close = Text.find(']');
  std::string Name(trimWhitespace(Text.substr(1, Close - 1)));
  std::string_view Rest = trimWhitespace(Text.substr(Close + 1));
  const IniSection *Earlier = this->Document.find(Name);
  std::string DuplicateMessage =
      Earlier ? "duplicate section; first defined on line " +
                    std::to_string(Earlier->Line)
              : "";
  this->Document.Sections.push_back({Name, Line, {}});
  if (Name.empty()) {
    this->report(Line, "", "section name is empty");
  }
  if (Earlier) {
    this->report(Line, "", std::move(DuplicateMessage));
  }
  if (!Rest.empty() && Rest.front() != ';' && Rest.front() != '#') {
    this->report(Line, "", "unexpected text after the section name");
  }
}

void IniDocumentBuilder::addEntry(IniEntry Entry) {
  if (Entry.Key.empty()) {
    this->report(Entry.Line, "", "missing key before '='");
    return;
  }
  if (this->Document.Sections.empty()) {
    this->report(Entry.Line, Entry.Key, "appears before the first section");
    return;
  }
  IniSection &Section = this->Document.Sections.back();
  if (const IniEntry *Earlier = Section.find(Entry.Key)) {
    this->report(Entry.Line, Entry.Key,
                 "duplicate key; first defined on line " +
                     std::to_string(Earlier->Line));
    return;
  }
  Section.Entries.push_back(std::move(Entry));
}

IniDocument parseIni(std::string_view Text, const std::string &File,
                     base::Findings &Problems) {
  IniDocument Document;
  Document.File = File;
  IniDocumentBuilder Builder(Document, Problems);
  int Line = 0;
  for (std::string_view RawLine : splitLines(Text)) {
    ++Line;
    Builder.addLine(RawLine, Line);
  }
  return Document;
}

base::Result<std::string> readTextFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File) {
    auto Code =
        errno == ENOENT ? base::ErrorCode::NotFound : base::ErrorCode::System;
    return base::Error{Code, "can't open " + Path + ": " + strerror(errno)};
  }
  std::string Text(MaxFileBytes + 1, '\0');
  File.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  if (File.bad()) {
    return base::Error{base::ErrorCode::System, "can't read " + Path};
  }
  Text.resize(static_cast<size_t>(File.gcount()));
  if (Text.size() > MaxFileBytes) {
    return base::Error{base::ErrorCode::OutOfRange,
                       Path + " is larger than " +
                           std::to_string(MaxFileBytes) + " bytes"};
  }
  return Text;
}

} // namespace bilberry::settings
