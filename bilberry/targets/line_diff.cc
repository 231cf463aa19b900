#include "bilberry/targets/line_diff.h"

#include "bilberry/settings/ini_document.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace bilberry::targets {

using Lines = std::span<const std::string_view>;

// Above this many pairs of lines the table would cost more memory than the
// answer is worth.
static constexpr size_t MaxPairs = size_t{1} << 22;

namespace {

// Writes the differing lines, with a heading where a run of them begins.
class DiffWriter {
public:
  void keep() {
    ++this->Line;
    this->IsInRun = false;
  }
  void remove(std::string_view Text) {
    this->write("- ", Text);
    ++this->Line;
  }
  void add(std::string_view Text) { this->write("+ ", Text); }

  std::string take() { return std::move(this->Result); }

private:
  void write(const char *Mark, std::string_view Text) {
    if (!this->IsInRun) {
      this->Result += "@ line " + std::to_string(this->Line) + "\n";
      this->IsInRun = true;
    }
    this->Result += Mark;
    this->Result += Text;
    this->Result += '\n';
  }

  std::string Result;
  size_t Line = 1;
  bool IsInRun = false;
};

// For each pair of suffixes, the length of their longest common subsequence.
class CommonLengths {
public:
  CommonLengths(Lines Before, Lines After)
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

  uint32_t at(size_t I, size_t J) const {
    return this->Table[I * this->Width + J];
  }

private:
  size_t Width;
  std::vector<uint32_t> Table;
};

} // namespace

static void writeMiddle(Lines Before, Lines After, DiffWriter &Writer) {
  size_t I = 0;
  size_t J = 0;
  if (Before.size() * After.size() <= MaxPairs) {
    CommonLengths Common(Before, After);
    while (I < Before.size() && J < After.size()) {
      if (Before[I] == After[J]) {
        Writer.keep();
        ++I;
        ++J;
      } else if (Common.at(I + 1, J) >= Common.at(I, J + 1)) {
        Writer.remove(Before[I++]);
      } else {
        Writer.add(After[J++]);
      }
    }
  }
  for (; I < Before.size(); ++I) {
    Writer.remove(Before[I]);
  }
  for (; J < After.size(); ++J) {
    Writer.add(After[J]);
  }
}

std::string lineDiff(std::string_view Before, std::string_view After) {
  std::vector<std::string_view> OldLines = settings::splitLines(Before);
  std::vector<std::string_view> NewLines = settings::splitLines(After);
  Lines Old = OldLines;
  Lines New = NewLines;
  DiffWriter Writer;
  while (!Old.empty() && !New.empty() && Old.front() == New.front()) {
    Writer.keep();
    Old = Old.subspan(1);
    New = New.subspan(1);
  }
  while (!Old.empty() && !New.empty() && Old.back() == New.back()) {
    Old = Old.first(Old.size() - 1);
    New = New.first(New.size() - 1);
  }
  writeMiddle(Old, New, Writer);
  return Writer.take();
}

} // namespace bilberry::targets
