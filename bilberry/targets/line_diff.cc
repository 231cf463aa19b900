#include "bilberry/targets/line_diff.h"

#include "bilberry/settings/ini_document.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace bilberry::targets {

using Lines = std::span<const std::string_view>;

// Limits the memory of the subsequence table to 16 MiB (4 bytes for each pair
// of lines). Above this, the diff is not worth the memory.
static constexpr size_t MaxLinePairs = size_t{1} << 22;

namespace {

// Writes the differing lines, with a header before each hunk.
class DiffWriter {
public:
  void keepLine() {
    ++this->LineNumber;
    this->IsInHunk = false;
  }
  void removeLine(std::string_view Text) {
    this->write("- ", Text);
    ++this->LineNumber;
  }
  void addLine(std::string_view Text) { this->write("+ ", Text); }

  std::string takeResult() { return std::move(this->Result); }

private:
  void write(const char *Prefix, std::string_view Text) {
    if (!this->IsInHunk) {
      this->Result += "@ line " + std::to_string(this->LineNumber) + "\n";
      this->IsInHunk = true;
    }
    this->Result += Prefix;
    this->Result += Text;
    this->Result += '\n';
  }

  std::string Result;
  size_t LineNumber = 1;
  bool IsInHunk = false;
};

// Holds, for each pair of suffixes, the length of their longest common
// subsequence.
class CommonSubsequenceTable {
public:
  CommonSubsequenceTable(Lines Before, Lines After)
      : Width(After.size() + 1), Table((Before.size() + 1) * this->Width) {
    for (size_t I = Before.size(); I-- > 0;) {
      for (size_t J = After.size(); J-- > 0;) {
        this->Table[I * this->Width + J] =
            Before[I] == After[J]
                ? this->at(I + 1, J + 1) + 1
                : std::max(this->at(I + 1, J), this->at(I, J + 1));
      }
    }
  }

  // The length for the suffixes that begin at Before[I] and After[J].
  uint32_t at(size_t I, size_t J) const {
    return this->Table[I * this->Width + J];
  }

private:
  size_t Width;
  std::vector<uint32_t> Table;
};

} // namespace

static void writeDifference(Lines Before, Lines After, DiffWriter &Writer) {
  size_t I = 0;
  size_t J = 0;
  if (Before.size() * After.size() <= MaxLinePairs) {
    CommonSubsequenceTable Common(Before, After);
    while (I < Before.size() && J < After.size()) {
      if (Before[I] == After[J]) {
        Writer.keepLine();
        ++I;
        ++J;
      } else if (Common.at(I + 1, J) >= Common.at(I, J + 1)) {
        Writer.removeLine(Before[I++]);
      } else {
        Writer.addLine(After[J++]);
      }
    }
  }
  for (; I < Before.size(); ++I) {
    Writer.removeLine(Before[I]);
  }
  for (; J < After.size(); ++J) {
    Writer.addLine(After[J]);
  }
}

std::string lineDiff(std::string_view Before, std::string_view After) {
  std::vector<std::string_view> OldLines = settings::splitLines(Before);
  std::vector<std::string_view> NewLines = settings::splitLines(After);
  Lines Old = OldLines;
  Lines New = NewLines;
  DiffWriter Writer;
  while (!Old.empty() && !New.empty() && Old.front() == New.front()) {
    Writer.keepLine();
    Old = Old.subspan(1);
    New = New.subspan(1);
  }
  while (!Old.empty() && !New.empty() && Old.back() == New.back()) {
    Old = Old.first(Old.size() - 1);
    New = New.first(New.size() - 1);
  }
  writeDifference(Old, New, Writer);
  return Writer.takeResult();
}

} // namespace bilberry::targets
