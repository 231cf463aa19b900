// A line diff of two texts, based on the longest common subsequence of their
// lines: all other lines are removed or added.

#ifndef BILBERRY_TARGETS_LINE_DIFF_H
#define BILBERRY_TARGETS_LINE_DIFF_H

#include <string>
#include <string_view>

namespace bilberry::targets {

/// One line of text for each line that differs: "- OLD" or "+ NEW", preceded
/// by "@ line N" (of Before) at the start of each hunk. Empty if the texts have
/// the same lines. If the differing part is very long, all its lines are shown
/// as removed and added. Thread-safe.
std::string lineDiff(std::string_view Before, std::string_view After);

} // namespace bilberry::targets

#endif
