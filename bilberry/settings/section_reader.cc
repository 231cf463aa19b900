#include "bilberry/settings/section_reader.h"

namespace bilberry::settings {

void SectionReader::forbid(std::string_view Key, std::string Reason) {
  this->KnownKeys.emplace(Key);
  if (this->Section.find(Key)) {
    this->report(Key, std::move(Reason));
  }
}

void SectionReader::report(std::string_view Key, std::string Message) {
  const IniEntry *Entry = this->Section.find(Key);
  int Line = Entry ? Entry->Line : this->Section.Line;
  this->Problems.add({this->File, Line, this->Section.Name, std::string(Key)},
                     std::move(Message));
}

void SectionReader::reportUnknownKeys() {
  for (const IniEntry &Entry : this->Section.Entries) {
    if (!this->KnownKeys.contains(Entry.Key)) {
      this->report(Entry.Key, "unknown key");
    }
  }
}

} // namespace bilberry::settings
