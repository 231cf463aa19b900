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

static constexpr std::string_view Blanks = " \t\r";

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

static std::string_view withoutBlanks(std::string_view Text) {
  size_t Begin = Text.find_first_not_of(Blanks);
  if (Begin == std::string_view::npos) {
    return {};
  }
  return Text.substr(Begin, Text.find_last_not_of(Blanks) - Begin + 1);
}

static bool isControl(char Byte) {
  auto Value = static_cast<unsigned char>(Byte);
  return (Value < 0x20 && Byte != '\t') || Value == 0x7f;
}

namespace {

// One line on its way through inih.
struct LineParse {
  std::string_view Line;
  // The longest line that inih's buffer holds.
  size_t Limit = 0;
  bool IsTooLong = false;
  bool IsRead = false;
  std::optional<IniEntry> Entry;
};

} // namespace

// inih's reader, in the manner of fgets: one line, then the end.
static char *readLine(char *Buffer, int Size, void *Stream) {
  auto &Parse = *static_cast<LineParse *>(Stream);
  if (Parse.IsRead) {
    return nullptr;
  }
  Parse.IsRead = true;
  Parse.Limit = static_cast<size_t>(Size) - 1;
  if (Parse.Line.size() > Parse.Limit) {
    Parse.IsTooLong = true;
    return nullptr;
  }
  std::memcpy(Buffer, Parse.Line.data(), Parse.Line.size());
  Buffer[Parse.Line.size()] = '\0';
  return Buffer;
}

// Called by inih for a line that is an entry.
static int takeEntry(void *User, const char * /*Section*/, const char *Name,
                     const char *Value) {
  static_cast<LineParse *>(User)->Entry = IniEntry{Name, Value, 0};
  return 1;
}

namespace {

// Puts lines together into a document.
class IniBuilder {
public:
  IniBuilder(IniDocument &Document, base::Findings &Problems)
      : Document(Document), Problems(Problems) {}

  void addLine(std::string_view Raw, int Line);

private:
  void addSection(std::string_view Text, int Line);
  void addEntry(IniEntry Entry);
  void report(int Line, const std::string &Key, std::string Message);

  IniDocument &Document;
  base::Findings &Problems;
};

} // namespace

void IniBuilder::report(int Line, const std::string &Key, std::string Message) {
  std::string Section = this->Document.Sections.empty()
                            ? ""
                            : this->Document.Sections.back().Name;
  this->Problems.add({this->Document.File, Line, std::move(Section), Key},
                     std::move(Message));
}

void IniBuilder::addLine(std::string_view Raw, int Line) {
  std::string_view Text = withoutBlanks(Raw);
  if (Text.empty()) {
    return;
  }
  if (std::ranges::any_of(Text, isControl)) {
    this->report(Line, "", "the line holds a control character");
    return;
  }
  LineParse Parse;
  Parse.Line = Text;
  int Code = ini_parse_stream(readLine, &Parse, takeEntry, &Parse);
  if (Parse.IsTooLong) {
    this->report(Line, "",
                 "the line has " + std::to_string(Text.size()) +
                     " bytes; the longest that can be read has " +
                     std::to_string(Parse.Limit));
    return;
  }
  if (Code != 0) {
    this->report(Line, "",
                 Text.front() == '[' ? "the section's name has no closing ']'"
                                     : "neither [SECTION] nor KEY = VALUE");
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
void IniBuilder::addSection(std::string_view Text, int Line) {
  size_t Close = Text.find(']');
  std::string Name(withoutBlanks(Text.substr(1, Close - 1)));
  std::string_view Rest = withoutBlanks(Text.substr(Close + 1));
  const IniSection *Earlier = this->Document.find(Name);
  std::string Repeated = Earlier ? "the section stands already on line " +
                                       std::to_string(Earlier->Line)
                                 : "";
  this->Document.Sections.push_back({Name, Line, {}});
  if (Name.empty()) {
    this->report(Line, "", "the section has no name");
  }
  if (Earlier) {
    this->report(Line, "", std::move(Repeated));
  }
  if (!Rest.empty() && Rest.front() != ';' && Rest.front() != '#') {
    this->report(Line, "", "text after the section's name");
  }
}

void IniBuilder::addEntry(IniEntry Entry) {
  if (Entry.Key.empty()) {
    this->report(Entry.Line, "", "no key before the '='");
    return;
  }
  if (this->Document.Sections.empty()) {
    this->report(Entry.Line, Entry.Key, "stands before the first section");
    return;
  }
  IniSection &Section = this->Document.Sections.back();
  if (const IniEntry *Earlier = Section.find(Entry.Key)) {
    this->report(Entry.Line, Entry.Key,
                 "stands already on line " + std::to_string(Earlier->Line));
    return;
  }
  Section.Entries.push_back(std::move(Entry));
}

IniDocument parseIni(std::string_view Text, const std::string &File,
                     base::Findings &Problems) {
  IniDocument Document;
  Document.File = File;
  IniBuilder Builder(Document, Problems);
  int Line = 0;
  for (std::string_view Raw : splitLines(Text)) {
    ++Line;
    Builder.addLine(Raw, Line);
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
