// What differs between two texts, line by line: the longest common
// subsequence of their lines stays, all else is removed or added.

#ifndef BILBERRY_TARGETS_LINE_DIFF_H
#define BILBERRY_TARGETS_LINE_DIFF_H

#include <string>
#include <string_view>

namespace bilberry::targets {

/// One line of text for each line that differs: "- OLD" or "+ NEW", preceded
/// by "@ line N" (of Before) at each place. Empty where the texts have the
/// same lines. Texts that differ over a very long part are shown as that part
/// removed and added whole. Thread-safe.
std::string lineDiff(std::string_view Before, std::string_view After);

} // namespace bilberry::targets

#endif
